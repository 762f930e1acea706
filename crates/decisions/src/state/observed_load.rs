//! Load of a kind of machine, by own work and reports.

use super::costs::ClassCosts;
use super::engine::Engine;
use super::engine_table::EngineTable;
use crate::Settings;

/// Weight of the fleet's mean against own queries on one engine, in queries.
const PRIOR_QUERIES: f64 = 4.0;

/// Weight of a first guess of one thread a query, in queries.
const PRIOR_THREAD_QUERIES: f64 = 0.2;

/// Own work on engines without a fresh report.
#[derive(Clone, Copy, Default)]
struct UnreportedLoad {
    queries: f64,
    threads: f64,
    cores: f64,
}

/// Sums over the engines of a kind, for one survey.
#[derive(Default)]
struct KindTotals {
    engines: f64,
    queries: f64,
    threads: f64,
    memory_mb: f64,
    cores: f64,
    /// Cores of engines with a report, weighted by trust.
    reported_cores: f64,
    /// Threads that they report, weighted by trust.
    reported_threads: f64,
    /// Whether some report has busy cores only.
    cores_only: bool,
    unreported: UnreportedLoad,
}

impl KindTotals {
    fn of<'a>(engines: impl Iterator<Item = &'a Engine>, kind: &ObservedLoad) -> KindTotals {
        let mut totals = KindTotals::default();
        for engine in engines {
            totals.add(engine, kind);
        }
        totals
    }

    fn add(&mut self, engine: &Engine, kind: &ObservedLoad) {
        let report = &engine.reported.report;
        let trust = engine.reported.trust;
        // What warms up holds little: the queries in flight are on the others.
        let cores = engine.cores * engine.warm_share;
        self.cores_only |= report.busy.is_some() && report.in_flight.is_none();
        self.engines += 1.0;
        self.cores += cores;
        self.queries += engine.queries;
        self.threads += engine.threads;
        self.memory_mb += engine.memory_in_use_mb;
        self.unreported.queries += (1.0 - trust) * engine.queries;
        self.unreported.threads += (1.0 - trust) * engine.threads;
        self.unreported.cores += (1.0 - trust) * cores;
        if let Some(others) = engine.reported_threads_of_others(kind) {
            self.reported_cores += trust * engine.cores;
            self.reported_threads += trust * (others + engine.threads);
        }
    }
}

/// What a survey goes by beside the engines.
#[derive(Clone, Copy)]
pub struct SurveyBasis {
    /// Part of what was seen before that is kept.
    pub kept: f64,
    /// Gateways that share the engines.
    pub gateways: f64,
    /// Threads a core, estimated from the stretch of answers.
    pub threads_per_core_by_stretch: f64,
}

impl SurveyBasis {
    /// Threads a core of all gateways, by own work or, where that is little, by the stretch of
    /// answers.
    fn threads_per_core(&self, queries: f64, threads: f64, cores: f64) -> f64 {
        (threads * self.gateways / cores.max(1e-3) * queries + self.threads_per_core_by_stretch)
            / (queries + 1.0)
    }
}

/// What one kind of machine shows: decaying means of own work there, and threads a core for all
/// gateways.
#[derive(Clone, Copy, Default)]
pub struct ObservedLoad {
    queries: f64,
    threads: f64,
    memory_mb: f64,
    unreported: UnreportedLoad,
    /// Threads a core of all gateways.
    threads_per_core: f64,
    /// The same for engines without a fresh report.
    unreported_threads_per_core: f64,
    /// Share of its even part that is left to classes open to all kinds.
    pub share_left: f64,
}

