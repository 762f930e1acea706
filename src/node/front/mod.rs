//! Fronts: they speak the client protocols and pass requests to the request dispatcher in a common form.

pub mod closing;
pub mod jsonrpc;
pub mod mysql;

use super::dispatcher::{ClientHandle, DispatcherEvent};

/// Withdraws a request that its client has cancelled or abandoned. If the event that reports the request is still in
/// `events`, it is removed, and the request dispatcher never sees the request; otherwise the dispatcher is notified.
fn cancel_request(client: ClientHandle, events: &mut Vec<DispatcherEvent>) {
    let is_its_request = |event: &DispatcherEvent| matches!(event, DispatcherEvent::RequestReceived(request) if request.client == client);
    match events.iter().position(is_its_request) {
        Some(index) => drop(events.remove(index)),
        None => events.push(DispatcherEvent::ClientGone(client)),
    }
}
