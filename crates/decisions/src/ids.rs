//! Names of requests, engines, attempts, timers and classes.

use std::sync::Arc;

/// Names a request; never used twice. Its text means nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Names an engine by its address, the same at every gateway; a restarted process keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// The number of an attempt of one request, from 0 in the order of its [`Action::Forward`](crate::Action::Forward)s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// Names a timer; comes back as given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