impl ObservedLoad {
    /// Blends what own work and fresh reports show of the engines of this kind into what was seen
    /// before.
    pub fn survey<'a>(&mut self, engines: impl Iterator<Item = &'a Engine>, basis: SurveyBasis) {
        let totals = KindTotals::of(engines, self);
        let blend = |before: f64, now: f64| basis.kept * before + (1.0 - basis.kept) * now;
        self.queries = blend(self.queries, totals.queries);
        self.threads = blend(self.threads, totals.threads);
        self.memory_mb = blend(self.memory_mb, totals.memory_mb);
        if totals.engines > 0.0 {
            self.survey_threads(&totals, basis);
        }
    }

    fn survey_threads(&mut self, totals: &KindTotals, basis: SurveyBasis) {
        let all = basis.threads_per_core(self.queries, self.threads, totals.cores);
        let half_engine = totals.cores / totals.engines / 2.0;
        let blended =
            (all * half_engine + totals.reported_threads) / (half_engine + totals.reported_cores);
        // Busy cores are a lower bound of the threads that run.
        self.threads_per_core = if totals.cores_only {
            blended.max(all)
        } else {
            blended
        };

        // Reports come with answers, so that of many gateways each hears most from engines with
        // little to do: these say nothing of the others. What it has in flight there does, and is
        // one part in `gateways` of all.
        let blend = |before: f64, now: f64| basis.kept * before + (1.0 - basis.kept) * now;
        let unreported = &mut self.unreported;
        unreported.queries = blend(unreported.queries, totals.unreported.queries);
        unreported.threads = blend(unreported.threads, totals.unreported.threads);
        unreported.cores = blend(unreported.cores, totals.unreported.cores);
        let own = basis.threads_per_core(unreported.queries, unreported.threads, unreported.cores);
        self.unreported_threads_per_core =
            (own * unreported.queries + self.threads_per_core) / (unreported.queries + 1.0);
    }

    /// Threads of all other gateways on an engine, estimated from own queries there (one in
    /// `gateways` of all) and, with the weight of a few queries, from the mean of its kind.
    pub fn threads_of_others(&self, engine: &Engine, gateways: f64) -> f64 {
        let trust = engine.reported.trust;
        let threads_per_core =
            trust * self.threads_per_core + (1.0 - trust) * self.unreported_threads_per_core;
        let mean = (threads_per_core * engine.cores / self.threads_per_query()).max(1e-6);
        let queries = (gateways - 1.0) * (PRIOR_QUERIES + engine.queries)
            / (PRIOR_QUERIES * gateways / mean + 1.0);
        queries * self.threads_per_query()
    }

    /// Threads that a query runs on; near 1 before anything was seen.
    pub fn threads_per_query(&self) -> f64 {
        (self.threads + PRIOR_THREAD_QUERIES) / (self.queries + PRIOR_THREAD_QUERIES)
    }

    /// Memory that a running thread holds, in megabytes.
    pub fn memory_per_thread_mb(&self) -> f64 {
        self.memory_mb / (self.threads + PRIOR_THREAD_QUERIES)
    }
}

/// Updates what classes bound to some kinds of machine leave of each kind's even share of work to
/// other classes.
pub fn update_share_left(
    kinds: &mut [ObservedLoad],
    engines: &EngineTable,
    settings: &Settings,
    costs: &[ClassCosts],
) {
    let cores_of = |kind: usize| {
        engines
            .listed()
            .filter(|e| e.kind == kind)
            .map(|e| e.cores)
            .sum()
    };
    let cores: Vec<f64> = (0..kinds.len()).map(cores_of).collect();
    let mut bound_work = vec![0.0; cores.len()];
    for (class, costs) in settings.classes.iter().zip(costs) {
        let Some(names) = &class.kinds else { continue };
        let is_open = |kind: &usize| {
            settings
                .kinds
                .get(*kind)
                .is_some_and(|k| names.contains(&k.name))
        };
        let open: Vec<usize> = (0..cores.len()).filter(is_open).collect();
        let open_cores = open.iter().map(|kind| cores[*kind]).sum::<f64>().max(0.1);
        let work_per_core = costs.requested_work_ms / open_cores;
        for kind in open {
            bound_work[kind] += work_per_core;
        }
    }
    let requested: f64 = costs.iter().map(|costs| costs.requested_work_ms).sum();
    let even = requested / cores.iter().sum::<f64>().max(0.1);
    for (kind, bound) in kinds.iter_mut().zip(bound_work) {
        kind.share_left = if even > 0.0 {
            (1.0 - bound / even).min(1.0)
        } else {
            1.0
        };
    }
}
