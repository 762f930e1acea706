//! The fleet: joins what is agreed on (`crates/policy`) to the council (`crates/council`) and to the serving loop.
//!
//! - [`settings`]: the `fleet` block of the operator's file.
//! - [`state_machine`]: policy as commands and questions of the council.
//! - [`gate`]: which requests come in, under which version; what the decision module is offered of the list.
//! - [`document`]: a policy's text with all that stands in it.
//! - [`budgets`]: what the fleet has in common, divided among its front ends.
//! - [`tasks`]: leases for tasks of the whole fleet, and what is acted on.
//! - [`test_hooks`], [`test_disk`]: clocks, faults and a disk that tests set.
//!
//! Off without a `fleet` block: no thread, listener, descriptor or file.

pub mod budgets;
pub mod document;
pub mod gate;
pub mod settings;
pub mod state_machine;
pub mod tasks;
pub mod test_disk;
pub mod test_hooks;
