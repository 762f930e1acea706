//! All decisions of the gateway. Its interface (settings, events, actions) stands in `src/api.rs`.
//!
//! Reading order is a request's path: arrival, cheap pass, prediction, quota, hold, route, rules gate, send,
//! outcomes, further attempts, health, the tick. Mechanism: SAFELoad (see `docs/design.md`).

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
mod health;
pub mod standing;

const GAMMA: f64 = 1.0; // quota; weight of a flag's entropy in its price: the paper's
const BETA: f64 = 0.5; // quota; discount for each miss since the last refill: the paper's
const C_MIN: f64 = 0.1; // quota; lowest price of a flag: the paper's
const WINDOW: Micros = Micros::from_millis(3000); // a heavy query or two; short against a storm
const SMALL_NEED: f64 = 1.0 / 64.0; // share of memory; sixty such queries fit side by side
const FLAG_AT: f64 = 0.5; // confidence; trouble is likelier than not
const LEARN: f64 = 0.15; // step of the model; some tens of answers move it from rest
const MISSES: usize = 256; // entries of the miss list; bounds memory
const MISS_AGE: Micros = Micros::from_millis(60_000); // age in the miss list; tables and plans change
const GRANT_PART: f64 = 0.85; // of the memory, granted by threads; the rest is for light queries
const NEED_MARGIN: f64 = 0.9; // deviations of the log estimate error; about four needs in five are covered
const PRIOR_SD: f64 = 0.4; // log error of an estimate before answers tell: about a factor 1.5
const PRIOR_SLOPE: f64 = 0.6; // log of truth by log of estimate: estimates scatter about as much as truth
const PRIOR_PAIRS: f64 = 6.0; // answers that these two are worth
const ESTIMATE_STEP: f64 = 0.02; // weight of a new answer; the last fifty count
const BEAT: Micros = Micros::from_millis(100); // between surveys of the fleet; shorter than news of it
const SHOWN_MS: f64 = 4000.0; // ms; half-life of what own work shows of the fleet: a few heavy queries
const REPORT_MS: f64 = 1500.0; // ms; half-life of trust in a report: heavy queries come and go in it
const TRUST_LEAST: f64 = 0.5; // trust in a report under which it is not taken by itself
const REPORT_WORTH: f64 = 3.0; // gateways; a fresh report says as much as own work where so many others send
const PRIOR_QUERIES: f64 = 4.0; // queries; the fleet's mean against an own count: loads differ by half
const STRETCH_IDLE: f64 = 0.5; // stretch less threads a core: at half use nothing is stretched yet
const ROOM_LEAST: f64 = 0.02; // share of a kind left to classes open to all, at least: last in line
const PLAN_SLACK: f64 = 1.25; // times an engine's even part of all queries that groups may be planned on it
const PLAN_PRIOR: f64 = 0.05; // chance that two queries ask for one group, before some were seen
const PLAN_QUERIES: f64 = 10.0; // queries (or pairs of them) that this and the usual share are worth
const PLAN_MS: f64 = 20_000.0; // ms; half-life of the counts of table groups
const KNOWN: f64 = 4.0; // recent answers that make an engine's own stretch count half
const FAR: f64 = 4.0; // times as far to an engine of another zone, as long as others of its group's take more
const RECENT_MS: f64 = 3000.0; // ms; half-life of what is known of one engine
const BOUND_START: f64 = 1.8; // threads a core, all gateways; over 1, as some wait for disks
const BOUND_CAREFUL: f64 = 1.0; // threads a core at first where more is let in than memory holds
const BOUND_LOW: f64 = 0.6; // threads a core; never less, to keep an engine in use
const BOUND_HIGH: f64 = 2.4; // threads a core; past any level at which work done still rises
const STRETCH_HIGH: f64 = 2.2; // latency over the best; heavy work is crowded above it, so the bound falls
const STRETCH_LOW: f64 = 1.7; // latency over the best; below it the bound may rise
const BOUND_PAUSE: Micros = Micros::from_millis(700); // between two moves of a bound: a heavy query's time
const CORES_UNSTATED: f64 = 8.0; // cores of a kind that states none: a small machine
const MEMORY_UNSTATED: f64 = 16_384.0; // MB of a kind that states none: a small machine
const TICK: Micros = Micros::from_millis(25); // between looks at what waits: short against any aim
const STOOD_STILL: Micros = Micros::from_millis(250); // without an event: ten ticks
const STALL_MS: f64 = 2000.0; // ms; that a gateway may stand still unforeseen while it holds a request
const STALL_PART: f64 = 0.75; // but no more than this part of the time that its client waits
const LAST_CALL: Micros = Micros::from_millis(80); // before its client leaves, what is held is answered
const PUMP_MOST: usize = 8; // held requests tried in one pass; bounds its work
const WINDOW_MARGIN: Micros = Micros::from_millis(200); // a keyed repeat stays inside its window by this
const COLD_MARGIN: f64 = 0.75; // share of a cold engine's budget in use: its capacity is a guess
const COLD_EASE: f64 = 0.15; // times the time to warm, over which gateways end their rations
const COLD_PACE: f64 = 1.5; // times what a cold engine can do, in turns: not all are used
const CHANCE: f64 = 2.5; // deviations of what all send to a cold engine by chance that must still fit
const FULL_RATE: f64 = 0.85; // share of the cores in use that counts as capacity
const SILENCE_NOTES: f64 = 1.3; // times the pause between notes after which silence is sure
const EJECT_FIRST: Micros = Micros::from_millis(1000); // first rest of an ejected engine: short, if in error
const EJECT_LONGEST: Micros = Micros::from_millis(8000); // longest rest: troubles last some tens of seconds
const PRIOR_ATTEMPTS: f64 = 5.0; // attempts that this is worth, and the share that meets no line
const EXTRA_SHARE: f64 = 0.2; // further attempts that a request earns: overload lets them lapse
const EXTRA_MOST: f64 = 30.0; // further attempts saved up: one engine's work in hand
const ERRORS_MOST: usize = 2; // engines that may answer a request with an error: more, and it is at fault
const HEDGE_TIMES: f64 = 3.0; // times its expected time after which a light query is copied
const HEDGE_LEAST_MS: f64 = 250.0; // ms; and not before this
const BAD_PLAN: f64 = 4.0; // times what was expected; past the scatter of estimates
const CROWD_MS: f64 = 2000.0; // ms; half-life of the share of crowded signs: some attempts long
const CROWD_AIM: f64 = 0.4; // share of crowded signs that is borne: some engines may be slow, or homes hot
const CROWD_PACE: f64 = 0.6; // of the share admitted, a second, at crowded signs alone: answers take seconds
const ADMIT_LEAST: f64 = 0.02; // share of the asked work that is admitted however crowded: to see it pass
const PRICES_MS: f64 = 5000.0; // ms; half-life of prices asked: a turn of mix takes some seconds
const MOVES: usize = 3; // engines tried for a place without a line; the other attempts are kept
const BLOCKED_FOR: Micros = Micros::from_millis(1500); // a table group counts as held after a note of it
const TENANT_MS: f64 = 5000.0; // ms; over which a tenant's rate is taken
const RUN_MARGIN: f64 = 1.3; // times its run alone that a query takes at least beside others
const LIGHT_OVER: f64 = 1.3; // times the bound up to which light work still goes without priorities
const GIANT: f64 = 3.0; // times its class's mean work; such a query yields to the rest
const LATE_KEPT: f64 = 0.2; // late worth; from here a late answer is worth its wait
const TICK_TIMER: TimerId = TimerId(1);

