//! All requests that the gateway has taken and not finished.

use super::request::TrackedRequest;
use crate::{Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Index;

/// Requests by their sequence numbers, which follow the order of arrival.
#[derive(Default)]
pub struct RequestTable {
    tracked: BTreeMap<u64, TrackedRequest>,
    sequences: HashMap<RequestId, u64>,
    next_sequence: u64,
    /// Requests that wait here for an engine.
    pub waiting: BTreeSet<u64>,
    /// When waiting requests were last tried.
    pub last_dispatch: Micros,
}

impl Index<u64> for RequestTable {
    type Output = TrackedRequest;

    fn index(&self, sequence: u64) -> &TrackedRequest {
        &self.tracked[&sequence]
    }
}

impl RequestTable {
    /// Requests in the table.
    pub fn len(&self) -> usize {
        self.tracked.len()
    }

    /// Takes the next sequence number for a request.
    pub fn assign_sequence(&mut self, id: &RequestId) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sequences.insert(id.clone(), sequence);
        sequence
    }

    /// Sequence number of a request, if it is in the table.
    pub fn sequence_of(&self, id: &RequestId) -> Option<u64> {
        self.sequences.get(id).copied()
    }

    /// Enters a request under its sequence number.
    pub fn insert(&mut self, sequence: u64, request: TrackedRequest) {
        self.tracked.insert(sequence, request);
    }

    /// A request in the table, to be changed.
    pub fn get_mut(&mut self, sequence: u64) -> &mut TrackedRequest {
        self.tracked
            .get_mut(&sequence)
            .expect("a sequence number in use names a request")
    }

    /// Forgets a request; returns it.
    pub fn remove(&mut self, sequence: u64) -> Option<TrackedRequest> {
        let request = self.tracked.remove(&sequence)?;
        self.sequences.remove(&request.request.id);
        Some(request)
    }

    /// All requests in the order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &TrackedRequest)> {
        self.tracked
            .iter()
            .map(|(sequence, request)| (*sequence, request))
    }

    /// All requests in the order of arrival, without their numbers.
    pub fn values(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.tracked.values()
    }

    /// The requests that wait, in the order of arrival.
    pub fn waiting_requests(&self) -> impl Iterator<Item = (u64, &TrackedRequest)> {
        self.waiting
            .iter()
            .map(|sequence| (*sequence, &self.tracked[sequence]))
    }
}
