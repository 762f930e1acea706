//! Checks a run against the platform's rules. The input is what clients sent and received, what engines received, and
//! what service discovery sent. A front end's own log is not used.

use super::book::{Excuse, Incarnation, Record};
use super::discovery::Discovery;
use super::lateness::Lateness;
use beamgap_fakes::rules::{judge, Asked, Rules, Said};
use beamgap_fakes::warehouse::{Act, What};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tolerance added to each time limit of the rules for the delays of sockets and threads, in milliseconds.
const TOLERANCE_MS: f64 = 50.0;
/// Time after the client's deadline in which a response is still accepted, in milliseconds.
const LATE_ANSWER_GRACE_MS: f64 = 500.0;
/// How long after the client cancelled or disconnected an attempt of its request may still start, in milliseconds. The
/// first limit is for a request with an earlier attempt, the second for a request that was still queued.
const MAX_SEND_AFTER_CANCEL_MS: (f64, f64) = (100.0, 300.0);
/// Time after which a front end is deemed to know a discovery event even if the event was not received, in
/// milliseconds.
const DEEMED_RECEIVED_MS: f64 = 7000.0;
/// Expected number of requests below which the limit for a cold engine has a wider allowance for random variation.
const FEW_REQUESTS: f64 = 30.0;
/// An overload of a cold engine is a violation only if more than this fraction of the requests came from front ends
/// that knew of the engine's start.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// A change of the engine list that limits which requests may be sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Index of the engine, starting at 0.
    pub engine: usize,
    /// Number of the service discovery event that announces the change.
    pub event: usize,
    /// Earliest time at which a front end can have received the event.
    pub at: f64,
}

/// All observations of a run.
pub struct Seen {
    /// Requests that clients wrote.
    pub records: Vec<Record>,
    /// Responses that clients received: time, request id and result.
    pub said: Vec<(f64, String, Said)>,
    /// History of attempts of each engine, by index of the engine.
    pub acts: Vec<Vec<Act>>,
    /// Engines that began to drain or went down.
    pub drains: Vec<Change>,
    /// Engines that restarted cold; `at` is the time of the restart.
    pub starts: Vec<Change>,
    /// Service discovery, which recorded when each front end received each event.
    pub discovery: Discovery,
    /// Scheduling lateness of the threads that made the observations.
    pub lateness: Lateness,
}

/// Returns a description of each violation of a rule.
pub fn violations(seen: &Seen) -> Vec<String> {
    let mut found = Vec::new();
    lost_requests(seen, &mut found);
    platform_rules(seen, &mut found);
    sent_after_cancel(seen, &mut found);
    sent_after_drain(seen, &mut found);
    cold_engines(seen, &mut found);
    found
}

fn lost_requests(seen: &Seen, found: &mut Vec<String>) {
    for record in &seen.records {
        if let Some(at) = record.lost {
            let age = at - record.asked.at;
            found.push(format!(
                "{}: lost: its connection ended {age:.0} ms after it was written",
                record.asked.id
            ));
        }
    }
    let excused = |record: &&Record| matches!(record.excuse, Some(Excuse::CrossedClose | Excuse::ShutUnread));
    let unread: BTreeSet<&str> = seen.records.iter().filter(excused).map(|r| r.asked.id.as_str()).collect();
    let all_acts = seen.acts.iter().flatten();
    let forwarded: BTreeSet<&str> =
        all_acts.filter(|act| unread.contains(act.id.as_str())).map(|act| act.id.as_str()).collect();
    found.extend(forwarded.iter().map(|id| format!("{id}: lost: forwarded, but its connection was closed")));
}

/// Runs the rule checker of the fakes crate separately for each front end process.
fn platform_rules(seen: &Seen, found: &mut Vec<String>) {
    let mut by_process: BTreeMap<Incarnation, Vec<Asked>> = BTreeMap::new();
    let mut process_of: HashMap<&str, Incarnation> = HashMap::new();
    for record in &seen.records {
        let mut asked = record.asked.clone();
        // `lost_requests` already reports a lost request, so the rule checker must not expect a response.
        asked.gone = asked.gone.or(record.lost);
        by_process.entry(record.incarnation).or_default().push(asked);
        process_of.insert(&record.asked.id, record.incarnation);
    }
    let mut said_by_process: BTreeMap<Incarnation, Vec<(f64, String, Said)>> = BTreeMap::new();
    for (at, id, said) in &seen.said {
        if let Some(process) = process_of.get(id.as_str()) {
            // A client may read a response later than the front end sent it, by the tolerance plus the lateness of
            // the soak's threads. The earliest possible time is checked.
            let given = at - TOLERANCE_MS - seen.lateness.around(*at);
            said_by_process.entry(*process).or_default().push((given, id.clone(), *said));
        }
    }
    let mut acts_by_process: BTreeMap<Incarnation, Vec<Act>> = BTreeMap::new();
    for act in with_early_ends(seen) {
        if let Some(process) = process_of.get(act.id.as_str()) {
            acts_by_process.entry(*process).or_default().push(act);
        }
    }
    let rules = Rules {
        safe: vec![true, true, false],
        ordered: vec![false, false, true],
        rest_ms: super::KEY_REST_MS - TOLERANCE_MS,
        ration: Some((super::RETRY_BUDGET.0, super::RETRY_BUDGET.1, super::RETRY_BUDGET.2)),
        most: Some(super::MAX_ATTEMPTS),
        grace_ms: LATE_ANSWER_GRACE_MS,
    };
    for (process, asked) in &by_process {
        let said = said_by_process.remove(process).unwrap_or_default();
        let acts = acts_by_process.remove(process).unwrap_or_default();
        found.extend(judge(asked, &said, &acts, &rules));
    }
}

