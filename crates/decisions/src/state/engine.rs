//! One engine as it is known: its load, its reports, its speed, and the signs for and against it.

use super::decay::{remaining, Tally};
use super::hash::hash_text;
use super::observed_load::ObservedLoad;
use crate::{EngineEntry, EngineId, LoadReport, Micros};
use std::collections::VecDeque;

/// Whether outlier ejection lets an engine be used.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum Health {
    /// In use.
    #[default]
    Healthy,
    /// Out of use until then.
    Ejected(Micros),
    /// One attempt at a time until one is served.
    HalfOpen,
}

/// What outlier ejection knows of an engine.
#[derive(Default)]
pub struct EngineHealth {
    pub health: Health,
    /// Signs of the last seconds, and the bad ones among them.
    pub signs: Tally,
    /// Sum of evidence against the engine, in log odds.
    pub suspicion: f64,
    /// When the sum last changed.
    pub suspicion_updated: Micros,
    /// Failed connections in a row.
    pub connect_failures_in_row: u32,
    /// Broken connections in a row with nothing served between.
    pub resets_in_row: u32,
    /// Ejections not yet made good; each doubles the next rest.
    pub ejections: u32,
}

/// The last load report of an engine, and how far it still holds.
#[derive(Default)]
pub struct ReportedLoad {
    pub report: LoadReport,
    pub received_at: Option<Micros>,
    /// Trust in the report: 1 when it is new, decaying with its age.
    pub trust: f64,
    /// Memory in megabytes sent there that the report may not hold yet.
    pub charged_mb: f64,
    /// Own queries in flight when the report came.
    pub own_queries_then: f64,
    /// Threads of own queries when the report came.
    pub own_threads_then: f64,
}

/// How far an engine's answers are stretched: latency over what they take on an idle engine.
#[derive(Default)]
pub struct Stretch {
    /// Mean of its own answers.
    pub own: f64,
    /// Own mean blended with the fleet's, by how many own answers there are.
    pub blended: f64,
    /// Decaying count of its own answers.
    pub samples: f64,
    pub last_answer: Micros,
}

/// What an engine can spend on flagged queries until the next refill.
pub struct FlagQuota {
    pub quota: f64,
    /// Queries that met memory trouble unflagged since the last refill.
    pub misses: f64,
    /// Queries that met memory trouble since the last refill.
    pub trouble: f64,
    /// The same in the window before.
    pub last_trouble: f64,
}

impl Default for FlagQuota {
    fn default() -> FlagQuota {
        FlagQuota {
            quota: 1.0,
            misses: 0.0,
            trouble: 0.0,
            last_trouble: 0.0,
        }
    }
}

impl FlagQuota {
    /// Sizes the quota by the trouble of the window that ends.
    pub fn refill(&mut self) {
        self.quota = self.trouble + 1.0;
        self.last_trouble = self.trouble;
        self.trouble = 0.0;
        self.misses = 0.0;
    }

    /// Counts memory trouble; it refills the quota, since heavy queries in a row drain that of the
    /// window before.
    pub fn count_trouble(&mut self) {
        self.trouble += 1.0;
        self.quota += 1.0;
    }
}

/// Work sent to an engine that warms up.
pub struct WarmupSend {
    pub at: Micros,
    pub work_ms: f64,
}

/// An engine as it is known.
#[derive(Default)]
pub struct Engine {
    /// Hash of its id, for placement.
    pub hash: u64,
    pub entry: EngineEntry,
    pub cores: f64,
    pub memory_mb: f64,
    /// Place of its kind in the settings, behind the last if it is not there.
    pub kind: usize,
    /// Listed and serving.
    pub listed: bool,
    /// Share of its even part of all work that it holds while it warms up, as of the last survey.
    pub warm_share: f64,
    /// When it last started; `None` for long ago.
    pub started: Option<Micros>,
    /// Own sends while it warms up.
    pub warmup_sends: VecDeque<WarmupSend>,
    /// Own queries in flight.
    pub queries: f64,
    /// Threads of own queries in flight.
    pub threads: f64,
    /// Memory of own queries in flight, in megabytes.
    pub memory_in_use_mb: f64,
    /// Threads that it bears under pressure.
    pub thread_bound: f64,
    pub thread_bound_moved: Micros,
    pub stretch: Stretch,
    pub reported: ReportedLoad,
    pub health: EngineHealth,
    /// Until when it counts as having a queue, after an own attempt met one.
    pub queue_seen_until: Micros,
    pub flag_quota: FlagQuota,
}

