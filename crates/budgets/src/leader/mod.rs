//! The leader's part of the protocol: tracks the holdings and demand of each member, and moves shares among members.
//!
//! A member's poll names the last response that the member has applied. From this the leader
//! derives the member's holdings in all budgets, so that a poll stays small with many budgets.
//! If the leader can't derive the holdings, as after a change of leaders, it requests a full
//! statement. All times are in milliseconds of the leader's own monotonic clock.

mod division;
mod member_status;

use crate::message::{AppliedResponse, BudgetStatus, DemandReport, Epoch, Holding};
use crate::message::{PollRequest, PollResponse, Position};
use crate::spec::BudgetSpec;
use crate::{BudgetTimings, InjectedBug};
use beamgap_fleet_types::{clock, MemberId};
use division::{BudgetDivision, ExpiryRules, Participant, StatedHoldings, MEMBER_RETENTION_LEASES};
use member_status::MemberStatus;
use std::collections::BTreeMap;

/// Delay in milliseconds that the leader requests before a member's next poll while shares are being moved.
const MOVING_POLL_INTERVAL_MS: f64 = 40.0;
/// Minimum interval in milliseconds between two checks for expired shares by [`BudgetLeader::tick`].
const MIN_TICK_INTERVAL_MS: f64 = 20.0;
/// For this many milliseconds after the shares of a member that stopped polling have expired, each check for expired
/// shares triggers a new allocation. Several checks fall into this period, so that the expiry is not missed.
const SILENCE_NOTICE_MS: f64 = 60.0;
/// Multiplier for the count of leaderships, 2^64 divided by the golden ratio. It spreads consecutive counts over 64
/// bits, so that the epochs of one process differ.
const EPOCH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The state that the fleet has agreed on, as applied by the leader from the replicated log.
#[derive(Clone, Copy, Debug)]
pub struct AgreedState<'a> {
    /// The policy version that is in force in the fleet.
    pub version: u64,
    /// The budgets that this policy version defines.
    pub specs: &'a [BudgetSpec],
    /// The members that may hold shares. Only the keys of the map are used here.
    pub members: &'a BTreeMap<MemberId, u64>,
}

/// The leader of the fleet's budgets. Its records of members and shares are discarded when the leadership changes.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetLeader {
    seed: u64,
    leaderships: u64,
    leader_since: Option<f64>,
    epoch: Epoch,
    timings: BudgetTimings,
    version: Option<u64>,
    members: BTreeMap<MemberId, MemberStatus>,
    divisions: BTreeMap<String, BudgetDivision>,
    expired_at: f64,
    injected_bug: InjectedBug,
}

impl BudgetLeader {
    /// Creates an instance that does not hold the leadership yet. The seed determines
    /// the epochs and must differ from that of every other process in the fleet.
    pub fn new(seed: u64, timings: BudgetTimings, injected_bug: InjectedBug) -> BudgetLeader {
        BudgetLeader {
            seed,
            leaderships: 0,
            leader_since: None,
            epoch: Epoch {
                leadership: seed,
                restatement: 0,
            },
            timings,
            version: None,
            members: BTreeMap::new(),
            divisions: BTreeMap::new(),
            expired_at: f64::NEG_INFINITY,
            injected_bug,
        }
    }

    /// Records at time `now`, in milliseconds, that this process has gained or lost the leadership.
    pub fn set_leadership(&mut self, now: f64, is_leader: bool) {
        if is_leader == self.is_leader() {
            return;
        }
        let leaderships = self.leaderships + 1;
        *self = BudgetLeader {
            leaderships,
            leader_since: is_leader.then_some(now),
            epoch: Epoch {
                leadership: self.seed ^ leaderships.wrapping_mul(EPOCH_MULTIPLIER),
                restatement: 0,
            },
            ..BudgetLeader::new(self.seed, self.timings, self.injected_bug)
        };
    }

