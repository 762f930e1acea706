//! What each front end does: holds parts until they end by themselves, says what it wants, and admits from memory only.
//!
//! All times are of the member's own monotonic clock that counts suspension, in milliseconds.

use crate::leader::{Ask, Epoch, Reply};
use crate::spec::{Amount, Of, Spec};
use crate::{units, Parts, Plant, Who, WHOLE};

const LATELY: f64 = 500.0; // ms over which what is asked for is counted
const ENOUGH: f64 = 1.25; // wholes; more than it all is worth nothing more, and takes longer to fade
const TELL: f64 = 0.12; // of what was told last: a want that differs by less is not told anew

/// A budget as this front end holds it.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    spec: Spec,
    share: Parts,
    seat: bool,
    /// For a rate: what may come at once.
    tokens: f64,
    /// When that was last filled, and with which part.
    filled: f64,
    by: Parts,
    /// What was asked for lately, fading; for a stock what was asked for in vain.
    asked: f64,
    faded: f64,
    /// What was told of it last, and what is on its way.
    told: (f64, u64),
    tells: (f64, u64),
}

impl Line {
    fn new(spec: Spec, now: f64) -> Line {
        Line {
            spec,
            share: 0,
            seat: false,
            tokens: 0.0,
            filled: now,
            by: 0,
            asked: 0.0,
            faded: now,
            told: (0.0, 0),
            tells: (0.0, 0),
        }
    }

    fn asked_by(&self, now: f64) -> f64 {
        let asked = self.asked * (-(now - self.faded).max(0.0) / LATELY).exp();
        if asked < 0.01 {
            0.0
        } else {
            asked
        }
    }

    /// One more is asked for.
    fn count(&mut self, now: f64) {
        let most = match self.spec.amount {
            Amount::Rate { per_s, .. } => ENOUGH * per_s * LATELY / 1000.0,
            Amount::Stock { most, .. } => ENOUGH * most as f64,
        };
        self.asked = (self.asked_by(now) + 1.0).min(most.max(1.0));
        self.faded = now;
    }

    /// In units: what it could use now.
    fn demand(&self, now: f64, used: u64) -> f64 {
        match self.spec.amount {
            Amount::Rate { per_s, burst } => self.asked_by(now) / LATELY * 1000.0 / per_s * burst as f64,
            Amount::Stock { most, .. } => (used as f64 + self.asked_by(now).ceil()).min(2.0 * most as f64),
        }
    }
}

/// A member's part.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    who: Who,
    zone: String,
    drains: bool,
    version: u64,
    lines: Vec<Line>,
    /// Until when parts may be used, and what was set aside.
    until: f64,
    floor_until: f64,
    drift: f64,
    place: (u64, u64),
    /// The last answer that was taken in.
    known: Option<(Epoch, u64)>,
    /// Whose leader wants to hear all that is held.
    state: Option<Epoch>,
    /// The question that is out: its round, when it was asked, and whether it states all.
    out: Option<(u64, f64, bool)>,
    again: Option<f64>,
    /// Answers in a row that asked for another soon and moved nothing.
    idle: u32,
    plant: Plant,
}

impl Holder {
    /// A member that has just started: it holds nothing.
    pub fn new(who: Who, zone: &str, plant: Plant) -> Holder {
        Holder {
            who,
            zone: zone.to_owned(),
            drains: false,
            version: 0,
            lines: Vec::new(),
            until: f64::NEG_INFINITY,
            floor_until: f64::NEG_INFINITY,
            drift: 0.0,
            place: (0, 1),
            known: None,
            state: None,
            out: None,
            again: None,
            idle: 0,
            plant,
        }
    }

    /// The budgets of a version that is in use from now on. What is held of those that go on as they were is kept.
    pub fn uses(&mut self, now: f64, version: u64, specs: Vec<Spec>) {
        self.settle(now);
        let mut before = std::mem::take(&mut self.lines);
        for spec in specs {
            let kept = before.iter().position(|l| l.spec.name == spec.name && same_form(&l.spec, &spec));
            let mut line = match kept {
                Some(at) => Line { spec, ..before.swap_remove(at) },
                None => Line::new(spec, now),
            };
            let most = line.spec.units() as f64;
            (line.tokens, line.told) = (line.tokens.min(most), (-1.0, 0));
            self.lines.push(line);
        }
        self.version = version;
        self.settle(now);
    }

