//! The rollout of a policy as a state machine: three voters, two followers and up to two policy changes.
//!
//! The model runs the production code ([`PolicyLeader`], [`PolicyMember`], [`RolloutState`] of `crates/policy`), not a
//! copy. A log to which a single leader commits replaces consensus: the leader answers polls from the committed state,
//! because a majority confirms its leadership; commands that are uncommitted when another voter is elected are lost.
//! Messages are lost, delayed and duplicated; followers and leaders restart without state; leases expire with time.
//!
//! The model leaves out the consensus protocol (the library is responsible for consensus), durations within a tick, clock
//! drift (the arithmetic of the members for drift has tests of its own), and more than one poll of a follower in flight.

mod steps;

use beamgap_fleet_types::MemberId;
use beamgap_policy::rollout::{
    ChangeOutcome, Command, InjectedBug, PolicyLeader, PolicyMember, PolicyTimings, PollRequest,
    PollResponse, RolloutState,
};
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Number of voters, one of which leads.
pub const VOTERS: usize = 3;
/// Number of followers: members that poll the leader for the policy and admit requests under it.
pub const FOLLOWERS: usize = 2;
/// Length of a tick in milliseconds: longer than any pause that the production state machines make, so that what is due
/// after a pause is possible at the next tick.
const TICK_MS: f64 = 1000.0;
/// Largest number of polls of a follower in flight; the oldest poll above this limit is lost.
const MAX_IN_FLIGHT: usize = 1;
/// Largest number of uncommitted commands; a command above this limit is dropped, and the leader proposes it again later.
const MAX_UNCOMMITTED: usize = 1;

/// Parameters of the model: the injected bug and the limits of the search.
#[derive(Clone, Copy, Debug)]
pub struct RolloutModel {
    /// The bug injected into the leader and the members.
    pub injected_bug: InjectedBug,
    /// Number of ticks after which time no longer passes.
    pub ticks: u64,
    /// Number of policy changes that an operator proposes.
    pub changes: u8,
    /// Largest number of elections of a new leader.
    pub elections: u8,
    /// Largest number of follower restarts, over all followers.
    pub restarts: u8,
    /// Whether a message may be delivered more than once.
    pub duplicates: bool,
    /// Whether a follower may report a validation error in the first policy change.
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
    /// Timings by which a short lease expires within one tick and a long lease after three; clocks don't drift.
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

/// A leader replaced by an election, with its replicated state. Only an injected bug lets a replaced leader answer polls.
#[derive(Clone, Debug, PartialEq)]
struct ReplacedLeader {
    state: RolloutState,
    leader: PolicyLeader,
}

/// A follower with its polls and responses in flight.
#[derive(Clone, Debug, PartialEq)]
struct Follower {
    member: PolicyMember,
    incarnation: u64,
    requests: Vec<PollRequest>,
    responses: Vec<PollResponse>,
}

/// The first and the last tick in which any follower could admit requests under a policy version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSpan {
    /// First tick with a follower that could admit under this version.
    pub first: u64,
    /// Last tick with a follower that could admit under this version.
    pub last: u64,
}

/// A state of the rollout model.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Current time, in ticks since the start.
    pub now: u64,
    /// The replicated state after all committed commands.
    pub state: RolloutState,
    /// The replicated state before the last committed command.
    state_before: RolloutState,
    replaced: Option<ReplacedLeader>,
    /// Index of the voter that is the leader.
    pub leading_voter: usize,
    leader: PolicyLeader,
    uncommitted: Vec<Command>,
    followers: Vec<Follower>,
    proposed: u8,
    elections: u8,
    restarts: u8,
    /// For each policy version, the ticks in which any follower could admit requests under this version.
    pub admitted: BTreeMap<u64, AdmissionSpan>,
    /// Whether any follower could admit requests under a version that was not active yet.
    pub admitted_early: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The state contains floating-point times, which don't implement `Hash`, so the `Debug` text is hashed instead.
        format!("{self:?}").hash(state);
    }
}

impl World {
    fn now_ms(&self) -> f64 {
        self.now as f64 * TICK_MS
    }
}

/// A step of the model. The fields are the index of the follower and, where present, the index of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Time advances by one tick.
    Tick,
    /// A follower polls the leader, if its next poll is due.
    Poll(usize),
    /// The leader answers a poll of a follower.
    Respond(usize, usize),
    /// A replaced leader answers a poll of a follower; possible only with the injected bug `UnconfirmedLeader`.
    RespondAsReplaced(usize, usize),
    /// A follower receives a response. The flag says whether the follower finds an error if the response asks the follower
    /// to validate a policy change.
    Receive(usize, usize, bool),
    /// An uncommitted command is committed and applied to the replicated state.
    Commit(usize),
    /// The leader proposes the commands that are due.
    LeaderTick,
    /// Another voter becomes the leader; uncommitted commands are lost.
    Elect,
    /// An operator proposes the next policy change.
    Propose,
    /// A follower restarts with a new incarnation and without state.
    Restart(usize),
}

impl RolloutModel {
    fn follower_steps(&self, world: &World, f: usize, steps: &mut Vec<Step>) {
        let follower = &world.followers[f];
        if follower.member.next_poll_at() <= world.now_ms() {
            steps.push(Step::Poll(f));
        }
        let replaced_leader_answers =
            self.injected_bug == InjectedBug::UnconfirmedLeader && world.replaced.is_some();
        for i in 0..follower.requests.len() {
            steps.push(Step::Respond(f, i));
            if replaced_leader_answers {
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
