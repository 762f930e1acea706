//! Tells the decision module what happened, and does what it says.

use super::*;

impl RequestDispatcher {
    /// Tells the decision module and does what it says; what its actions end at once is told it in turn.
    pub(super) fn tell(&mut self, now: f64, event: Event, timers: &mut TimerQueue) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.gateway.handle(to_micros(now), event, &mut actions);
            for action in actions.drain(..) {
                if let Some(closed) = self.apply(now, action, timers) {
                    events.push_back(Event::AttemptEnded(closed));
                }
            }
        }
    }

    /// What a request that is given up hears. Guards against a load that may have run being sent again by its client
    /// on our word.
    pub(super) fn given_up(&self, key: SlotKey, backoff_ms: f64) -> FinalResponse {
        let may_have_run = self.open.get(key).is_some_and(|open| {
            let unsafe_class = self.settings.classes[open.ask.class.0].repeat == Repeat::Unsafe;
            unsafe_class && (open.may_have_run || open.out.is_some())
        });
        if may_have_run {
            FinalResponse::Failed
        } else {
            FinalResponse::Refused { backoff_ms }
        }
    }

    pub(super) fn key(&self, id: &RequestId) -> Option<SlotKey> {
        self.names.get(id).copied()
    }

    pub(super) fn apply(&mut self, now: f64, action: Action, timers: &mut TimerQueue) -> Option<AttemptEnd> {
        match action {
            Action::Forward { request, engine, give_up_after } => {
                self.send(now, request, engine, give_up_after, timers)
            }
            Action::Reject { request, retry_after } => {
                let key = self.key(&request)?;
                let answer = self.given_up(key, retry_after.map_or(BACKOFF, from_micros));
                self.answer(key, answer);
                self.forget(key, timers);
                None
            }
            Action::Fail { request } => {
                let key = self.key(&request)?;
                let late = self.open.get(key).is_some_and(|open| now >= open.deadline);
                self.answer(key, if late { FinalResponse::TimedOut } else { FinalResponse::Failed });
                self.forget(key, timers);
                None
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptRef { request: self.key(&request)?, attempt };
                let open = self.open.get(attempt.request)?;
                let counted =
                    open.ask.admitted.as_ref().is_some_and(|a| a.held_units.max_duration_ms().is_some());
                let (again, ordered) = (open.asker.is_some(), open.ask.order.is_some() || counted);
                let is_out = open.out.as_ref().is_some_and(|out| out.attempt == attempt.attempt);
                if is_out && (again || ordered) {
                    // It may be sent again, or the next of its key comes, or the fleet counts it, but not before this one
                    // is over for sure: its end comes from outside.
                    self.orders.push(DispatcherCommand::GiveUp(attempt, true));
                    return None;
                }
                let closed =
                    self.close_attempt(now, &FinishedAttempt::bare(attempt, Outcome::Cancelled), timers)?;
                self.orders.push(DispatcherCommand::GiveUp(attempt, false));
                self.forget(attempt.request, timers);
                Some(closed)
            }
            Action::SetTerms { request, memory_mb, priority } => {
                let key = self.key(&request)?;
                let open = self.open.get_mut(key)?;
                (open.memory_mb, open.priority) = (memory_mb, priority);
                if let Some(out) = &open.out {
                    let attempt = AttemptRef { request: key, attempt: out.attempt };
                    self.orders.push(DispatcherCommand::Hurry(attempt, priority));
                }
                None
            }
            Action::CloseIdle(engine) => {
                self.orders.push(DispatcherCommand::CloseIdle(engine));
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
            // Talk between front ends is not allowed, and the list comes by itself.
            Action::SendToPeer { .. } | Action::Subscribe(_) | Action::FetchList => None,
        }
    }

    pub(super) fn send(
        &mut self,
        now: f64,
        request: RequestId,
        engine: EngineId,
        give_up_after: Option<Micros>,
        timers: &mut TimerQueue,
    ) -> Option<AttemptEnd> {
        let key = self.key(&request)?;
        let open = self.open.get_mut(key)?;
        let attempt = Attempt(open.attempts);
        open.attempts += 1;
        let left = open.deadline - now;
        let max_ms = give_up_after.map_or(left, |after| left.min(from_micros(after)));
        // An engine that the request's own version leaves out is not for it, whatever the version of now says.
        let barred = open.ask.admitted.as_ref().is_some_and(|a| {
            let zone = self.zones.as_ref().and_then(|zones| zones.get(&engine)).map_or("", String::as_str);
            a.policy.excludes(&engine.0, zone)
        });
        // Guards: never two attempts out, nothing after the end, nothing without time left.
        if open.out.is_some() || open.asker.is_none() || max_ms < 1.0 || barred {
            let outcome = Outcome::NotSent;
            let (latency, request_answered) = (Micros(0), open.asker.is_none());
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
        // Beyond the first, the fleet's budget is asked too, beside this front end's own ration.
        let retry_budget =
            open.ask.admitted.as_ref().and_then(|a| a.retry_budget.as_ref()).filter(|_| open.sent > 0);
        if retry_budget.is_some_and(|budget| !budget.try_acquire(&request.0)) {
            let answer = self.given_up(key, BACKOFF);
            self.answer(key, answer);
            self.forget(key, timers);
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
        let (class, work) = (open.ask.class.0, open.ask.work_ms.unwrap_or(0.0));
        let (id, to, no) = (&request.0, &engine.0, attempt.0);
        trace!(target: ACCOUNT, "send: id={id} class={class} engine={to} attempt={no} work={work:.0}");
        open.sent += 1;
        let due = timers.set(now + max_ms, TimerEvent::AttemptOver(key, attempt));
        open.out = Some(OutstandingAttempt { attempt, engine: engine.clone(), since: now, due });
        self.orders.push(DispatcherCommand::Start(AttemptStart {
            attempt: AttemptRef { request: key, attempt },
            front: open.ask.asker.front,
            name: open.ask.name.clone(),
            class: open.ask.class,
            engine,
            max_ms,
            memory_mb: open.memory_mb,
            priority: open.priority,
            payload: open.ask.payload.clone(),
        }));
        None
    }
}
