//! The history checker of the fleet's budgets: compares what members admitted and what engines worked on with the promises
//! of `docs/budgets.md`, by their numbers. Pure. It never looks at the program's own accounts.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// The promise that shares never sum to more than the budget.
const PROMISE: u8 = 1;
/// Tolerance for the rounding of times in a history, in seconds.
const ROUNDING_TOLERANCE: f64 = 1e-3;

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Events per second.
    pub per_second: f64,
    /// Events at once.
    pub burst: f64,
}

/// A limit of the whole fleet, as the checker goes by it.
#[derive(Clone, Debug, Default)]
pub struct BudgetLimit {
    /// Limits only this account; all of them if it is empty.
    pub account: String,
    /// Limits only this class; all of them if there is none.
    pub class: Option<usize>,
    /// Limits admissions.
    pub rate: Option<RateLimit>,
    /// Most requests in flight at all engines together.
    pub max_in_flight: Option<usize>,
    /// Limits attempts beyond the first of their request.
    pub retries: Option<RateLimit>,
    /// The policy versions under which the limit stands.
    pub versions: BTreeSet<u64>,
}

/// How much of a limit a history has used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Admissions that it limits.
    pub admitted: usize,
    /// Most of a burst that was used in any window.
    pub burst: f64,
    /// Most requests in flight at engines at one moment.
    pub most_in_flight: usize,
}

/// Checks a history, events in order of time, against limits; gives the usage of each.
///
/// # Errors
///
/// The first violation.
pub fn check_budgets(events: &[Event], limits: &[BudgetLimit]) -> Result<Vec<BudgetUsage>, Break> {
    limits.iter().map(|limit| check_limit(events, limit)).collect()
}

fn check_limit(events: &[Event], limit: &BudgetLimit) -> Result<BudgetUsage, Break> {
    let admissions: Vec<&Event> = events.iter().filter(|event| limit.applies_to(event)).collect();
    let mut usage = BudgetUsage { admitted: admissions.len(), ..BudgetUsage::default() };
    if let Some(rate) = limit.rate {
        // All versions together: the limit is the same in each of them.
        let (most, violation) = fullest_bucket(&admissions, rate);
        usage.burst = usage.burst.max(most);
        if let Some(window) = violation {
            return broken(PROMISE, rate_violation(&window, limit, rate), &window);
        }
    }
    let mut attempts = AttemptChecker::new(limit, &admissions);
    for event in events {
        attempts.check(event)?;
    }
    usage.most_in_flight = attempts.most_in_flight;
    if let Some(rate) = limit.retries {
        let (most, violation) = fullest_bucket(&attempts.retries, rate);
        usage.burst = usage.burst.max(most);
        if let Some(window) = violation {
            return broken(PROMISE, retry_violation(&window, rate), &window);
        }
    }
    Ok(usage)
}

impl BudgetLimit {
    /// Whether an event is an admission that this limits.
    fn applies_to(&self, event: &Event) -> bool {
        let What::Admit { class, version, account, .. } = &event.what else {
            return false;
        };
        (self.account.is_empty() || self.account == *account)
            && self.class.is_none_or(|limited| limited == *class)
            && self.versions.contains(version)
    }
}

/// The highest level of a leaky bucket, and where the burst is exceeded, the events of that window.
fn fullest_bucket<'a>(events: &[&'a Event], rate: RateLimit) -> (f64, Option<Vec<&'a Event>>) {
    let mut level = 0.0f64;
    let mut last_at = f64::NEG_INFINITY;
    let mut window_start = 0;
    let mut most = 0.0f64;
    for (index, event) in events.iter().enumerate() {
        if last_at.is_finite() {
            level -= (event.at - last_at) * rate.per_second / 1000.0;
        }
        if level <= 0.0 {
            level = 0.0;
            window_start = index;
        }
        level += 1.0;
        last_at = event.at;
        most = most.max(level);
        if level > rate.burst + ROUNDING_TOLERANCE * rate.per_second {
            return (most, Some(events[window_start..=index].to_vec()));
        }
    }
    (most, None)
}

