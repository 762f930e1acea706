//! Load of each machine kind, estimated from this gateway's own queries and from load reports.

use super::costs::ClassCosts;
use super::engine::Engine;
use super::engine_table::EngineTable;
use crate::Settings;

/// Weight of the mean load of a machine kind when it is combined with this gateway's own queries on
/// one engine, as a number of queries.
const PRIOR_QUERIES: f64 = 4.0;

/// Weight of the initial assumption that a query runs on one thread, as a number of queries.
const PRIOR_THREAD_QUERIES: f64 = 0.2;

/// This gateway's load on engines without a recent load report. Each engine is weighted by 1 minus
/// the trust in its last report.
#[derive(Clone, Copy, Default)]
struct UnreportedLoad {
    queries: f64,
    threads: f64,
    cores: f64,
}

/// Sums over the listed engines of one machine kind, for one survey (periodic load update).
#[derive(Default)]
struct KindTotals {
    engines: f64,
    queries: f64,
    threads: f64,
    memory_mb: f64,
    cores: f64,
    /// Cores of the engines that sent load reports, weighted by the trust in each report.
    reported_cores: f64,
    /// Threads on engines according to their load reports, weighted by the trust in each report.
    reported_threads: f64,
    /// Whether some engine reports the share of busy cores but not the number of queries.
    has_busy_only_report: bool,
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
        // An engine that is warming up gets less work, so its cores count for less here.
        let cores = engine.cores * engine.warm_share;
        self.has_busy_only_report |= report.busy.is_some() && report.in_flight.is_none();
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

/// Inputs of a survey (periodic load update) other than the engines.
#[derive(Clone, Copy)]
pub struct SurveyBasis {
    /// Weight of earlier observations in the moving averages, from 0 to 1.
    pub kept: f64,
    /// Number of gateways that share the engines.
    pub gateways: f64,
    /// Threads per core of all gateways together, estimated from the stretch of answers.
    pub threads_per_core_by_stretch: f64,
}

impl SurveyBasis {
    /// Estimates the threads per core of all gateways together from this gateway's load. If this
    /// gateway has few queries, the estimate from the stretch of answers dominates.
    fn threads_per_core(&self, queries: f64, threads: f64, cores: f64) -> f64 {
        (threads * self.gateways / cores.max(1e-3) * queries + self.threads_per_core_by_stretch)
            / (queries + 1.0)
    }
}

/// Observed load of one machine kind: moving averages of this gateway's load on its engines, and
/// estimated threads per core of all gateways together.
#[derive(Clone, Copy, Default)]
pub struct ObservedLoad {
    queries: f64,
    threads: f64,
    memory_mb: f64,
    unreported: UnreportedLoad,
    /// Threads per core of all gateways together, over all engines of the kind.
    threads_per_core: f64,
    /// Threads per core of all gateways together, on engines without a recent load report.
    unreported_threads_per_core: f64,
    /// Every machine kind gets a share of all work in proportion to its cores. This is the fraction
    /// of that share that remains for classes open to all kinds, after the work of classes that are
    /// restricted to certain kinds. It can be negative.
    pub share_left: f64,
}

impl ObservedLoad {
    /// Updates the averages with this gateway's load on the engines of this kind, and with recent
    /// load reports from these engines.
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
        // The number of busy cores is a lower bound on the number of running threads.
        self.threads_per_core = if totals.has_busy_only_report {
            blended.max(all)
        } else {
            blended
        };

        // Load reports arrive with answers. If there are many gateways, each has recent reports
        // mainly from lightly loaded engines, which say nothing about the other engines. This
        // gateway's own queries on engines without a recent report are a better sample, because
        // they are about one in `gateways` of all queries on those engines.
        let blend = |before: f64, now: f64| basis.kept * before + (1.0 - basis.kept) * now;
        let unreported = &mut self.unreported;
        unreported.queries = blend(unreported.queries, totals.unreported.queries);
        unreported.threads = blend(unreported.threads, totals.unreported.threads);
        unreported.cores = blend(unreported.cores, totals.unreported.cores);
        let own = basis.threads_per_core(unreported.queries, unreported.threads, unreported.cores);
        self.unreported_threads_per_core =
            (own * unreported.queries + self.threads_per_core) / (unreported.queries + 1.0);
    }

    /// Estimates the threads of all other gateways on an engine. The estimate is based on this
    /// gateway's own queries there, which are about one in `gateways` of all queries. It is
    /// combined with the mean of the machine kind, which has the weight of `PRIOR_QUERIES` queries.
    pub fn threads_of_others(&self, engine: &Engine, gateways: f64) -> f64 {
        let trust = engine.reported.trust;
        let threads_per_core =
            trust * self.threads_per_core + (1.0 - trust) * self.unreported_threads_per_core;
        let mean = (threads_per_core * engine.cores / self.threads_per_query()).max(1e-6);
        let queries = (gateways - 1.0) * (PRIOR_QUERIES + engine.queries)
            / (PRIOR_QUERIES * gateways / mean + 1.0);
        queries * self.threads_per_query()
    }

    /// Returns the average number of threads per query; close to 1 before queries were observed.
    pub fn threads_per_query(&self) -> f64 {
        (self.threads + PRIOR_THREAD_QUERIES) / (self.queries + PRIOR_THREAD_QUERIES)
    }

    /// Returns the average memory per running thread, in megabytes.
    pub fn memory_per_thread_mb(&self) -> f64 {
        self.memory_mb / (self.threads + PRIOR_THREAD_QUERIES)
    }
}

/// Recomputes [`ObservedLoad::share_left`] of all machine kinds, from the work requested by class.
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
