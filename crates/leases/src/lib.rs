//! Leases that let at most one member of a fleet act on a task at a time.
//!
//! The state machines of this crate are deterministic: they have no clock, no I/O and no
//! randomness. The program, the protocol model and the tests all run the same code.
//!
//! # Guarantees
//!
//! `docs/leases.md` numbers the guarantees. In short:
//!
//! - No two members hold the lease of a task at once, as long as clocks stay within
//!   [`ClockBounds`].
//! - Fencing tokens increase with every lease.
//! - A step that was recorded as done, or that may have run, is not begun again, unless the task
//!   allows repeating it.
//! - A task whose holder has failed moves to another member.
//!
//! This crate does not guarantee that an action runs at most once, because a process may be paused
//! between checking its lease and acting. Each action therefore carries a [`FencingToken`], and the
//! target of the action refuses older tokens.
//!
//! # How it works
//!
//! A holder counts the lease from the time on its own clock at which it *sent* the poll that
//! renewed the lease. It stops using the lease after the lease's length, reduced by the drift and
//! the safety margin.
//!
//! The leader answers a poll only after a majority has confirmed its leadership, and that
//! confirmation must be *later* than the arrival of the poll. The leader ends a lease once the time
//! since its last renewal exceeds the length of the lease on every clock within the drift bound. If
//! this leader has not renewed the lease, that time is counted from the beginning of its
//! leadership. Only after the end of a lease can another lease of the same task be granted. The
//! bound follows Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
//! File Cache Consistency" (SOSP 1989).
//!
//! # Main types
//!
//! - [`State`] is the replicated state of all [`Task`]s, changed by the [`Command`]s of the log.
//! - [`LeaseLeader`] runs at the leader and [`LeaseHolder`] at each member. They exchange
//!   [`PollRequest`]s and [`PollResponse`]s.
//! - [`ActionPermit`] is the proof of a valid lease that a member needs to act on a task.
//!
//! # Example
//!
//! ```
//! use beamgap_fleet_types::MemberId;
//! use beamgap_leases::{
//!     ClockBounds, Command, InjectedBug, LeaseHolder, LeaseLeader, Schedule, State, TaskSpec,
//! };
//!
//! let mut state = State::default();
//! let spec = TaskSpec::new("compaction", Schedule::Always, "http://storage.test/compact");
//! state.apply(&Command::DefineTasks(vec![spec]));
//!
//! let mut leader = LeaseLeader::new(ClockBounds::default(), InjectedBug::None);
//! leader.set_leadership(0.0, true);
//! let mut member = LeaseHolder::new(MemberId::new("front-1", 1), "west", InjectedBug::None);
//!
//! // The first poll registers the member. A leader grants leases only 1 s after its election.
//! leader.handle_request(0.0, &state, &member.poll_request());
//! for command in leader.tick(1000.0, None, &state) {
//!     state.apply(&command);
//! }
//!
//! // The response to the next poll notifies the member, which may act until the lease expires.
//! let response = leader.handle_request(1100.0, &state, &member.poll_request());
//! member.handle_response(1100.0, response);
//! let permit = member.permit("compaction", 1200.0, 100.0).expect("the lease is held");
//! assert_eq!(permit.start(1201.0).expect("the permit has not expired").token(), state.last_token);
//! assert!(member.permit("compaction", 7000.0, 100.0).is_err());
//! ```

#![deny(missing_docs)]

mod clock_bounds;
mod command;
mod held_lease;
mod injected_bug;
mod leader;
mod member;
mod message;
mod outcome_queue;
mod permit;
mod placement;
mod spec;
mod state;
mod task;
mod token;

pub use clock_bounds::ClockBounds;
pub use command::Command;
pub use injected_bug::InjectedBug;
pub use leader::LeaseLeader;
pub use member::{ActiveLease, LeaseHolder, ReadyStep};
pub use message::{LeaseView, PollRequest, PollResponse};
pub use permit::{ActionPermit, ExpiredAction, PermitDenied, PermittedAction};
pub use placement::SETTLING_TIME_MS;
pub use spec::{
    InvalidTask, OnUnknownOutcome, Schedule, TaskSpec, MAX_NAME_LENGTH, MAX_STEPS, MAX_TASKS,
};
pub use state::State;
pub use task::{Lease, Outcome, Run, StepRecord, Task, MAX_HISTORY};
pub use token::FencingToken;
