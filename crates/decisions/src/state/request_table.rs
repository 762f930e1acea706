//! All open requests: those that are not answered yet or still have attempts in flight.

use super::request::TrackedRequest;
use crate::{Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Index;

/// Open requests by sequence number. Sequence numbers increase in order of arrival.
#[derive(Default)]
pub struct RequestTable {
    tracked: BTreeMap<u64, TrackedRequest>,
    sequences: HashMap<RequestId, u64>,
    next_sequence: u64,
    /// Requests that wait at this gateway until an engine can take them.
    pub waiting: BTreeSet<u64>,
    /// When the gateway last tried to dispatch waiting requests.
    pub last_dispatch: Micros,
}

impl Index<u64> for RequestTable {
    type Output = TrackedRequest;

    fn index(&self, sequence: u64) -> &TrackedRequest {
        &self.tracked[&sequence]
    }
}

impl RequestTable {
    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.tracked.len()
    }

    /// Assigns the next sequence number to a request.
    pub fn assign_sequence(&mut self, id: &RequestId) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sequences.insert(id.clone(), sequence);
        sequence
    }

    /// Returns the sequence number of a request, if the request is open.
    pub fn sequence_of(&self, id: &RequestId) -> Option<u64> {
        self.sequences.get(id).copied()
    }

    /// Inserts a request under the sequence number assigned to it.
    pub fn insert(&mut self, sequence: u64, request: TrackedRequest) {
        self.tracked.insert(sequence, request);
    }

    /// Returns an open request for modification. Panics if the sequence number does not belong to
    /// an open request.
    pub fn get_mut(&mut self, sequence: u64) -> &mut TrackedRequest {
        self.tracked
            .get_mut(&sequence)
            .expect("no open request has this sequence number")
    }

    /// Removes an open request and returns it.
    pub fn remove(&mut self, sequence: u64) -> Option<TrackedRequest> {
        let request = self.tracked.remove(&sequence)?;
        self.sequences.remove(&request.request.id);
        Some(request)
    }

    /// Iterates over all open requests and their sequence numbers, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &TrackedRequest)> {
        self.tracked
            .iter()
            .map(|(sequence, request)| (*sequence, request))
    }

    /// Iterates over all open requests in order of arrival.
    pub fn values(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.tracked.values()
    }

    /// Iterates over the waiting requests and their sequence numbers, in order of arrival.
    pub fn waiting_requests(&self) -> impl Iterator<Item = (u64, &TrackedRequest)> {
        self.waiting
            .iter()
            .map(|sequence| (*sequence, &self.tracked[sequence]))
    }
}
