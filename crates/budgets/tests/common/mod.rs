//! A fleet on a set clock: the program's own leader and holders, links that delay and lose, clocks that run apart. What was
//! admitted is judged from outside, in true time.

use beamgap_budgets::leader::{Ask, Lead, Reply};
use beamgap_budgets::member::Holder;
use beamgap_budgets::spec::{Amount, Of, Spec};
use beamgap_budgets::{Plant, Times, Who};
use beamgap_standins::draw::Draw;
use std::collections::{BTreeMap, HashMap};

pub const STEP: f64 = 5.0;
pub const DRIFT: f64 = 0.05;
const PATIENCE: f64 = 400.0;

pub fn rate(name: &str, per_s: f64, burst: u64) -> Spec {
    spec(name, Of::Requests, Amount::Rate { per_s, burst })
}

pub fn stock(name: &str, most: u64, longest: f64) -> Spec {
    spec(name, Of::Open, Amount::Stock { most, longest })
}

pub fn spec(name: &str, of: Of, amount: Amount) -> Spec {
    let (account, class) = (Some(name.to_owned()), None);
    Spec { name: name.to_owned(), of, account, class, amount, floor: 0.0, seats: 0, weights: BTreeMap::new() }
}

pub struct Front {
    pub holder: Holder,
    pub who: Who,
    pub clock: (f64, f64),
    pub alive: bool,
    /// Stands still until then.
    pub stopped: f64,
    /// Reaches no leader until then.
    pub cut: f64,
    /// Requests a second that it is asked for, by budget.
    pub demand: Vec<f64>,
    round: u64,
    due: f64,
    out: Option<(u64, f64)>,
    owed: Vec<f64>,
}

enum Mail {
    Ask(usize, Ask),
    Reply(usize, u64, Reply),
}

pub struct Fleet {
    pub now: f64,
    pub specs: Vec<Spec>,
    pub version: u64,
    pub times: Times,
    pub lives: BTreeMap<Who, u64>,
    pub fronts: Vec<Front>,
    pub lead: Option<Lead>,
    pub leader_clock: (f64, f64),
    /// Admissions by budget, in true time; and by front end.
    pub admitted: Vec<Vec<f64>>,
    pub counts: Vec<HashMap<usize, u64>>,
    /// By budget: when each of what is out is over, and whose it is; the dead ones' too.
    pub out: Vec<Vec<(f64, Who)>>,
    pub widest: Vec<u64>,
    pub questions: u64,
    pub lost: f64,
    /// How long what is held of a stock takes at most.
    pub takes: f64,
    mail: Vec<(f64, Mail)>,
    draw: Draw,
    plant: Plant,
    leaders: u64,
    seed: u64,
}

impl Fleet {
    pub fn new(seed: u64, members: usize, specs: Vec<Spec>, right: f64, plant: Plant) -> Fleet {
        let mut draw = Draw::new(seed);
        let n = specs.len();
        let mut fleet = Fleet {
            now: 0.0,
            specs,
            version: 1,
            times: Times::of_right(right, DRIFT),
            lives: BTreeMap::new(),
            fronts: Vec::new(),
            lead: None,
            leader_clock: (1.0, 0.0),
            admitted: vec![Vec::new(); n],
            counts: vec![HashMap::new(); n],
            out: vec![Vec::new(); n],
            widest: vec![0; n],
            questions: 0,
            lost: 0.0,
            takes: 150.0,
            mail: Vec::new(),
            draw: Draw::new(seed ^ 0x55aa),
            plant,
            leaders: 0,
            seed,
        };
        for m in 0..members {
            let clock = (1.0 + DRIFT * (2.0 * draw.unit() - 1.0) * 0.99, 1e6 * draw.unit());
            let front = fleet.fresh(m, 1, clock);
            fleet.fronts.push(front);
        }
        fleet.elect();
        fleet
    }

    fn fresh(&mut self, m: usize, life: u64, clock: (f64, f64)) -> Front {
        let who = (format!("m{m:03}"), life);
        let mut holder = Holder::new(who.clone(), "", self.plant);
        holder.uses(self.now * clock.0 + clock.1, self.version, self.specs.clone());
        self.lives.insert(who.clone(), 1);
        Front {
            holder,
            who,
            clock,
            alive: true,
            stopped: 0.0,
            cut: 0.0,
            demand: vec![0.0; self.specs.len()],
            round: 0,
            due: self.now + (m % 10) as f64 * 10.0,
            out: None,
            owed: vec![0.0; self.specs.len()],
        }
    }

    /// Another decider leads, with nothing known.
    pub fn elect(&mut self) {
        self.leaders += 1;
        let rate = 1.0 + DRIFT * (2.0 * self.draw.unit() - 1.0) * 0.99;
        self.leader_clock = (rate, 1e6 * self.draw.unit());
        let mut lead = Lead::new(self.seed << 8 | self.leaders, self.times, self.plant);
        lead.role(self.leader_now(), true);
        self.lead = Some(lead);
        // What the one before it had on its way still comes.
    }

    fn leader_now(&self) -> f64 {
        self.now * self.leader_clock.0 + self.leader_clock.1
    }

    pub fn local(&self, m: usize) -> f64 {
        self.now * self.fronts[m].clock.0 + self.fronts[m].clock.1
    }

