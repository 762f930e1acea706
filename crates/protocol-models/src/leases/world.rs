//! The state of the model: replicated state, leader, members, messages, and what the target has seen.

use beamgap_fleet_types::MemberId;
use beamgap_leases::{Command, FencingToken, LeaseHolder, LeaseLeader, PollRequest, PollResponse, State};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Largest number of proposed commands that are not committed yet.
const MAX_PROPOSED: usize = 2;

/// A step of a run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// The step.
    pub step: u32,
}

/// An action whose permit was checked, and which has not reached the target.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingAction {
    pub(super) member: usize,
    pub(super) key: StepKey,
    pub(super) token: FencingToken,
    pub(super) checked_at: u64,
}

/// A request, and when it was sent by the member's clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SentRequest {
    pub(super) sent_at: f64,
    pub(super) request: PollRequest,
}

/// A response, and when its request was sent by the member's clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SentResponse {
    pub(super) sent_at: f64,
    pub(super) response: PollResponse,
}

/// The lease that a token belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TokenOwner {
    task: String,
    holder: MemberId,
}

/// Everything.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Ticks that have passed.
    pub now: u64,
    /// The committed commands, applied.
    pub state: State,
    pub(super) leader: LeaseLeader,
    pub(super) proposed: Vec<Command>,
    pub(super) members: Vec<LeaseHolder>,
    pub(super) requests: Vec<Option<SentRequest>>,
    pub(super) responses: Vec<Option<SentResponse>>,
    pub(super) incarnations: Vec<u64>,
    pub(super) pending_actions: Vec<PendingAction>,
    /// The highest token that the target has seen, by task.
    pub(super) highest_tokens: BTreeMap<String, FencingToken>,
    /// How often each step ran at the target.
    pub executions: BTreeMap<StepKey, u8>,
    pub(super) elections: u8,
    pub(super) restarts: u8,
    pub(super) drains: u8,
    pub(super) token_owners: BTreeMap<FencingToken, TokenOwner>,
    /// Whether the target took an action with an older token after one with a newer token.
    pub target_saw_older_token: bool,
    /// Whether two leases had the same token.
    pub token_was_shared: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Its parts hold times as floating-point numbers, which have no hash; their text tells them apart.
        format!("{self:?}").hash(state);
    }
}

pub(super) fn member_id(member: usize, incarnation: u64) -> MemberId {
    MemberId::new(format!("m{member}"), incarnation)
}

impl World {
    pub(super) fn new(state: State, leader: LeaseLeader, members: Vec<LeaseHolder>) -> World {
        World {
            now: 0,
            state,
            leader,
            proposed: Vec::new(),
            requests: vec![None; members.len()],
            responses: vec![None; members.len()],
            incarnations: vec![0; members.len()],
            members,
            pending_actions: Vec::new(),
            highest_tokens: BTreeMap::new(),
            executions: BTreeMap::new(),
            elections: 0,
            restarts: 0,
            drains: 0,
            token_owners: BTreeMap::new(),
            target_saw_older_token: false,
            token_was_shared: false,
        }
    }

    pub(super) fn has_request(&self, member: usize) -> bool {
        self.requests[member].is_some()
    }

    pub(super) fn has_response(&self, member: usize) -> bool {
        self.responses[member].is_some()
    }

    /// Whether a pending action can't reach the target yet, as member 0 stands still for so many ticks.
    pub(super) fn is_paused(&self, index: usize, pause_ticks: u64) -> bool {
        let action = &self.pending_actions[index];
        action.member == 0 && self.now - action.checked_at < pause_ticks
    }

    /// Whether the member stands still before an action.
    pub(super) fn stands_still(&self, member: usize, pause_ticks: u64) -> bool {
        member == 0 && (0..self.pending_actions.len()).any(|index| self.is_paused(index, pause_ticks))
    }

    /// Proposes commands, as far as they are new and fit in.
    pub(super) fn propose(&mut self, commands: Vec<Command>) {
        for command in commands {
            if self.proposed.len() < MAX_PROPOSED && !self.proposed.contains(&command) {
                self.proposed.push(command);
            }
        }
    }

    /// Notes whose each token is, and whether it was another's before.
    pub(super) fn note_token_owners(&mut self) {
        for task in self.state.tasks.values() {
            let Some(lease) = &task.lease else { continue };
            let owner = TokenOwner { task: task.spec.name.clone(), holder: lease.holder.clone() };
            let first_owner = self.token_owners.entry(lease.token).or_insert_with(|| owner.clone());
            self.token_was_shared |= *first_owner != owner;
        }
    }
}
