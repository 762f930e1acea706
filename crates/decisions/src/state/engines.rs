//! Engines as they are known, and what speaks for or against each and its zone.

use super::*;
use std::collections::{BTreeSet, HashMap, VecDeque};

#[derive(Clone, Copy, Default, PartialEq)]
pub enum Health {
    #[default]
    Well,
    /// Out of the route until then.
    Ejected(Micros),
    /// One attempt at a time until one is served.
    HalfOpen,
}

#[derive(Default)]
pub struct Engine {
    pub hash: u64,
    pub member: Member,
    pub cores: f64,
    pub memory_mb: f64,
    pub kind: usize,
    pub listed: bool,
    /// Share of an engine's even part of all work that it holds as it warms, as of the last survey.
    pub warm: f64,
    pub started: Option<Micros>,
    pub cold_sent: VecDeque<(Micros, f64)>,
    pub out: f64,
    pub threads: f64,
    pub memory_out: f64,
    pub bound: f64,
    pub bound_moved: Micros,
    /// Stretch of its own answers, and that with the fleet's.
    pub seen: f64,
    pub stretch: f64,
    pub trust: f64,
    pub stretch_n: f64,
    pub answered: Micros,
    pub signs: Tally,
    pub doubt: f64,
    pub weighed: Micros,
    pub lost_in_row: u32,
    pub resets_in_row: u32,
    pub health: Health,
    pub strikes: u32,
    pub report: LoadReport,
    pub report_at: Option<Micros>,
    pub charged: f64,
    /// Own queries and threads out when the last news came.
    pub out_then: f64,
    pub threads_then: f64,
    pub full_until: Micros,
    pub quota: f64,
    pub misses: f64,
    pub trouble: f64,
    pub last_trouble: f64,
}

impl Engine {
    pub fn new(id: &EngineId) -> Engine {
        Engine { hash: hash_text(&id.0), quota: 1.0, warm: 1.0, ..Engine::default() }
    }
    /// Forgets what was known of the process before.
    pub fn restarted(&mut self, started: Option<Micros>, bound: f64) {
        (self.started, self.bound, self.health) = (started, bound, Health::Well);
        (self.strikes, self.lost_in_row, self.doubt, self.stretch_n) = (0, 0, 0.0, 0.0);
        (self.report_at, self.trust) = (None, 0.0);
    }
    /// The last report, if it is trusted so far.
    pub fn fresh(&self, trust: f64) -> Option<&LoadReport> {
        Some(&self.report).filter(|_| self.trust >= trust)
    }
    /// Books a report. It is some time old, so it holds only a part of what was sent since the last.
    pub fn take_report(&mut self, now: Micros, report: &LoadReport) {
        if self.report != *report {
            (self.charged, self.trust) = (self.charged / 2.0, 1.0);
            (self.out_then, self.threads_then) = (self.out, self.threads);
            self.report = report.clone();
        }
        self.report_at = Some(now);
    }
    /// Books an attempt sent there.
    pub fn take(&mut self, threads: f64, memory: f64) {
        self.out += 1.0;
        self.threads += threads;
        self.memory_out += memory;
        self.charged += memory;
    }
    /// Books work sent to an engine that may be cold; what is older than `span` is forgotten.
    pub fn take_cold(&mut self, now: Micros, work_ms: f64, span: Micros) {
        self.cold_sent.retain(|(t, _)| now.since(*t) <= span);
        self.cold_sent.push_back((now, work_ms));
    }
    /// Threads of others by the last report. Own queries are taken as they were when it came, so that an own
    /// send counts at once on top.
    pub fn told(&self, shown: &Shown) -> Option<f64> {
        let held = self.report.in_flight.map(|held| held - self.report.queued.unwrap_or(0.0));
        let others = held.map(|held| (held - self.out_then) * shown.threads_a_query());
        let busy = self.report.busy.map(|busy| busy * self.cores - self.threads_then);
        others.or(busy).map(|threads| threads.max(0.0))
    }
    /// Books how far an answer was stretched.
    pub fn take_stretch(&mut self, now: Micros, seen: f64, step: f64, half_ms: f64) {
        self.stretch_n = 1.0 + self.stretch_n * fade(now.since(self.answered), half_ms);
        self.answered = now;
        self.seen += step.max(1.0 / self.stretch_n) * (seen - self.seen);
    }
    /// Books the end of one.
    pub fn give_back(&mut self, threads: f64, memory: f64) {
        self.out = (self.out - 1.0).max(0.0);
        self.threads = (self.threads - threads).max(0.0);
        self.memory_out = (self.memory_out - memory).max(0.0);
    }
}

