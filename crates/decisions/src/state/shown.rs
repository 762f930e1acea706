//! What own work and reports show of the load of a kind of machine.

use super::*;

const PRIOR_QUERIES: f64 = 4.0; // queries; the fleet's mean against an own count: loads differ by half

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
    /// against a mean that weighs as much as a few queries.
    pub fn sample(&self, engine: &Engine, gateways: f64) -> f64 {
        let prior = PRIOR_QUERIES;
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
