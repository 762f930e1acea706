//! The bounds that every send passes, whatever was decided before.

use super::Gateway;
use crate::state::engine::Engine;
use crate::state::request::TrackedRequest;
use crate::{ClassSettings, EngineEntry, Micros, Repeat, RepeatGroup};

/// Time before the end of its window that a keyed repeat is still sent.
const KEYED_WINDOW_MARGIN: Micros = Micros::from_millis(200);

/// Whether an engine is among those that a class is bound to.
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
    /// Whether a request may be sent to an engine now.
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

    /// Whether the bound on a request's attempts leaves one more.
    pub(super) fn attempts_left(&self, request: &TrackedRequest) -> bool {
        self.settings
            .max_attempts
            .is_none_or(|cap| (request.attempts.len() as u32) < cap)
    }

    /// Work of a request as slow start counts it.
    pub(super) fn cautious_work_ms(&self, request: &TrackedRequest) -> f64 {
        self.costs
            .class(request.request.class.0)
            .cautious_work_ms(request.work_ms)
    }

    /// Whether the class allows another attempt there, where one may have run.
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
            Repeat::Keyed { group, window } => {
                let same_group = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => first.zone == engine.entry.zone,
                    RepeatGroup::Cell => first.cell == engine.entry.cell,
                };
                same_group && self.clock.since(earlier.sent).plus(KEYED_WINDOW_MARGIN) < window
            }
        }
    }
}
