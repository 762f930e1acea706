//! Fronts: they parse and write, and hand neutral requests to the core.

pub mod closing;
pub mod jsonrpc;
pub mod mysql;

use super::dispatcher::{ClientHandle, DispatcherEvent};

/// A client has given a request up. One that the core has not heard of yet is not begun at all.
fn withdraw(asker: ClientHandle, heard: &mut Vec<DispatcherEvent>) {
    let is_its_request =
        |heard: &DispatcherEvent| matches!(heard, DispatcherEvent::Asked(ask) if ask.asker == asker);
    match heard.iter().position(is_its_request) {
        Some(place) => drop(heard.remove(place)),
        None => heard.push(DispatcherEvent::Gone(asker)),
    }
}
