//! The leader's part of a rollout: it answers the members' polls and proposes commands for the replicated log.
//!
//! The leader's state is volatile, and a newly elected leader starts without any. Safety depends only on the replicated
//! log and on the members' own clocks. All times are in milliseconds.

use super::message::{LeaseGrant, LeaseKind, PollRequest, PollResponse, ProposedChange};
use super::progress::RolloutProgress;
use super::state::{Command, RolloutState, MAX_MEMBERS};
use super::{InjectedBug, PolicyTimings, Version};
use beamgap_fleet_types::{is_valid_name, MemberId};
use std::collections::BTreeMap;

/// Interval in milliseconds between a member's polls while a change is pending or the member has yet to activate the
/// granted version.
const POLL_INTERVAL_DURING_ROLLOUT_MS: f64 = 30.0;
/// Interval between a member's polls while the member has not joined or its removal is proposed, in milliseconds.
const POLL_INTERVAL_UNTIL_JOINED_MS: f64 = 20.0;
/// Number of polls that a member sends per length of a long lease while no change is pending.
const POLLS_PER_LEASE: f64 = 6.0;
/// A member is removed after this many times the expiry time of a long lease without a poll.
const LEASES_UNTIL_REMOVED: f64 = 12.0;
/// Delay before a member's join or removal is proposed again, in milliseconds.
const MEMBERSHIP_RETRY_MS: f64 = 500.0;

/// A member's status as of its last poll.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// When the leader received the poll, in milliseconds.
    pub polled_at: f64,
    /// Version of the policy that the member had activated, if any.
    pub version: Option<Version>,
    /// Kind of the member's latest lease, if any.
    pub lease_kind: Option<LeaseKind>,
    /// Why the member admitted no requests; `None` if it admitted requests.
    pub blocked_reason: Option<String>,
    /// The member's request counters, as text for operators.
    pub note: String,
}

/// The leader's state machine. Every voter has one, which is inactive while another voter leads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyLeader {
    leader_since: Option<f64>,
    progress: RolloutProgress,
    statuses: BTreeMap<MemberId, MemberStatus>,
    /// Members whose join is proposed but not yet applied, with the time of the last proposal.
    proposed_joins: BTreeMap<MemberId, f64>,
    /// Members whose removal is proposed, with the time of the last proposal. They are granted no leases, because the
    /// removal may be committed at any time.
    proposed_removals: BTreeMap<MemberId, f64>,
    injected_bug: InjectedBug,
}

