//! Leases as a state machine: three members, two tasks, clocks that run apart within the bound.
//!
//! The parts that act are the program's own ([`Lead`], [`Holder`], [`State`] of `crates/leases`). As in [`crate::switch`], a log
//! to which one leader at a time commits stands in for the council. Messages are lost, late and come twice; leaders change,
//! members die and come back with nothing, and stand still between the look at the clock and the act. Member 0's clock is
//! as slow as the bound allows, the leaders' clocks as fast: the worst pair.
//!
//! Left out: how consensus comes about, what takes less than a tick, questions beyond one on its way for each member, and
//! clocks whose rate changes.

use beamgap_leases::leader::{Ask, Lead, Reply};
use beamgap_leases::member::{Acted, Holder};
use beamgap_leases::spec::{Spec, Unknown, When};
use beamgap_leases::state::{Command, Outcome, State};
use beamgap_leases::{Clocks, Plant, Token};
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const TICK: f64 = 1000.0; // ms of true time
const LEASE: f64 = 3000.0;
const POOL: usize = 2; // commands on their way

/// What is wrong on purpose, beyond what the parts have planted in them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The target looks at no token.
    NoFence,
    /// Tokens begin anew with each leader.
    TokensRestart,
    /// A task that must not be repeated is begun again after a step that may have run.
    Repeats,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct Leases {
    /// A fault in the parts.
    pub plant: Plant,
    /// A fault round them.
    pub fault: Fault,
    /// Members.
    pub members: usize,
    /// Tasks.
    pub tasks: usize,
    /// How long, in ticks.
    pub ticks: u64,
    /// Times that another decider leads.
    pub elections: u8,
    /// Times that a member dies and comes back.
    pub restarts: u8,
    /// Members that drain.
    pub drains: u8,
    /// Whether messages come twice.
    pub repeats: bool,
    /// Ticks for which member 0 stands still between its look at the clock and its act; else it is any number.
    pub stands: u64,
}

/// An act that was looked for and not done yet.
#[derive(Clone, Debug, PartialEq)]
struct Hand {
    member: usize,
    task: String,
    run: u64,
    step: u32,
    token: Token,
    looked: u64,
}

/// Everything.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Ticks that have passed.
    pub now: u64,
    /// What is committed, applied.
    pub state: State,
    lead: Lead,
    pool: Vec<Command>,
    holders: Vec<Holder>,
    asks: Vec<Option<(f64, Ask)>>,
    replies: Vec<Option<(f64, Reply)>>,
    lives: Vec<u64>,
    /// Acts between the look and the act itself.
    hands: Vec<Hand>,
    /// The highest token that the target has seen, by task.
    seen: BTreeMap<String, Token>,
    /// How often each step ran at the target: task, run, step.
    pub ran: BTreeMap<(String, u64, u32), u8>,
    elections: u8,
    restarts: u8,
    drains: u8,
    /// Who had each token.
    owners: BTreeMap<Token, (String, u64)>,
    /// The target was acted on with an older token after a newer one.
    pub back: bool,
    /// Two members had one token.
    pub shared: bool,
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
    /// A member asks.
    Ask(usize),
    /// The leader answers it.
    Answer(usize),
    /// The member hears the answer.
    Hear(usize),
    /// A member asks, is answered and hears it, with nothing between: walks by lot go deeper by it.
    Renew(usize),
    /// The member has something agreed on.
    Want(usize),
    /// The member looks at the clock and is about to act.
    Look(usize, usize),
    /// What it was about to do comes to the target, however much later.
    Land(usize),
    /// A command is committed.
    Commit(usize),
    /// The leader looks what is to be done.
    Lead,
    /// Another decider leads; what was not committed is gone.
    Elect,
    /// A member is told to end: it gives up what it holds.
    Drain(usize),
    /// A member dies and comes back.
    Restart(usize),
}

fn name(task: usize) -> String {
    format!("t{task}")
}

