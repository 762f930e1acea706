//! Arrival of a request: it is opened and passed to the decision module, or rejected before anything of it runs.

use super::*;

impl RequestDispatcher {
    /// Rejects a request before it is accepted, so that nothing of it has run.
    pub fn reject(&mut self, now: f64, request: &ClientRequest, backoff_ms: f64) {
        let earlier_arrival = self.earlier_arrival(now, request);
        self.respond_unaccepted(now, request, earlier_arrival, backoff_ms);
    }

    /// Arrival time of the earlier request that a request repeats, in milliseconds: one with the same name, recent or
    /// open, or an open one with the same client handle.
    fn earlier_arrival(&mut self, now: f64, request: &ClientRequest) -> Option<f64> {
        let by_name = self.by_name.get(&RequestId(request.name.clone()));
        let same_handle = self.by_client.get(&request.client);
        let open = by_name.into_iter().chain(same_handle).filter_map(|key| self.open.get(*key));
        let arrivals =
            open.map(|open| open.arrived_at).chain(self.recent_names.arrived_at(now, &request.name));
        arrivals.min_by(f64::total_cmp)
    }

    /// Sends the final response to a request that is not accepted. Nothing runs for it, but if it repeats an earlier
    /// request, that one may have run since its arrival.
    fn respond_unaccepted(
        &mut self,
        now: f64,
        request: &ClientRequest,
        earlier_arrival: Option<f64>,
        backoff_ms: f64,
    ) {
        let response = self.response_without_result(now, request.class, earlier_arrival, backoff_ms);
        self.commands.push(DispatcherCommand::Respond(request.client, response));
    }

    /// Opens a request and passes it to the decision module. A request beyond the limits on open requests and payload
    /// bytes is rejected, and so is a request with the name of a recent one.
    pub(super) fn accept_request(
        &mut self,
        now: f64,
        client_request: ClientRequest,
        timers: &mut TimerQueue,
    ) {
        let id = RequestId(client_request.name.clone());
        let size = client_request.payload.size();
        let is_full = self.rejects_new
            || self.open.len() >= self.max_open
            || self.payload_bytes + size > self.max_payload_bytes;
        let earlier_arrival = self.earlier_arrival(now, &client_request);
        self.recent_names.insert(now, &client_request.name);
        if is_full || earlier_arrival.is_some() {
            let backoff_ms = self.settings.retry_after.map_or(DEFAULT_BACKOFF_MS, from_micros);
            return self.respond_unaccepted(now, &client_request, earlier_arrival, backoff_ms);
        }
        self.payload_bytes += size;
        let deadline = client_request.deadline(LATE_RESPONSE_GRACE_MS);
        let request = Request {
            id: id.clone(),
            class: client_request.class,
            time_left: to_micros(deadline.min(self.response_deadline) - now),
            table_group: client_request.table_group,
            work_hint: client_request.work_ms.filter(|ms| *ms > 0.0).map(to_micros),
            memory_hint_mb: client_request.memory_mb.filter(|mb| *mb > 0.0),
            key: client_request.ordering_key.clone(),
            tenant: client_request.tenant.clone(),
            repeat: false,
        };
        let client = client_request.client;
        let key = self.open.insert(OpenRequest {
            client: Some(client),
            request: client_request,
            deadline,
            deadline_timer: None,
            attempts: 0,
            attempts_sent: 0,
            outstanding: None,
            memory_mb: 0,
            priority: 1,
            may_run_since: None,
            arrived_at: now,
            may_still_run: false,
        });
        if let Some(open) = self.open.get_mut(key) {
            let deadline_at = (deadline + RESPONSE_GRACE_MS).min(self.response_deadline.max(now));
            open.deadline_timer = Some(timers.set(deadline_at, TimerEvent::RequestDeadline(key)));
        }
        if let Some(open) = self.open.get(key) {
            let (class, budget) = (open.request.class.0, open.request.budget_ms);
            let order = open.request.ordering_key.as_deref().unwrap_or("-");
            let waited = open.request.waited_at_client;
            trace!(
                target: ACCOUNT,
                "ask: id={} class={class} budget={budget:.0} waited_at_client={waited:.0} order={order}",
                id.0
            );
        }
        self.by_name.insert(id, key);
        self.by_client.insert(client, key);
        self.decide(now, Event::RequestArrived(request), timers);
    }
}
