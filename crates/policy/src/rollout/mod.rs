//! The replicated rollout of a policy: a change takes effect at every front end or at none.
//!
//! Three pure state machines, with events in and actions out; the program, the model and the tests on a set clock run
//! the same code:
//!
//! - [`RolloutState`]: the replicated state. Commands come in the order of the consensus log, the same everywhere.
//! - [`PolicyLeader`]: the leading voter. It answers members, has them validate a change, commits and activates it.
//! - [`PolicyMember`]: a front end. It holds a lease to admit requests under one version, renews it, and stops
//!   admitting when the lease has expired.
//!
//! **Leases.** A front end admits requests only while it holds a lease for the active version. It polls the leader at a
//! moment `t0` of its own clock, and the lease ends at `t0` plus a length. The leader answers only after a majority has
//! confirmed it as leader *after* the poll arrived, with the state as committed by then. So whatever the response says
//! was true at some moment after `t0`, whoever leads by the time that it arrives; no clock but the member's own counts.
//!
//! **Rollout.** [`Command::Propose`] (members validate) → [`Command::Commit`] → [`Command::Activate`]. From `Commit` on,
//! leases under the old version are *short* (less than `switch_bound_ms`); a short lease replaces the long one that its
//! holder had. `Activate` is proposed when every member has confirmed that it holds a short lease, or when every long
//! one must have expired. From `Activate` on, leases are for the new version. A lease for the old one was asked for
//! before `Activate`, and is short: so it ends within `switch_bound_ms` of the first admission under the new version.
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

/// A version of the policy; 0 is the empty one that a fleet is bootstrapped with.
pub type Version = u64;
