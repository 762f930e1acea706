//! Budgets as a state machine: front ends that hold parts of a rate and of a stock, leaders that know nothing at first.
//!
//! The parts that act are the program's own ([`Lead`], [`Holder`] of `crates/budgets`). Messages are lost (never heard), late and
//! come twice; leaders change, members die and come back, and what they had out of the stock goes on without them. A member
//! that stands still is one of which no step is taken. Member 0's clock is as slow as the bound allows, the leaders' as fast:
//! the worst pair for what ends by itself; the last member's is fast, the worst for a rate.
//!
//! Left out: how consensus comes about, that a change of the policy is under way, what takes less than a tick, more than
//! one question of a member on its way, and clocks whose rate changes.

use beamgap_budgets::leader::{Ask, Lead, Reply};
use beamgap_budgets::member::Holder;
use beamgap_budgets::spec::{Amount, Of, Spec};
use beamgap_budgets::{Plant, Times, Who, WHOLE};
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const TICK: f64 = 500.0; // ms of true time
const DRIFT: f64 = 0.05;
const RATE: f64 = 4.0; // a second
const BURST: u64 = 4;
const MOST: u64 = 4;
const LONGEST: u64 = 3; // ticks
const STOCK: usize = 1;

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// A fault in the parts.
    pub plant: Plant,
    /// Members.
    pub members: usize,
    /// Whether there is a rate beside the stock.
    pub rate: bool,
    /// How long, in ticks.
    pub ticks: u64,
    /// Questions that a member asks at most.
    pub rounds: u64,
    /// Times that another decider leads.
    pub elections: u8,
    /// Times that a member dies and comes back.
    pub restarts: u8,
    /// Whether answers come twice.
    pub repeats: bool,
    /// Whether a question, its answer and the hearing may be one step: walks by lot go deeper by it.
    pub quick: bool,
}

/// Everything.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Ticks that have passed.
    pub now: u64,
    lead: Lead,
    lives: BTreeMap<Who, u64>,
    holders: Vec<Holder>,
    rounds: Vec<u64>,
    life: Vec<u64>,
    asks: Vec<Option<Ask>>,
    replies: Vec<Option<Reply>>,
    /// What is out of the stock: whose it is, and by when it has surely ended.
    pub out: Vec<(Who, u64)>,
    /// The bucket that would hold all that was admitted of the rate, and when it was last looked at.
    pub level: f64,
    filled: u64,
    /// Admitted of each.
    pub admitted: [u64; 2],
    elections: u8,
    restarts: u8,
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
    /// All three with nothing between.
    Renew(usize),
    /// A request comes to a member, of this budget.
    Take(usize, usize),
    /// One that is out of the stock is over.
    Over(usize),
    /// Another decider leads, and knows nothing.
    Elect,
    /// A member dies and comes back.
    Restart(usize),
}

fn specs(rate: bool) -> Vec<Spec> {
    let spec = |name: &str, of, amount| Spec {
        name: name.to_owned(),
        of,
        account: None,
        class: None,
        amount,
        floor: 0.0,
        seats: 0,
        weights: BTreeMap::new(),
    };
    let stock = Amount::Stock { most: MOST, longest: LONGEST as f64 * TICK };
    let mut all = vec![spec("stock", Of::Open, stock)];
    if rate {
        all.insert(0, spec("rate", Of::Requests, Amount::Rate { per_s: RATE, burst: BURST }));
    }
    all
}

impl Budgets {
    fn times() -> Times {
        Times { share: 3.0 * TICK, floor: 6.0 * TICK, drift: DRIFT }
    }

    fn clock(&self, world: &World, m: usize) -> f64 {
        let rate = match m {
            0 => 1.0 - DRIFT,
            _ if m + 1 == self.members => 1.0 + DRIFT,
            _ => 1.0,
        };
        world.now as f64 * TICK * rate
    }

    fn leader_clock(world: &World) -> f64 {
        world.now as f64 * TICK * (1.0 + DRIFT)
    }

    fn number(&self, budget: usize) -> usize {
        if self.rate {
            budget
        } else {
            0
        }
    }

    fn holder(&self, m: usize, life: u64, now: f64) -> Holder {
        let mut holder = Holder::new((format!("m{m}"), life), "", self.plant);
        holder.uses(now, 1, specs(self.rate));
        holder
    }

    fn used(world: &World, m: usize) -> u64 {
        let who = (format!("m{m}"), world.life[m]);
        world.out.iter().filter(|(of, _)| *of == who).count() as u64
    }

    fn ask(&self, world: &mut World, m: usize) -> Ask {
        let (now, used, stock) = (self.clock(world, m), Self::used(world, m), self.number(STOCK));
        world.rounds[m] += 1;
        let round = world.rounds[m];
        world.holders[m].ask(now, round, |i| if i == stock { used } else { 0 })
    }

