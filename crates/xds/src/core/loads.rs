//! Load reports from proxies (LRS, `StreamLoadStats`), limited in value and in age. They influence only shares and
//! weights. No report can raise a bound, so a false report can at most increase the share of its sender,
//! in steps of more than a quarter of that share.

use std::collections::BTreeMap;

/// The upper limit of a proxy's reported requests in progress; larger reports are reduced to this value.
pub const IN_PROGRESS_MAX: f64 = 10_000.0;
/// The time after which a load report that was not renewed is discarded, in milliseconds.
pub const REPORT_MAX_AGE_MS: f64 = 15_000.0;
/// The time constant of the exponential smoothing of load reports, in milliseconds. The smoothing limits the effect of
/// a single peak.
const SMOOTH_MS: f64 = 4_000.0;
/// The maximum number of proxies whose loads are stored, which bounds memory; reports from further proxies are ignored.
const PROXIES_MOST: usize = 4_096;

/// The smoothed load of one proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Load {
    in_progress: f64,
    at: f64,
}

/// The loads of all proxies, by node id.
#[derive(Debug, Default)]
pub struct Loads(BTreeMap<String, Load>);

impl Loads {
    /// Records a load report: a proxy's requests in progress at all engines of this service, limited to
    /// [`IN_PROGRESS_MAX`].
    pub fn report(&mut self, now: f64, node: &str, in_progress: u64) {
        if self.0.len() >= PROXIES_MOST && !self.0.contains_key(node) {
            return;
        }
        let in_progress = (in_progress as f64).min(IN_PROGRESS_MAX);
        let load = self.0.entry(node.to_owned()).or_insert(Load { in_progress, at: now });
        let part = 1.0 - (-(now - load.at).max(0.0) / SMOOTH_MS).exp();
        load.in_progress += (in_progress - load.in_progress) * part;
        load.at = now;
    }

    /// The smoothed number of a proxy's requests in progress; 0 without a recent report.
    pub fn in_progress(&self, node: &str) -> f64 {
        self.0.get(node).map_or(0.0, |load| load.in_progress)
    }

    /// Removes loads without a report in the last [`REPORT_MAX_AGE_MS`].
    pub fn forget(&mut self, now: f64) {
        self.0.retain(|_, load| now - load.at < REPORT_MAX_AGE_MS);
    }
}