/// Decides for one workload manager. Deterministic: the same settings, seed and events give the same actions.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    now: Micros,
    random: u64,
    /// When it last stood still: what engines answered meanwhile may be unread. And its longest such gap.
    lagged: Micros,
    gap: Micros,
    born: Option<Micros>,
    engines: Vec<Engine>,
    index: HashMap<EngineId, usize>,
    jobs: BTreeMap<u64, Job>,
    ids: HashMap<RequestId, u64>,
    next: u64,
    keys: KeyLines,
    held: BTreeSet<u64>,
    pumped: Micros,
    learned: Vec<Learned>,
    least_memory: f64,
    thread_memory: f64,
    /// Mean work of all answers, between light and heavy; a turn of mix moves it slowly.
    middle: f64,
    shown: Vec<Shown>,
    signs: Tally,
    zones: Zones,
    /// How crowded engines showed themselves, by the work of those who met them.
    crowd: Tally,
    /// Asked work by its price, and the share of it that is admitted, cheapest first.
    prices: Prices,
    admitted: f64,
    stretch: f64,
    stretch_n: f64,
    best: f64,
    surveyed: Micros,
    model: Model,
    miss_list: MissList,
    blocked: BTreeMap<(usize, u64), Micros>,
    groups: Groups,
    plans: Vec<Plan>,
    window_end: Micros,
    extra: f64,
    counts: AttemptCounts,
    tenants: Rates,
    list: Backoff,
    log_after: Micros,
}

