//! The rollout of a policy as a state machine: three voters, two followers, two changes.
//!
//! The parts that act are the program's own ([`PolicyLeader`], [`PolicyMember`], [`RolloutState`] of `crates/policy`), not
//! a copy. What stands in for consensus is a log to which one leader at a time commits: a poll is answered by the leader
//! from all that is committed (a majority confirmed it); commands that were not committed when another leads are lost.
//! Messages are lost, delayed and duplicated; followers and leaders restart with nothing; leases expire as time passes.
//!
//! Left out: how consensus comes about (the library's), how long things take within a tick, clocks that run apart (the
//! members' own arithmetic, tested by itself), and more than one poll of a follower in flight.

mod steps;

use beamgap_fleet_types::MemberId;
use beamgap_policy::rollout::{
    ChangeOutcome, Command, InjectedBug, PolicyLeader, PolicyMember, PolicyTimings, PollRequest,
    PollResponse, RolloutState,
};
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Number of voters.
pub const VOTERS: usize = 3;
/// Number of followers.
pub const FOLLOWERS: usize = 2;
/// Length of a tick in milliseconds: longer than any pause within the state machines.
const TICK_MS: f64 = 1000.0;
/// Most polls of a follower in flight; older ones are lost.
const MAX_IN_FLIGHT: usize = 1;
/// Most commands that are not committed; a further one is proposed again.
const MAX_UNCOMMITTED: usize = 1;

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct RolloutModel {
    /// A bug injected on purpose.
    pub injected_bug: InjectedBug,
    /// How long, in ticks.
    pub ticks: u64,
    /// Changes that are proposed.
    pub changes: u8,
    /// How often another voter becomes leader.
    pub elections: u8,
    /// How often a follower restarts.
    pub restarts: u8,
    /// Whether messages are duplicated.
    pub duplicates: bool,
    /// Whether a follower may find an error in the first change.
    pub validation_errors: bool,
}

impl Default for RolloutModel {
    fn default() -> RolloutModel {
        RolloutModel {
            injected_bug: InjectedBug::None,
            ticks: 4,
            changes: 2,
            elections: 1,
            restarts: 1,
            duplicates: true,
            validation_errors: true,
        }
    }
}

impl RolloutModel {
    /// A short lease has expired by the next tick, a long one in three, by clocks that agree.
    fn timings(&self) -> PolicyTimings {
        PolicyTimings {
            switch_bound_ms: 0.9 * TICK_MS,
            lease_ms: 3.0 * TICK_MS,
            validation_ms: TICK_MS,
            max_drift: 0.0,
        }
    }

    fn new_member(&self, follower: usize, incarnation: u64) -> PolicyMember {
        PolicyMember::new(member_id(follower, incarnation), 1, self.injected_bug)
    }
}

fn member_id(follower: usize, incarnation: u64) -> MemberId {
    MemberId::new(format!("f{follower}"), incarnation)
}

/// The replicated state and the leader of a voter that was replaced; only an injected bug lets it answer.
#[derive(Clone, Debug, PartialEq)]
struct ReplacedLeader {
    state: RolloutState,
    leader: PolicyLeader,
}

/// A follower and its messages in flight.
#[derive(Clone, Debug, PartialEq)]
struct Follower {
    member: PolicyMember,
    incarnation: u64,
    requests: Vec<PollRequest>,
    responses: Vec<PollResponse>,
}

/// The first and the last tick in which a follower could admit under a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSpan {
    /// The first tick.
    pub first: u64,
    /// The last tick.
    pub last: u64,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Ticks that have passed.
    pub now: u64,
    /// What is committed, applied.
    pub state: RolloutState,
    /// The same before the last command.
    state_before: RolloutState,
    replaced: Option<ReplacedLeader>,
    /// Which voter leads.
    pub leading_voter: usize,
    leader: PolicyLeader,
    uncommitted: Vec<Command>,
    followers: Vec<Follower>,
    proposed: u8,
    elections: u8,
    restarts: u8,
    /// When anybody could admit, by version.
    pub admitted: BTreeMap<u64, AdmissionSpan>,
    /// Somebody could admit under a version that was not active.
    pub admitted_early: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Its parts hold times as floating-point numbers, which have no hash; their text tells them apart.
        format!("{self:?}").hash(state);
    }
}

impl World {
    fn now_ms(&self) -> f64 {
        self.now as f64 * TICK_MS
    }
}

