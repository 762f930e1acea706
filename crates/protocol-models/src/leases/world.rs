//! The state of the lease model: replicated state, leader, members, messages in flight, and the actions that reached the
//! target, the external system on which tasks act.

use beamgap_fleet_types::MemberId;
use beamgap_leases::{Command, FencingToken, LeaseHolder, LeaseLeader, PollRequest, PollResponse, State};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Largest number of proposed, uncommitted commands; further proposals are dropped, which bounds the search.
const MAX_PROPOSED: usize = 2;

/// Identifies one step of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// Name of the task.
    pub task: String,
    /// Number of the run of this task.
    pub run: u64,
    /// Index of the step within the run.
    pub step: u32,
}

/// An action on the target that a member has started after checking its lease, and that has not reached the target yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingAction {
    pub(super) member: usize,
    pub(super) key: StepKey,
    pub(super) token: FencingToken,
    pub(super) checked_at: u64,
}

/// A poll request in flight, with the reading of the member's clock when the request was sent.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SentRequest {
    pub(super) sent_at: f64,
    pub(super) request: PollRequest,
}

/// A poll response in flight, with the reading of the member's clock when the request was sent.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SentResponse {
    pub(super) sent_at: f64,
    pub(super) response: PollResponse,
}

/// The task and the holder of the lease to which a fencing token was assigned.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TokenOwner {
    task: String,
    holder: MemberId,
}

/// A state of the lease model.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Current time, in ticks since the start.
    pub now: u64,
    /// The replicated state after all committed commands.
    pub state: State,
    pub(super) leader: LeaseLeader,
    pub(super) proposed: Vec<Command>,
    pub(super) members: Vec<LeaseHolder>,
    pub(super) requests: Vec<Option<SentRequest>>,
    pub(super) responses: Vec<Option<SentResponse>>,
    pub(super) incarnations: Vec<u64>,
    pub(super) pending_actions: Vec<PendingAction>,
    /// The highest fencing token that the target has received, by task.
    pub(super) highest_tokens: BTreeMap<String, FencingToken>,
    /// How many times each step was executed at the target.
    pub executions: BTreeMap<StepKey, u8>,
    pub(super) elections: u8,
    pub(super) restarts: u8,
    pub(super) drains: u8,
    pub(super) redefinitions: u8,
    pub(super) token_owners: BTreeMap<FencingToken, TokenOwner>,
    /// Whether the target executed an action with an older fencing token after an action with a newer token.
    pub target_saw_older_token: bool,
    /// Whether two leases had the same fencing token.
    pub token_was_shared: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The state contains floating-point times, which don't implement `Hash`, so the `Debug` text is hashed instead.
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
            redefinitions: 0,
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

    /// Whether a pending action can't reach the target yet, because member 0 is paused for `pause_ticks` ticks between
    /// checking its lease and performing the action.
    pub(super) fn is_action_paused(&self, index: usize, pause_ticks: u64) -> bool {
        let action = &self.pending_actions[index];
        action.member == 0 && self.now - action.checked_at < pause_ticks
    }

    /// Whether the member is paused between checking its lease and performing an action.
    pub(super) fn is_member_paused(&self, member: usize, pause_ticks: u64) -> bool {
        member == 0 && (0..self.pending_actions.len()).any(|index| self.is_action_paused(index, pause_ticks))
    }

    /// Adds commands to the uncommitted proposals; duplicates and commands above [`MAX_PROPOSED`] are dropped.
    pub(super) fn propose(&mut self, commands: Vec<Command>) {
        for command in commands {
            if self.proposed.len() < MAX_PROPOSED && !self.proposed.contains(&command) {
                self.proposed.push(command);
            }
        }
    }

    /// Records the lease of each fencing token, and whether another lease already had the same token.
    pub(super) fn record_token_owners(&mut self) {
        for task in self.state.tasks.values() {
            let Some(lease) = &task.lease else { continue };
            let owner = TokenOwner { task: task.spec.name.clone(), holder: lease.holder.clone() };
            let first_owner = self.token_owners.entry(lease.token).or_insert_with(|| owner.clone());
            self.token_was_shared |= *first_owner != owner;
        }
    }
}
