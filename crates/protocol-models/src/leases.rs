//! Leases as a state machine: three members, two tasks, clocks that drift apart within the bound.
//!
//! The parts that act are the program's own ([`LeaseLeader`], [`LeaseHolder`] and [`State`] of `crates/leases`). As in
//! [`crate::rollout`], a log to which one leader at a time commits stands in for consensus. Messages are lost, late and
//! duplicated; leaders change; members die and come back with nothing, and stand still between the check of the clock
//! and the action. Member 0's clock is as slow as the bound allows, the leaders' clocks as fast: the worst pair.
//!
//! Left out: how consensus comes about, what takes less than a tick, more than one request of a member on its way, and
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

/// Length of a tick in real time, in milliseconds.
const TICK_MS: f64 = 1000.0;
/// Length of a lease, in milliseconds.
const LEASE_MS: f64 = 3000.0;
/// Longest time of a step, in milliseconds.
const MAX_STEP_MS: f64 = 500.0;

/// What is wrong around the parts, beyond the bugs that are injected into them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The target checks no tokens.
    TargetIgnoresTokens,
    /// Tokens begin anew with each leader.
    TokensRestart,
    /// A step that may have run and must not be repeated is begun again.
    UnknownStepsRepeat,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// A bug in the parts.
    pub injected_bug: InjectedBug,
    /// A fault around them.
    pub fault: Fault,
    /// Number of members.
    pub member_count: usize,
    /// Number of tasks.
    pub task_count: usize,
    /// How long, in ticks.
    pub ticks: u64,
    /// How often another voter becomes the leader.
    pub max_elections: u8,
    /// How often a member dies and comes back.
    pub max_restarts: u8,
    /// How often a member begins a graceful shutdown.
    pub max_drains: u8,
    /// Whether messages may arrive twice.
    pub duplicates_messages: bool,
    /// Ticks for which member 0 at least stands still between its check of the clock and its action.
    pub pause_ticks: u64,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Time passes.
    Tick,
    /// A member sends a request.
    SendRequest(usize),
    /// The leader answers it.
    Answer(usize),
    /// The member takes the response in.
    ReceiveResponse(usize),
    /// A member sends a request, is answered and takes the response in at once: random walks go deeper by it.
    Renew(usize),
    /// The member proposes commands.
    ProposeCommands(usize),
    /// The member checks the clock before an action on a task.
    CheckPermit {
        /// The member.
        member: usize,
        /// The task.
        task: usize,
    },
    /// A pending action reaches the target, however much later.
    ReachTarget(usize),
    /// A proposed command is committed.
    Commit(usize),
    /// The leader proposes commands.
    LeaderTick,
    /// Another voter becomes the leader; what was not committed is lost.
    Elect,
    /// A member begins a graceful shutdown.
    Drain(usize),
    /// A member dies and comes back.
    Restart(usize),
}

fn task_name(task: usize) -> String {
    format!("t{task}")
}

impl LeaseModel {
    fn clock_bounds() -> ClockBounds {
        ClockBounds::default()
    }

    /// A member's reading of its clock.
    fn member_clock(&self, world: &World, member: usize) -> f64 {
        let rate = if member == 0 { 1.0 - Self::clock_bounds().max_drift } else { 1.0 };
        world.now as f64 * TICK_MS * rate
    }

    /// The leader's reading of its clock.
    fn leader_clock(world: &World) -> f64 {
        world.now as f64 * TICK_MS * (1.0 + Self::clock_bounds().max_drift)
    }

    fn new_member(&self, member: usize, incarnation: u64) -> LeaseHolder {
        LeaseHolder::new(world::member_id(member, incarnation), "", self.injected_bug)
    }

    /// The replicated state at the beginning: the first run of each task is started.
    fn initial_state(&self) -> State {
        let on_unknown = match self.fault {
            Fault::UnknownStepsRepeat => OnUnknownOutcome::Repeat,
            _ => OnUnknownOutcome::Skip,
        };
        let spec = |task| TaskSpec {
            lease_ms: LEASE_MS,
            step_count: 2,
            max_step_ms: MAX_STEP_MS,
            on_unknown,
            ..TaskSpec::new(&task_name(task), Schedule::OnDemand, "")
        };
        let mut state = State::default();
        state.apply(&Command::DefineTasks((0..self.task_count).map(spec).collect()));
        for task in 0..self.task_count {
            state.apply(&Command::StartRun { task: task_name(task), run: 1, day: 0 });
        }
        state
    }

    /// What a member may do.
    fn member_actions(&self, world: &World, member: usize, actions: &mut Vec<LeaseAction>) {
        actions.push(LeaseAction::SendRequest(member));
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

    /// Whether no two members hold the lease of a task.
    fn has_one_holder_at_most(&self, world: &World, task: usize) -> bool {
        let name = task_name(task);
        let holds = |member: &usize| {
            let now = self.member_clock(world, *member);
            world.members[*member].active_leases(now).any(|lease| lease.view.task == name)
        };
        (0..self.member_count).filter(holds).count() <= 1
    }
}

/// Whether a second holder went on after a step that may have run.
fn went_on_after_unknown(task: &Task) -> bool {
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
            if !world.stands_still(member, self.pause_ticks) {
                self.member_actions(world, member, actions);
            }
        }
        let can_arrive = |index: &usize| !world.is_paused(*index, self.pause_ticks);
        actions.extend((0..world.pending_actions.len()).filter(can_arrive).map(LeaseAction::ReachTarget));
        actions.extend((0..world.proposed.len()).map(LeaseAction::Commit));
        actions.push(LeaseAction::LeaderTick);
        if world.elections < self.max_elections {
            actions.push(LeaseAction::Elect);
        }
        // Random walks choose an action by its index; one that leads nowhere would shift the others.
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
                (0..model.task_count).all(|task| model.has_one_holder_at_most(world, task))
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
                world.state.tasks.values().any(went_on_after_unknown)
            }),
        ]
    }
}