impl Leases {
    fn clocks() -> Clocks {
        Clocks::default()
    }

    /// A member's reading: the first one's clock is slow.
    fn clock(&self, world: &World, member: usize) -> f64 {
        let rate = if member == 0 { 1.0 - Self::clocks().drift } else { 1.0 };
        world.now as f64 * TICK * rate
    }

    fn leader_clock(world: &World) -> f64 {
        world.now as f64 * TICK * (1.0 + Self::clocks().drift)
    }

    fn holder(&self, member: usize, life: u64) -> Holder {
        Holder::new((format!("m{member}"), life), "", self.plant)
    }

    fn pool(world: &mut World, commands: Vec<Command>) {
        for command in commands {
            if world.pool.len() < POOL && !world.pool.contains(&command) {
                world.pool.push(command);
            }
        }
    }
}

impl Model for Leases {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut state = State::default();
        let spec = |task| Spec {
            lease: LEASE,
            steps: 2,
            step: 500.0,
            unknown: if self.fault == Fault::Repeats { Unknown::Repeat } else { Unknown::Skip },
            ..Spec::new(&name(task), When::Asked, "")
        };
        state.apply(&Command::Define((0..self.tasks).map(spec).collect()));
        for task in 0..self.tasks {
            state.apply(&Command::Start { task: name(task), run: 1, day: 0 });
        }
        let mut lead = Lead::new(Self::clocks(), self.plant);
        lead.role(0.0, true);
        vec![World {
            now: 0,
            state,
            lead,
            pool: Vec::new(),
            holders: (0..self.members).map(|m| self.holder(m, 0)).collect(),
            asks: vec![None; self.members],
            replies: vec![None; self.members],
            lives: vec![0; self.members],
            hands: Vec::new(),
            seen: BTreeMap::new(),
            ran: BTreeMap::new(),
            elections: 0,
            restarts: 0,
            drains: 0,
            owners: BTreeMap::new(),
            back: false,
            shared: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.ticks {
            steps.push(Step::Tick);
        }
        let sleeps = |hand: &Hand| hand.member == 0 && world.now - hand.looked < self.stands;
        for m in (0..self.members).filter(|m| *m != 0 || !world.hands.iter().any(sleeps)) {
            steps.push(Step::Ask(m));
            steps.extend(world.asks[m].as_ref().map(|_| Step::Answer(m)));
            steps.extend(world.replies[m].as_ref().map(|_| Step::Hear(m)));
            steps.push(Step::Renew(m));
            steps.push(Step::Want(m));
            steps.extend((0..self.tasks).map(|t| Step::Look(m, t)));
            if world.drains < self.drains {
                steps.push(Step::Drain(m));
            }
            if world.restarts < self.restarts {
                steps.push(Step::Restart(m));
            }
        }
        steps.extend((0..world.hands.len()).filter(|i| !sleeps(&world.hands[*i])).map(Step::Land));
        steps.extend((0..world.pool.len()).map(Step::Commit));
        steps.push(Step::Lead);
        if world.elections < self.elections {
            steps.push(Step::Elect);
        }
        // Walks by lot name a step by its place among all; one that leads nowhere would shift the others.
        steps.retain(|step| self.next_state(world, *step).is_some());
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Tick => world.now += 1,
            Step::Ask(m) => world.asks[m] = Some((self.clock(&world, m), world.holders[m].ask())),
            Step::Answer(m) => {
                let (asked, ask) = world.asks[m].clone()?;
                if !self.repeats {
                    world.asks[m] = None;
                }
                let now = Self::leader_clock(&world);
                let reply = world.lead.answer(now, &world.state, &ask);
                world.replies[m] = Some((asked, reply));
            }
            Step::Hear(m) => {
                let (asked, reply) = world.replies[m].clone()?;
                if !self.repeats {
                    world.replies[m] = None;
                }
                world.holders[m].reply(asked, reply);
            }
            Step::Renew(m) => {
                let (asked, ask) = (self.clock(&world, m), world.holders[m].ask());
                let reply = world.lead.answer(Self::leader_clock(&world), &world.state, &ask);
                world.holders[m].reply(asked, reply);
            }
            Step::Want(m) => {
                let now = self.clock(&world, m);
                let wants = world.holders[m].wants(now, false);
                Self::pool(&mut world, wants);
            }
            Step::Look(m, t) => {
                let now = self.clock(&world, m);
                let pass = world.holders[m].pass(&name(t), now, 0.0).ok()?;
                let acted: Acted = pass.act(now).ok()?;
                let (run, token) = (world.state.tasks[&name(t)].runs, acted.token());
                let Some(Command::Record { step, .. }) = acted.over(Outcome::Done) else { return None };
                world.hands.push(Hand { member: m, task: name(t), run, step, token, looked: world.now });
            }
            Step::Land(i) => {
                let Hand { member: m, task, run, step, token, .. } = world.hands.remove(i);
                let seen = world.seen.entry(task.clone()).or_default();
                if token < *seen {
                    if self.fault != Fault::NoFence {
                        return (world != *before).then_some(world); // Refused: the member knows by that.
                    }
                    world.back = true;
                }
                *seen = (*seen).max(token);
                *world.ran.entry((task.clone(), run, step)).or_default() += 1;
                let done = Command::Record { task, token, step, outcome: Outcome::Done };
                world.holders[m].owe(Some(done));
            }
            Step::Commit(i) => {
                let command = world.pool.remove(i);
                world.state.apply(&command);
                for task in world.state.tasks.values() {
                    let Some(lease) = &task.lease else { continue };
                    let who = (task.spec.name.clone(), lease.who.1 * 10 + lease.who.0.len() as u64);
                    let who = (format!("{}/{}", who.0, lease.who.0), lease.who.1);
                    let owner = world.owners.entry(lease.token).or_insert_with(|| who.clone());
                    world.shared |= *owner != who;
                }
            }
            Step::Lead => {
                let commands = world.lead.tick(Self::leader_clock(&world), None, &world.state);
                Self::pool(&mut world, commands);
            }
            Step::Elect => {
                world.elections += 1;
                world.pool.clear();
                let now = Self::leader_clock(&world);
                world.lead.role(now, false);
                world.lead.role(now, true);
                if self.fault == Fault::TokensRestart {
                    world.state.tokens = 0;
                }
            }
            Step::Drain(m) => {
                world.drains += 1;
                world.holders[m].drain();
            }
            Step::Restart(m) => {
                world.restarts += 1;
                world.lives[m] += 1;
                world.holders[m] = self.holder(m, world.lives[m]);
                (world.asks[m], world.replies[m]) = (None, None);
                world.hands.retain(|hand| hand.member != m);
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Leases>> {
        vec![
            Property::always("1: no two hold a lease", |model: &Leases, world: &World| {
                (0..model.tasks).all(|t| {
                    let holds = |m: &usize| {
                        world.holders[*m].holds(model.clock(world, *m)).any(|(told, _)| told.task == name(t))
                    };
                    (0..model.members).filter(holds).count() <= 1
                })
            }),
            Property::always("1: tokens do not go back at the target", |_, world: &World| !world.back),
            Property::always("1: a token is one lease's", |_, world: &World| !world.shared),
            Property::always("4: no step runs twice", |_, world: &World| world.ran.values().all(|n| *n < 2)),
            Property::sometimes("a run is over", |_, world: &World| {
                world.state.tasks.values().any(|task| task.run.is_none())
            }),
            Property::sometimes("a second holder goes on", |_, world: &World| {
                world.state.tasks.values().any(|task| {
                    task.record.iter().any(|s| matches!(s.outcome, Outcome::Unknown(_)))
                        && task.record.iter().any(|s| s.outcome == Outcome::Done)
                })
            }),
        ]
    }
}
