//! What the gateway keeps in mind of engines, requests and classes, and plain arithmetic. It decides nothing.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// Length of the model's feature vector.
pub const FEATURES: usize = 5;

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

pub struct Try {
    pub engine: usize,
    pub sent: Micros,
    pub heard: Micros,
    pub memory: f64,
    pub expect_ms: f64,
    pub stalled: bool,
    /// In the engine's line, or behind a holder, by its last note: no work is done.
    pub waits: bool,
    /// Counted against its engine as unanswered.
    pub doubted: bool,
    pub cancelled: bool,
    pub end: Option<Outcome>,
}

impl Try {
    pub fn new(engine: usize, now: Micros, memory: f64, expect_ms: f64) -> Try {
        Try {
            engine,
            sent: now,
            heard: now,
            memory,
            expect_ms,
            stalled: false,
            waits: false,
            doubted: false,
            cancelled: false,
            end: None,
        }
    }
}

impl Try {
    /// Books a note of it.
    pub fn hear(&mut self, now: Micros, note: Note) {
        self.heard = now;
        self.stalled |= !matches!(note, Note::Progress(_));
        self.waits = matches!(note, Note::WaitsForMemory | Note::WaitsForHolder);
    }
}

#[derive(Default)]
pub struct Job {
    pub request: Request,
    /// Of its id.
    pub hash: u64,
    pub taken: Micros,
    pub deadline: Micros,
    pub over: bool,
    pub over_share: bool,
    /// Accepted as a flag, or not; undecided while no engine is known.
    pub flagged: Option<bool>,
    pub features: Option<[f64; FEATURES]>,
    pub free_then: f64,
    pub troubled: bool,
    pub work_ms: f64,
    pub need_mb: f64,
    pub tries: Vec<Try>,
}

impl Job {
    pub fn new(request: Request, now: Micros) -> Job {
        let (deadline, hash) = (now.plus(request.left), hash_text(&request.id.0));
        Job { request, hash, taken: now, deadline, free_then: f64::INFINITY, ..Job::default() }
    }
    /// Whether it was sent to an engine before.
    pub fn tried(&self, e: usize) -> bool {
        self.tries.iter().any(|t| t.engine == e)
    }
    pub fn open(&self) -> usize {
        self.tries.iter().filter(|t| t.end.is_none()).count()
    }
    /// The engines that answered it with an error.
    pub fn errors(&self) -> impl Iterator<Item = usize> + '_ {
        self.tries.iter().filter(|t| t.end == Some(Outcome::Error)).map(|t| t.engine)
    }
    /// Marks every open attempt as called off; names those that were not yet.
    pub fn call_off(&mut self) -> Vec<Attempt> {
        let open = self.tries.iter_mut().enumerate().filter(|(_, t)| t.end.is_none() && !t.cancelled);
        open.map(|(i, t)| {
            t.cancelled = true;
            Attempt(i as u32)
        })
        .collect()
    }
    /// Class, table group and estimate bucket, as in the miss list.
    pub fn miss_key(&self) -> (usize, u64, i32) {
        let hint = self.request.memory_hint_mb.filter(|m| *m > 0.0);
        (self.request.class.0, self.request.tables, hint.map_or(-1, |m| m.log2().round() as i32))
    }
    /// Whether the last attempt took work; an error, a failed connection or a wait took next to none.
    pub fn wasted(&self) -> bool {
        let cheap = |t: &Try| {
            matches!(t.end, Some(Outcome::Error | Outcome::ConnectFailed | Outcome::Moot))
                || (t.waits && t.end == Some(Outcome::Cancelled))
        };
        self.tries.last().is_some_and(|t| !cheap(t))
    }
    /// The first attempt that may have run (or is still out).
    pub fn may_have_run(&self) -> Option<&Try> {
        self.tries.iter().find(|t| t.end.is_none_or(|e| !e.never_ran()))
    }
}

/// What answers have taught about a class.
#[derive(Clone, Copy, Default)]
pub struct Learned {
    pub n: f64,
    pub work_ms: f64,
    pub memory_mb: f64,
    /// Estimated work of all that was asked, in ms.
    pub asked: f64,
    /// Truth by estimate.
    pub work: Fit,
    pub memory: Fit,
}

/// How often each table group is asked for: fading counts of own queries.
#[derive(Default)]
pub struct Groups {
    counts: BTreeMap<u64, f64>,
    all: f64,
}