/// Returns all engine events, with the end of a cancelled, timed-out or disconnected attempt moved to the earliest
/// time at which the front end can have ended the attempt; the engine observes such an end late.
fn with_early_ends(seen: &Seen) -> Vec<Act> {
    let mut all = Vec::new();
    for engine in &seen.acts {
        let mut came: HashMap<&str, f64> = HashMap::new();
        for act in engine {
            let mut act_at = act.at;
            match act.what {
                What::Came => drop(came.insert(&act.id, act.at)),
                What::Broke | What::CalledOff | What::TimedOut => {
                    let since = came.get(act.id.as_str()).copied().unwrap_or(act.at);
                    act_at = (act.at - TOLERANCE_MS - seen.lateness.around(act.at)).max(since);
                }
                What::Served | What::Failed | What::TurnedAway => {}
            }
            all.push(Act { at: act_at, ..act.clone() });
        }
    }
    all
}

fn sent_after_cancel(seen: &Seen, found: &mut Vec<String>) {
    let mut first_came: HashMap<&str, f64> = HashMap::new();
    for act in seen.acts.iter().flatten().filter(|act| act.what == What::Came) {
        let first = first_came.entry(&act.id).or_insert(act.at);
        *first = first.min(act.at);
    }
    let left: HashMap<&str, f64> = seen
        .records
        .iter()
        .filter(|record| record.excuse == Some(Excuse::ClientLeft))
        .filter_map(|record| Some((record.asked.id.as_str(), record.asked.gone?)))
        .collect();
    for act in seen.acts.iter().flatten().filter(|act| act.what == What::Came) {
        let Some(gone) = left.get(act.id.as_str()) else { continue };
        let waited = first_came[act.id.as_str()] >= *gone;
        let allowed =
            if waited { MAX_SEND_AFTER_CANCEL_MS.1 } else { MAX_SEND_AFTER_CANCEL_MS.0 } + TOLERANCE_MS;
        if act.at - seen.lateness.around(act.at) > gone + allowed {
            found.push(format!("{}: sent {:.0} ms after its client had left", act.id, act.at - gone));
        }
    }
}

fn process_by_request(seen: &Seen) -> HashMap<&str, usize> {
    seen.records.iter().map(|record| (record.asked.id.as_str(), record.incarnation.front_end)).collect()
}

fn sent_after_drain(seen: &Seen, found: &mut Vec<String>) {
    let front_end_of = process_by_request(seen);
    for drain in &seen.drains {
        let back = seen.starts.iter().filter(|start| start.engine == drain.engine).map(|start| start.at);
        let back = back.filter(|at| *at > drain.at).fold(f64::INFINITY, f64::min);
        for act in seen.acts[drain.engine].iter().filter(|act| act.what == What::Came && act.at < back) {
            let Some(front_end) = front_end_of.get(act.id.as_str()) else { continue };
            let told = seen.discovery.told(*front_end, drain.event).unwrap_or(f64::INFINITY);
            let until = told.min(drain.at + DEEMED_RECEIVED_MS) + super::DRAIN_GRACE_MS + TOLERANCE_MS;
            if act.at - seen.lateness.around(act.at) > until {
                let late = act.at - until;
                found.push(format!("{}: sent to a draining engine {late:.0} ms past its grace", act.id));
            }
        }
    }
}

fn cold_engines(seen: &Seen, found: &mut Vec<String>) {
    let front_end_of = process_by_request(seen);
    for start in &seen.starts {
        let came: Vec<(f64, bool)> = seen.acts[start.engine]
            .iter()
            .filter(|act| act.what == What::Came && act.at >= start.at)
            .filter_map(|act| {
                let front_end = front_end_of.get(act.id.as_str())?;
                let told = seen.discovery.told(*front_end, start.event).unwrap_or(f64::INFINITY);
                Some((act.at, act.at >= told.min(start.at + DEEMED_RECEIVED_MS)))
            })
            .collect();
        for (from, _) in &came {
            let age = from - start.at;
            let span = came.iter().filter(|(at, _)| (*from..from + super::FALL_SPAN_MS).contains(at));
            let (mut count, mut told) = (0.0, 0.0);
            for (_, was_told) in span {
                count += 1.0;
                told += f64::from(u8::from(*was_told));
            }
            let bound = cold_bound(age);
            if age < super::WARM_WITHIN_MS && count > bound && told > MIN_INFORMED_FRACTION * count {
                let engine = start.engine;
                found.push(format!(
                    "engine {engine}: fell: {count} requests in {} ms, {age:.0} ms after its start, {bound:.0} allowed",
                    super::FALL_SPAN_MS
                ));
                break;
            }
        }
    }
}

/// Returns how many requests of mean work an engine may receive within the window `age` milliseconds after its start,
/// with an allowance for random variation.
fn cold_bound(age: f64) -> f64 {
    let warmth = super::START_SHARE + (1.0 - super::START_SHARE) * (age / super::WARM_WITHIN_MS).min(1.0);
    let allowed = super::FALL_MULTIPLE * warmth * super::CORES * super::FALL_SPAN_MS / super::WORK_MS;
    let spread = if allowed < FEW_REQUESTS { 3.0 } else { 2.0 };
    allowed + spread * allowed.sqrt() + spread
}
