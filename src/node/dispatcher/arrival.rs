//! Arrival of a request: it is opened and passed to the decision module, or rejected before anything of it runs.

use super::*;

impl RequestDispatcher {
    /// Rejects a request before it is accepted, so that nothing of it has run.
    pub fn reject(&mut self, now: f64, request: &ClientRequest, backoff_ms: f64) {
        let is_repeated = self.is_repeated(now, request);
        self.respond_unaccepted(request, is_repeated, backoff_ms);
    }

    /// Whether a request has the name of a recent or open request, or the client handle of an open one.
    fn is_repeated(&mut self, now: f64, request: &ClientRequest) -> bool {
        let is_open = self.by_name.contains_key(&RequestId(request.name.clone()))
            || self.by_client.contains_key(&request.client);
        is_open || self.recent_names.contains(now, &request.name)
    }

    /// Sends the final response to a request that is not accepted. Nothing runs for it, but if it repeats an earlier
    /// request, that one may have run.
    fn respond_unaccepted(&mut self, request: &ClientRequest, is_repeated: bool, backoff_ms: f64) {
        let response = self.response_without_result(request.class, is_repeated, backoff_ms);
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
        let is_repeated = self.is_repeated(now, &client_request);
        self.recent_names.insert(now, &client_request.name);
        if is_full || is_repeated {
            let backoff_ms = self.settings.retry_after.map_or(DEFAULT_BACKOFF_MS, from_micros);
            return self.respond_unaccepted(&client_request, is_repeated, backoff_ms);
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
            may_have_run: false,
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
