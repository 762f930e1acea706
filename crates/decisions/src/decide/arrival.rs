//! Arrival of a request: its cost is estimated and recorded, it joins the queue of its ordering
//! key, and it is dispatched.

use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::{Action, Request};

/// Maximum number of queued requests with the same ordering key. Such requests run one at a time,
/// so the last ones in a longer queue would miss their deadlines.
const MAX_REQUESTS_PER_KEY: usize = 256;

impl Gateway {
    pub(super) fn request_arrived(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        request.class.0 = request.class.0.min(self.settings.classes.len() - 1);
        self.retries.request_arrived(self.clock.now);
        let over_quota = self.count_tenant(request.tenant.as_deref());
        let sequence = self.requests.assign_sequence(&request.id);
        let mut request = TrackedRequest::new(request, self.clock.now);
        request.over_quota = over_quota;
        let estimate = self.estimate(&request);
        request.work_ms = estimate.work_ms;
        request.memory_mb = estimate.memory_mb;
        self.costs
            .class_mut(request.request.class.0)
            .requested_work_ms += request.work_ms;
        self.admission
            .costs
            .count(self.cost(&request), request.work_ms);
        let queue_length = self.join_key_queue(sequence, &request);
        self.count_group(request.request.table_group);
        self.requests.insert(sequence, request);
        if queue_length > MAX_REQUESTS_PER_KEY {
            self.reject_or_fail(sequence, actions);
        } else {
            self.dispatch(sequence, actions);
        }
    }
}
