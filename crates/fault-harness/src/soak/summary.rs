//! Summary of a run, with the last events of the requests that violated a rule.

use super::book::Excuse;
use super::plan::Plan;
use super::verdict::Seen;
use beamgap_fakes::rules::Said;
use beamgap_fakes::warehouse::Act;
use std::collections::BTreeSet;

/// Maximum number of events that the summary of a failed run lists for each request.
const MAX_EVENTS_SHOWN: usize = 12;
/// Maximum number of requests whose events the summary of a failed run lists.
const MAX_REQUESTS_SHOWN: usize = 6;
/// Length of a request id in hexadecimal digits.
const ID_LENGTH: usize = 16;

/// Figures and violations of one run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Parameters and faults of the run.
    pub plan: Plan,
    /// Number of requests that clients wrote.
    pub requests: usize,
    /// Number of responses with a result.
    pub served: usize,
    /// Number of requests that needed no response because they crossed the close of their connection, or because the
    /// front end closed the connection unread when idle connections used up its descriptors.
    pub crossed: usize,
    /// Number of requests that were open when their front end was killed.
    pub killed: usize,
    /// Number of signals sent to front ends.
    pub signals: usize,
    /// Maximum scheduling lateness of the soak's own threads, in milliseconds.
    pub worst_lateness: f64,
    /// Descriptions of the violated rules.
    pub violations: Vec<String>,
    /// The last events of the requests that the violations name.
    pub events: Vec<String>,
}

/// Builds the summary of a run from its observations and its violations.
pub(super) fn summary(plan: &Plan, seen: &Seen, signals: usize, violations: Vec<String>) -> Summary {
    let excused = |excuses: &[Excuse]| {
        seen.records.iter().filter(|r| r.excuse.is_some_and(|excuse| excuses.contains(&excuse))).count()
    };
    let is_id = |word: &&str| word.len() == ID_LENGTH && word.bytes().all(|byte| byte.is_ascii_hexdigit());
    let words = violations.iter().flat_map(|text| text.split([' ', ':', ',']));
    let named_ids: BTreeSet<&str> = words.filter(is_id).take(MAX_REQUESTS_SHOWN).collect();
    let mut events = Vec::new();
    for id in named_ids {
        events.extend(request_events(seen, id));
    }
    Summary {
        plan: plan.clone(),
        requests: seen.records.len(),
        served: seen.said.iter().filter(|(.., said)| *said == Said::Served).count(),
        crossed: excused(&[Excuse::CrossedClose, Excuse::ShutUnread]),
        killed: excused(&[Excuse::Killed]),
        signals,
        worst_lateness: seen.lateness.worst(),
        violations,
        events,
    }
}

/// Returns the last events of a request in chronological order.
fn request_events(seen: &Seen, id: &str) -> Vec<String> {
    let mut events: Vec<(f64, String)> = Vec::new();
    for record in seen.records.iter().filter(|record| record.asked.id == id) {
        events.push((record.asked.at, format!("{record:?}")));
    }
    for (at, _, said) in seen.said.iter().filter(|(_, of, _)| of == id) {
        events.push((*at, format!("{id} answered {said:?}")));
    }
    for (engine, acts) in seen.acts.iter().enumerate() {
        let of_request = acts.iter().filter(|act: &&Act| act.id == id);
        events.extend(of_request.map(|act| (act.at, format!("{id} engine {engine} {:?}", act.what))));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    events
        .into_iter()
        .rev()
        .take(MAX_EVENTS_SHOWN)
        .rev()
        .map(|(at, text)| format!("{at:.1} {text}"))
        .collect()
}