impl PolicyLeader {
    /// Creates an inactive leader state machine with an injected bug, for tests.
    pub fn with_injected_bug(injected_bug: InjectedBug) -> PolicyLeader {
        PolicyLeader {
            injected_bug,
            ..PolicyLeader::default()
        }
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Starts or ends the leadership of this voter. Each transition discards all state except the injected bug.
    pub fn set_leadership(&mut self, now: f64, is_leader: bool) {
        if is_leader != self.is_leader() {
            *self = PolicyLeader::with_injected_bug(self.injected_bug);
            self.leader_since = is_leader.then_some(now);
        }
    }

    /// The last polls of members to this leader, including recent polls of members that have not joined yet.
    pub fn member_statuses(&self) -> &BTreeMap<MemberId, MemberStatus> {
        &self.statuses
    }

    /// Handles a member's poll. Returns the response and the commands to propose.
    ///
    /// `state` must contain every command that was committed before the poll arrived. With an older state, the leader
    /// could grant a lease for a version that has already been replaced.
    pub fn handle_poll(
        &mut self,
        now: f64,
        state: &RolloutState,
        request: &PollRequest,
    ) -> (PollResponse, Vec<Command>) {
        self.update_from_state(now, state);
        self.record_status(now, request);
        let member = &request.member;
        let timings = match state.timings {
            Some(timings) if state.members.contains_key(member) => timings,
            _ => {
                return (
                    response_without_lease(request),
                    self.propose_join(now, state, request),
                )
            }
        };
        self.proposed_joins.remove(member);
        if self.proposed_removals.contains_key(member) {
            return (response_without_lease(request), Vec::new());
        }
        if let Some(pending) = &state.pending {
            self.progress.record_poll(pending, request);
        }
        let response = self.response(state, timings, request);
        (response, self.next_commands(now, state))
    }

    /// Handles the passing of time. Returns the commands to propose.
    pub fn tick(&mut self, now: f64, state: &RolloutState) -> Vec<Command> {
        self.update_from_state(now, state);
        self.next_commands(now, state)
    }

    /// Records the status of a polling member. Members that have not joined yet are recorded too, so that a member is
    /// not considered unreachable between its join and its next poll.
    fn record_status(&mut self, now: f64, request: &PollRequest) {
        if !is_valid_name(&request.member.name) || self.statuses.len() >= 2 * MAX_MEMBERS {
            return;
        }
        let status = MemberStatus {
            polled_at: now,
            version: request.version,
            lease_kind: request.lease_kind.clone(),
            blocked_reason: request.blocked_reason.clone(),
            note: request.note.clone(),
        };
        self.statuses.insert(request.member.clone(), status);
    }

    fn propose_join(
        &mut self,
        now: f64,
        state: &RolloutState,
        request: &PollRequest,
    ) -> Vec<Command> {
        let member = &request.member;
        let is_proposed = self
            .proposed_joins
            .get(member)
            .is_some_and(|at| now - at < MEMBERSHIP_RETRY_MS);
        if is_proposed || !is_valid_name(&member.name) || state.timings.is_none() {
            return Vec::new();
        }
        self.proposed_joins.insert(member.clone(), now);
        vec![Command::Join {
            member: member.clone(),
            format_version: request.format_version,
        }]
    }

    fn response(
        &self,
        state: &RolloutState,
        timings: PolicyTimings,
        request: &PollRequest,
    ) -> PollResponse {
        let grant = self.grant(state, timings, request);
        // A member that still has to activate the granted version polls at the short interval, because the operator's
        // command waits until the member reports the new version.
        let polls_often = state.pending.is_some() || request.version != Some(grant.version);
        let poll_again_after_ms = if polls_often {
            POLL_INTERVAL_DURING_ROLLOUT_MS
        } else {
            timings.lease_ms / POLLS_PER_LEASE
        };
        PollResponse {
            sequence: request.sequence,
            grant: Some(grant),
            validate: self.change_to_validate(state, &request.member),
            poll_again_after_ms,
        }
    }

    fn change_to_validate(
        &self,
        state: &RolloutState,
        member: &MemberId,
    ) -> Option<ProposedChange> {
        let pending = state.pending.as_ref()?;
        if pending.committed || self.progress.has_validated(member) {
            return None;
        }
        Some(ProposedChange {
            id: pending.id.clone(),
            policy_text: pending.policy_text.clone(),
        })
    }

    fn grant(
        &self,
        state: &RolloutState,
        timings: PolicyTimings,
        request: &PollRequest,
    ) -> LeaseGrant {
        let committed = state.pending.as_ref().filter(|pending| pending.committed);
        let mut version = state.version();
        let mut text = state.policy_text();
        let (mut length_ms, kind) = match committed {
            Some(pending) => (
                timings.short_lease_ms(),
                LeaseKind::Short(pending.id.clone()),
            ),
            None => (timings.lease_ms, LeaseKind::Long),
        };
        match (self.injected_bug, &state.pending) {
            (InjectedBug::EarlyActivation, Some(pending)) => {
                version += 1;
                text = &pending.policy_text;
            }
            (InjectedBug::NoWait, Some(_)) => length_ms = timings.lease_ms,
            _ => {}
        }
        let has_version = request.version == Some(version);
        let policy_text = if has_version {
            None
        } else {
            Some(text.to_owned())
        };
        LeaseGrant {
            version,
            length_ms,
            kind,
            max_drift: timings.max_drift,
            policy_text,
        }
    }

    /// Updates the leader's view from the replicated state.
    fn update_from_state(&mut self, now: f64, state: &RolloutState) {
        self.proposed_removals
            .retain(|member, _| state.members.contains_key(member));
        // Statuses of processes that poll but never join are discarded, so that they can't accumulate.
        let lease_ms = state.timings.map_or(0.0, |timings| timings.lease_ms);
        self.statuses.retain(|member, status| {
            state.members.contains_key(member) || now - status.polled_at <= lease_ms
        });
        self.progress.track(now, state.pending.as_ref());
    }

    fn next_commands(&mut self, now: f64, state: &RolloutState) -> Vec<Command> {
        let (Some(leader_since), Some(timings)) = (self.leader_since, state.timings) else {
            return Vec::new();
        };
        let mut commands = self.propose_removals(now, leader_since, state, timings);
        let step = self
            .progress
            .next_step(now, state, timings, self.injected_bug);
        commands.extend(step);
        commands
    }

    /// Proposes to remove members that have not polled for so long that every lease granted to them, by this or an
    /// earlier leader, has expired.
    fn propose_removals(
        &mut self,
        now: f64,
        leader_since: f64,
        state: &RolloutState,
        timings: PolicyTimings,
    ) -> Vec<Command> {
        let silence_ms = LEASES_UNTIL_REMOVED * timings.long_leases_expired_after_ms();
        if now - leader_since <= silence_ms || state.pending.is_some() {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for member in state.members.keys() {
            let status = self.statuses.get(member);
            let is_unreachable = status.is_none_or(|status| now - status.polled_at > silence_ms);
            let is_proposed = self
                .proposed_removals
                .get(member)
                .is_some_and(|at| now - at <= MEMBERSHIP_RETRY_MS);
            if is_unreachable && !is_proposed {
                self.proposed_removals.insert(member.clone(), now);
                commands.push(Command::Leave {
                    member: member.clone(),
                });
            }
        }
        commands
    }
}

fn response_without_lease(request: &PollRequest) -> PollResponse {
    PollResponse {
        sequence: request.sequence,
        grant: None,
        validate: None,
        poll_again_after_ms: POLL_INTERVAL_UNTIL_JOINED_MS,
    }
}