    /// Whether this process holds the leadership.
    pub fn is_leader(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Sets the fleet's timings. Expiry times recorded earlier are unchanged.
    pub fn set_timings(&mut self, timings: BudgetTimings) {
        self.timings = timings;
    }

    /// Frees shares that have expired by `now`, in milliseconds. The caller calls this periodically.
    pub fn tick(&mut self, now: f64, agreed: &AgreedState<'_>) {
        let is_early = now - self.expired_at < MIN_TICK_INTERVAL_MS;
        if !self.is_leader() || (is_early && self.version == Some(agreed.version)) {
            return;
        }
        self.apply_version(now, agreed);
        self.expire(now, agreed.members);
    }

    /// Handles a member's poll and returns the response. The caller must read
    /// `agreed` from the replicated state after the request has arrived.
    pub fn handle_poll(
        &mut self,
        now: f64,
        agreed: &AgreedState<'_>,
        request: &PollRequest,
    ) -> PollResponse {
        self.apply_version(now, agreed);
        if !self.is_leader() || !agreed.members.contains_key(&request.member) {
            return PollResponse::default();
        }
        let Some(stated) = self.accept_poll(now, agreed.version, request) else {
            return PollResponse {
                epoch: self.epoch,
                sequence: request.sequence,
                ..PollResponse::default()
            };
        };
        let is_complete = matches!(stated, StatedHoldings::Complete(_));
        self.renew(now, request, &stated);
        self.expire(now, agreed.members);
        self.allocate(now, &request.member);
        self.respond(now, request, is_complete)
    }

    /// The division of every budget among the members, as shown to operators.
    pub fn status(&self) -> Vec<BudgetStatus> {
        self.divisions
            .values()
            .map(BudgetDivision::status)
            .collect()
    }

    fn expiry_rules(&self) -> ExpiryRules {
        ExpiryRules {
            timings: self.timings,
            injected_bug: self.injected_bug,
        }
    }

    /// Applies the budgets of the policy version in force. If a budget is new or incompatible with its previous
    /// version, a new epoch begins, so that all members state their holdings again.
    fn apply_version(&mut self, now: f64, agreed: &AgreedState<'_>) {
        if self.version == Some(agreed.version) {
            return;
        }
        // Earlier leaders granted shares until this leadership began. Under
        // a later version, this leader may have granted shares until now.
        let granted_until = match self.version {
            None => self.leader_since.unwrap_or(now),
            Some(_) => now,
        };
        let rules = self.expiry_rules();
        let mut earlier = std::mem::take(&mut self.divisions);
        let mut has_new_division = false;
        for spec in agreed.specs {
            let existing = earlier.remove(&spec.name);
            let has_existing = existing.is_some();
            let compatible = existing.filter(|division| division.is_compatible_with(spec));
            let division = if let Some(mut division) = compatible {
                division.set_spec(spec);
                division
            } else {
                has_new_division = true;
                BudgetDivision::new(spec, granted_until, has_existing, &rules)
            };
            self.divisions.insert(spec.name.clone(), division);
        }
        if has_new_division && self.version.is_some() {
            self.epoch.restatement += 1;
        }
        self.version = Some(agreed.version);
    }

    /// Records a poll. Returns `None` if the poll is out of order, if it was sent under
    /// another policy version, or if it does not determine the member's holdings.
    fn accept_poll(
        &mut self,
        now: f64,
        version: u64,
        request: &PollRequest,
    ) -> Option<StatedHoldings> {
        let member = self.members.entry(request.member.clone()).or_default();
        if request.sequence <= member.last_sequence {
            // The poll is late or duplicated. The member ignores the response to it, and its content is outdated.
            return None;
        }
        member.record_poll(now, request);
        if request.version != version {
            // Under another policy version, the member's shares may refer to incompatible budgets of the same names.
            return None;
        }
        let stated = self.stated_holdings(request)?;
        let member = self.members.get_mut(&request.member)?;
        member.record_statement(self.epoch, request.sequence, &stated);
        Some(stated)
    }

    fn stated_holdings(&mut self, request: &PollRequest) -> Option<StatedHoldings> {
        match (&request.full_statement, request.applied) {
            (Some(statement), _) if statement.epoch == self.epoch => {
                let by_budget = |holding: &Holding| (holding.budget.clone(), holding.clone());
                Some(StatedHoldings::Complete(
                    statement.holdings.iter().map(by_budget).collect(),
                ))
            }
            (None, Some(applied)) if applied.epoch == self.epoch => {
                self.holdings_by_response(&request.member, applied)
            }
            _ => None,
        }
    }

    /// Derives a member's holdings from the last response that the member has applied.
    fn holdings_by_response(
        &mut self,
        id: &MemberId,
        applied: AppliedResponse,
    ) -> Option<StatedHoldings> {
        let member = self.members.get_mut(id)?;
        if member.stated_in != Some(self.epoch) {
            return None;
        }
        if !self
            .divisions
            .values()
            .all(|division| division.has_entry(id))
        {
            // The member was silent until its entry in a ledger expired. It has to
            // send a full statement, which says that it holds nothing any more.
            member.stated_in = None;
            return None;
        }
        if applied.sequence == member.answered_sequence {
            Some(StatedHoldings::LastResponseApplied)
        } else if applied.sequence == member.applied_sequence {
            Some(StatedHoldings::LastResponseMissed)
        } else {
            None
        }
    }

    /// Records a member's holdings and demands. In a poll with a
    /// full statement, a budget without a report has no demand.
    fn renew(&mut self, now: f64, request: &PollRequest, stated: &StatedHoldings) {
        let rules = self.expiry_rules();
        let is_complete = matches!(stated, StatedHoldings::Complete(_));
        let no_demand = DemandReport::default();
        // If a request contains two reports for one budget, the last one is used.
        let reports: BTreeMap<&str, &DemandReport> = request
            .demands
            .iter()
            .map(|report| (report.budget.as_str(), report))
            .collect();
        for (name, division) in &mut self.divisions {
            division.renew(now, &request.member, stated, &rules);
            let report = reports.get(name.as_str()).copied();
            if let Some(report) = report.or(is_complete.then_some(&no_demand)) {
                division.set_demand(&request.member, report);
            }
        }
    }

    /// Frees expired shares and removes the status of members that have left the fleet.
    fn expire(&mut self, now: f64, agreed_members: &BTreeMap<MemberId, u64>) {
        self.expired_at = now;
        let all_have_stated = agreed_members.keys().all(|member| self.has_stated(member));
        for division in self.divisions.values_mut() {
            division.expire(now, all_have_stated);
        }
        let lease_ms =
            clock::expired_everywhere_after(self.timings.floor_ms, self.timings.max_drift);
        let retention_ms = lease_ms * MEMBER_RETENTION_LEASES;
        self.members.retain(|id, member| {
            agreed_members.contains_key(id) || now - member.last_poll_at < retention_ms
        });
        if self.has_newly_silent_member(now) {
            for division in self.divisions.values_mut() {
                division.request_allocation();
            }
        }
    }

    fn has_stated(&self, member: &MemberId) -> bool {
        let status = self.members.get(member);
        status.is_some_and(|member| member.stated_in == Some(self.epoch))
    }

    fn has_newly_silent_member(&self, now: f64) -> bool {
        let share_ms = self.timings.share_ms;
        let is_newly_silent = |member: &MemberStatus| {
            let silent_for = now - member.last_poll_at;
            silent_for >= share_ms && silent_for < share_ms + SILENCE_NOTICE_MS
        };
        self.members.values().any(is_newly_silent)
    }

    /// Recomputes the allocation of those budgets for which it is due.
    fn allocate(&mut self, now: f64, asker: &MemberId) {
        let members = &self.members;
        let takes_part = |member: &MemberStatus| {
            member.stated_in == Some(self.epoch) && member.is_present(now, &self.timings)
        };
        let participants: Vec<Participant<'_>> = members
            .iter()
            .filter(|(_, member)| takes_part(member))
            .map(|(id, member)| Participant {
                id,
                zone: &member.zone,
            })
            .collect();
        for division in self.divisions.values_mut() {
            if division.is_allocation_due(now, asker) {
                division.allocate(now, &participants, |member| members.contains_key(member));
            }
        }
    }

    /// Grants the polling member the free part of its target in each budget. A response to a full statement lists all
    /// holdings; any other response lists only those that change.
    fn respond(&mut self, now: f64, request: &PollRequest, is_complete: bool) -> PollResponse {
        let mut response = PollResponse {
            epoch: self.epoch,
            sequence: request.sequence,
            renewed: true,
            complete: is_complete,
            holdings: Vec::new(),
            timings: Some(self.timings),
            position: self.position(now, &request.member),
            poll_again_after_ms: None,
        };
        for division in self.divisions.values_mut() {
            let grant = division.grant(&request.member, request.draining, self.injected_bug);
            if is_complete || grant.is_changed {
                response.holdings.push(grant.holding);
            }
            if grant.is_moving {
                response.poll_again_after_ms = Some(MOVING_POLL_INTERVAL_MS);
            }
        }
        response
    }

    /// The polling member's position among the members that are present.
    fn position(&self, now: f64, asker: &MemberId) -> Position {
        let is_present = |member: &MemberStatus| member.is_present(now, &self.timings);
        let mut position = Position::default();
        for (id, member) in &self.members {
            if is_present(member) {
                position.members += 1;
                position.index += u64::from(id < asker);
            }
        }
        position
    }
}