impl Groups {
    pub fn count(&mut self, group: u64) {
        *self.counts.entry(group).or_insert(0.0) += 1.0;
        self.all += 1.0;
    }
    /// Fades all counts; what is hardly asked for is forgotten.
    pub fn fade(&mut self, kept: f64) {
        self.counts.values_mut().for_each(|c| *c *= kept);
        self.counts.retain(|_, c| *c > 0.05);
        self.all = self.counts.values().sum();
    }
    pub fn names(&self) -> Vec<u64> {
        self.counts.keys().copied().collect()
    }
    /// A group's share of all queries: its count, and as if `weight` more were seen at the chance that two
    /// queries ask for one group; that is `prior` until some `weight` were seen.
    pub fn share(&self, group: u64, prior: f64, weight: f64) -> f64 {
        let same: f64 = self.counts.values().map(|c| c * (c - 1.0).max(0.0)).sum();
        let usual = (same + prior * weight) / (self.all * (self.all - 1.0).max(0.0) + weight);
        (self.counts.get(&group).unwrap_or(&0.0) + usual * weight) / (self.all + weight)
    }
}

/// Fading sums of asked work by its price (work for its worth), in steps of a fourth part.
#[derive(Default)]
pub struct Prices(BTreeMap<i32, f64>);

impl Prices {
    fn step(price: f64) -> i32 {
        (price.log2() * 3.0).round() as i32
    }
    pub fn count(&mut self, price: f64, work: f64) {
        *self.0.entry(Prices::step(price)).or_insert(0.0) += work;
    }
    /// Shares of the work that was cheaper, and of what was as dear.
    pub fn around(&self, price: f64) -> (f64, f64) {
        let (step, all) = (Prices::step(price), self.0.values().sum::<f64>().max(1e-9));
        let cheaper: f64 = self.0.range(..step).map(|(_, work)| work).sum();
        (cheaper / all, self.0.get(&step).unwrap_or(&0.0) / all)
    }
    pub fn fade(&mut self, kept: f64) {
        self.0.values_mut().for_each(|work| *work *= kept);
        self.0.retain(|_, work| *work > 1e-3);
    }
}

/// Parts of each table group's queries by engine, and the room left on each engine.
#[derive(Default)]
pub struct Plan {
    pub parts: BTreeMap<u64, Vec<(usize, f64)>>,
    pub room: Vec<f64>,
}

impl Plan {
    /// The part of a group's queries that is laid on an engine.
    pub fn part(&self, group: u64, e: usize) -> Option<f64> {
        self.parts.get(&group)?.iter().find(|(i, _)| *i == e).map(|(_, part)| *part)
    }
    /// Lays a group's share on engines in their order, on each up to its room.
    pub fn fill(&mut self, group: u64, mut share: f64, order: impl Iterator<Item = usize>) {
        let parts = self.parts.entry(group).or_default();
        for e in order {
            let part = share.min(self.room[e]);
            if part > 0.0 {
                parts.push((e, part));
            }
            self.room[e] -= part;
            share -= part;
        }
    }
}

/// What one kind of machine shows: fading sums of own queries there, and threads a core for all gateways.
#[derive(Clone, Copy, Default)]
pub struct Shown {
    pub out: f64,
    pub threads: f64,
    pub memory: f64,
    /// Own queries, their threads and all cores of engines from which no fresh report speaks.
    pub unheard: [f64; 3],
    pub spread: f64,
    /// The same where no fresh report speaks.
    pub spread_unheard: f64,
    /// Share of its even part that is left to classes open to all.
    pub left: f64,
}

