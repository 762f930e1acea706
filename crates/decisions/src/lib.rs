//! Decides when and on which engine each query runs, for a front end that routes queries to a pool
//! of shared engines.
//!
//! Short and long queries compete for the cores, disks and memory of a few engines. A [`Gateway`]
//! handles [`Event`]s (the engine list, requests, the progress and end of attempts, timers) and
//! answers each with [`Action`]s (forward a request to an engine, reject it, cancel an attempt).
//!
//! Guarantees: the crate is deterministic and has no side effects. It does no I/O, reads no clock
//! and starts no threads; the same settings, seed and events yield the same actions in the same
//! order. Every request that it forwards respects the rules in [`Settings`]: repeats, ordering by
//! key, the retry budget and slow start.
//!
//! Out of scope: network protocols, connections and deadline timers. The host program, which embeds
//! this crate, carries out the actions, reports how attempts end, and answers a request whose
//! deadline passes.
//!
//! Where to start: `Gateway::handle` in `decide/mod.rs` passes each event to the module responsible
//! for it; the documentation of that file lists these modules. The modules under `state` store data
//! and make no decisions. The method is SAFELoad's ("SAFELoad: Efficient Admission Control
//! Framework for Identifying Memory-Overloading Queries in Cloud Data Warehouses"), extended from a
//! single engine to gateways in front of many engines; `docs/design.md` describes what was adopted
//! and what was added.
//!
//! ```
//! use beamgap_decisions::*;
//! use std::sync::Arc;
//!
//! let class = ClassSettings::plain("lookup", Micros::from_millis(600), Micros::from_millis(3000));
//! let mut gateway = Gateway::new(Settings::plain(vec![class]), 7)?;
//! let engine = EngineId(Arc::from("10.0.0.1:7000"));
//! let mut actions = Vec::new();
//! let entry = EngineEntry {
//!     engine: engine.clone(),
//!     zone: "a".into(),
//!     kind: "std".into(),
//!     size_hint: 1.0,
//!     cell: 0,
//!     started: None,
//!     state: EngineState::Serving,
//! };
//! let list = Event::EngineList { kind: ListKind::Cached, version: 1, entries: vec![entry] };
//! gateway.handle(Micros(0), list, &mut actions);
//! let request = Request {
//!     id: RequestId(Arc::from("r1")),
//!     class: ClassId(0),
//!     time_left: Micros::from_millis(3000),
//!     table_group: 4,
//!     work_hint: None,
//!     memory_hint_mb: None,
//!     key: None,
//!     tenant: None,
//!     repeat: false,
//! };
//! gateway.handle(Micros(10), Event::RequestArrived(request), &mut actions);
//! let is_forward =
//!     |action: &Action| matches!(action, Action::Forward { engine: to, .. } if *to == engine);
//! assert!(actions.iter().any(is_forward));
//! # Ok::<(), SettingsError>(())
//! ```

#![deny(missing_docs)]

mod action;
mod decide;
mod event;
mod ids;
mod log_event;
mod settings;
mod state;
mod status;
mod time;

pub use action::Action;
pub use decide::Gateway;
pub use event::{
    AttemptEnd, EngineEntry, EngineState, Event, ListKind, LoadReport, Outcome, Progress, Request,
    TrueCost,
};
pub use ids::{Attempt, ClassId, EngineId, RequestId, TimerId};
pub use log_event::{EjectionReason, LogEvent};
pub use settings::{
    ClassSettings, Discovery, KindSettings, Machine, Repeat, RepeatGroup, Reports, RetryBudget,
    Settings, SettingsError, SlowStart, SlowStartShare, TenantSettings, WhenMemoryFull,
};
pub use state::hash::mix;
pub use state::key_queues::KeyQueues;
pub use status::EngineStatus;
pub use time::Micros;
