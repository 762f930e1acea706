//! Fronts: they parse and write, and hand neutral requests to the core.

pub mod jsonrpc;
pub mod mysql;
