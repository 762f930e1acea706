//! Fleet membership: connects the policy, lease, budget and consensus crates to a front end's event loop.
//!
//! - [`settings`]: reads the `fleet` block of the configuration file.
//! - [`state_machine`]: the replicated state machine of policy, tasks and budgets.
//! - [`message`]: requests to the leader, its responses, and the commands in the replicated log.
//! - [`admission`]: admits or rejects requests, and marks the engines that the policy excludes as draining.
//! - [`document`]: parses, validates and compares policy documents, including their budgets.
//! - [`budgets`]: enforces this front end's shares of the fleet's budgets.
//! - [`tasks`]: holds this front end's task leases and runs the steps of these tasks.
//! - [`test_hooks`], [`test_disk`]: hooks for the fault harness.
//!
//! Without a `fleet` block nothing here is active: no thread is started and no socket or file is opened.

pub mod admission;
pub mod budgets;
pub mod document;
pub mod message;
pub mod settings;
pub mod state_machine;
pub mod tasks;
pub mod test_disk;
pub mod test_hooks;