/// A step. Followers and messages are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Time passes.
    Tick,
    /// A follower polls, if a poll is due.
    Poll(usize),
    /// The leader answers a poll of a follower.
    Respond(usize, usize),
    /// A leader that was replaced answers it: only with a bug injected.
    RespondAsReplaced(usize, usize),
    /// A follower receives a response; where it is to validate a change, whether it finds an error.
    Receive(usize, usize, bool),
    /// A command is committed.
    Commit(usize),
    /// The leader proposes what is due.
    LeaderTick,
    /// Another voter leads; what was not committed is lost.
    Elect,
    /// An operator proposes the next change.
    Propose,
    /// A follower restarts.
    Restart(usize),
}

impl RolloutModel {
    fn follower_steps(&self, world: &World, f: usize, steps: &mut Vec<Step>) {
        let follower = &world.followers[f];
        if follower.member.next_poll_at() <= world.now_ms() {
            steps.push(Step::Poll(f));
        }
        let replaced_answers =
            self.injected_bug == InjectedBug::UnconfirmedLeader && world.replaced.is_some();
        for i in 0..follower.requests.len() {
            steps.push(Step::Respond(f, i));
            if replaced_answers {
                steps.push(Step::RespondAsReplaced(f, i));
            }
        }
        for (i, response) in follower.responses.iter().enumerate() {
            steps.push(Step::Receive(f, i, false));
            if self.validation_errors && response.validate.is_some() {
                steps.push(Step::Receive(f, i, true));
            }
        }
        if world.restarts < self.restarts {
            steps.push(Step::Restart(f));
        }
    }
}

impl Model for RolloutModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut state = RolloutState::default();
        state.apply(&Command::Bootstrap(self.timings()));
        for follower in 0..FOLLOWERS {
            state.apply(&Command::Join { member: member_id(follower, 0), format_version: 1 });
        }
        let mut leader = PolicyLeader::with_injected_bug(self.injected_bug);
        leader.set_leadership(0.0, true);
        let follower = |f: usize| Follower {
            member: self.new_member(f, 0),
            incarnation: 0,
            requests: Vec::new(),
            responses: Vec::new(),
        };
        vec![World {
            now: 0,
            state_before: state.clone(),
            state,
            replaced: None,
            leading_voter: 0,
            leader,
            uncommitted: Vec::new(),
            followers: (0..FOLLOWERS).map(follower).collect(),
            proposed: 0,
            elections: 0,
            restarts: 0,
            admitted: BTreeMap::new(),
            admitted_early: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.ticks {
            steps.push(Step::Tick);
        }
        for follower in 0..FOLLOWERS {
            self.follower_steps(world, follower, steps);
        }
        steps.extend((0..world.uncommitted.len()).map(Step::Commit));
        let change_is_pending = world.state.pending.is_some();
        if change_is_pending {
            steps.push(Step::LeaderTick);
        }
        if world.elections < self.elections {
            steps.push(Step::Elect);
        }
        let has_room = world.uncommitted.len() < MAX_UNCOMMITTED;
        if world.proposed < self.changes && !change_is_pending && has_room {
            steps.push(Step::Propose);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Tick => world.now += 1,
            Step::Poll(f) => world.poll(f)?,
            Step::Respond(f, i) => self.respond(&mut world, f, i),
            Step::RespondAsReplaced(f, i) => self.respond_as_replaced(&mut world, f, i),
            Step::Receive(f, i, finds_error) => self.receive(&mut world, f, i, finds_error),
            Step::Commit(i) => world.commit(i),
            Step::LeaderTick => world.leader_tick(),
            Step::Elect => self.elect(&mut world),
            Step::Propose => world.propose(),
            Step::Restart(f) => self.restart(&mut world, f),
        }
        world.record_admissions();
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<RolloutModel>> {
        vec![
            Property::always("1: nothing under a version that is not in force", |_, world: &World| {
                !world.admitted_early
            }),
            Property::always("2: the old one ends within the bound", old_versions_end_within_the_bound),
            Property::sometimes("a change is in force and admitted under", |_, world: &World| {
                world.admitted.keys().any(|version| *version > 0)
            }),
            Property::sometimes("a change is turned down", |_, world: &World| {
                let is_rejected = |outcome: &ChangeOutcome| matches!(outcome, ChangeOutcome::Rejected(_));
                world.state.history.iter().any(|record| is_rejected(&record.outcome))
            }),
        ]
    }
}

fn old_versions_end_within_the_bound(model: &RolloutModel, world: &World) -> bool {
    let bound_ms = model.timings().switch_bound_ms;
    world.admitted.iter().all(|(version, span)| {
        let mut older = world.admitted.range(..version);
        older.all(|(_, older)| (older.last as f64 - span.first as f64) * TICK_MS <= bound_ms)
    })
}
