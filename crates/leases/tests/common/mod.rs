//! A seeded world of members and leaders in which the state machines of this crate are driven, step
//! by step.

pub mod encoding;
pub mod member;
pub mod random;
pub mod tasks;
pub mod world;
