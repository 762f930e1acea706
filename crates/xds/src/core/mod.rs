//! The pure part: no I/O, no clock, no threads. Time is handed in, in milliseconds of any steady clock.

pub mod allot;
pub mod loads;
pub mod messages;
pub mod picture;
pub mod plane;
pub mod resources;
pub mod spans;
pub mod stream;
pub mod tombs;