impl Engine {
    /// An engine of which nothing but its id is known.
    pub fn new(id: &EngineId) -> Engine {
        Engine {
            hash: hash_text(&id.0),
            warm_share: 1.0,
            ..Engine::default()
        }
    }

    /// Forgets what was known of the process before.
    pub fn restarted(&mut self, started: Option<Micros>, thread_bound: f64) {
        self.started = started;
        self.thread_bound = thread_bound;
        self.stretch.samples = 0.0;
        self.reported.received_at = None;
        self.reported.trust = 0.0;
        self.health.health = Health::Healthy;
        self.health.ejections = 0;
        self.health.connect_failures_in_row = 0;
        self.health.suspicion = 0.0;
    }

    /// The last report, if it is trusted this far.
    pub fn report_trusted(&self, least_trust: f64) -> Option<&LoadReport> {
        Some(&self.reported.report).filter(|_| self.reported.trust >= least_trust)
    }

    /// Stores a report. It is some time old, so it holds only a part of what was sent since the
    /// last.
    pub fn store_report(&mut self, now: Micros, report: &LoadReport) {
        if self.reported.report != *report {
            self.reported.charged_mb /= 2.0;
            self.reported.trust = 1.0;
            self.reported.own_queries_then = self.queries;
            self.reported.own_threads_then = self.threads;
            self.reported.report = report.clone();
        }
        self.reported.received_at = Some(now);
    }

    /// Counts an attempt sent there.
    pub fn attempt_sent(&mut self, threads: f64, memory_mb: f64) {
        self.queries += 1.0;
        self.threads += threads;
        self.memory_in_use_mb += memory_mb;
        self.reported.charged_mb += memory_mb;
    }

    /// Takes an ended attempt off the counts.
    pub fn attempt_ended(&mut self, threads: f64, memory_mb: f64) {
        self.queries = (self.queries - 1.0).max(0.0);
        self.threads = (self.threads - threads).max(0.0);
        self.memory_in_use_mb = (self.memory_in_use_mb - memory_mb).max(0.0);
    }

    /// Counts work sent while it may warm up; what is older than `span` is forgotten.
    pub fn warmup_work_sent(&mut self, now: Micros, work_ms: f64, span: Micros) {
        self.warmup_sends.retain(|send| now.since(send.at) <= span);
        self.warmup_sends.push_back(WarmupSend { at: now, work_ms });
    }

    /// Threads of other gateways by the last report. Own queries are taken as they were when it
    /// came, so that an own send counts at once on top.
    pub fn reported_threads_of_others(&self, kind: &ObservedLoad) -> Option<f64> {
        let report = &self.reported.report;
        let running = report
            .in_flight
            .map(|in_flight| in_flight - report.queued.unwrap_or(0.0));
        let by_queries = running
            .map(|running| (running - self.reported.own_queries_then) * kind.threads_per_query());
        let by_cores = report
            .busy
            .map(|busy| busy * self.cores - self.reported.own_threads_then);
        by_queries.or(by_cores).map(|threads| threads.max(0.0))
    }

    /// Takes in how far an answer was stretched.
    pub fn learn_stretch(&mut self, now: Micros, stretch: f64, step: f64, half_life_ms: f64) {
        let elapsed = now.since(self.stretch.last_answer);
        self.stretch.samples = 1.0 + self.stretch.samples * remaining(elapsed, half_life_ms);
        self.stretch.last_answer = now;
        self.stretch.own += step.max(1.0 / self.stretch.samples) * (stretch - self.stretch.own);
    }
}
