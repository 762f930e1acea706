//! Race tests: two events can happen in either order, and each test forces the order that is harder to handle.
//! `docs/races.md` lists the races.

#[path = "../common/stage.rs"]
mod stage;

mod clients;
mod descriptors;
mod discovery;
mod engines;
mod shutdown;
mod start;
