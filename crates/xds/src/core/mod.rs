//! The protocol logic, without I/O, clocks or threads. Callers pass the current time as milliseconds of a monotonic
//! clock.

pub mod allot;
pub mod loads;
pub mod messages;
pub mod picture;
pub mod plane;
pub mod resources;
pub mod spans;
pub mod stream;
pub mod tombs;
