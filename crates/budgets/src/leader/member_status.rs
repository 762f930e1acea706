//! What the leader keeps of one member.

use super::division::StatedHoldings;
use crate::message::{Epoch, PollRequest};
use crate::BudgetTimings;

/// What the leader keeps of a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct MemberStatus {
    pub(super) last_sequence: u64,
    pub(super) last_poll_at: f64,
    pub(super) zone: String,
    pub(super) draining: bool,
    /// The epoch in which it has stated all its holdings.
    pub(super) stated_in: Option<Epoch>,
    /// The request whose response it holds by.
    pub(super) applied_sequence: u64,
    /// The request that was answered last.
    pub(super) answered_sequence: u64,
}

impl MemberStatus {
    /// Whether it has polled recently enough to hold something, and is not draining.
    pub(super) fn is_present(&self, now: f64, timings: &BudgetTimings) -> bool {
        !self.draining && now - self.last_poll_at < timings.share_ms
    }

    pub(super) fn record_poll(&mut self, now: f64, request: &PollRequest) {
        self.last_sequence = request.sequence;
        self.last_poll_at = now;
        self.draining = request.draining;
        self.zone.clone_from(&request.zone);
    }

    /// Records what the member has applied, and that its request is about to be answered.
    pub(super) fn record_statement(
        &mut self,
        epoch: Epoch,
        sequence: u64,
        stated: &StatedHoldings,
    ) {
        match stated {
            StatedHoldings::Complete(_) => {
                self.stated_in = Some(epoch);
                self.applied_sequence = 0;
            }
            StatedHoldings::LastResponseApplied => self.applied_sequence = self.answered_sequence,
            StatedHoldings::LastResponseMissed => {}
        }
        self.answered_sequence = sequence;
    }
}
