//! The fleet: joins what is agreed on (`crates/policy`) to the council (`crates/council`) and to the serving loop.
//!
//! - [`settings`]: the `fleet` block of the operator's file.
//! - [`machine`]: policy as commands and questions of the council.
//! - [`admission`]: which requests are admitted, under which version; which engines the decision module is offered.
//! - [`document`]: a policy's text with all of its blocks.
//! - [`budgets`]: what the fleet has in common, divided among its front ends.
//! - [`tasks`]: leases for tasks of the whole fleet, and what is acted on.
//! - [`trial`], [`trial_disk`]: clocks, faults and a disk that tests set.
//!
//! Off without a `fleet` block: no thread, listener, descriptor or file.

pub mod admission;
pub mod budgets;
pub mod document;
pub mod machine;
pub mod settings;
pub mod tasks;
pub mod trial;
pub mod trial_disk;