fn rate_violation(window: &[&Event], limit: &BudgetLimit, rate: RateLimit) -> String {
    let count = window.len();
    let length_ms = window[count - 1].at - window[0].at;
    let RateLimit { per_second, burst } = rate;
    let account = &limit.account;
    format!("{count} of '{account}' were admitted within {length_ms:.0} ms, beyond {per_second} a second and {burst} at once")
}

fn retry_violation(window: &[&Event], rate: RateLimit) -> String {
    let RateLimit { per_second, burst } = rate;
    format!("{} further attempts, beyond {per_second} a second and {burst} at once", window.len())
}

/// How often a request arrived at an engine, and how often a retry was permitted.
#[derive(Default)]
struct AttemptCounts {
    arrived: usize,
    permitted_retries: usize,
}

/// Follows the attempts of requests that one limit applies to.
struct AttemptChecker<'a> {
    limit: &'a BudgetLimit,
    requests: BTreeSet<&'a str>,
    /// Requests in flight, by the engines that work on them: one may be cancelled here and sent there.
    in_flight: BTreeMap<&'a str, BTreeMap<&'a str, &'a Event>>,
    attempts: BTreeMap<&'a str, AttemptCounts>,
    retries: Vec<&'a Event>,
    most_in_flight: usize,
}

impl<'a> AttemptChecker<'a> {
    fn new(limit: &'a BudgetLimit, admissions: &[&'a Event]) -> AttemptChecker<'a> {
        let request_id = |event: &&'a Event| match &event.what {
            What::Admit { id, .. } => Some(id.as_str()),
            _ => None,
        };
        AttemptChecker {
            limit,
            requests: admissions.iter().filter_map(request_id).collect(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            retries: Vec::new(),
            most_in_flight: 0,
        }
    }

    fn check(&mut self, event: &'a Event) -> Result<(), Break> {
        match &event.what {
            What::Came { engine, id } if self.requests.contains(id.as_str()) => {
                self.in_flight.entry(id).or_default().insert(engine, event);
                self.most_in_flight = self.most_in_flight.max(self.in_flight.len());
                self.check_in_flight()?;
                self.check_arrival(event, id)?;
            }
            What::Further { id, .. } if self.requests.contains(id.as_str()) => {
                self.attempts.entry(id).or_default().permitted_retries += 1;
                self.retries.push(event);
            }
            What::Left { engine, id } => {
                if let Some(engines) = self.in_flight.get_mut(id.as_str()) {
                    engines.remove(engine.as_str());
                }
                self.in_flight.retain(|_, engines| !engines.is_empty());
            }
            _ => {}
        }
        Ok(())
    }

    fn check_in_flight(&self) -> Result<(), Break> {
        let in_flight = self.in_flight.len();
        if self.limit.max_in_flight.is_none_or(|max| in_flight <= max) {
            return Ok(());
        }
        let text = format!("{in_flight} of '{}' are in hand at engines at once", self.limit.account);
        let excerpt: Vec<&Event> = self.in_flight.values().flat_map(BTreeMap::values).copied().collect();
        broken(PROMISE, text, &excerpt)
    }

    /// Counts an attempt that arrived at an engine; where retries are limited, each but the first has to be permitted.
    fn check_arrival(&mut self, event: &Event, id: &'a str) -> Result<(), Break> {
        let counts = self.attempts.entry(id).or_default();
        counts.arrived += 1;
        if self.limit.retries.is_none() || counts.arrived <= counts.permitted_retries + 1 {
            return Ok(());
        }
        let AttemptCounts { arrived, permitted_retries } = counts;
        let text =
            format!("request {id} came {arrived} times, with leave for {permitted_retries} further attempts");
        broken(PROMISE, text, &[event])
    }
}