    /// A member dies; what it has out goes on.
    pub fn kill(&mut self, m: usize) {
        self.fronts[m].alive = false;
    }

    /// It comes back as another life.
    pub fn start(&mut self, m: usize) {
        let (life, clock) = (self.fronts[m].who.1 + 1, self.fronts[m].clock);
        let demand = self.fronts[m].demand.clone();
        self.fronts[m] = Front { demand, ..self.fresh(m, life, clock) };
    }

    /// Another version is in force, and all that run use it.
    pub fn change(&mut self, specs: Vec<Spec>) {
        self.version += 1;
        self.specs = specs;
        for m in 0..self.fronts.len() {
            let now = self.local(m);
            let (version, specs) = (self.version, self.specs.clone());
            self.fronts[m].holder.uses(now, version, specs);
        }
    }

    fn used(out: &[Vec<(f64, Who)>], who: &Who, i: usize, now: f64) -> u64 {
        out[i].iter().filter(|(until, of)| *until > now && of == who).count() as u64
    }

    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.out.iter_mut().for_each(|out| out.retain(|(until, _)| *until > now));
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|(at, _)| *at <= now);
        self.mail = later;
        for (_, mail) in due {
            match mail {
                Mail::Ask(m, ask) => {
                    let leader_now = self.leader_now();
                    let Some(lead) = &mut self.lead else { continue };
                    let reply = lead.answer(leader_now, self.version, &self.specs, &self.lives, &ask);
                    self.questions += 1;
                    if self.draw.unit() >= self.lost {
                        let at = now + self.draw.unit() * 8.0;
                        self.mail.push((at, Mail::Reply(m, ask.who.1, reply)));
                    }
                }
                Mail::Reply(m, life, reply) => {
                    let local = self.local(m);
                    let front = &mut self.fronts[m];
                    if !front.alive || front.who.1 != life {
                        continue;
                    }
                    if front.stopped > now {
                        self.mail.push((front.stopped, Mail::Reply(m, life, reply)));
                        continue;
                    }
                    if front.out.is_some_and(|(round, _)| round == reply.round) {
                        front.out = None;
                        front.holder.reply(local, reply);
                        front.due = now + self.times.floor / 6.0;
                    }
                }
            }
        }
        let leader_now = self.leader_now();
        if let Some(lead) = &mut self.lead {
            lead.tick(leader_now, self.version, &self.specs, &self.lives);
        }
        for m in 0..self.fronts.len() {
            let local = self.local(m);
            let front = &mut self.fronts[m];
            // What comes to one that stands still waits in its buffers.
            for (owed, demand) in front.owed.iter_mut().zip(&front.demand) {
                *owed = (*owed + demand * STEP / 1000.0).min(400.0);
            }
            if !front.alive || front.stopped > now {
                continue;
            }
            for i in 0..front.owed.len() {
                while front.owed[i] >= 1.0 {
                    front.owed[i] -= 1.0;
                    let (out, who) = (&self.out, &front.who);
                    if front.holder.take(local, &[i], |i| Fleet::used(out, who, i, now)).is_ok() {
                        self.admitted[i].push(now);
                        *self.counts[i].entry(m).or_default() += 1;
                        if let Amount::Stock { .. } = self.specs[i].amount {
                            let until = now + self.takes * (0.2 + 0.8 * self.draw.unit());
                            let who = front.who.clone();
                            self.out[i].push((until, who));
                        }
                    }
                }
            }
            if front.out.is_some_and(|(_, asked)| now - asked > PATIENCE) {
                front.out = None;
                front.due = now + 50.0;
            }
            if let Some(ms) = front.holder.hurries(local) {
                front.due = front.due.min(now + ms);
            }
            if front.out.is_none() && now >= front.due {
                front.round += 1;
                front.out = Some((front.round, now));
                let (out, who) = (&self.out, &front.who);
                let ask = front.holder.ask(local, front.round, |i| Fleet::used(out, who, i, now));
                if front.cut <= now && self.draw.unit() >= self.lost {
                    let at = now + self.draw.unit() * 8.0;
                    self.mail.push((at, Mail::Ask(m, ask)));
                }
            }
        }
        for (i, out) in self.out.iter().enumerate() {
            self.widest[i] = self.widest[i].max(out.len() as u64);
        }
    }

    /// Parts of a budget that all that run may use now, each by its own clock.
    pub fn usable(&self, i: usize) -> u128 {
        let part = |m: usize| u128::from(self.fronts[m].holder.part(i, self.local(m)));
        (0..self.fronts.len()).filter(|m| self.fronts[*m].alive).map(part).sum()
    }

    /// Admitted of a budget so far.
    pub fn count(&self, i: usize) -> usize {
        self.admitted[i].len()
    }
}

/// By how much admissions of a rate went beyond `rate * w + burst` in the worst window, in admissions.
pub fn excess(admitted: &[f64], per_s: f64, burst: u64) -> f64 {
    let (mut level, mut last, mut worst) = (0.0f64, f64::NEG_INFINITY, f64::NEG_INFINITY);
    for at in admitted {
        if last.is_finite() {
            level = (level - (at - last) * per_s / 1000.0).max(0.0);
        }
        last = *at;
        level += 1.0;
        worst = worst.max(level - burst as f64);
    }
    worst
}