impl Gateway {
    /// A gateway that has just come up and knows nothing but its settings. `seed` feeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Gateway, SettingsError> {
        settings.check()?;
        Ok(Gateway {
            learned: vec![Learned::default(); settings.classes.len()],
            shown: vec![Shown::default(); settings.kinds.len() + 1],
            settings,
            random: mix(seed ^ 0x9e37_79b9_7f4a_7c15),
            model: Model([-2.0, 1.0, 2.0, 1.0, 1.0]), // All but the first speak for trouble.
            extra: EXTRA_MOST / 2.0,
            admitted: 1.0,
            ..Gateway::default()
        })
    }

    /// Takes one event at the time `now` and appends what is to be done. Time never goes backward.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let gap = self.born.map_or(Micros(0), |_| now.since(self.now)); // Timers fire each tick.
        if gap > STOOD_STILL {
            (self.lagged, self.gap) = (now, self.gap.max(gap));
        }
        self.now = self.now.max(now);
        if self.born.is_none() {
            (self.born, self.surveyed, self.window_end) = (Some(self.now), self.now, self.now.plus(WINDOW));
            out.push(Action::SetTimer { after: TICK, timer: TICK_TIMER });
            (self.settings.discovery != Discovery::Pushed).then(|| out.push(Action::Subscribe(true)));
        }
        let seq = event.about().and_then(|request| self.ids.get(request)).copied();
        match (event, seq) {
            (Event::Members { kind, members, .. }, _) => self.members(kind, members, out),
            (Event::ListFailed, _) => {
                let draw = self.draw();
                self.list.failed(self.now, draw, EJECT_FIRST, EJECT_LONGEST);
            }
            (Event::Arrived(request), _) => self.arrived(request, out),
            (Event::Streaming { .. }, Some(seq)) => self.job(seq).over = true,
            (Event::Closed(closed), seq) => {
                self.reported(&closed.engine, closed.report.as_ref());
                seq.into_iter().for_each(|seq| self.closed(seq, &closed, out));
                self.pump(out);
            }
            (Event::Abandoned(_), Some(seq)) => self.wind_up(seq, out),
            (Event::Timer(TICK_TIMER), _) => self.tick(out),
            (Event::Probed { engine, report, .. }, _) => {
                self.reported(&engine, report.as_ref());
                self.pump(out);
            }
            (Event::Noted { attempt, note, .. }, Some(seq)) => self.noted(seq, attempt, note, out),
            _ => {}
        }
    }

    /// Requests in mind: not answered yet, or with an attempt still out.
    pub fn requests_held(&self) -> usize {
        self.jobs.len()
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random)
    }

    fn gateways(&self) -> f64 {
        f64::from(self.settings.gateways)
    }

    fn report_worth(&self) -> f64 {
        (self.gateways() - 1.0) / (self.gateways() - 1.0 + REPORT_WORTH)
    }

    fn class(&self, job: &Job) -> &ClassSettings {
        &self.settings.classes[job.request.class.0]
    }

    fn threads(&self, job: &Job) -> f64 {
        self.class(job).threads.max(0.1)
    }

    fn job(&mut self, seq: u64) -> &mut Job {
        self.jobs.get_mut(&seq).expect("a number in use names a job")
    }

    fn members(&mut self, kind: ListKind, members: Vec<Member>, out: &mut Vec<Action>) {
        self.list = Backoff::default();
        if kind != ListKind::Changes {
            self.engines.iter_mut().for_each(|e| (e.listed, e.member.state) = (false, MemberState::Gone));
        }
        let lets_in = self.settings.when_short == WhenShort::LetIn;
        let start = if lets_in { BOUND_CAREFUL } else { BOUND_START };
        for member in members {
            let kind = self.settings.kinds.iter().position(|k| k.name == member.kind);
            let stated =
                |of: fn(&KindSettings) -> Option<f64>| of(&self.settings.kinds[kind?]).filter(|f| *f > 0.0);
            let cores = stated(|k| k.cores).unwrap_or(CORES_UNSTATED);
            let memory_mb = stated(|k| k.memory_mb).unwrap_or(MEMORY_UNSTATED);
            let known = self.index.get(&member.engine).copied();
            let (new, e) = (known.is_none(), known.unwrap_or_else(|| self.place(&member.engine)));
            let engine = &mut self.engines[e];
            if new || member.started > engine.started {
                engine.restarted(member.started, start * cores);
                self.zones.named(&member.zone).tell(e, true);
            }
            (engine.cores, engine.memory_mb) = (cores, memory_mb);
            engine.kind = kind.unwrap_or(self.settings.kinds.len());
            engine.listed = member.state == MemberState::Serving;
            engine.member = member;
        }
        let least = |of: fn(&Engine) -> f64| {
            self.engines.iter().filter(|e| e.listed).map(of).fold(f64::INFINITY, f64::min)
        };
        self.least_memory = least(|e| e.memory_mb);
        self.thread_memory = least(|e| e.memory_mb / e.cores) / BOUND_START;
        self.plan_all();
        self.pump(out);
    }

    /// A place for an engine not known before: that of one that is gone and was sent nothing in mind, so
    /// that a long day of replacements does not make the table grow.
    fn place(&mut self, id: &EngineId) -> usize {
        let gone = |e: &Engine| e.member.state == MemberState::Gone;
        let used = |e: usize| self.jobs.values().any(|job| job.tried(e));
        let free = (0..self.engines.len()).find(|e| gone(&self.engines[*e]) && !used(*e));
        let e = free.unwrap_or(self.engines.len());
        if free.is_some() {
            self.index.remove(&self.engines[e].member.engine);
            self.blocked.retain(|(held, _), _| *held != e);
            self.engines[e] = Engine::new(id);
        } else {
            self.engines.push(Engine::new(id));
        }
        self.index.insert(id.clone(), e);
        e
    }

    // ---- a request's path: arrival ----

    fn arrived(&mut self, mut request: Request, out: &mut Vec<Action>) {
        request.class.0 = request.class.0.min(self.settings.classes.len() - 1);
        self.extra = (self.extra + EXTRA_SHARE).min(EXTRA_MOST);
        self.counts.taken.push_back(self.now);
        let tenant = self.settings.tenants.iter().find(|t| Some(&*t.name) == request.tenant.as_deref());
        let seen = tenant.map_or(0.0, |t| self.tenants.count(&t.name)) * self.gateways();
        let share = tenant.and_then(|t| t.quota_per_s).unwrap_or(f64::INFINITY) * TENANT_MS / 1000.0;
        let seq = self.next;
        self.next += 1;
        self.ids.insert(request.id.clone(), seq);
        let mut job = Job::new(request, self.now);
        job.over_share = seen > share;
        (job.work_ms, job.need_mb) = self.estimate(&job);
        self.learned[job.request.class.0].asked += job.work_ms;
        self.prices.count(job.work_ms / self.worth(&job), job.work_ms);
        if let Some(key) = job.request.key.as_ref().filter(|_| self.class(&job).in_order) {
            self.keys.join(key, seq);
        }
        self.groups.count(job.request.tables);
        let mut plans = std::mem::take(&mut self.plans);
        for (class, plan) in self.settings.classes.iter().zip(&mut plans) {
            self.plan(class, plan, job.request.tables);
        }
        self.plans = plans;
        self.jobs.insert(seq, job);
        self.dispatch(seq, out);
    }

    fn estimate(&self, job: &Job) -> (f64, f64) {
        let (l, class) = (&self.learned[job.request.class.0], self.class(job));
        let fitted = |fit: &Fit, hint: f64| fit.expect(hint.ln(), PRIOR_SLOPE, PRIOR_SD, PRIOR_PAIRS);
        let work = match job.request.work_hint.filter(|hint| hint.0 > 0) {
            Some(hint) => fitted(&l.work, hint.as_millis()).0.exp(),
            None => l.usual_work(class),
        };
        let hint = job.request.memory_hint_mb.filter(|m| *m > 0.0).map(|m| fitted(&l.memory, m));
        // What is not known yet is not small: a thread's part of the memory at the bound.
        let usual =
            if l.memory_mb > 0.0 { l.memory_mb * 1.5 } else { self.threads(job) * self.thread_memory };
        (work.max(1.0), hint.map_or(usual, |(log, sd)| (log + NEED_MARGIN * sd).exp()))
    }

    /// Steps 1 to 3 of the mechanism, once for a request: leaves its flag.
    fn decide_flag(&mut self, seq: u64, home: usize) {
        let job = &self.jobs[&seq];
        if self.cheap_pass(job, home) {
            return self.job(seq).flagged = Some(false);
        }
        let (features, free) = (self.features(job, home), self.free_memory(home));
        let missed = self.miss_list.has(&job.miss_key(), self.now, MISS_AGE);
        let p = if missed { 1.0 } else { self.model.predict(&features) };
        let price = self.price(home, p);
        let accepted = p >= FLAG_AT && self.engines[home].quota >= price;
        self.engines[home].quota -= if accepted { price } else { 0.0 };
        let job = self.job(seq);
        (job.features, job.free_then, job.flagged) = (Some(features), free, Some(accepted));
    }

    /// Step 1. Small against the kind's memory, or no memory trouble there in the last window.
    fn cheap_pass(&self, job: &Job, home: usize) -> bool {
        self.is_small(job) || self.engines[home].last_trouble + self.engines[home].trouble < 1.0
    }

    fn is_small(&self, job: &Job) -> bool {
        job.need_mb <= SMALL_NEED * self.least_memory
    }

    fn is_light(&self, job: &Job) -> bool {
        self.is_small(job) || job.work_ms <= self.middle
    }

    /// Step 2. What the online logistic model goes by.
    fn features(&self, job: &Job, e: usize) -> [f64; FEATURES] {
        let engine = &self.engines[e];
        let free = self.free_memory(e).max(1.0);
        let (size, fit) = ((job.need_mb / engine.memory_mb * 4.0).min(2.0), (job.need_mb / free).min(2.0));
        [1.0, size, fit, 1.0 - (free / engine.memory_mb).min(1.0), (engine.last_trouble / 5.0).min(1.0)]
    }

    /// Step 3. Price of a flag on this engine: C = max(1 + gamma H(p) - beta FNC, Cmin).
    fn price(&self, e: usize, p: f64) -> f64 {
        (1.0 + GAMMA * entropy(p) - BETA * self.engines[e].misses).max(C_MIN)
    }

    fn refill(&mut self) {
        for e in &mut self.engines {
            (e.quota, e.last_trouble, e.trouble, e.misses) = (e.trouble + 1.0, e.trouble, 0.0, 0.0);
        }
        self.miss_list.tidy(self.now, MISS_AGE);
    }

    /// Free memory by a fresh report less what was sent since, else capacity less grants, own and shown ones.
    fn free_memory(&self, e: usize) -> f64 {
        let (engine, shown) = (&self.engines[e], &self.shown[self.engines[e].kind]);
        let fresh = engine.report_at.is_some_and(|at| self.now.since(at) < WINDOW);
        let free = match engine.report.memory_share.filter(|_| fresh) {
            Some(share) => engine.memory_mb * (1.0 - share) - engine.charged,
            None if fresh && engine.report.queued.is_some_and(|q| q >= 1.0) => 0.0,
            None => engine.memory_mb - engine.memory_out - self.others(e) * shown.memory_a_thread(),
        };
        free.max(0.0)
    }

    fn load(&self, e: usize) -> f64 {
        self.engines[e].threads + self.others(e)
    }

    /// Threads that other gateways run there: by a report, fading as it ages into what own work shows against
    /// its kind's mean. Busy cores are the least that runs: any number may wait for them.
    fn others(&self, e: usize) -> f64 {
        let (engine, n) = (&self.engines[e], self.gateways());
        let sample = self.shown[engine.kind].sample(engine, n, PRIOR_QUERIES) * engine.warm;
        let Some(told) = engine.told(&self.shown[engine.kind]) else { return sample };
        let trust = engine.trust * self.report_worth();
        let blend = trust * told + (1.0 - trust) * sample;
        if engine.report.in_flight.is_some() {
            blend
        } else {
            blend.max(sample)
        }
    }

    /// Once a beat: what each kind shows; an engine's stretch, as far as known, else the fleet's.
    fn survey(&mut self) {
        let sum = |of: fn(&Learned) -> f64| self.learned.iter().map(of).sum::<f64>();
        self.middle = sum(|l| l.n * l.work_ms) / sum(|l| l.n).max(1.0);
        let past = self.now.since(self.surveyed);
        self.surveyed = self.now;
        for e in 0..self.engines.len() {
            let warmth = self.warmth(&self.engines[e]);
            let engine = &mut self.engines[e];
            engine.warm = warmth.powi(2);
            engine.trust *= fade(past, REPORT_MS);
            if matches!(engine.health, Health::Ejected(until) if until <= self.now) {
                engine.health = Health::HalfOpen;
            }
            let n = engine.stretch_n * fade(self.now.since(engine.answered), RECENT_MS);
            engine.stretch = (n * engine.seen + KNOWN * self.stretch) / (n + KNOWN);
        }
        self.tenants.fade(fade(past, TENANT_MS * std::f64::consts::LN_2));
        room_left(&mut self.shown, &self.engines, &self.settings, &self.learned);
        let (kept, n) = (fade(past, SHOWN_MS), self.gateways());
        let by_stretch = (self.stretch / self.best - STRETCH_IDLE).max(0.0);
        for (kind, shown) in self.shown.iter_mut().enumerate() {
            let listed = self.engines.iter().filter(|e| e.listed && e.kind == kind);
            shown.survey(listed, kept, n, by_stretch);
        }
        let over = self.crowd.share(self.now, CROWD_MS, PRIOR_ATTEMPTS) - CROWD_AIM;
        let step = over * if over > 0.0 { self.admitted } else { 1.0 } * past.as_millis().min(1000.0) * 1e-3;
        self.admitted = (self.admitted - CROWD_PACE * step).clamp(ADMIT_LEAST, 1.0);
        let listed = self.engines.iter().filter(|e| e.listed);
        self.best = listed.map(|e| e.stretch).fold(f64::INFINITY, f64::min).clamp(0.7, 1.3);
    }

    // ---- steps 4 and 5: hold and route ----

    fn weight(&self, class: &ClassSettings, e: &Engine) -> f64 {
        let left = if class.kinds.is_none() { self.shown[e.kind].left } else { 1.0 };
        e.cores * left.max(ROOM_LEAST)
    }

    /// Plans all table groups anew: counts or the list have changed.
    fn plan_all(&mut self) {
        let mut plans = Vec::new();
        for class in &self.settings.classes {
            let open = |e: &&Engine| e.listed && open_to(class, &e.member);
            let all: f64 = self.engines.iter().filter(open).map(|e| self.weight(class, e)).sum();
            let room = PLAN_SLACK / (1.0 - 1.0 / self.gateways()).max(1e-3) / all;
            let part = |e: &Engine| if open(&e) { room * self.weight(class, e) } else { 0.0 };
            let mut plan = Plan { room: self.engines.iter().map(part).collect(), ..Plan::default() };
            self.groups.names().into_iter().for_each(|group| self.plan(class, &mut plan, group));
            plans.push(plan);
        }
        self.plans = plans;
    }

    /// Spreads a group over the first engines in its order, each up to its part of all queries. Many gateways
    /// that see little each never find a home pressed: where groups are few, all would press the same few.
    fn plan(&self, class: &ClassSettings, plan: &mut Plan, group: u64) {
        if !plan.parts.contains_key(&group) {
            let open = self.engines.iter().enumerate().filter(|(i, _)| plan.room[*i] > 0.0);
            let order = by_distance(open.map(|(i, e)| (i, e.hash, self.weight(class, e))), group);
            plan.fill(group, self.groups.share(group, PLAN_PRIOR, PLAN_QUERIES), order.into_iter());
        }
    }

    /// Engines open to the request in its group's order: rendezvous hash, by cores less what bound classes
    /// need; failed or held ones last. What holds its tables is spread by request, off the group's readers.
    fn ranked(&self, job: &Job) -> Vec<usize> {
        let (class, tables) = (self.class(job), job.request.tables);
        let classes = self.settings.classes.iter();
        let waiting = self.plans.iter().zip(classes).filter(|(_, class)| class.waits_for_holder);
        let read = |i: usize| waiting.clone().any(|(plan, _)| plan.part(tables, i).is_some());
        let parts = self.plans.get(job.request.class.0).and_then(|plan| plan.parts.get(&tables));
        let part = |i: usize| parts?.iter().find(|(e, _)| *e == i).map(|(_, part)| *part);
        let near = |e: &Engine| self.settings.zone.as_ref().is_none_or(|zone| *zone == e.member.zone);
        let by_request = |e: &Engine| rendezvous(e.hash, job.hash) * if near(e) { 1.0 } else { FAR };
        type Placed = (bool, bool, f64, usize);
        let nearer = |a: &Placed, b: &Placed| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2));
        let open = self.engines.iter().enumerate().filter(|(_, e)| e.listed && open_to(class, &e.member));
        let place = |(i, e): (usize, &Engine)| match part(i) {
            _ if class.holds_tables => (read(i), false, by_request(e) / self.weight(class, e), i),
            Some(part) => (false, false, by_request(e) / part, i),
            None => (false, true, rendezvous(e.hash, tables) / self.weight(class, e), i),
        };
        let mut order: Vec<Placed> = open.map(place).collect();
        for o in &mut order {
            let held = self.blocked.get(&(o.3, tables)).is_some_and(|until| *until > self.now);
            o.0 |= held && (class.waits_for_holder || class.holds_tables);
            o.0 |= job.tried(o.3);
        }
        order.sort_by(nearer);
        order.into_iter().map(|(_, _, _, i)| i).collect()
    }

    fn usable(&self, seq: u64, e: usize) -> bool {
        let (engine, class) = (&self.engines[e], self.class(&self.jobs[&seq]));
        let tries = engine.health == Health::HalfOpen && engine.out < 1.0;
        // What can't be sent again is never the trial of an engine that failed.
        let trial = || class.repeat == Repeat::Safe && self.zones.due(&engine.member.zone, self.now);
        (engine.health == Health::Well || (tries && class.repeat != Repeat::Unsafe))
            && (!self.zone_lost(e) || trial())
            && self.may_send(seq, e)
    }

    /// Past the bound, which binds under pressure; a line counts the more the less own threads tell.
    fn past_bound(&self, e: usize, threads: f64) -> bool {
        let (engine, load) = (&self.engines[e], self.load(e));
        let bound = self.warmth(engine)
            * engine.bound
            * if self.lined(engine) { 1.0 - self.report_worth() } else { 1.0 };
        load + threads > bound.max(threads) && self.pressed(e, load)
    }

    fn lined(&self, engine: &Engine) -> bool {
        let queued = engine.fresh(TRUST_LEAST).and_then(|r| r.queued).is_some_and(|q| q >= 1.0);
        queued || engine.full_until > self.now
    }

    fn pressed(&self, e: usize, load: f64) -> bool {
        let engine = &self.engines[e];
        engine.stretch > STRETCH_LOW * self.best || self.lined(engine) || load >= engine.cores
    }

    /// Sends the request, holds it, or ends it.
    fn dispatch(&mut self, seq: u64, out: &mut Vec<Action>) {
        let ranked = self.ranked(&self.jobs[&seq]);
        if let (None, Some(&home)) = (self.jobs[&seq].flagged, ranked.first()) {
            self.decide_flag(seq, home);
        }
        let mut fits: Vec<usize> = ranked.into_iter().filter(|e| self.usable(seq, *e)).collect();
        // Behind the holder of its tables a load only keeps memory: it waits here, for the first to be free.
        let (holds, tables) = (self.class(&self.jobs[&seq]).holds_tables, self.jobs[&seq].request.tables);
        let taken = |e: &usize| self.blocked.get(&(*e, tables)).is_some_and(|until| *until > self.now);
        fits.retain(|e| !(holds && taken(e)));
        let job = &self.jobs[&seq];
        let (flagged, threads) = (job.flagged == Some(true), self.threads(job));
        let waits = fits.is_empty() || flagged || self.in_time(job);
        let room =
            |e: &&usize| !self.past_bound(**e, threads) && (!flagged || self.free_memory(**e) >= job.need_mb);
        let free_cores = |e: &usize| {
            let (engine, load) = (&self.engines[*e], self.load(*e));
            let busy = engine.fresh(TRUST_LEAST).and_then(|r| r.busy);
            busy.map_or(load < engine.cores, |b| b < FULL_RATE && load < engine.bound)
        };
        let light_class = 2.0 * self.learned[job.request.class.0].work_ms <= self.middle;
        let passes = self.is_small(job) || (light_class && self.is_light(job));
        let dear = !passes && self.too_dear(job);
        let calm = |e: &usize| !dear || !self.pressed(*e, self.load(*e));
        let mut choice = fits.iter().find(room).copied().filter(calm);
        if choice.is_none() && !dear && !flagged && (passes || fits.iter().any(free_cores)) {
            let load = |e: &usize| self.load(*e) / self.engines[*e].cores;
            fits.retain(|e| passes || free_cores(e));
            // Light work passes the bound where priorities speed it up; elsewhere it would crowd like any.
            let bears =
                |e: &usize| self.settings.priorities || self.load(*e) < LIGHT_OVER * self.engines[*e].bound;
            let borne = fits.iter().copied().filter(bears);
            choice = borne.min_by(|a, b| load(a).total_cmp(&load(b)));
        }
        // Refused at once, unless it waits as a flag, for an engine at all, or can still be in time.
        match choice {
            Some(e) => self.send(seq, e, out),
            None if waits && !self.too_late(job) => drop(self.held.insert(seq)),
            None => self.give_up(seq, out),
        }
    }

    fn worth(&self, job: &Job) -> f64 {
        let kept = if job.over_share { self.settings.over_share_worth } else { 1.0 };
        (self.class(job).worth * kept).max(1e-6)
    }

    /// Where the fleet is crowded only a share of the asked work is admitted, the cheapest for its worth
    /// first and of one price by lot. Covers any overload; harms where signs deceive.
    fn too_dear(&self, job: &Job) -> bool {
        let (cheaper, alike) = self.prices.around(job.work_ms / self.worth(job));
        cheaper + alike * (mix(job.hash) as f64 / u64::MAX as f64) > self.admitted
    }

    /// Books how crowded a job found an engine; heavy work feels it most.
    fn feel_crowd(&mut self, work_ms: f64, crowded: f64) {
        let weight = (work_ms / self.middle.max(1.0)).clamp(0.1, 4.0);
        self.crowd.add(self.now, weight, weight * crowded, CROWD_MS);
    }

    /// Worth nothing late, not to be done before its client leaves, or lost if this gateway stands still.
    fn too_late(&self, job: &Job) -> bool {
        let left = job.request.left.as_millis();
        let run = (RUN_MARGIN * job.work_ms / self.threads(job)).min(left / 2.0) + LAST_CALL.as_millis();
        let still = STALL_MS.min(STALL_PART * left).max(RUN_MARGIN * self.gap.as_millis());
        (!self.in_time(job) && self.class(job).late_worth < LATE_KEPT)
            || job.deadline.since(self.now).as_millis() <= run.max(still)
    }

    fn in_time(&self, job: &Job) -> bool {
        let (class, run) = (self.class(job), job.work_ms / self.threads(job));
        let aim = class.aim.as_millis() + class.aim_stretch * run;
        self.now.since(job.taken).as_millis() + RUN_MARGIN * run < aim.min(job.request.left.as_millis())
    }

    /// Tries held requests again: in time before late, inside before over share, most worth per work.
    fn pump(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() || self.pumped == self.now {
            return;
        }
        self.pumped = self.now;
        let turn =
            self.held.iter().map(|seq| (*seq, &self.jobs[seq])).filter(|(seq, job)| self.in_turn(*seq, job));
        let price = |job: &Job| job.work_ms / self.worth(job);
        let rank = |(seq, job): (u64, &Job)| (!self.in_time(job), job.over_share, price(job), seq);
        let mut order: Vec<(bool, bool, f64, u64)> = turn.map(rank).collect();
        order.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        for (_, _, _, seq) in order.into_iter().take(PUMP_MOST) {
            self.held.remove(&seq);
            self.dispatch(seq, out);
        }
    }

    // ---- the rules gate: every send passes it ----

    fn may_send(&self, seq: u64, e: usize) -> bool {
        let (job, engine) = (&self.jobs[&seq], &self.engines[e]);
        let (class, open) = (self.class(job), job.open());
        !job.over
            && self.now < job.deadline
            && engine.listed
            && open_to(class, &engine.member)
            && (open == 0 || (open == 1 && self.settings.second_copies))
            && self.settings.send_cap.is_none_or(|cap| (job.tries.len() as u32) < cap)
            && self.in_turn(seq, job)
            && self.repeat_allowed(job, class, engine)
            && (job.tries.is_empty() || self.budget_allows())
            && self.cold_allows(engine, self.learned[job.request.class.0].usual(job.work_ms))
    }

    fn in_turn(&self, seq: u64, job: &Job) -> bool {
        let Some(key) = job.request.key.as_ref().filter(|_| self.class(job).in_order) else { return true };
        self.keys.first(key, seq) && (!job.tries.is_empty() || !self.keys.rests(key, self.now))
    }

    fn repeat_allowed(&self, job: &Job, class: &ClassSettings, engine: &Engine) -> bool {
        let Some(ran) = job.may_have_run() else { return true };
        let there = &self.engines[ran.engine].member;
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { group, window } => {
                let zone = group != RepeatGroup::Zone || there.zone == engine.member.zone;
                let cell = group != RepeatGroup::Cell || there.cell == engine.member.cell;
                zone && cell && self.now.since(ran.sent).plus(WINDOW_MARGIN) < window
            }
        }
    }

    fn budget_allows(&self) -> bool {
        let Some(b) = self.settings.budget else { return true };
        let (taken, sent) = self.counts.within(self.now, b.span);
        // What was called off to be sent again has its further attempt set aside until its outcome.
        let aside = |job: &Job| !job.over && job.tries.iter().any(|t| t.cancelled && t.end.is_none());
        let sent = sent + self.jobs.values().filter(|job| aside(job)).count() as f64;
        sent + 1.0 <= b.free + b.per_request * taken
    }

    /// Share of its capacity that an engine surely has: how it warms up is not told, the square is careful.
    fn warmth(&self, engine: &Engine) -> f64 {
        let (Some(rule), Some(started)) = (self.settings.cold, engine.started) else { return 1.0 };
        let warm = self.now.since(started).as_millis() / rule.warm_within.as_millis().max(1.0);
        rule.start_share + (1.0 - rule.start_share) * warm.min(1.0).powi(2)
    }

    /// Own part of what a cold engine bears. Light work: a ration, less room for chance, from a moment that
    /// differs by gateway where it is under one query. Heavy work, of which the part is far under that: by
    /// turns that go round all gateways, a query each, so that what they send together is even.
    fn cold_allows(&self, engine: &Engine, work_ms: f64) -> bool {
        let (Some(rule), Some(started)) = (self.settings.cold, engine.started) else { return true };
        let born = self.born.unwrap_or_default();
        let (n, able) = (self.gateways(), self.warmth(engine) * engine.cores * FULL_RATE);
        let start = mix(engine.hash ^ mix(u64::from(self.settings.me))) as f64 / u64::MAX as f64;
        let ease = 1.0 + COLD_EASE * start * (1.0 - 1.0 / n);
        if self.now.since(started).as_millis() >= rule.warm_within.as_millis() * ease {
            return true; // Not at all gateways at once: what waits at each would come together.
        }
        let heaviest = self.learned.iter().map(|l| l.work_ms).fold(work_ms, f64::max);
        let turn = turn_ms(heaviest / (COLD_PACE * able), rule.fall_span.as_millis());
        if n > 1.0 && 2.0 * work_ms > heaviest && turn >= BEAT.as_millis() {
            let (no, since) = ((self.now.as_millis() / turn) as u64, self.now.as_millis() % turn);
            let sent = |(t, w): &(Micros, f64)| 2.0 * w > heaviest && self.now.since(*t).as_millis() <= since;
            return no.wrapping_add(engine.hash) % n as u64 == u64::from(self.settings.me)
                && !engine.cold_sent.iter().any(sent);
        }
        let bears = COLD_MARGIN * rule.fall_multiple * able * rule.fall_span.as_millis();
        let mean = mean_within(bears, work_ms * (1.0 - 1.0 / n), CHANCE);
        let longer = (work_ms * n / mean).max(1.0);
        let span = Micros((rule.fall_span.0 as f64 * longer) as u64);
        let recent = engine.cold_sent.iter().filter(|(t, _)| self.now.since(*t) <= span).map(|(_, w)| w);
        let waited = self.now.since(started.max(born)).0 as f64 >= start * span.0 as f64;
        ((longer <= 1.0 && born <= started) || waited)
            && recent.sum::<f64>() + work_ms <= mean / n * longer * 1.000_001
    }

    fn send(&mut self, seq: u64, e: usize, out: &mut Vec<Action>) {
        let trial = self.zone_lost(e);
        trial.then(|| self.zones.of(&self.engines[e]).try_again(self.now, EJECT_FIRST, EJECT_LONGEST));
        let job = &self.jobs[&seq];
        let (learned, threads) = (&self.learned[job.request.class.0], self.threads(job));
        let (usual, holds) = (learned.usual(job.work_ms), self.class(job).holds_tables);
        let giant = job.work_ms > GIANT * learned.work_ms && self.pressed(e, self.load(e));
        let priority = match (self.in_time(job) && !giant, !self.is_light(job)) {
            _ if !self.settings.priorities => 1,
            (_, false) => 3,
            (true, _) => 1 + u8::from(holds),
            (false, _) => 0, // Late, or a giant under pressure: its worth is spread over much work.
        };
        let (now, again) = (self.now, !job.tries.is_empty());
        let (wasted, tokens) = (job.wasted(), self.settings.grants);
        let engine = &mut self.engines[e];
        let job = self.jobs.get_mut(&seq).expect("a number in use names a job");
        let part =
            if tokens { GRANT_PART * threads * engine.memory_mb / engine.bound.max(threads) } else { 0.0 };
        let memory = job.need_mb.max(part).min(engine.memory_mb * self.settings.largest_grant).max(0.0);
        let memory_mb = if self.settings.grants { memory.ceil() as u64 } else { 0 };
        let request = job.request.id.clone();
        if self.settings.priorities || memory_mb > 0 {
            out.push(Action::Terms { request: request.clone(), memory_mb, priority });
        }
        let expect_ms = job.work_ms / threads.max(1.0) * engine.stretch.max(1.0);
        job.tries.push(Try::new(e, now, memory, expect_ms));
        engine.take(threads, memory);
        if engine.started.is_some() || engine.lost_in_row > 0 {
            let span = self.settings.cold.map_or(WINDOW, |c| c.warm_within);
            engine.take_cold(now, usual, span);
        }
        out.push(Action::Send { request, engine: engine.member.engine.clone(), give_up_after: None });
        holds.then(|| self.blocked.insert((e, job.request.tables), job.deadline));
        self.extra -= f64::from(u8::from(wasted));
        again.then(|| self.counts.further.push_back(now));
    }

    /// Answers a request that is given up, at once: refused where trying again is harmless, else failed.
    fn give_up(&mut self, seq: u64, out: &mut Vec<Action>) {
        // The fuller the fleet, the later they are told to come back; spread, so as not to come as one.
        let pause =
            Micros((1_000_000.0 - 700_000.0 * self.admitted) as u64 * (700 + self.draw() % 600) / 1000);
        let job = &self.jobs[&seq];
        let harmless = self.class(job).repeat.may_be_refused() || job.may_have_run().is_none();
        let request = job.request.id.clone();
        let retry_after = self.settings.retry_after.map(|most| most.min(pause));
        out.push(if harmless { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
        self.wind_up(seq, out);
    }

    /// Nothing more is owed: calls off what is out; at the last outcome forgets it and passes its key on.
    fn wind_up(&mut self, seq: u64, out: &mut Vec<Action>) {
        self.held.remove(&seq);
        let cancel = self.settings.cancel;
        let job = self.job(seq);
        job.over = true;
        let request = job.request.id.clone();
        for attempt in if cancel { job.call_off() } else { Vec::new() } {
            out.push(Action::Cancel { request: request.clone(), attempt });
        }
        if job.open() > 0 {
            return;
        }
        let key = self.jobs.remove(&seq).and_then(|job| job.request.key);
        key.into_iter().for_each(|key| self.keys.leave(&key, seq));
        self.ids.remove(&request);
    }

    // ---- what comes back ----

    fn reported(&mut self, engine: &EngineId, report: Option<&LoadReport>) {
        let (Some(&e), Some(report)) = (self.index.get(engine), report) else { return };
        self.engines[e].take_report(self.now, report);
    }

    fn closed(&mut self, seq: u64, c: &Closed, out: &mut Vec<Action>) {
        let job = self.job(seq);
        let Some(t) = job.tries.get_mut(c.attempt.0 as usize).filter(|t| t.end.is_none()) else { return };
        t.end = Some(c.outcome);
        let (e, memory, stalled, doubted) = (t.engine, t.memory, t.stalled, t.doubted);
        let tells = c.outcome == Outcome::Served || !(t.cancelled || c.outcome == Outcome::Moot);
        let job = &self.jobs[&seq];
        let (threads, class) = (self.threads(job), &self.settings.classes[job.request.class.0]);
        if let Some(key) = job.request.key.as_ref().filter(|_| class.in_order && c.outcome.end_unsure()) {
            self.keys.rest(key, self.now.plus(self.settings.key_rest));
        }
        class.holds_tables.then(|| self.blocked.remove(&(e, job.request.tables)));
        self.engines[e].give_back(threads, memory);
        if c.outcome == Outcome::Served {
            self.learn(seq, e, c.latency, c.cost, stalled);
        }
        let work_ms = self.jobs[&seq].work_ms;
        tells.then(|| self.judge(e, c.outcome, doubted, work_ms, out));
        self.blame_errors(seq, c.outcome, out);
        let job = &self.jobs[&seq];
        if c.request_over || job.over {
            self.wind_up(seq, out);
        } else if job.open() == 0 {
            let open = |e: usize| self.may_send(seq, e) || self.engines[e].started.is_some();
            let any = self.ranked(job).into_iter().any(open);
            let late = self.now.plus(LAST_CALL) >= job.deadline;
            if late || (job.wasted() && self.extra < 1.0) || !any || job.errors().count() >= ERRORS_MOST {
                self.give_up(seq, out);
            } else {
                self.dispatch(seq, out);
            }
        }
    }

    fn learn(&mut self, seq: u64, e: usize, latency: Micros, cost: Option<TrueCost>, stalled: bool) {
        let job = &self.jobs[&seq];
        let (class, threads) = (job.request.class.0, self.threads(job));
        let work = cost.map_or(latency.as_millis() * threads, |c| c.work.as_millis()).max(0.1);
        let (features, troubled, need) = (job.features, job.troubled, job.need_mb);
        let memory = cost.map(|c| c.memory_mb).filter(|m| *m > 0.0);
        let memory_hint = job.request.memory_hint_mb.filter(|m| *m > 0.0);
        let hint = job.request.work_hint.filter(|h| h.0 > 0 && cost.is_some());
        self.learned[class].take(work, hint.map(Micros::as_millis), memory, memory_hint, ESTIMATE_STEP);
        if let Some(memory) = memory {
            // Label: true need against what was free then; holding removes the trouble that it predicted.
            if let Some(features) = features {
                let label = f64::from(u8::from(troubled || memory > job.free_then));
                self.model.learn(&features, label, LEARN);
            }
            if memory_hint.is_some() && memory > 2.0 * need && !troubled {
                self.trouble(seq, e);
            }
        }
        if stalled {
            return;
        }
        let seen = (latency.as_millis() * threads / work).min(20.0);
        let step = (0.1 * work / self.middle.max(1.0)).clamp(0.01, 0.4); // Heavy work feels a crowd.
        self.stretch_n += 1.0;
        self.stretch += step.max(1.0 / self.stretch_n) * (seen - self.stretch);
        let busy = self.engines[e].fresh(TRUST_LEAST).and_then(|r| r.busy).unwrap_or(0.0);
        let slow = (seen / self.best - STRETCH_LOW) / (STRETCH_HIGH - STRETCH_LOW) / 2.0;
        self.feel_crowd(work, slow.max((busy - FULL_RATE) / (1.0 - FULL_RATE)).clamp(0.0, 1.0));
        self.engines[e].take_stretch(self.now, seen, step, RECENT_MS);
        self.move_bound(e);
    }

    /// Threads bound: down fast where heavy work is stretched, up slowly where the bound is in use.
    fn move_bound(&mut self, e: usize) {
        let (cores, used) = (self.engines[e].cores, self.load(e) / self.engines[e].bound);
        let engine = &mut self.engines[e];
        let moved = match engine.stretch / self.best {
            _ if self.now.since(engine.bound_moved) < BOUND_PAUSE => return,
            s if s > STRETCH_HIGH && used > 0.4 => engine.bound * 0.85,
            s if s < STRETCH_LOW && used > 0.7 => engine.bound + 0.1 * cores,
            _ => return,
        };
        engine.bound = moved.clamp(BOUND_LOW * cores, BOUND_HIGH * cores);
        engine.bound_moved = self.now;
    }

    /// Memory trouble of a query: counted for its engine; if it was not flagged it is a miss, and listed.
    fn trouble(&mut self, seq: u64, e: usize) {
        let now = self.now;
        let job = self.job(seq);
        job.troubled = true;
        let miss = Some(job.miss_key()).filter(|_| job.flagged != Some(true));
        self.engines[e].trouble += 1.0;
        self.engines[e].quota += 1.0; // A turn of mix drains the last window's quota: trouble refills it.
        let Some(key) = miss else { return };
        self.engines[e].misses += 1.0;
        self.miss_list.note(key, now, MISSES);
    }

    fn noted(&mut self, seq: u64, attempt: Attempt, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let job = self.job(seq);
        let cancels = job.tries.iter().filter(|t| t.cancelled).count();
        let Some(t) = job.tries.get_mut(attempt.0 as usize).filter(|t| t.end.is_none()) else { return };
        t.hear(now, note);
        let (e, age, expect, stalled) = (t.engine, now.since(t.sent).as_millis(), t.expect_ms, t.stalled);
        let (troubled, tables) = (job.troubled, job.request.tables);
        self.zones.of(&self.engines[e]).tell(e, true);
        if note == Note::WaitsForMemory {
            self.met_line(e, self.jobs[&seq].work_ms);
            let (job, threads) = (&self.jobs[&seq], self.threads(&self.jobs[&seq]));
            // Too late to be in time, it keeps its place from one that could be; no work is lost with it.
            if !self.in_time(job) && !job.over && self.class(job).repeat == Repeat::Safe {
                return self.give_up(seq, out);
            }
            let free = |o: usize| self.engines[o].health == Health::Well && !self.past_bound(o, threads);
            let better = || self.ranked(job).into_iter().any(|o| !job.tried(o) && free(o));
            if job.tries.len() < MOVES && better() {
                self.cancel_and_resend(seq, attempt, out); // A place in line is lost, no work.
            }
        }
        match note {
            Note::Spilling(_) | Note::WaitsForMemory if !troubled => self.trouble(seq, e),
            Note::WaitsForHolder => {
                self.blocked.entry((e, tables)).or_insert(now.plus(BLOCKED_FOR));
            }
            Note::Progress(share) if !stalled => {
                let whole = age / share.clamp(0.001, 1.0);
                // A further attempt draws a new plan; each earlier cancel speaks for a long query instead.
                if whole > BAD_PLAN * (1.0 + cancels as f64) * expect && whole - age > 2.0 * expect {
                    self.cancel_and_resend(seq, attempt, out);
                }
            }
            _ => {}
        }
    }

    fn met_line(&mut self, e: usize, work_ms: f64) {
        self.engines[e].full_until = self.now.plus(WINDOW);
        self.feel_crowd(work_ms, 1.0);
    }

    /// Calls an attempt off, to send again at its outcome; only where a repeat is sure to be allowed.
    fn cancel_and_resend(&mut self, seq: u64, attempt: Attempt, out: &mut Vec<Action>) {
        let job = &self.jobs[&seq];
        let cap = self.settings.send_cap.is_none_or(|cap| (job.tries.len() as u32) < cap);
        let safe = cap && self.class(job).repeat == Repeat::Safe && self.budget_allows();
        let t = &job.tries[attempt.0 as usize];
        if self.settings.cancel && safe && !t.cancelled && !job.over && self.extra >= 1.0 {
            out.push(Action::Cancel { request: job.request.id.clone(), attempt });
            self.job(seq).tries[attempt.0 as usize].cancelled = true;
        }
    }

    // ---- the tick ----

    fn tick(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        out.push(Action::SetTimer { after: TICK, timer: TICK_TIMER });
        if now >= self.window_end {
            self.window_end = now.plus(WINDOW);
            self.refill();
            self.gap.0 -= self.gap.0 / 8;
            self.groups.fade(fade(WINDOW, PLAN_MS));
            self.prices.fade(fade(WINDOW, PRICES_MS));
            self.plan_all();
        }
        if self.list.due(now) {
            let pushed = self.settings.discovery == Discovery::Pushed;
            out.push(if pushed { Action::FetchList } else { Action::Subscribe(true) });
        }
        self.keys.tidy(now);
        self.blocked.retain(|_, until| *until > now);
        self.counts.tidy(now, self.settings.budget.map_or(Micros(0), |b| b.span));
        self.overdue(out);
        if self.now.since(self.surveyed) >= BEAT {
            self.survey();
            self.pump(out);
        }
    }

    /// Answers held requests whose time is up; copies or moves attempts that hang or lag.
    fn overdue(&mut self, out: &mut Vec<Action>) {
        let done: Vec<u64> = self.held.iter().copied().filter(|seq| self.too_late(&self.jobs[seq])).collect();
        done.into_iter().for_each(|seq| self.give_up(seq, out));
        let sure = self.settings.notes_every.map_or(f64::INFINITY, |n| n.as_millis() * SILENCE_NOTES + 100.0);
        let mut lag: Vec<(u64, usize, bool, Option<bool>)> = Vec::new();
        for (&seq, job) in self.jobs.iter().filter(|_| self.lagged < self.now) {
            for (i, t) in job.tries.iter().enumerate().filter(|(_, t)| t.end.is_none()) {
                let engine = &self.engines[t.engine];
                let (quiet, age) = (self.now.since(t.heard).as_millis(), self.now.since(t.sent).as_millis());
                let (light, patience) = (self.is_light(job), (HEDGE_TIMES * t.expect_ms).max(HEDGE_LEAST_MS));
                // Lost: its engine is out, twice the patience is over, or it has missed a note of its own.
                let out = matches!(engine.health, Health::Ejected(_)) || self.zone_lost(t.engine);
                let lost = (out && age > t.expect_ms * 1.5)
                    || (light && !t.waits && age > 2.0 * patience)
                    || (!t.waits && quiet > sure);
                let doubt = !t.doubted && !t.waits && quiet > (2.0 * patience).min(sure);
                let late =
                    (lost || (light && age > patience)) && !job.over && !t.cancelled && job.open() == 1;
                if doubt || late {
                    lag.push((seq, i, doubt, Some(lost).filter(|_| late)));
                }
            }
        }
        for (seq, i, doubt, late) in lag {
            if doubt {
                self.job(seq).tries[i].doubted = true;
                let e = self.jobs[&seq].tries[i].engine;
                self.zones.of(&self.engines[e]).tell(e, false);
                self.weigh(e, true, "silent with work out", out);
            }
            let Some(lost) = late else { continue };
            let job = &self.jobs[&seq];
            if self.extra < 1.0 || (!lost && self.class(job).repeat != Repeat::Safe) {
                continue;
            }
            let (here, threads, light) = (job.tries[i].engine, self.threads(job), self.is_light(job));
            let mut fits = self.ranked(job);
            fits.retain(|e| *e != here && self.usable(seq, *e));
            let free = fits.iter().find(|e| !self.past_bound(**e, threads));
            if let Some(e) = free.or(fits.first().filter(|_| lost && light)).copied() {
                self.send(seq, e, out);
            } else if lost && !self.settings.second_copies {
                self.cancel_and_resend(seq, Attempt(i as u32), out);
            }
        }
    }
}
