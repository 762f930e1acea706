//! The fleet: joins policy, leases and budgets to the consensus and to the serving loop.
//!
//! - [`settings`]: the `fleet` block of the operator's file.
//! - [`state_machine`]: policy, tasks and budgets as the consensus' state machine.
//! - [`message`]: requests to the leader, its responses, commands in the log.
//! - [`admission`]: which requests are admitted, under which version; what the decision module is offered of the list.
//! - [`document`]: a policy's text with all its parts.
//! - [`budgets`]: this front end's share of the fleet's budgets.
//! - [`tasks`]: this front end's task leases, and what it does under them.
//! - [`test_hooks`], [`test_disk`]: hooks for the fault harness.
//!
//! Off without a `fleet` block: no thread, listener, descriptor or file.

pub mod admission;
pub mod budgets;
pub mod document;
pub mod message;
pub mod settings;
pub mod state_machine;
pub mod tasks;
pub mod test_disk;
pub mod test_hooks;