impl Shown {
    /// Fades what own work and fresh reports show of the engines of a kind into what was seen before.
    pub fn survey<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a Engine>,
        kept: f64,
        gateways: f64,
        by_stretch: f64,
    ) {
        let (mut out, mut threads, mut memory, mut cores, mut count) = (0.0, 0.0, 0.0, 0.0, 0.0);
        let (mut known, mut told, mut least, mut unheard) = (0.0, 0.0, false, [0.0; 3]);
        for engine in engines {
            least |= engine.report.busy.is_some() && engine.report.in_flight.is_none();
            // What warms up holds little: the queries that are out are on the others.
            (cores, count, out) = (cores + engine.cores * engine.warm, count + 1.0, out + engine.out);
            let parts = [engine.out, engine.threads, engine.cores * engine.warm];
            unheard.iter_mut().zip(parts).for_each(|(sum, part)| *sum += (1.0 - engine.trust) * part);
            (threads, memory) = (threads + engine.threads, memory + engine.memory_out);
            if let Some(others) = engine.told(self) {
                known += engine.trust * engine.cores;
                told += engine.trust * (others + engine.threads);
            }
        }
        self.out = kept * self.out + (1.0 - kept) * out;
        self.threads = kept * self.threads + (1.0 - kept) * threads;
        self.memory = kept * self.memory + (1.0 - kept) * memory;
        if count > 0.0 {
            // Few own queries say little; then the stretch of answers tells how crowded cores are.
            let own = |out: f64, threads: f64, cores: f64| {
                (threads * gateways / cores.max(1e-3) * out + by_stretch) / (out + 1.0)
            };
            let (all, one) = (own(self.out, self.threads, cores), cores / count / 2.0);
            let blend = (all * one + told) / (one + known);
            // Busy cores tell the least that runs.
            self.spread = if least { blend.max(all) } else { blend };

            // Reports come with answers, so that of many gateways each hears most from engines with little to do:
            // these say nothing of the others. What it has out there does, and is one part in `gateways` of all.
            let before = self.unheard.iter_mut().zip(unheard);
            before.for_each(|(sum, part)| *sum = kept * *sum + (1.0 - kept) * part);
            let [out, threads, cores] = self.unheard;
            self.spread_unheard = (own(out, threads, cores) * out + self.spread) / (out + 1.0);
        }
    }
    /// Threads of all other gateways on an engine, as far as own queries there, one in `gateways` of all, tell
    /// against a mean that weighs as much as `prior` queries.
    pub fn sample(&self, engine: &Engine, gateways: f64, prior: f64) -> f64 {
        let spread = engine.trust * self.spread + (1.0 - engine.trust) * self.spread_unheard;
        let mean = (spread * engine.cores / self.threads_a_query()).max(1e-6);
        let queries = (gateways - 1.0) * (prior + engine.out) / (prior * gateways / mean + 1.0);
        queries * self.threads_a_query()
    }
    /// Near 1 before anything was seen.
    pub fn threads_a_query(&self) -> f64 {
        (self.threads + 0.2) / (self.out + 0.2)
    }
    pub fn memory_a_thread(&self) -> f64 {
        self.memory / (self.threads + 0.2)
    }
}

impl Learned {
    /// Work as usual for the class; before any answer a guess by its aim.
    pub fn usual_work(&self, class: &ClassSettings) -> f64 {
        let guess = class.aim.as_millis() * class.threads.max(0.1) / 4.0;
        if self.n > 0.0 {
            self.work_ms
        } else {
            guess
        }
    }
    /// Work as usual for the class, or while that is hardly known by the estimate, if it is more.
    pub fn usual(&self, estimate: f64) -> f64 {
        self.work_ms.max(if self.n < 10.0 { estimate } else { 0.0 })
    }
    /// Takes in what a query took, beside its estimates.
    pub fn take(
        &mut self,
        work: f64,
        hint: Option<f64>,
        memory: Option<f64>,
        memory_hint: Option<f64>,
        step: f64,
    ) {
        self.n += 1.0;
        self.work_ms += step.max(1.0 / self.n) * (work - self.work_ms);
        hint.into_iter().for_each(|hint| self.work.take(hint.ln(), work.ln(), step));
        let Some(memory) = memory else { return };
        self.memory_mb += step.max(1.0 / self.n) * (memory - self.memory_mb);
        memory_hint.into_iter().for_each(|hint| self.memory.take(hint.ln(), memory.ln(), step));
    }
}

