//! What a gateway knows about one engine: its load, load reports, answer stretch and health.

use super::decay::{remaining, Tally};
use super::hash::hash_text;
use super::observed_load::ObservedLoad;
use crate::{EngineEntry, EngineId, LoadReport, Micros};
use std::collections::VecDeque;

/// State of an engine in outlier ejection.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum Health {
    /// The engine gets work without restriction.
    #[default]
    Healthy,
    /// The engine is ejected and gets no work until the given time.
    Ejected(Micros),
    /// The engine gets one attempt at a time, until it has served an attempt.
    HalfOpen,
}

/// Data that outlier ejection stores for one engine.
#[derive(Default)]
pub struct EngineHealth {
    pub health: Health,
    /// Decaying tally of good and bad observations about the engine's health.
    pub signs: Tally,
    /// Accumulated evidence that the engine is faulty, in log odds.
    pub suspicion: f64,
    /// When `suspicion` was last updated.
    pub suspicion_updated: Micros,
    /// Number of consecutive failures to connect to the engine.
    pub connect_failures_in_row: u32,
    /// Number of consecutive broken connections without a served request in between.
    pub resets_in_row: u32,
    /// Number of ejections minus recoveries. Each ejection doubles the next one's duration.
    pub ejections: u32,
}

/// The last load report of an engine, and how far it still applies.
#[derive(Default)]
pub struct ReportedLoad {
    pub report: LoadReport,
    pub received_at: Option<Micros>,
    /// Trust in the load report: 1 when the report arrives, decaying with the age of the report.
    pub trust: f64,
    /// Memory of recently sent attempts, in megabytes, that the load report may not include yet.
    pub charged_mb: f64,
    /// Number of this gateway's queries on the engine when the load report arrived.
    pub own_queries_at_report: f64,
    /// Threads of this gateway's queries on the engine when the load report arrived.
    pub own_threads_at_report: f64,
}

/// Stretch of an engine's answers: their latency divided by the latency that the same queries would
/// have on an idle engine.
#[derive(Default)]
pub struct Stretch {
    /// Moving average of the stretch of this engine's answers.
    pub own: f64,
    /// Average of `own` and the fleet's mean stretch. The more recent answers there are from this
    /// engine, the more weight `own` has.
    pub blended: f64,
    /// Exponentially decaying count of answers from this engine.
    pub samples: f64,
    pub last_answer: Micros,
}

/// Quota that limits how many queries are flagged on an engine as likely to run short of memory.
/// Each flagged query spends a part of the quota, which is refilled at the end of every window.
pub struct FlagQuota {
    pub quota: f64,
    /// Number of queries since the last refill that ran short of memory but were not flagged.
    pub misses: f64,
    /// Number of all queries since the last refill that ran short of memory.
    pub trouble: f64,
    /// Number of queries that ran short of memory in the previous window of the quota.
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
    /// Starts a new window of the quota. The new quota is the number of queries that ran short of
    /// memory in the window that ends, plus 1.
    pub fn refill(&mut self) {
        self.quota = self.trouble + 1.0;
        self.last_trouble = self.trouble;
        self.trouble = 0.0;
        self.misses = 0.0;
    }

    /// Counts a query that ran short of memory and adds 1 to the quota, because several heavy
    /// queries in a row would use up a quota sized by the previous window.
    pub fn count_trouble(&mut self) {
        self.trouble += 1.0;
        self.quota += 1.0;
    }
}

/// Work sent to an engine that is warming up.
pub struct WarmupSend {
    pub at: Micros,
    pub work_ms: f64,
}

