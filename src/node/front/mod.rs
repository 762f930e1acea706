//! Fronts: they parse and write, and hand neutral requests to the core.

pub mod closing;
pub mod jsonrpc;
pub mod mysql;

use super::dispatcher::{Asker, Heard};

/// A client has given a request up. One that the core has not heard of yet is not begun at all.
fn withdraw(asker: Asker, heard: &mut Vec<Heard>) {
    let is_its_request = |heard: &Heard| matches!(heard, Heard::Asked(ask) if ask.asker == asker);
    match heard.iter().position(is_its_request) {
        Some(place) => drop(heard.remove(place)),
        None => heard.push(Heard::Gone(asker)),
    }
}
