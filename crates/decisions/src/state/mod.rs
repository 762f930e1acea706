//! What the gateway remembers of engines, requests and classes. It decides nothing.
//!
//! Each module holds one group of state with the methods that touch it alone; `decide` reads
//! several of them to take a decision.

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