    /// Whether there is any budget.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The budgets in use, in the order in which they are named by number here.
    pub fn specs(&self) -> impl Iterator<Item = &Spec> + '_ {
        self.lines.iter().map(|line| &line.spec)
    }

    /// The budgets of a kind that bind what comes of a class and an account, by number.
    pub fn binding(&self, of: Of, class: &str, account: Option<&str>) -> Vec<usize> {
        let binds =
            |(i, line): (usize, &Line)| (line.spec.of == of && line.spec.binds(class, account)).then_some(i);
        self.lines.iter().enumerate().filter_map(binds).collect()
    }

    /// It is about to end: it wants nothing more.
    pub fn drain(&mut self) {
        self.drains = true;
    }

    /// What it may use of a budget now, of the whole.
    pub fn part(&self, i: usize, now: f64) -> Parts {
        let Some(line) = self.lines.get(i) else { return 0 };
        let holds = now < self.until || self.plant == Plant::NoEnd;
        let share = if holds { line.share } else { 0 };
        share + if line.seat && now < self.floor_until { line.spec.floor_part() } else { 0 }
    }

    /// For a budget of what cold engines bear: one of how many front ends it is by its part, and which. Of a part that has
    /// ended nothing is left: one of very many.
    pub fn among(&self, i: usize, now: f64) -> (f64, u64) {
        let part = self.part(i, now).max(1);
        ((WHOLE as f64 / part as f64).max(self.place.1 as f64).max(1.0), self.place.0)
    }

    /// In whole units: what may be out at once, or come at once.
    pub fn units(&self, i: usize, now: f64) -> u64 {
        self.lines.get(i).map_or(0, |line| units(self.part(i, now), line.spec.units()))
    }

    /// Fills what may come at once, by the smaller of the parts held then and now; what goes beyond the part vanishes.
    fn fill(&mut self, i: usize, now: f64) {
        let part = self.part(i, now);
        let (drift, most) = (self.drift, self.units(i, now) as f64);
        let Some(line) = self.lines.get_mut(i) else { return };
        if let Amount::Rate { per_s, .. } = line.spec.amount {
            let by = part.min(line.by) as f64 / WHOLE as f64;
            // A clock that runs fast within the drift counts so much more time than there was.
            let passed = (now - line.filled).max(0.0) / (1.0 + drift);
            line.tokens = (line.tokens + per_s * by * passed / 1000.0).min(most);
        }
        (line.filled, line.by) = (now, part);
    }

    fn settle(&mut self, now: f64) {
        (0..self.lines.len()).for_each(|i| self.fill(i, now));
    }

    /// Whether one more may come under all of these budgets; if so it is taken from each. `used` tells how many are out of a
    /// stock. What was asked for counts, whatever becomes of it.
    pub fn take(&mut self, now: f64, which: &[usize], used: impl Fn(usize) -> u64) -> Result<(), usize> {
        let mut lacks = None;
        for &i in which {
            self.fill(i, now);
            let most = self.units(i, now);
            let Some(line) = self.lines.get_mut(i) else { continue };
            let has = match line.spec.amount {
                Amount::Rate { .. } => {
                    line.count(now);
                    line.tokens >= 1.0
                }
                Amount::Stock { .. } => {
                    let has = used(i) < most;
                    if !has {
                        line.count(now);
                    }
                    has
                }
            };
            if !has && lacks.is_none() {
                lacks = Some(i);
            }
        }
        if let Some(i) = lacks {
            return Err(i);
        }
        for &i in which {
            if let Some(line) = self.lines.get_mut(i) {
                if matches!(line.spec.amount, Amount::Rate { .. }) {
                    line.tokens -= 1.0;
                }
            }
        }
        Ok(())
    }

    /// What it asks the leader with a question of its own number. `used` tells how many are out of a stock.
    pub fn ask(&mut self, now: f64, round: u64, used: impl Fn(usize) -> u64) -> Ask {
        self.settle(now);
        if now >= self.until && self.plant != Plant::NoEnd {
            // What has ended is held no more, whatever is answered later.
            self.lines.iter_mut().for_each(|line| line.share = 0);
            self.known = None;
        }
        if now >= self.floor_until {
            self.lines.iter_mut().for_each(|line| line.seat = false);
        }
        let full = self.state.map(|epoch| {
            let held = self.lines.iter().filter(|line| line.share > 0 || line.seat);
            (epoch, held.map(|line| (line.spec.name.clone(), line.share, line.seat)).collect())
        });
        let states = full.is_some();
        let mut wants = Vec::new();
        for i in 0..self.lines.len() {
            let (out, own) = (used(i), self.units(i, now));
            let line = &mut self.lines[i];
            let demand = line.demand(now, out);
            let (told, was_out) = line.told;
            let differs = (demand - told).abs() > (TELL * told).max(0.3) || (demand == 0.0) != (told == 0.0);
            // More out than it holds: that counts at the leader, and so must be what it is.
            let beyond = out != was_out && (out > own || was_out > own);
            let something = demand > 0.0 || out > 0;
            if (states && something) || (!states && (differs || beyond)) {
                line.tells = (demand, out);
                wants.push((line.spec.name.clone(), demand, out));
            } else {
                line.tells = if states { (0.0, 0) } else { line.told };
            }
        }
        self.out = Some((round, now, states));
        Ask {
            who: self.who.clone(),
            round,
            version: self.version,
            zone: self.zone.clone(),
            drains: self.drains,
            known: self.known,
            full,
            wants,
        }
    }

    /// The answer to the question that is out; any other tells nothing.
    pub fn reply(&mut self, now: f64, reply: Reply) {
        let Some((_, asked, _)) = self.out.take_if(|(round, ..)| *round == reply.round) else { return };
        // What waits for something that has to end first is asked for ever more rarely.
        self.idle = if reply.list.is_empty() { (self.idle + 1).min(12) } else { 0 };
        self.again = reply.again.map(|ms| ms * 1.25f64.powi(self.idle as i32));
        if !reply.renewed {
            // Whoever leads knows too little of what is held here.
            self.state = (reply.epoch != Epoch::default()).then_some(reply.epoch);
            self.again = self.state.map(|_| 10.0);
            return;
        }
        self.state = None;
        self.settle(now);
        let Some(times) = reply.times else { return };
        let held = |line: &Line| reply.list.iter().find(|(name, ..)| *name == line.spec.name);
        for line in &mut self.lines {
            match held(line) {
                Some((_, share, seat)) => (line.share, line.seat) = (*share, *seat),
                None if reply.whole => (line.share, line.seat) = (0, false),
                None => {}
            }
            line.told = line.tells;
        }
        self.known = Some((reply.epoch, reply.round));
        (self.drift, self.place) = (times.drift, reply.place);
        // What was asked for later ends later: an answer never shortens what an earlier one gave.
        self.until = asked + times.held(times.share);
        self.floor_until = asked + times.held(times.floor);
        self.settle(now);
        if self.plant == Plant::FullBucket {
            for i in 0..self.lines.len() {
                let most = self.units(i, now) as f64;
                let line = &mut self.lines[i];
                if reply.list.iter().any(|(name, ..)| *name == line.spec.name) {
                    line.tokens = most;
                }
            }
        }
    }

    /// Ask again so soon, in milliseconds after the last answer: a part is on the move, or more is wanted than is held.
    pub fn hurries(&self, now: f64) -> Option<f64> {
        if self.lines.is_empty() {
            return None;
        }
        let (mut lacks, mut falls) = (false, false);
        for (i, line) in self.lines.iter().enumerate() {
            let (told, demand) = (line.told.0.max(0.0), line.demand(now, 0));
            lacks |= demand > 2.0 * told + 1.0 && demand > self.units(i, now) as f64;
            let rate = matches!(line.spec.amount, Amount::Rate { .. });
            falls |= rate && demand < 0.7 * told - 1.0 && self.units(i, now) as f64 > demand;
        }
        let unheard = self.known.is_none() && self.state.is_none();
        let soon = [(lacks, 30.0), (unheard, 60.0), (falls, 150.0)];
        self.again.or(soon.iter().find(|(is, _)| *is).map(|(_, ms)| *ms))
    }
}

/// Whether what is held of one form may be used under the other.
fn same_form(a: &Spec, b: &Spec) -> bool {
    let kind = |s: &Spec| (s.of, matches!(s.amount, Amount::Rate { .. }), s.account.clone(), s.class.clone());
    kind(a) == kind(b) && (a.floor_part(), a.seats) == (b.floor_part(), b.seats)
}
