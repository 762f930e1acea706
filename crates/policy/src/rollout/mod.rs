//! The rollout of a policy change to the fleet: the change takes effect at every front end or at none.
//!
//! The protocol consists of three pure state machines that receive events and return actions. The program, the protocol
//! model and the tests with a simulated clock run the same code:
//!
//! - [`RolloutState`]: the replicated state. Every replica applies the commands in the order of the consensus log.
//! - [`PolicyLeader`]: the leader's part. It answers polls, collects validation reports, and proposes to reject, commit
//!   or activate a change.
//! - [`PolicyMember`]: a front end's part. It renews its lease to admit requests under one version, and stops admitting
//!   requests when the lease has expired.
//!
//! **Leases.** A front end admits requests only while it holds a lease for the active version. It polls the leader at
//! time `t0` by its own clock, and the granted lease expires a fixed length after `t0`. After the poll arrives, the
//! leader has a majority confirm its leadership, and then answers from the state committed by that time. The response
//! therefore describes a state that was current at some time after `t0`, even if another leader has been elected when
//! the response arrives. Lease expiry depends on the member's own clock only.
//!
//! **Rollout.** A change passes through [`Command::Propose`] (members validate it), [`Command::Commit`] and
//! [`Command::Activate`]. Leases that are granted between `Commit` and `Activate` are still for the old version but
//! *short*, that is, shorter than `switch_bound_ms`. A short lease replaces the long lease of its holder. The leader
//! proposes `Activate` once every member has confirmed a short lease, or once every long lease must have expired.
//! Leases that are granted after `Activate` are for the new version. When `Activate` is committed, every remaining
//! lease for the old version is short and was requested before that time. It therefore expires within `switch_bound_ms`
//! of the first admission under the new version.
//!
//! All times are in milliseconds.

mod change;
mod injected_bug;
mod leader;
mod member;
mod message;
mod progress;
mod state;
mod timings;

pub use change::{ChangeOutcome, ChangeRecord, ChangeRequest, PendingChange, ProposalError};
pub use injected_bug::InjectedBug;
pub use leader::{MemberStatus, PolicyLeader};
pub use member::{AdmissionLease, MemberAction, PolicyMember};
pub use message::{
    LeaseGrant, LeaseKind, PollRequest, PollResponse, ProposedChange, ValidationError,
    ValidationReport,
};
pub use state::{
    Command, PolicyRevision, RolloutState, EMPTY_POLICY, MAX_CHANGE_RECORDS, MAX_KEPT_VERSIONS,
    MAX_MEMBERS, MAX_VALIDATION_ERRORS,
};
pub use timings::PolicyTimings;

/// A policy version. Version 0 is the empty policy of a newly bootstrapped fleet; each activation increments it by 1.
pub type Version = u64;
