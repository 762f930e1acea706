//! Leases as a state machine: up to three members, two tasks, and clocks that drift apart within the allowed bound.
//!
//! The model runs the production code ([`LeaseLeader`], [`LeaseHolder`] and [`State`] of `crates/leases`). As in
//! [`crate::rollout`], a log to which a single leader commits replaces consensus. Messages are lost, delayed and
//! duplicated; leaders change; members crash, restart without state, and pause between checking the lease against the
//! clock and performing the action. Member 0's clock is as slow and the leaders' clocks are as fast as the drift bound
//! allows, the worst pair for the expiry of leases.
//!
//! The model leaves out the consensus protocol, durations below a tick, more than one request of a member in flight, and
//! clocks whose rate changes.
//!
//! [`LeaseHolder`]: beamgap_leases::LeaseHolder
//! [`LeaseLeader`]: beamgap_leases::LeaseLeader
//! [`State`]: beamgap_leases::State

mod steps;
mod world;

use beamgap_leases::{
    ClockBounds, Command, InjectedBug, LeaseHolder, LeaseLeader, OnUnknownOutcome, Outcome, Schedule, State,
    Task, TaskSpec,
};
use stateright::{Model, Property};
pub use world::World;

/// Length of a tick in milliseconds of real time; the clocks of members and leaders run slower or faster.
const TICK_MS: f64 = 1000.0;
/// Duration of a lease after its last renewal, in milliseconds.
const LEASE_MS: f64 = 3000.0;
/// Duration of a lease after a change of its definition, in milliseconds: the next change restores [`LEASE_MS`].
const SHORT_LEASE_MS: f64 = 1000.0;
/// Longest duration of one step of a task, in milliseconds.
const MAX_STEP_MS: f64 = 500.0;

/// A fault outside the production code: in the target, in the replicated state or in the settings of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The target executes actions without checking their fencing tokens.
    TargetIgnoresTokens,
    /// Each new leader assigns fencing tokens from the start again.
    TokensRestart,
    /// A step with an unknown outcome is run again, although the step must not run twice.
    UnknownStepsRepeat,
}

/// Parameters of the model: the injected bug, the size of the fleet and the limits of the search.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// The bug injected into the leader and the members.
    pub injected_bug: InjectedBug,
    /// The fault outside the leader and the members.
    pub fault: Fault,
    /// Number of members.
    pub member_count: usize,
    /// Number of tasks.
    pub task_count: usize,
    /// Number of ticks after which time no longer passes.
    pub ticks: u64,
    /// Largest number of elections of a new leader.
    pub max_elections: u8,
    /// Largest number of member restarts, over all members.
    pub max_restarts: u8,
    /// Largest number of graceful shutdowns, over all members.
    pub max_drains: u8,
    /// Largest number of changes of the length of all tasks' leases.
    pub max_redefinitions: u8,
    /// Whether the request, the response and its handling are also separate actions, so that messages are delayed or
    /// lost. A member without an action is cut off in either case.
    pub splits_polls: bool,
    /// Whether a message may be delivered more than once.
    pub duplicates_messages: bool,
    /// Shortest pause of member 0, in ticks, between checking its lease against the clock and performing the action.
    pub pause_ticks: u64,
}

/// An action of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Time advances by one tick.
    Tick,
    /// A member sends a poll request to the leader.
    SendRequest(usize),
    /// The leader answers the poll request of a member.
    Answer(usize),
    /// A member handles the leader's response.
    ReceiveResponse(usize),
    /// A request, the response and the member's handling of the response in one action, which lets random walks of limited
    /// length cover more polls.
    Renew(usize),
    /// A member proposes its pending commands to the leader.
    ProposeCommands(usize),
    /// A member checks by its clock that its lease of a task is valid, and starts an action on the target.
    CheckPermit {
        /// Index of the member.
        member: usize,
        /// Index of the task.
        task: usize,
    },
    /// A pending action reaches the target, possibly long after the member checked its lease.
    ReachTarget(usize),
    /// A proposed command is committed and applied to the replicated state.
    Commit(usize),
    /// The leader proposes the commands that are due.
    LeaderTick,
    /// Another voter becomes the leader; uncommitted commands are lost.
    Elect,
    /// A member begins a graceful shutdown.
    Drain(usize),
    /// An operator's change of the length of all tasks' leases is committed.
    Redefine,
    /// A member crashes and restarts with a new incarnation and without state.
    Restart(usize),
}

fn task_name(task: usize) -> String {
    format!("t{task}")
}

impl LeaseModel {
    fn clock_bounds() -> ClockBounds {
        ClockBounds::default()
    }

    /// The current reading of a member's clock, in milliseconds.
    fn member_clock(&self, world: &World, member: usize) -> f64 {
        let rate = if member == 0 { 1.0 - Self::clock_bounds().max_drift } else { 1.0 };
        world.now as f64 * TICK_MS * rate
    }

    /// The current reading of the leader's clock, in milliseconds.
    fn leader_clock(world: &World) -> f64 {
        world.now as f64 * TICK_MS * (1.0 + Self::clock_bounds().max_drift)
    }

