//! Ids of requests, engines, attempts, timers and classes.

use std::sync::Arc;

/// Id of a request; ids are never reused. The text is opaque to this crate.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Id of an engine: its address. All gateways use the same id for an engine, and the id does not
/// change when the engine restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// Number of an attempt within its request, counted from 0 in the order of the request's
/// [`Action::Forward`](crate::Action::Forward) actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// Id of a timer, chosen by the gateway. The host program returns it when the timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Index of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