/// A place for an engine not known before: that of one that is gone and not in use, so that a long day of replacements
/// does not make the table grow.
pub fn place(
    engines: &mut Vec<Engine>,
    index: &mut HashMap<EngineId, usize>,
    id: &EngineId,
    used: impl Fn(usize) -> bool,
) -> usize {
    let gone = |e: &Engine| e.member.state == MemberState::Gone;
    let free = (0..engines.len()).find(|e| gone(&engines[*e]) && !used(*e));
    let e = free.unwrap_or(engines.len());
    match free {
        Some(_) => drop(index.remove(&std::mem::replace(&mut engines[e], Engine::new(id)).member.engine)),
        None => engines.push(Engine::new(id)),
    }
    index.insert(id.clone(), e);
    e
}

/// Fading sums of signs, and of the bad ones among them.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    all: f64,
    bad: f64,
    when: Micros,
}

impl Tally {
    pub fn at(&self, now: Micros, half_ms: f64) -> (f64, f64) {
        let kept = fade(now.since(self.when), half_ms);
        (self.all * kept, self.bad * kept)
    }
    pub fn count(&mut self, now: Micros, bad: bool, half_ms: f64) {
        self.add(now, 1.0, f64::from(u8::from(bad)), half_ms);
    }
    /// The bad ones' share, with `prior` good ones more.
    pub fn share(&self, now: Micros, half_ms: f64, prior: f64) -> f64 {
        let (all, bad) = self.at(now, half_ms);
        (bad / (all + prior)).min(1.0)
    }
    /// The bad ones' share without those of `own`, and with `prior` more of which a part `least` is bad.
    pub fn share_without(&self, own: &Tally, now: Micros, half_ms: f64, least: f64, prior: f64) -> f64 {
        let ((all, bad), (own, own_bad)) = (self.at(now, half_ms), own.at(now, half_ms));
        ((bad - own_bad).max(0.0) + least * prior) / ((all - own).max(0.0) + prior)
    }
    pub fn add(&mut self, now: Micros, more: f64, more_bad: f64, half_ms: f64) {
        let (all, bad) = self.at(now, half_ms);
        (self.all, self.bad, self.when) = (all + more, bad + more_bad, now);
    }
}

/// What says that a zone is lost with all its engines.
#[derive(Default)]
pub struct ZoneDoubt {
    /// Engines lost since anything was heard from the zone.
    lost: BTreeSet<usize>,
    trials: u32,
    next_trial: Micros,
}

impl ZoneDoubt {
    /// Something came from one of its engines; or that took no connection, or missed a note that was due.
    pub fn tell(&mut self, e: usize, alive: bool) {
        if alive {
            (self.trials, self.next_trial) = (0, Micros(0));
            self.lost.clear();
        } else {
            self.lost.insert(e);
        }
    }
    /// An attempt ended there. Time-outs, resets and cancels may be of a machine that says nothing: no sign.
    pub fn end(&mut self, e: usize, outcome: Outcome) {
        if !outcome.end_unsure() && outcome != Outcome::Moot {
            self.tell(e, outcome != Outcome::ConnectFailed);
        }
    }
    /// A trial goes out: the next after a rest that doubles from `first` to `longest`.
    pub fn try_again(&mut self, now: Micros, first: Micros, longest: Micros) {
        self.next_trial = now.plus(Micros(first.0 << self.trials.min(8)).min(longest));
        self.trials += 1;
    }
}

/// The zones' doubts.
#[derive(Default)]
pub struct Zones(BTreeMap<String, ZoneDoubt>);

impl Zones {
    pub fn of(&mut self, engine: &Engine) -> &mut ZoneDoubt {
        self.named(&engine.member.zone)
    }
    pub fn named(&mut self, zone: &str) -> &mut ZoneDoubt {
        if !self.0.contains_key(zone) {
            self.0.insert(zone.to_owned(), ZoneDoubt::default());
        }
        self.0.get_mut(zone).expect("just put there")
    }
    /// How many engines of a zone are lost, with nothing heard from it since.
    pub fn lost(&self, zone: &str) -> usize {
        self.0.get(zone).map_or(0, |doubt| doubt.lost.len())
    }
    /// Whether the next trial of a zone is due.
    pub fn due(&self, zone: &str, now: Micros) -> bool {
        self.0.get(zone).is_none_or(|doubt| now >= doubt.next_trial)
    }
}
