//! All decisions of the gateway. Its interface (settings, events, actions) stands in `api`.
//!
//! Reading order is a request's path: `predict` (cheap pass, model, quota), `route` (arrival, hold, route),
//! `load`, `rules` (the gate), `attempts`, `health`, the tick here. Mechanism: SAFELoad (`docs/design.md`).

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
mod attempts;
mod health;
mod load;
mod predict;
mod route;
mod rules;
mod standing;

const WINDOW: Micros = Micros::from_millis(3000); // a heavy query or two; short against a storm
const BEAT: Micros = Micros::from_millis(100); // between surveys of the fleet; shorter than news of it
const TRUST_LEAST: f64 = 0.5; // trust in a report under which it is not taken by itself
const REPORT_WORTH: f64 = 3.0; // gateways; a fresh report says as much as own work where so many others send
const PLAN_MS: f64 = 20_000.0; // ms; half-life of the counts of table groups
const RECENT_MS: f64 = 3000.0; // ms; half-life of what is known of one engine
const BOUND_START: f64 = 1.8; // threads a core, all gateways; over 1, as some wait for disks
const BOUND_CAREFUL: f64 = 1.0; // threads a core at first where more is let in than memory holds
const STRETCH_HIGH: f64 = 2.2; // latency over the best; heavy work is crowded above it, so the bound falls
const STRETCH_LOW: f64 = 1.7; // latency over the best; below it the bound may rise
const TICK: Micros = Micros::from_millis(25); // between looks at what waits: short against any aim
const STOOD_STILL: Micros = Micros::from_millis(250); // without an event: ten ticks
const LAST_CALL: Micros = Micros::from_millis(80); // before its client leaves, what is held is answered
const FULL_RATE: f64 = 0.85; // share of the cores in use that counts as capacity
const EJECT_FIRST: Micros = Micros::from_millis(1000); // first rest of an ejected engine: short, if in error
const EJECT_LONGEST: Micros = Micros::from_millis(8000); // longest rest: troubles last some tens of seconds
const PRIOR_ATTEMPTS: f64 = 5.0; // attempts that this is worth, and the share that meets no line
const EXTRA_MOST: f64 = 30.0; // further attempts saved up: one engine's work in hand
const PRICES_MS: f64 = 5000.0; // ms; half-life of prices asked: a turn of mix takes some seconds
const TENANT_MS: f64 = 5000.0; // ms; over which a tenant's rate is taken
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

    /// Its part of what cold engines bear: one of so many gateways, and which. `None`: as the settings say.
    pub fn cold_among(&mut self, among: Option<(f64, u64)>) {
        self.settings.cold_among = among;
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
            let (kind, cores, memory_mb) = self.settings.machine(&member.kind);
            let known = self.index.get(&member.engine).copied();
            let (new, jobs) = (known.is_none(), &self.jobs);
            let used = |e: usize| jobs.values().any(|job| job.tried(e));
            let (engines, index) = (&mut self.engines, &mut self.index);
            let e = known.unwrap_or_else(|| place(engines, index, &member.engine, used));
            new.then(|| self.blocked.retain(|(held, _), _| *held != e));
            let engine = &mut self.engines[e];
            if new || member.started > engine.started {
                engine.restarted(member.started, start * cores);
                self.zones.named(&member.zone).tell(e, true);
            }
            (engine.cores, engine.memory_mb) = (cores, memory_mb);
            engine.kind = kind;
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

    fn reported(&mut self, engine: &EngineId, report: Option<&LoadReport>) {
        let (Some(&e), Some(report)) = (self.index.get(engine), report) else { return };
        self.engines[e].take_report(self.now, report);
    }

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
}
