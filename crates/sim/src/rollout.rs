//! The switch of policies as a state machine: three deciders, two followers, two changes.
//!
//! The parts that act are the program's own ([`PolicyLeader`], [`PolicyMember`], [`RolloutState`] of `crates/policy`), not a copy. What stands in
//! for the council is a log that one leader at a time commits to: an answer is given by the leader on all that is committed
//! (a majority confirmed it), commands that were not committed when another leads are gone. Messages are lost, come late
//! and come twice; followers and leaders die and come back with nothing; rights end as time passes.
//!
//! Left out: how consensus comes about (the library's), how long things take within a tick, clocks that run apart (the
//! members' own arithmetic, tested by itself), and more than one question a tick.

use beamgap_fleet_types::MemberId;
use beamgap_policy::rollout::{
    ChangeOutcome, ChangeRequest, Command, InjectedBug, MemberAction, PolicyLeader, PolicyMember,
    PolicyTimings, PollRequest, PollResponse, RolloutState, ValidationError,
};
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Deciders.
pub const DECIDERS: usize = 3;
/// Followers.
pub const FOLLOWERS: usize = 2;
const TICK: f64 = 1000.0; // ms; longer than any pause within the machines
const IN_FLIGHT: usize = 1; // questions of a follower; older ones are lost
const POOL: usize = 1; // commands on their way; a further one is asked for again

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct Switch {
    /// A fault on purpose.
    pub plant: InjectedBug,
    /// How long, in ticks.
    pub ticks: u64,
    /// Changes that are proposed.
    pub changes: u8,
    /// Times that another decider leads.
    pub elections: u8,
    /// Times that a follower dies and comes back.
    pub restarts: u8,
    /// Whether messages come twice.
    pub repeats: bool,
    /// Whether a follower may find a fault in the first change.
    pub faults: bool,
}

impl Default for Switch {
    fn default() -> Switch {
        Switch {
            plant: InjectedBug::None,
            ticks: 4,
            changes: 2,
            elections: 1,
            restarts: 1,
            repeats: true,
            faults: true,
        }
    }
}

impl Switch {
    fn times(&self) -> PolicyTimings {
        // A short right is over by the next tick, a long one in three, by clocks that agree.
        PolicyTimings {
            switch_bound_ms: 0.9 * TICK,
            lease_ms: 3.0 * TICK,
            validation_ms: TICK,
            max_drift: 0.0,
        }
    }
}

/// Everything.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Ticks that have passed.
    pub now: u64,
    /// What is committed, applied.
    pub state: RolloutState,
    /// What of it the last leader that was replaced has, with its part: only for a fault that lets it answer.
    stale: Option<(RolloutState, PolicyLeader)>,
    before: RolloutState,
    /// Who leads.
    pub leader: usize,
    lead: PolicyLeader,
    pool: Vec<Command>,
    holds: Vec<PolicyMember>,
    asks: Vec<Vec<PollRequest>>,
    replies: Vec<Vec<PollResponse>>,
    lives: Vec<u64>,
    proposed: u8,
    elections: u8,
    restarts: u8,
    /// The first and the last tick in which anybody could admit under a version.
    pub admitted: BTreeMap<u64, (u64, u64)>,
    /// Somebody could admit under a version that was not in force.
    pub early: bool,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Its parts hold times as floating-point numbers, which have no hash; their text tells them apart.
        format!("{self:?}").hash(state);
    }
}

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Time passes.
    Tick,
    /// A follower asks, if a question is due.
    Ask(usize),
    /// The leader answers a question of a follower.
    Answer(usize, usize),
    /// A leader that was replaced answers it: only with a fault planted.
    Stale(usize, usize),
    /// A follower hears an answer; where it is to check a change, whether it finds a fault.
    Hear(usize, usize, bool),
    /// A command is committed.
    Commit(usize),
    /// The leader looks what is to be done.
    Look,
    /// Another decider leads; what was not committed is gone.
    Elect,
    /// An operator proposes the next change.
    Propose,
    /// A follower dies and comes back.
    Restart(usize),
}

impl Switch {
    fn ms(&self, world: &World) -> f64 {
        world.now as f64 * TICK
    }

    fn hold(&self, follower: usize, life: u64) -> PolicyMember {
        PolicyMember::new(MemberId::new(format!("f{follower}"), life), 1, self.plant)
    }

    fn pool(&self, world: &mut World, commands: Vec<Command>) {
        for command in commands {
            if world.pool.len() < POOL && !world.pool.contains(&command) {
                world.pool.push(command);
            }
        }
    }

    /// Who can admit now does so: the most that the promise has to bear.
    fn admit(&self, world: &mut World) {
        let now = self.ms(world);
        for hold in &world.holds {
            let Some(version) = hold.admits(now) else { continue };
            world.early |= version > world.state.version();
            let span = world.admitted.entry(version).or_insert((world.now, world.now));
            span.1 = world.now;
        }
    }
}

