//! Decides, for a workload manager, when and where each query runs on a fleet of shared engines.
//!
//! Short and long queries share cores, disks and memory of a few engines. A [`Gateway`] takes
//! [`Event`]s (the list of engines, requests, the progress and the end of attempts, a timer) and
//! answers each with [`Action`]s (send this request there, reject it, cancel that attempt).
//!
//! What it promises: it is deterministic and pure. It does no I/O, reads no clock and starts no
//! thread; the same settings, seed and events give the same actions in the same order. What it
//! sends respects the rules in [`Settings`]: repeats, order by key, the retry budget, slow start.
//!
//! What it does not do: it knows no wire, keeps no connection and sets no deadline by itself. The
//! program around it carries out the actions, reports how attempts end, and answers a request whose
//! deadline passes.
//!
//! Where to start: `Gateway::handle` in `decide/mod.rs` hands each event to the module that decides
//! about it, and that module's page lists them all. `state` holds what is remembered and decides
//! nothing. The mechanism is SAFELoad's, brought from one engine to a gateway before many;
//! `docs/design.md` tells what was kept and what was added.
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
    Settings, SettingsError, SlowStart, SlowStartShare, TenantSettings, WhenShort,
};
pub use state::hash::mix;
pub use state::key_queues::KeyQueues;
pub use status::EngineStatus;
pub use time::Micros;
