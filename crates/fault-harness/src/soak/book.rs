//! Record of the requests that the soak's clients sent and of the responses that they received.

use crate::lock;
use beamgap_fakes::rules::{Asked, Said};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Identifies one process of a front end. Each restart of the front end starts a new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Index of the front end.
    pub front_end: usize,
    /// Number of the process in the sequence of this front end's processes, starting at 1.
    pub number: u64,
}

/// Why the front end no longer has to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excuse {
    /// The client cancelled the request or closed the connection.
    ClientLeft,
    /// The front end's process was killed while the request was open.
    Killed,
    /// The client sent the request while the front end was closing the connection, or could not write the whole
    /// request.
    CrossedClose,
    /// The front end closed a new connection without reading its first request, because idle connections used up
    /// its descriptors.
    ShutUnread,
}

/// A request as recorded by its client.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request in the form that the rule checker reads.
    pub asked: Asked,
    /// The front end process that the request was sent to.
    pub incarnation: Incarnation,
    /// Why the request needs no response; `None` while a response is required.
    pub excuse: Option<Excuse>,
    /// When the connection ended, or the client stopped waiting, without a required response.
    pub lost: Option<f64>,
}

#[derive(Debug, Default)]
struct Entries {
    records: Vec<Record>,
    index_by_id: HashMap<String, usize>,
    responses: Vec<(f64, String, Said)>,
    refused_connections: Vec<(Incarnation, f64)>,
}

/// Requests and responses of all clients, shared by their threads.
#[derive(Clone, Debug, Default)]
pub struct Book(Arc<Mutex<Entries>>);

impl Book {
    /// Records a request before the client writes it, because the front end may answer before the write returns.
    pub fn asked(&self, record: Record) {
        let mut entries = lock(&self.0);
        let index = entries.records.len();
        entries.index_by_id.insert(record.asked.id.clone(), index);
        entries.records.push(record);
    }

    /// Records that the last byte of a request was written at `at`, and moves its deadline by the time since the
    /// request was recorded.
    pub fn written(&self, id: &str, at: f64) {
        self.update(id, |record| {
            record.asked.until += at - record.asked.at;
            record.asked.at = at;
        });
    }

    /// Returns when the last byte of a request was written; 0 for an unknown request.
    pub fn written_at(&self, id: &str) -> f64 {
        let entries = lock(&self.0);
        entries.index_by_id.get(id).map_or(0.0, |index| entries.records[*index].asked.at)
    }

    /// Records a response that a client received at `at`.
    pub fn answered(&self, at: f64, id: &str, said: Said) {
        lock(&self.0).responses.push((at, id.to_owned(), said));
    }

    /// Records that the request needs no response from `at` on. The first reason for a request stays.
    pub fn excuse(&self, id: &str, at: f64, excuse: Excuse) {
        self.update(id, |record| {
            if record.excuse.is_none() {
                record.excuse = Some(excuse);
                record.asked.gone = Some(at);
            }
        });
    }

    /// Records that a required response never arrived: at `at` the connection ended or the client stopped waiting.
    pub fn lost(&self, id: &str, at: f64) {
        self.update(id, |record| record.lost = Some(at));
    }

    /// Records that a new connection was refused at a time when the front end must accept connections.
    pub fn connection_refused(&self, incarnation: Incarnation, at: f64) {
        lock(&self.0).refused_connections.push((incarnation, at));
    }

    /// Returns the recorded refusals of new connections.
    pub fn refused_connections(&self) -> Vec<(Incarnation, f64)> {
        lock(&self.0).refused_connections.clone()
    }

    /// Returns all recorded requests and all responses.
    pub fn all(&self) -> (Vec<Record>, Vec<(f64, String, Said)>) {
        let entries = lock(&self.0);
        (entries.records.clone(), entries.responses.clone())
    }

    fn update(&self, id: &str, apply: impl FnOnce(&mut Record)) {
        let mut entries = lock(&self.0);
        if let Some(index) = entries.index_by_id.get(id).copied() {
            apply(&mut entries.records[index]);
        }
    }
}
