//! Rules that every send must satisfy, however the engine was chosen.

use super::Gateway;
use crate::state::engine::Engine;
use crate::state::request::TrackedRequest;
use crate::{ClassSettings, EngineEntry, Repeat, RepeatGroup};

/// Whether the settings allow a class to use an engine, by its kind of machine and its zone.
pub(super) fn is_open_to(class: &ClassSettings, engine: &EngineEntry) -> bool {
    let kind_open = class
        .kinds
        .as_ref()
        .is_none_or(|kinds| kinds.contains(&engine.kind));
    kind_open
        && class
            .zones
            .as_ref()
            .is_none_or(|zones| zones.contains(&engine.zone))
}

impl Gateway {
    /// Whether all rules allow a request to be sent to an engine now.
    pub(super) fn may_send(&self, sequence: u64, engine: usize) -> bool {
        let request = &self.requests[sequence];
        let engine = &self.engines[engine];
        let class = self.class(request);
        let in_flight = request.in_flight();
        !request.answered
            && self.clock.now < request.deadline
            && engine.listed
            && is_open_to(class, &engine.entry)
            && (in_flight == 0 || (in_flight == 1 && self.settings.hedging))
            && self.attempts_left(request)
            && self.is_in_turn(sequence, request)
            && self.repeat_allowed(request, class, engine)
            && (request.attempts.is_empty() || self.retry_budget_allows())
            && self.slow_start_allows(engine, self.cautious_work_ms(request))
    }

    /// Whether the limit on attempts per request allows another attempt.
    pub(super) fn attempts_left(&self, request: &TrackedRequest) -> bool {
        self.settings
            .max_attempts
            .is_none_or(|cap| (request.attempts.len() as u32) < cap)
    }

    /// Conservative estimate of the work of a request in milliseconds, used for slow start.
    pub(super) fn cautious_work_ms(&self, request: &TrackedRequest) -> f64 {
        self.costs
            .class(request.request.class.0)
            .cautious_work_ms(request.work_ms)
    }

    /// Whether the class of a request allows another attempt on an engine although an earlier one
    /// may have run.
    fn repeat_allowed(
        &self,
        request: &TrackedRequest,
        class: &ClassSettings,
        engine: &Engine,
    ) -> bool {
        let Some(earlier) = request.first_that_may_have_run() else {
            return true;
        };
        let first = &self.engines[earlier.engine].entry;
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { group, .. } => {
                let same_group = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => first.zone == engine.entry.zone,
                    RepeatGroup::Cell => first.cell == engine.entry.cell,
                };
                same_group && class.repeat.window_is_open(self.clock.since(earlier.sent))
            }
        }
    }
}
