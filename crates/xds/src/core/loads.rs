//! What proxies say of their load (LRS, `StreamLoadStats`), bounded and aged: it steers shares and weights only. No
//! report can raise a bound, so the worst that a lie does is to move a share to the liar, a quarter at a time.

use std::collections::BTreeMap;

/// Requests in progress that are believed of one proxy at most.
pub const BELIEVED_MOST: f64 = 10_000.0;
/// A report that has not been renewed for this long counts for nothing, in milliseconds.
pub const AGED_MS: f64 = 15_000.0;
const SMOOTH_MS: f64 = 4_000.0; // reports weigh in by this time constant, so that one peak moves little
const PROXIES_MOST: usize = 4_096;

/// One proxy's load, smoothed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Load {
    in_progress: f64,
    at: f64,
}

/// The loads of all proxies, by node id.
#[derive(Debug, Default)]
pub struct Loads(BTreeMap<String, Load>);

impl Loads {
    /// Takes a report in: requests in progress at all engines told here. What is beyond belief is cut to what is believed.
    pub fn report(&mut self, now: f64, node: &str, in_progress: u64) {
        if self.0.len() >= PROXIES_MOST && !self.0.contains_key(node) {
            return;
        }
        let in_progress = (in_progress as f64).min(BELIEVED_MOST);
        let load = self.0.entry(node.to_owned()).or_insert(Load { in_progress, at: now });
        let part = 1.0 - (-(now - load.at).max(0.0) / SMOOTH_MS).exp();
        load.in_progress += (in_progress - load.in_progress) * part;
        load.at = now;
    }

    /// What a proxy is believed to have out, in requests; 0 where nothing fresh is known.
    pub fn in_progress(&self, node: &str) -> f64 {
        self.0.get(node).map_or(0.0, |load| load.in_progress)
    }

    /// Drops what has aged out.
    pub fn forget(&mut self, now: f64) {
        self.0.retain(|_, load| now - load.at < AGED_MS);
    }
}
