//! A seeded simulation of a fleet that drives the state machines of this crate step by step, with
//! random faults of members, leaders and messages.

pub mod encoding;
pub mod member;
pub mod random;
pub mod tasks;
pub mod world;
