//! The leading voter's part: it answers members, and proposes what is to be committed next.
//!
//! All of its state is volatile: a new leader begins with none. Safety rests on the replicated log and on the members'
//! own clocks alone. All times are in milliseconds.

use super::message::{LeaseGrant, LeaseKind, PollRequest, PollResponse, ProposedChange};
use super::progress::RolloutProgress;
use super::state::{Command, RolloutState, MAX_MEMBERS};
use super::{InjectedBug, PolicyTimings, Version};
use beamgap_fleet_types::{is_valid_name, MemberId};
use std::collections::BTreeMap;

/// Pause between a member's polls while a change is under way, in milliseconds.
const POLL_INTERVAL_DURING_ROLLOUT_MS: f64 = 30.0;
/// Pause between a member's polls until it has joined, in milliseconds.
const POLL_INTERVAL_UNTIL_JOINED_MS: f64 = 20.0;
/// Polls of a member within the length of a long lease while no change is under way.
const POLLS_PER_LEASE: f64 = 6.0;
/// A member that was silent for so many lengths of a lease is removed.
const LEASES_UNTIL_REMOVED: f64 = 12.0;
/// Pause before a member's join or removal is proposed again, in milliseconds.
const MEMBERSHIP_RETRY_MS: f64 = 500.0;

/// A member as of its last poll.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// When it polled.
    pub polled_at: f64,
    /// The version that it has.
    pub version: Option<Version>,
    /// The kind of its lease.
    pub lease_kind: Option<LeaseKind>,
    /// Why it admits no request, if so.
    pub blocked_reason: Option<String>,
    /// Its note for operators.
    pub note: String,
}

/// The state machine of the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyLeader {
    leads_since: Option<f64>,
    progress: RolloutProgress,
    statuses: BTreeMap<MemberId, MemberStatus>,
    /// Members whose join was proposed and is not applied yet, with the time of that.
    joining: BTreeMap<MemberId, f64>,
    /// Members whose removal was proposed: they are granted nothing, since it may be committed at any moment.
    leaving: BTreeMap<MemberId, f64>,
    injected_bug: InjectedBug,
}

impl PolicyLeader {
    /// One that does not lead yet, with a bug injected for tests.
    pub fn with_injected_bug(injected_bug: InjectedBug) -> PolicyLeader {
        PolicyLeader {
            injected_bug,
            ..PolicyLeader::default()
        }
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.leads_since.is_some()
    }

    /// It leads from now on, or no more. All that it knew is dropped.
    pub fn set_leadership(&mut self, now: f64, is_leader: bool) {
        if is_leader != self.is_leader() {
            *self = PolicyLeader::with_injected_bug(self.injected_bug);
            self.leads_since = is_leader.then_some(now);
        }
    }

    /// Members as of their last polls.
    pub fn member_statuses(&self) -> &BTreeMap<MemberId, MemberStatus> {
        &self.statuses
    }

    /// Answers a member's poll, with commands to propose. The state must be one that was committed after the poll came.
    pub fn handle_poll(
        &mut self,
        now: f64,
        state: &RolloutState,
        request: &PollRequest,
    ) -> (PollResponse, Vec<Command>) {
        self.observe(now, state);
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
        self.joining.remove(member);
        if self.leaving.contains_key(member) {
            return (response_without_lease(request), Vec::new());
        }
        if let Some(pending) = &state.pending {
            self.progress.record_poll(pending, request);
        }
        let response = self.response(state, timings, request);
        (response, self.next_commands(now, state))
    }

    /// Time passes: what is to be committed next.
    pub fn tick(&mut self, now: f64, state: &RolloutState) -> Vec<Command> {
        self.observe(now, state);
        self.next_commands(now, state)
    }

    /// Remembers when this member polled, also before it has joined: it must not be taken for lost between its joining
    /// and its next poll.
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
            .joining
            .get(member)
            .is_some_and(|at| now - at < MEMBERSHIP_RETRY_MS);
        if is_proposed || !is_valid_name(&member.name) || state.timings.is_none() {
            return Vec::new();
        }
        self.joining.insert(member.clone(), now);
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
        // A member that activates another version is to poll soon: that is what the operator's command waits for.
        let is_busy = state.pending.is_some() || request.version != Some(grant.version);
        let poll_again_after_ms = if is_busy {
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

    /// Follows the replicated state.
    fn observe(&mut self, now: f64, state: &RolloutState) {
        self.leaving
            .retain(|member, _| state.members.contains_key(member));
        // Polls from those that never joined are forgotten, so that strangers leave no trace.
        let lease_ms = state.timings.map_or(0.0, |timings| timings.lease_ms);
        self.statuses.retain(|member, status| {
            state.members.contains_key(member) || now - status.polled_at <= lease_ms
        });
        self.progress.track(now, state.pending.as_ref());
    }

    fn next_commands(&mut self, now: f64, state: &RolloutState) -> Vec<Command> {
        let (Some(leads_since), Some(timings)) = (self.leads_since, state.timings) else {
            return Vec::new();
        };
        let mut commands = self.propose_removals(now, leads_since, state, timings);
        let step = self
            .progress
            .next_step(now, state, timings, self.injected_bug);
        commands.extend(step);
        commands
    }

    /// A member that was silent for many lengths of a lease holds none, whichever leader granted it.
    fn propose_removals(
        &mut self,
        now: f64,
        leads_since: f64,
        state: &RolloutState,
        timings: PolicyTimings,
    ) -> Vec<Command> {
        let silence_ms = LEASES_UNTIL_REMOVED * timings.long_leases_expired_after_ms();
        if now - leads_since <= silence_ms || state.pending.is_some() {
            return Vec::new();
        }
        let mut commands = Vec::new();
        for member in state.members.keys() {
            let status = self.statuses.get(member);
            let is_lost = status.is_none_or(|status| now - status.polled_at > silence_ms);
            let is_proposed = self
                .leaving
                .get(member)
                .is_some_and(|at| now - at <= MEMBERSHIP_RETRY_MS);
            if is_lost && !is_proposed {
                self.leaving.insert(member.clone(), now);
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