    fn answer(&self, world: &mut World, ask: &Ask) -> Reply {
        let now = Self::leader_clock(world);
        world.lead.answer(now, 1, &specs(self.rate), &world.lives, ask)
    }
}

impl Model for Budgets {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut lead = Lead::new(0, Self::times(), self.plant);
        lead.role(0.0, true);
        vec![World {
            now: 0,
            lead,
            lives: (0..self.members).map(|m| ((format!("m{m}"), 0), 1)).collect(),
            holders: (0..self.members).map(|m| self.holder(m, 0, 0.0)).collect(),
            rounds: vec![0; self.members],
            life: vec![0; self.members],
            asks: vec![None; self.members],
            replies: vec![None; self.members],
            out: Vec::new(),
            level: 0.0,
            filled: 0,
            admitted: [0, 0],
            elections: 0,
            restarts: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.ticks {
            steps.push(Step::Tick);
        }
        for m in 0..self.members {
            if world.rounds[m] < self.rounds {
                steps.push(Step::Ask(m));
                if self.quick {
                    steps.push(Step::Renew(m));
                }
            }
            steps.extend(world.asks[m].as_ref().map(|_| Step::Answer(m)));
            steps.extend(world.replies[m].as_ref().map(|_| Step::Hear(m)));
            if self.rate {
                steps.push(Step::Take(m, 0));
            }
            steps.push(Step::Take(m, STOCK));
            if world.restarts < self.restarts {
                steps.push(Step::Restart(m));
            }
        }
        steps.extend((0..world.out.len()).map(Step::Over));
        if world.elections < self.elections {
            steps.push(Step::Elect);
        }
        // Walks by lot name a step by its place among all; one that leads nowhere would shift the others.
        steps.retain(|step| self.next_state(world, *step).is_some());
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Tick => {
                world.now += 1;
                let now = world.now;
                world.out.retain(|(_, until)| now < *until);
                let leader_now = Self::leader_clock(&world);
                world.lead.tick(leader_now, 1, &specs(self.rate), &world.lives);
            }
            Step::Ask(m) => {
                let ask = self.ask(&mut world, m);
                world.asks[m] = Some(ask);
            }
            Step::Answer(m) => {
                let ask = if self.repeats { world.asks[m].clone()? } else { world.asks[m].take()? };
                let reply = self.answer(&mut world, &ask);
                world.replies[m] = Some(reply);
            }
            Step::Hear(m) => {
                let reply = if self.repeats { world.replies[m].clone()? } else { world.replies[m].take()? };
                let now = self.clock(&world, m);
                world.holders[m].reply(now, reply);
            }
            Step::Renew(m) => {
                let ask = self.ask(&mut world, m);
                let reply = self.answer(&mut world, &ask);
                let now = self.clock(&world, m);
                world.holders[m].reply(now, reply);
            }
            Step::Take(m, budget) => {
                let (now, used, i) = (self.clock(&world, m), Self::used(&world, m), self.number(budget));
                let taken = world.holders[m].take(now, &[i], |_| used).is_ok();
                if taken && budget == STOCK {
                    let who = (format!("m{m}"), world.life[m]);
                    world.out.push((who, world.now + LONGEST));
                    world.out.sort();
                } else if taken {
                    let passed = (world.now - world.filled) as f64 * TICK;
                    world.level = (world.level - passed * RATE / 1000.0).max(0.0) + 1.0;
                    world.filled = world.now;
                }
                world.admitted[budget] += u64::from(taken);
            }
            Step::Over(i) => drop(world.out.remove(i)),
            Step::Elect => {
                world.elections += 1;
                let now = Self::leader_clock(&world);
                world.lead = Lead::new(u64::from(world.elections), Self::times(), self.plant);
                world.lead.role(now, true);
            }
            Step::Restart(m) => {
                world.restarts += 1;
                world.life[m] += 1;
                let life = world.life[m];
                let now = self.clock(&world, m);
                world.holders[m] = self.holder(m, life, now);
                world.lives.insert((format!("m{m}"), life), 1);
                (world.asks[m], world.replies[m]) = (None, None);
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Budgets>> {
        vec![
            Property::always(
                "A1: parts never sum to more than the whole",
                |model: &Budgets, world: &World| {
                    (0..specs(model.rate).len()).all(|i| {
                        let part = |m: usize| u128::from(world.holders[m].part(i, model.clock(world, m)));
                        (0..model.members).map(part).sum::<u128>() <= u128::from(WHOLE)
                    })
                },
            ),
            Property::always("A1: no window has more than the rate and its burst", |_, world: &World| {
                world.level <= BURST as f64 + 1e-6
            }),
            Property::always("A1: no more are out than the stock", |_, world: &World| {
                world.out.len() as u64 <= MOST
            }),
            Property::sometimes(
                "both are admitted at a member that had none",
                |model: &Budgets, world: &World| {
                    world.admitted[STOCK] > 2 && (world.admitted[0] > 2 || !model.rate)
                },
            ),
        ]
    }
}
