//! Leases for the tasks of a fleet: at most one member acts on a task at a time.
//!
//! Pure state machines: no clock, no I/O, no randomness. The program, the protocol model and the
//! tests drive the same code.
//!
//! # What it promises
//!
//! The promises are numbered in `docs/leases.md`. In short: no two members hold the lease of a task
//! at once as long as clocks keep within [`ClockBounds`]; tokens grow; a step that was recorded as
//! done or that may have run is not begun again, unless the task allows that; a task whose holder
//! is gone moves to another member.
//!
//! It does not promise that an action takes place only once: a process may stand still between the
//! check of its lease and its action. Therefore each action carries a [`FencingToken`], and its
//! target refuses older ones.
//!
//! # How it works
//!
//! A holder uses a lease until its length, less drift and margin, has passed on its own clock since
//! it *sent* the poll that renewed it. The leader answers a poll only after a majority confirmed
//! its leadership *later* than the poll came in. It ends a lease that it has not renewed for longer
//! than the lease's length on any clock within the drift, counted from the beginning of its
//! leadership if it never renewed it. Only then can another lease be granted. The bound follows
//! Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency" (SOSP 1989).
//!
//! # Where to start
//!
//! - [`State`] is what [`Command`]s of the replicated log make of the [`Task`]s.
//! - [`LeaseLeader`] runs at the leader, [`LeaseHolder`] at each member; they exchange
//!   [`PollRequest`] and [`PollResponse`].
//! - [`ActionPermit`] is what a member needs to act.
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
//! // The leader hears of the member, and grants the lease a second after it was elected.
//! leader.handle_request(0.0, &state, &member.poll_request());
//! for command in leader.tick(1000.0, None, &state) {
//!     state.apply(&command);
//! }
//!
//! // The member is notified of it with its next poll. It may act until the lease expires.
//! let response = leader.handle_request(1100.0, &state, &member.poll_request());
//! member.handle_response(1100.0, response);
//! let permit = member.permit("compaction", 1200.0, 100.0).expect("the lease is held");
//! assert_eq!(permit.start(1201.0).expect("in time").token(), state.last_token);
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
