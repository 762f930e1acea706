//! Requests of a client that has input left to read.
//!
//! A client may have written many requests and closed its connection. Its close is behind all of that input, so a
//! request that is passed on as soon as it is read could run for a client that has left. Requests are therefore kept
//! back until the input is read to its end, which shows that the client had not closed before.

use crate::node::dispatcher::ClientRequest;

/// Bytes read after a request from which on it is passed on although more input is left: more than the socket buffers
/// of a closed connection usually hold, so that the client was still connected after the request was read.
const MAX_READ_BYTES: usize = 16 << 20;

/// Requests that were read before the end of the input, in order of arrival.
#[derive(Default)]
pub(super) struct UnconfirmedRequests {
    requests: Vec<ClientRequest>,
    payload_bytes: usize,
    /// Bytes read since the first of the requests.
    read_bytes: usize,
}

impl UnconfirmedRequests {
    pub(super) fn push(&mut self, request: ClientRequest) {
        self.payload_bytes += request.payload.size();
        self.requests.push(request);
    }

    /// Removes the request with this id. Returns `false` if there is none.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        let Some(index) = self.requests.iter().position(|request| request.client.id == id) else {
            return false;
        };
        let request = self.requests.remove(index);
        self.payload_bytes -= request.payload.size();
        true
    }

    /// Removes and returns all requests.
    pub(super) fn take(&mut self) -> Vec<ClientRequest> {
        std::mem::take(self).requests
    }

    /// Records a read. Returns whether the requests can be passed on: the input was read to its end, or enough of it.
    pub(super) fn are_confirmed_by_read(&mut self, bytes: usize, is_input_left: bool) -> bool {
        if self.requests.is_empty() {
            return false;
        }
        self.read_bytes += bytes;
        !is_input_left || self.read_bytes > MAX_READ_BYTES
    }

    /// Size of the payloads, in bytes.
    pub(super) fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
