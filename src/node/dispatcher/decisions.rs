//! Passes events to the decision module and carries out the actions that it returns.

use super::*;

impl RequestDispatcher {
    /// Passes `event` to the decision module and carries out the actions that it returns. An attempt that an action
    /// ends at once is reported to the decision module as a further event, until no event is left.
    pub(super) fn decide(&mut self, now: f64, event: Event, timers: &mut TimerQueue) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.gateway.handle(to_micros(now), event, &mut actions);
            for action in actions.drain(..) {
                if let Some(attempt_end) = self.apply_action(now, action, timers) {
                    events.push_back(Event::AttemptEnded(attempt_end));
                }
            }
        }
    }

    /// The final response to an open request that gets no result.
    pub(super) fn unserved_response(&self, now: f64, key: SlotKey, backoff_ms: f64) -> FinalResponse {
        let Some(open) = self.open.get(key) else { return FinalResponse::Failed };
        let in_flight_since = open.outstanding.as_ref().map(|outstanding| outstanding.sent_at);
        let may_run_since = open.may_run_since.or(in_flight_since);
        self.response_without_result(now, open.request.class, may_run_since, backoff_ms)
    }

    /// The final response to a request of this class that gets no result. `Rejected` invites the client to send the
    /// request again, so it is given only if nothing has run or the class makes another run harmless. `may_run_since`
    /// is the time from which on an attempt may have run, in milliseconds.
    pub(super) fn response_without_result(
        &self,
        now: f64,
        class: ClassId,
        may_run_since: Option<f64>,
        backoff_ms: f64,
    ) -> FinalResponse {
        let repeat = self.settings.classes[class.0].repeat;
        let is_harmless =
            may_run_since.is_none_or(|since| repeat.may_be_rejected(to_micros(now - since + backoff_ms)));
        if is_harmless {
            FinalResponse::Rejected { backoff_ms }
        } else {
            FinalResponse::Failed
        }
    }

    /// Key of the open request with this name in the table of open requests.
    pub(super) fn key_of(&self, id: &RequestId) -> Option<SlotKey> {
        self.by_name.get(id).copied()
    }

    /// Carries out one action of the decision module. Returns the end of an attempt that the action ends at once.
    pub(super) fn apply_action(
        &mut self,
        now: f64,
        action: Action,
        timers: &mut TimerQueue,
    ) -> Option<AttemptEnd> {
        match action {
            Action::Forward { request, engine, give_up_after } => {
                self.start_attempt(now, request, engine, give_up_after, timers)
            }
            Action::Reject { request, retry_after } => {
                let key = self.key_of(&request)?;
                let backoff_ms = retry_after.map_or(DEFAULT_BACKOFF_MS, from_micros);
                let response = self.unserved_response(now, key, backoff_ms);
                self.respond(key, response);
                self.remove_if_done(now, key, timers);
                None
            }
            Action::Fail { request } => {
                let key = self.key_of(&request)?;
                let is_late = self.open.get(key).is_some_and(|open| now >= open.deadline);
                self.respond(key, if is_late { FinalResponse::TimedOut } else { FinalResponse::Failed });
                self.remove_if_done(now, key, timers);
                None
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptRef { request: self.key_of(&request)?, attempt };
                let open = self.open.get(attempt.request)?;
                let counts_in_fleet_budget =
                    open.request.admitted.as_ref().is_some_and(|a| a.held_units.max_duration_ms().is_some());
                let may_retry = open.client.is_some();
                let is_ordered = open.request.ordering_key.is_some();
                let is_in_flight =
                    open.outstanding.as_ref().is_some_and(|out| out.attempt == attempt.attempt);
                if is_in_flight && (may_retry || is_ordered || counts_in_fleet_budget) {
                    // A retry, the next request with the same ordering key, or the release of units of a fleet
                    // budget has to wait until this attempt is known to have ended: the backend reports its end.
                    self.commands.push(DispatcherCommand::Cancel(attempt, true));
                    return None;
                }
                let cancelled = FinishedAttempt::bare(attempt, Outcome::Cancelled);
                let attempt_end = self.close_attempt(now, &cancelled, timers)?;
                self.commands.push(DispatcherCommand::Cancel(attempt, false));
                self.remove_if_done(now, attempt.request, timers);
                Some(attempt_end)
            }
            Action::SetTerms { request, memory_mb, priority } => {
                let key = self.key_of(&request)?;
                let open = self.open.get_mut(key)?;
                (open.memory_mb, open.priority) = (memory_mb, priority);
                if let Some(out) = &open.outstanding {
                    let attempt = AttemptRef { request: key, attempt: out.attempt };
                    self.commands.push(DispatcherCommand::SetPriority(attempt, priority));
                }
                None
            }
            Action::CloseIdle(engine) => {
                self.commands.push(DispatcherCommand::CloseIdle(engine));
                None
            }
            Action::SetTimer { after, timer } => {
                timers.set(now + from_micros(after), TimerEvent::Module(timer));
                None
            }
            Action::Log(event) => {
                self.logs.push(event.to_string());
                None
            }
            // Front ends exchange no messages with each other, and service discovery delivers the engine list
            // without a request for it.
            Action::SendToPeer { .. } | Action::Subscribe(_) | Action::FetchList => None,
        }
    }

    /// Starts the next attempt of a request. Returns the end of the attempt if it can't be sent.
    pub(super) fn start_attempt(
        &mut self,
        now: f64,
        request: RequestId,
        engine: EngineId,
        give_up_after: Option<Micros>,
        timers: &mut TimerQueue,
    ) -> Option<AttemptEnd> {
        let key = self.key_of(&request)?;
        let open = self.open.get_mut(key)?;
        let attempt = Attempt(open.attempts);
        open.attempts += 1;
        let time_left = open.deadline - now;
        let max_ms = give_up_after.map_or(time_left, |after| time_left.min(from_micros(after)));
        // The policy version under which the request was admitted may exclude an engine that the active version
        // allows; the request's own version decides.
        let is_excluded = open.request.admitted.as_ref().is_some_and(|a| {
            let zone = self.zones.as_ref().and_then(|zones| zones.get(&engine)).map_or("", String::as_str);
            a.policy.excludes(&engine.0, zone)
        });
        // A request has at most one attempt in flight, and no attempt starts after the final response or with less
        // than 1 ms left.
        if open.outstanding.is_some() || open.client.is_none() || max_ms < 1.0 || is_excluded {
            let outcome = Outcome::NotSent;
            let (latency, request_answered) = (Micros(0), open.client.is_none());
            let (cost, report) = (None, None);
            return Some(AttemptEnd {
                request,
                attempt,
                engine,
                outcome,
                latency,
                request_answered,
                cost,
                report,
            });
        }
        // A retry needs a unit of the fleet's retry budget, in addition to this front end's own retry budget, which
        // the decision module enforces.
        let retry_budget = open
            .request
            .admitted
            .as_ref()
            .and_then(|a| a.retry_budget.as_ref())
            .filter(|_| open.attempts_sent > 0);
        if retry_budget.is_some_and(|budget| !budget.try_acquire(&request.0)) {
            let response = self.unserved_response(now, key, DEFAULT_BACKOFF_MS);
            self.respond(key, response);
            self.remove_if_done(now, key, timers);
            return Some(AttemptEnd {
                request,
                attempt,
                engine,
                outcome: Outcome::NotSent,
                latency: Micros(0),
                request_answered: true,
                cost: None,
                report: None,
            });
        }
        let (class, work) = (open.request.class.0, open.request.work_ms.unwrap_or(0.0));
        let (id, engine_name, number) = (&request.0, &engine.0, attempt.0);
        trace!(target: ACCOUNT, "send: id={id} class={class} engine={engine_name} attempt={number} work={work:.0}");
        open.attempts_sent += 1;
        let timeout = timers.set(now + max_ms, TimerEvent::AttemptTimeout(key, attempt));
        open.outstanding =
            Some(OutstandingAttempt { attempt, engine: engine.clone(), sent_at: now, timeout });
        self.commands.push(DispatcherCommand::Start(AttemptStart {
            attempt: AttemptRef { request: key, attempt },
            front: open.request.client.front,
            name: open.request.name.clone(),
            class: open.request.class,
            engine,
            max_ms,
            memory_mb: open.memory_mb,
            priority: open.priority,
            payload: open.request.payload.clone(),
        }));
        None
    }
}
