//! Decides, for a workload manager, when and where each query runs on a fleet of shared engines.
//!
//! A [`Gateway`] hears of engines, requests and outcomes as [`Event`]s and answers with [`Action`]s. It does no
//! I/O, has no clock and no threads: the same events give the same actions.

mod api;
mod decide;
mod state;

pub use api::*;
pub use decide::Gateway;
pub use state::mix;
