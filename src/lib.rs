//! Front end for a pool of query engines: decides when each query runs, and on which engine.
//!
//! Short and long queries share the cores, disks and memory of the engines. The crate `beamgap-decisions`, which is
//! re-exported here, decides how to route the queries: its [`Gateway`] receives [`Event`]s and returns [`Action`]s.
//! This crate contains the program that runs the gateway: [`node`] implements sockets and timers, [`fleet`] implements
//! the policy, the budgets and the tasks that front ends share, and [`settings`] reads settings by the platform's
//! names.
//!
//! ```
//! use beamgap::*;
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
//! assert!(actions.iter().any(|a| matches!(a, Action::Forward { engine: e, .. } if *e == engine)));
//! # Ok::<(), SettingsError>(())
//! ```

pub mod fleet;
pub mod node;
pub mod settings;

pub use beamgap_decisions::*;