/// A straight line through pairs of logarithms (estimate, truth): fading means and squares.
#[derive(Clone, Copy, Default)]
pub struct Fit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Fit {
    pub fn take(&mut self, x: f64, y: f64, step: f64) {
        self.n += 1.0;
        let step = step.max(1.0 / self.n);
        let (dx, dy) = (x - self.x, y - self.y);
        let blend = |old: f64, square: f64| (1.0 - step) * (old + step * square);
        (self.xx, self.xy, self.yy) =
            (blend(self.xx, dx * dx), blend(self.xy, dx * dy), blend(self.yy, dy * dy));
        (self.x, self.y) = (self.x + step * dx, self.y + step * dy);
    }
    /// The truth to be expected, and its deviation; `slope` and `sd` are worth `weight` pairs that scatter by 1.
    pub fn expect(&self, x: f64, slope: f64, sd: f64, weight: f64) -> (f64, f64) {
        if self.n < 1.0 {
            return (x, sd);
        }
        let all = self.n + weight;
        let slope = (self.n * self.xy + weight * slope) / (self.n * self.xx + weight);
        let var = (self.yy - slope * (2.0 * self.xy - slope * self.xx)).max(0.0);
        (self.y + slope * (x - self.x), ((self.n * var + weight * sd * sd) / all).sqrt())
    }
}

/// Requests in the order of their keys, and the rests of keys.
#[derive(Default)]
pub struct KeyLines {
    lines: HashMap<Arc<str>, VecDeque<u64>>,
    rests: HashMap<Arc<str>, Micros>,
}

impl KeyLines {
    pub fn join(&mut self, key: &Arc<str>, seq: u64) {
        self.lines.entry(key.clone()).or_default().push_back(seq);
    }
    pub fn leave(&mut self, key: &Arc<str>, seq: u64) {
        self.lines.entry(key.clone()).or_default().retain(|s| *s != seq);
    }
    pub fn first(&self, key: &Arc<str>, seq: u64) -> bool {
        self.lines.get(key).and_then(|line| line.front()).is_none_or(|first| *first == seq)
    }
    pub fn rest(&mut self, key: &Arc<str>, until: Micros) {
        self.rests.insert(key.clone(), until);
    }
    pub fn rests(&self, key: &Arc<str>, now: Micros) -> bool {
        self.rests.get(key).is_some_and(|until| *until > now)
    }
    pub fn tidy(&mut self, now: Micros) {
        self.lines.retain(|_, line| !line.is_empty());
        self.rests.retain(|_, until| *until > now);
    }
}

/// Class, table group and estimate bucket of queries that met trouble unflagged, and when they last did.
#[derive(Default)]
pub struct MissList(BTreeMap<(usize, u64, i32), Micros>);

impl MissList {
    pub fn has(&self, key: &(usize, u64, i32), now: Micros, age: Micros) -> bool {
        self.0.get(key).is_some_and(|at| now.since(*at) < age)
    }
    /// Notes one; past `most` entries the oldest is dropped.
    pub fn note(&mut self, key: (usize, u64, i32), now: Micros, most: usize) {
        self.0.insert(key, now);
        if self.0.len() > most {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at).map(|(k, _)| *k);
            oldest.and_then(|k| self.0.remove(&k));
        }
    }
    pub fn tidy(&mut self, now: Micros, age: Micros) {
        self.0.retain(|_, at| now.since(*at) < age);
    }
}

/// What classes bound to some kinds of machine leave of each kind's even share of work to the other classes.
pub fn room_left(shown: &mut [Shown], engines: &[Engine], settings: &Settings, learned: &[Learned]) {
    let sum = |kind: usize| engines.iter().filter(|e| e.listed && e.kind == kind).map(|e| e.cores).sum();
    let cores: Vec<f64> = (0..shown.len()).map(sum).collect();
    let mut bound = vec![0.0; cores.len()];
    for (class, learned) in settings.classes.iter().zip(learned) {
        let Some(kinds) = &class.kinds else { continue };
        let open = |kind: &usize| settings.kinds.get(*kind).is_some_and(|k| kinds.contains(&k.name));
        let share =
            learned.asked / (0..cores.len()).filter(open).map(|kind| cores[kind]).sum::<f64>().max(0.1);
        (0..cores.len()).filter(open).for_each(|kind| bound[kind] += share);
    }
    let even = learned.iter().map(|l| l.asked).sum::<f64>() / cores.iter().sum::<f64>().max(0.1);
    for (shown, bound) in shown.iter_mut().zip(bound) {
        shown.left = if even > 0.0 { (1.0 - bound / even).min(1.0) } else { 1.0 };
    }
}

/// The greatest mean of a sum of independent parts of one size whose `deviations` still stay within `most`.
pub fn mean_within(most: f64, size: f64, deviations: f64) -> f64 {
    let noise = deviations * size.sqrt();
    (((noise * noise + 4.0 * most).sqrt() - noise) / 2.0).powi(2).max(0.1)
}

