//! What a gateway knows about engines, requests and classes. The modules here make no decisions.
//!
//! Each module contains one part of the state, with the methods that access that part only. The
//! modules under `decide` combine several parts to make a decision.

pub mod admission_state;
pub mod clock;
pub mod cost_histogram;
pub mod costs;
pub mod decay;
pub mod engine;
pub mod engine_table;
pub mod hash;
pub mod key_queues;
pub mod observed_load;
pub mod placement;
pub mod request;
pub mod request_table;
pub mod retry_state;
pub mod trouble_model;
pub mod zones;