/// What a gateway knows about one engine.
#[derive(Default)]
pub struct Engine {
    /// Hash of the engine's id, used for placement.
    pub hash: u64,
    pub entry: EngineEntry,
    pub cores: f64,
    pub memory_mb: f64,
    /// Index of the engine's machine kind in the settings. For a kind that the settings do not
    /// contain, the index is the number of kinds.
    pub kind: usize,
    /// Whether the engine is in the engine list and accepts new work.
    pub listed: bool,
    /// Expected load relative to a fully warm engine, from 0 to 1; below 1 while the engine is
    /// warming up. Updated by each survey (periodic load update).
    pub warm_share: f64,
    /// When the engine process last started; `None` if that was long ago.
    pub started: Option<Micros>,
    /// Work that this gateway recently sent to the engine while it was warming up.
    pub warmup_sends: VecDeque<WarmupSend>,
    /// Number of this gateway's attempts in flight on the engine.
    pub queries: f64,
    /// Threads of this gateway's attempts in flight on the engine.
    pub threads: f64,
    /// Memory of this gateway's attempts in flight on the engine, in megabytes.
    pub memory_in_use_mb: f64,
    /// Limit on the threads that all gateways together run on the engine. The limit applies only
    /// while the engine shows signs of pressure.
    pub thread_bound: f64,
    pub thread_bound_moved: Micros,
    pub stretch: Stretch,
    pub reported: ReportedLoad,
    pub health: EngineHealth,
    /// Until when the engine is assumed to have a queue, after it has queued or rejected an attempt
    /// of this gateway.
    pub queue_seen_until: Micros,
    pub flag_quota: FlagQuota,
}

impl Engine {
    /// Creates an engine of which only the id is known.
    pub fn new(id: &EngineId) -> Engine {
        Engine {
            hash: hash_text(&id.0),
            warm_share: 1.0,
            ..Engine::default()
        }
    }

    /// Marks the engine as healthy and discards what was learned about its previous process.
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

    /// Returns the last load report, if trust in it is at least `least_trust`.
    pub fn report_trusted(&self, least_trust: f64) -> Option<&LoadReport> {
        Some(&self.reported.report).filter(|_| self.reported.trust >= least_trust)
    }

    /// Stores a load report that has just arrived. Since reports are delayed, a changed report is
    /// assumed to include only half of the memory that earlier reports did not include.
    pub fn store_report(&mut self, now: Micros, report: &LoadReport) {
        if self.reported.report != *report {
            self.reported.charged_mb /= 2.0;
            self.reported.trust = 1.0;
            self.reported.own_queries_at_report = self.queries;
            self.reported.own_threads_at_report = self.threads;
            self.reported.report = report.clone();
        }
        self.reported.received_at = Some(now);
    }

    /// Adds an attempt sent to the engine to the counts of attempts in flight.
    pub fn attempt_sent(&mut self, threads: f64, memory_mb: f64) {
        self.queries += 1.0;
        self.threads += threads;
        self.memory_in_use_mb += memory_mb;
        self.reported.charged_mb += memory_mb;
    }

    /// Removes an ended attempt from the counts of attempts in flight.
    pub fn attempt_ended(&mut self, threads: f64, memory_mb: f64) {
        self.queries = (self.queries - 1.0).max(0.0);
        self.threads = (self.threads - threads).max(0.0);
        self.memory_in_use_mb = (self.memory_in_use_mb - memory_mb).max(0.0);
    }

    /// Records work sent to the engine while it may be warming up, and removes records that are
    /// older than `span`.
    pub fn warmup_work_sent(&mut self, now: Micros, work_ms: f64, span: Micros) {
        self.warmup_sends.retain(|send| now.since(send.at) <= span);
        self.warmup_sends.push_back(WarmupSend { at: now, work_ms });
    }

    /// Estimates the threads of other gateways from the last load report. This gateway's own load
    /// is subtracted as it was when the report arrived, so that attempts sent later are counted in
    /// addition to the reported load.
    pub fn reported_threads_of_others(&self, kind: &ObservedLoad) -> Option<f64> {
        let report = &self.reported.report;
        let running = report
            .in_flight
            .map(|in_flight| in_flight - report.queued.unwrap_or(0.0));
        let by_queries = running.map(|running| {
            (running - self.reported.own_queries_at_report) * kind.threads_per_query()
        });
        let by_cores = report
            .busy
            .map(|busy| busy * self.cores - self.reported.own_threads_at_report);
        by_queries.or(by_cores).map(|threads| threads.max(0.0))
    }

    /// Adds the stretch of an answer to the engine's moving average. `step` is the weight of the
    /// answer; the first answers get a higher weight, so that the average starts as a plain mean.
    pub fn learn_stretch(&mut self, now: Micros, stretch: f64, step: f64, half_life_ms: f64) {
        let elapsed = now.since(self.stretch.last_answer);
        self.stretch.samples = 1.0 + self.stretch.samples * remaining(elapsed, half_life_ms);
        self.stretch.last_answer = now;
        self.stretch.own += step.max(1.0 / self.stretch.samples) * (stretch - self.stretch.own);
    }
}