/// The length of a turn, as near to `ms` as halves and doubles of `span` come: gateways whose figures differ a
/// little still agree whose turn it is.
pub fn turn_ms(ms: f64, span: f64) -> f64 {
    span * (ms / span).log2().round().exp2()
}

/// Distance of an engine from what is placed, for the order of a weighted rendezvous: to be divided by a weight.
pub fn rendezvous(engine: u64, placed: u64) -> f64 {
    -(((mix(engine ^ mix(placed)) >> 11) as f64 + 1.0) / (1u64 << 53) as f64).ln()
}

/// The indices of `weighted` (hash and weight) in the order of their distance from what is placed.
pub fn by_distance(weighted: impl Iterator<Item = (usize, u64, f64)>, placed: u64) -> Vec<usize> {
    let far = |(i, hash, weight)| (rendezvous(hash, placed) / weight, i);
    let mut order: Vec<(f64, usize)> = weighted.map(far).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().map(|(_, i)| i).collect()
}

/// Whether an engine is among those that a class is bound to.
pub fn open_to(class: &ClassSettings, member: &Member) -> bool {
    class.kinds.as_ref().is_none_or(|k| k.contains(&member.kind))
        && class.zones.as_ref().is_none_or(|z| z.contains(&member.zone))
}

/// When requests were taken and further attempts sent.
#[derive(Default)]
pub struct AttemptCounts {
    pub taken: VecDeque<Micros>,
    pub further: VecDeque<Micros>,
}

impl AttemptCounts {
    /// Requests taken inside a span, and further attempts up to its edge.
    pub fn within(&self, now: Micros, span: Micros) -> (f64, f64) {
        let taken = self.taken.iter().filter(|t| now.since(**t) < span).count();
        let further = self.further.iter().filter(|t| now.since(**t) <= span).count();
        (taken as f64, further as f64)
    }
    pub fn tidy(&mut self, now: Micros, span: Micros) {
        self.taken.retain(|t| now.since(*t) <= span);
        self.further.retain(|t| now.since(*t) <= span);
    }
}

/// When to try again after failures: pauses that double.
#[derive(Default)]
pub struct Backoff {
    at: Option<Micros>,
    failures: u32,
}

impl Backoff {
    /// Pauses for half to one and a half of a length that doubles from `first` to `longest`.
    pub fn failed(&mut self, now: Micros, draw: u64, first: Micros, longest: Micros) {
        let pause = longest.min(Micros(first.0 << self.failures.min(16)));
        self.at = Some(now.plus(Micros(pause.0 / 2 + draw % pause.0.max(1))));
        self.failures += 1;
    }
    /// Whether the pause is over; once for each.
    pub fn due(&mut self, now: Micros) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }
}

/// Fading counts by name.
#[derive(Default)]
pub struct Rates(BTreeMap<String, f64>);

impl Rates {
    /// Counts one more; the sum with it.
    pub fn count(&mut self, name: &str) -> f64 {
        let sum = self.0.entry(name.to_owned()).or_insert(0.0);
        *sum += 1.0;
        *sum
    }
    pub fn fade(&mut self, kept: f64) {
        self.0.values_mut().for_each(|sum| *sum *= kept);
        self.0.retain(|_, sum| *sum > 0.01);
    }
}

/// An online logistic model.
#[derive(Default)]
pub struct Model(pub [f64; FEATURES]);

impl Model {
    pub fn predict(&self, features: &[f64; FEATURES]) -> f64 {
        let z: f64 = features.iter().zip(&self.0).map(|(x, w)| x * w).sum();
        1.0 / (1.0 + (-z).exp())
    }
    pub fn learn(&mut self, features: &[f64; FEATURES], label: f64, step: f64) {
        let slip = label - self.predict(features);
        self.0.iter_mut().zip(features).for_each(|(w, x)| *w += step * slip * x);
    }
}

pub fn entropy(p: f64) -> f64 {
    let part = |q: f64| if q > 0.0 { -q * q.log2() } else { 0.0 };
    part(p) + part(1.0 - p)
}

pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn hash_text(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

pub fn fade(since: Micros, half_ms: f64) -> f64 {
    0.5f64.powf(since.as_millis() / half_ms)
}