impl Model for Switch {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut state = RolloutState::default();
        state.apply(&Command::Bootstrap(self.times()));
        for follower in 0..FOLLOWERS {
            state.apply(&Command::Join {
                member: MemberId::new(format!("f{follower}"), 0),
                format_version: 1,
            });
        }
        let mut lead = PolicyLeader::with_injected_bug(self.plant);
        lead.set_leadership(0.0, true);
        vec![World {
            now: 0,
            before: state.clone(),
            state,
            stale: None,
            leader: 0,
            lead,
            pool: Vec::new(),
            holds: (0..FOLLOWERS).map(|f| self.hold(f, 0)).collect(),
            asks: vec![Vec::new(); FOLLOWERS],
            replies: vec![Vec::new(); FOLLOWERS],
            lives: vec![0; FOLLOWERS],
            proposed: 0,
            elections: 0,
            restarts: 0,
            admitted: BTreeMap::new(),
            early: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let now = self.ms(world);
        if world.now < self.ticks {
            steps.push(Step::Tick);
        }
        for f in 0..FOLLOWERS {
            if world.holds[f].next_poll_at() <= now {
                steps.push(Step::Ask(f));
            }
            for i in 0..world.asks[f].len() {
                steps.push(Step::Answer(f, i));
                if self.plant == InjectedBug::UnconfirmedLeader && world.stale.is_some() {
                    steps.push(Step::Stale(f, i));
                }
            }
            for i in 0..world.replies[f].len() {
                steps.push(Step::Hear(f, i, false));
                if self.faults && world.replies[f][i].validate.is_some() {
                    steps.push(Step::Hear(f, i, true));
                }
            }
            if world.restarts < self.restarts {
                steps.push(Step::Restart(f));
            }
        }
        steps.extend((0..world.pool.len()).map(Step::Commit));
        if world.state.pending.is_some() {
            steps.push(Step::Look);
        }
        if world.elections < self.elections {
            steps.push(Step::Elect);
        }
        if world.proposed < self.changes && world.state.pending.is_none() && world.pool.len() < POOL {
            steps.push(Step::Propose);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let now = self.ms(&world);
        match step {
            Step::Tick => world.now += 1,
            Step::Ask(f) => {
                let ask = world.holds[f].poll_request(now, "")?;
                world.asks[f].push(ask);
                if world.asks[f].len() > IN_FLIGHT {
                    world.asks[f].remove(0);
                }
            }
            Step::Answer(f, i) | Step::Stale(f, i) => {
                let ask = world.asks[f][i].clone();
                if !self.repeats {
                    world.asks[f].remove(i);
                }
                let (reply, commands) = match (step, &mut world.stale) {
                    (Step::Stale(..), Some((state, lead))) => lead.handle_poll(now, state, &ask),
                    _ => world.lead.handle_poll(now, &world.state, &ask),
                };
                if matches!(step, Step::Answer(..)) {
                    self.pool(&mut world, commands);
                }
                if !world.replies[f].contains(&reply) {
                    world.replies[f].push(reply);
                }
                if world.replies[f].len() > IN_FLIGHT + usize::from(self.repeats) {
                    world.replies[f].remove(0);
                }
            }
            Step::Hear(f, i, fault) => {
                let reply = world.replies[f][i].clone();
                if !self.repeats {
                    world.replies[f].remove(i);
                }
                for act in world.holds[f].handle_response(now, reply) {
                    match act {
                        MemberAction::Activate { version, .. } => world.holds[f].activated(version),
                        MemberAction::Validate(change) => {
                            let text = "a class that is not known".to_owned();
                            let faults = vec![ValidationError { member: format!("f{f}"), message: text }];
                            let faults = if fault && change.id == "c0" { faults } else { Vec::new() };
                            world.holds[f].validated(now, &change.id, faults);
                        }
                    }
                }
            }
            Step::Commit(i) => {
                let command = world.pool.remove(i);
                world.before = world.state.clone();
                world.state.apply(&command);
            }
            Step::Look => {
                let commands = world.lead.tick(now, &world.state);
                self.pool(&mut world, commands);
            }
            Step::Elect => {
                world.elections += 1;
                if self.plant == InjectedBug::VoteBeforeSync {
                    // The last that was committed was on no disk.
                    world.state = world.before.clone();
                }
                if self.plant == InjectedBug::UnconfirmedLeader {
                    world.stale = Some((world.state.clone(), world.lead.clone()));
                }
                world.leader = (world.leader + 1) % DECIDERS;
                world.pool.clear();
                world.lead.set_leadership(now, false);
                world.lead.set_leadership(now, true);
            }
            Step::Propose => {
                let text = Some(format!("form = 1 # {}\n", world.proposed));
                let change = ChangeRequest {
                    id: format!("c{}", world.proposed),
                    requested_by: "o".to_owned(),
                    policy_text: text,
                    base_version: None,
                };
                world.proposed += 1;
                self.pool(&mut world, vec![Command::Propose(change)]);
            }
            Step::Restart(f) => {
                world.restarts += 1;
                world.lives[f] += 1;
                let kept = world.holds[f].clone();
                world.holds[f] = self.hold(f, world.lives[f]);
                if self.plant == InjectedBug::NoCatchUp {
                    world.holds[f] = kept; // It goes on with what it had.
                }
                (world.asks[f], world.replies[f]) = (Vec::new(), Vec::new());
            }
        }
        self.admit(&mut world);
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Switch>> {
        vec![
            Property::always("1: nothing under a version that is not in force", |_, world: &World| {
                !world.early
            }),
            Property::always("2: the old one ends within the bound", |model: &Switch, world: &World| {
                let bound = model.times().switch_bound_ms;
                world.admitted.iter().all(|(version, (first, _))| {
                    let older = world.admitted.range(..version);
                    older.into_iter().all(|(_, (_, last))| (*last as f64 - *first as f64) * TICK <= bound)
                })
            }),
            Property::sometimes("a change is in force and admitted under", |_, world: &World| {
                world.admitted.keys().any(|version| *version > 0)
            }),
            Property::sometimes("a change is turned down", |_, world: &World| {
                world.state.history.iter().any(|r| matches!(r.outcome, ChangeOutcome::Rejected(_)))
            }),
        ]
    }
}
