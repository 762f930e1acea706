//! History checker for the fleet's budgets: compares the requests that members admitted and that engines executed with the
//! numbered promises of `docs/budgets.md`. Pure functions; the budget accounts that the program itself reports are not used.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// Number of the promise that the members' shares never add up to more than the budget.
const PROMISE: u8 = 1;
/// Tolerance for rounded timestamps in a history, in seconds: a token bucket may exceed its burst by the events that its
/// rate permits in this time.
const ROUNDING_TOLERANCE: f64 = 1e-3;

/// The parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Refill rate, in events per second.
    pub per_second: f64,
    /// Bucket capacity: the largest number of events that may occur at the same moment.
    pub burst: f64,
}

/// A limit on the whole fleet that the checker enforces on a history.
#[derive(Clone, Debug, Default)]
pub struct BudgetLimit {
    /// Account whose requests are limited; an empty name limits the requests of every account.
    pub account: String,
    /// Request class that is limited; `None` limits requests of every class.
    pub class: Option<usize>,
    /// Rate limit on admitted requests.
    pub rate: Option<RateLimit>,
    /// Maximum number of requests in flight, summed over all engines.
    pub max_in_flight: Option<usize>,
    /// Rate limit on retries, that is, on every attempt of a request after its first.
    pub retries: Option<RateLimit>,
    /// Policy versions that contain the limit; admissions under other versions are not counted.
    pub versions: BTreeSet<u64>,
}

/// The peak usage of one limit in a history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Number of admissions to which the limit applies.
    pub admitted: usize,
    /// Highest level that the token bucket's usage reached, in events.
    pub burst: f64,
    /// Highest number of requests in flight at engines at the same moment.
    pub most_in_flight: usize,
}

/// Checks a history against each limit and returns the usage of each limit. The events must be sorted by time.
///
/// # Errors
///
/// The first violation of a limit, with the events that prove it.
pub fn check_budgets(events: &[Event], limits: &[BudgetLimit]) -> Result<Vec<BudgetUsage>, Break> {
    limits.iter().map(|limit| check_limit(events, limit)).collect()
}

fn check_limit(events: &[Event], limit: &BudgetLimit) -> Result<BudgetUsage, Break> {
    let admissions: Vec<&Event> = events.iter().filter(|event| limit.applies_to(event)).collect();
    let mut usage = BudgetUsage { admitted: admissions.len(), ..BudgetUsage::default() };
    if let Some(rate) = limit.rate {
        // Admissions under all listed policy versions share one bucket, because the limit is the same in each version.
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
    /// Whether the event is the admission of a request to which this limit applies.
    fn applies_to(&self, event: &Event) -> bool {
        let What::Admit { class, version, account, .. } = &event.what else {
            return false;
        };
        (self.account.is_empty() || self.account == *account)
            && self.class.is_none_or(|limited| limited == *class)
            && self.versions.contains(version)
    }
}

/// Replays events through a leaky bucket and returns the highest level of the bucket.
/// If the level exceeds the burst, the events since the bucket was last empty are returned as proof of the violation.
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

/// Per request: the number of attempts that arrived at engines and the number of retries that members permitted.
#[derive(Default)]
struct AttemptCounts {
    arrived: usize,
    permitted_retries: usize,
}

/// Tracks the attempts of the requests to which one limit applies.
struct AttemptChecker<'a> {
    limit: &'a BudgetLimit,
    requests: BTreeSet<&'a str>,
    /// Requests in flight, each with the engines that execute one of its attempts.
    /// A request that is cancelled at one engine and sent to another can be at both for a moment and counts once.
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

    /// Counts an attempt that arrived at an engine.
    /// If the limit covers retries, every attempt after a request's first must have been permitted by a member.
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
