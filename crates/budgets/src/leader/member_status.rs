//! The leader's record of one member's polls.

use super::division::StatedHoldings;
use crate::message::{Epoch, PollRequest};
use crate::BudgetTimings;

/// The leader's record of a member's polls, except the shares and demands, which are recorded for each budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct MemberStatus {
    pub(super) last_sequence: u64,
    pub(super) last_poll_at: f64,
    pub(super) zone: String,
    pub(super) draining: bool,
    /// The epoch for which the member has last sent a full statement of its holdings.
    pub(super) stated_in: Option<Epoch>,
    /// Sequence number of the request whose response the member has applied; 0 after a full statement.
    pub(super) applied_sequence: u64,
    /// Sequence number of the request that was answered last.
    pub(super) answered_sequence: u64,
}

impl MemberStatus {
    /// Whether the member is not draining and has polled within the lifetime of a share, so that it may hold shares.
    pub(super) fn is_present(&self, now: f64, timings: &BudgetTimings) -> bool {
        !self.draining && now - self.last_poll_at < timings.share_ms
    }

    pub(super) fn record_poll(&mut self, now: f64, request: &PollRequest) {
        self.last_sequence = request.sequence;
        self.last_poll_at = now;
        self.draining = request.draining;
        self.zone.clone_from(&request.zone);
    }

    /// Records which response the member has applied, and that the request with this sequence number is being answered.
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