    fn new_member(&self, member: usize, incarnation: u64) -> LeaseHolder {
        LeaseHolder::new(world::member_id(member, incarnation), "", self.injected_bug)
    }

    /// The command that defines all tasks with leases of this length.
    fn define_tasks(&self, lease_ms: f64) -> Command {
        let on_unknown = match self.fault {
            Fault::UnknownStepsRepeat => OnUnknownOutcome::Repeat,
            _ => OnUnknownOutcome::Skip,
        };
        let spec = |task| TaskSpec {
            lease_ms,
            step_count: 2,
            max_step_ms: MAX_STEP_MS,
            on_unknown,
            ..TaskSpec::new(&task_name(task), Schedule::OnDemand, "")
        };
        Command::DefineTasks((0..self.task_count).map(spec).collect())
    }

    /// The initial replicated state, in which the first run of each task has started.
    fn initial_state(&self) -> State {
        let mut state = State::default();
        state.apply(&self.define_tasks(LEASE_MS));
        for task in 0..self.task_count {
            state.apply(&Command::StartRun { task: task_name(task), run: 1, day: 0 });
        }
        state
    }

    /// Adds the candidate actions of one member.
    fn member_actions(&self, world: &World, member: usize, actions: &mut Vec<LeaseAction>) {
        if self.splits_polls {
            actions.push(LeaseAction::SendRequest(member));
        }
        if world.has_request(member) {
            actions.push(LeaseAction::Answer(member));
        }
        if world.has_response(member) {
            actions.push(LeaseAction::ReceiveResponse(member));
        }
        actions.push(LeaseAction::Renew(member));
        actions.push(LeaseAction::ProposeCommands(member));
        actions.extend((0..self.task_count).map(|task| LeaseAction::CheckPermit { member, task }));
        if world.drains < self.max_drains {
            actions.push(LeaseAction::Drain(member));
        }
        if world.restarts < self.max_restarts {
            actions.push(LeaseAction::Restart(member));
        }
    }

    /// Whether at most one member considers itself the holder of a task's lease.
    fn has_at_most_one_holder(&self, world: &World, task: usize) -> bool {
        let name = task_name(task);
        let holds = |member: &usize| {
            let now = self.member_clock(world, *member);
            world.members[*member].active_leases(now).any(|lease| lease.view.task == name)
        };
        (0..self.member_count).filter(holds).count() <= 1
    }
}

/// Whether a later holder completed a step of the task after a step with an unknown outcome.
fn continued_after_unknown_outcome(task: &Task) -> bool {
    let mut outcomes = task.history.iter().map(|record| &record.outcome);
    let has_unknown = outcomes.clone().any(|outcome| matches!(outcome, Outcome::Unknown(_)));
    has_unknown && outcomes.any(|outcome| *outcome == Outcome::Done)
}

impl Model for LeaseModel {
    type State = World;
    type Action = LeaseAction;

    fn init_states(&self) -> Vec<World> {
        let mut leader = LeaseLeader::new(Self::clock_bounds(), self.injected_bug);
        leader.set_leadership(0.0, true);
        let members = (0..self.member_count).map(|member| self.new_member(member, 0)).collect();
        vec![World::new(self.initial_state(), leader, members)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<LeaseAction>) {
        if world.now < self.ticks {
            actions.push(LeaseAction::Tick);
        }
        for member in 0..self.member_count {
            if !world.is_member_paused(member, self.pause_ticks) {
                self.member_actions(world, member, actions);
            }
        }
        let can_arrive = |index: &usize| !world.is_action_paused(*index, self.pause_ticks);
        actions.extend((0..world.pending_actions.len()).filter(can_arrive).map(LeaseAction::ReachTarget));
        actions.extend((0..world.proposed.len()).map(LeaseAction::Commit));
        actions.push(LeaseAction::LeaderTick);
        if world.elections < self.max_elections {
            actions.push(LeaseAction::Elect);
        }
        if world.redefinitions < self.max_redefinitions {
            actions.push(LeaseAction::Redefine);
        }
        // Random walks choose an action by its index in this list. Actions that change nothing are removed, since each
        // such action would shift the indices of the others.
        actions.retain(|action| self.next_state(world, *action).is_some());
    }

    fn next_state(&self, before: &World, action: LeaseAction) -> Option<World> {
        let mut world = before.clone();
        self.perform(&mut world, action)?;
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![
            Property::always("1: no two hold a lease", |model: &LeaseModel, world: &World| {
                (0..model.task_count).all(|task| model.has_at_most_one_holder(world, task))
            }),
            Property::always("1: tokens do not go back at the target", |_, world: &World| {
                !world.target_saw_older_token
            }),
            Property::always("1: a token is one lease's", |_, world: &World| !world.token_was_shared),
            Property::always("4: no step runs twice", |_, world: &World| {
                world.executions.values().all(|count| *count < 2)
            }),
            Property::sometimes("a run is over", |_, world: &World| {
                world.state.tasks.values().any(|task| task.run.is_none())
            }),
            Property::sometimes("a second holder goes on", |_, world: &World| {
                world.state.tasks.values().any(continued_after_unknown_outcome)
            }),
        ]
    }
}
