//! Events that may come in either order, each made to come in the bad one. `docs/races.md` is the table of them.

#[path = "../common/stage.rs"]
mod stage;

mod clients;
mod descriptors;
mod discovery;
mod engines;
mod shutdown;
mod start;
