//! Checker of the platform's rules. The checker does no I/O, and its input is what clients and engines observed;
//! records of the program under test are not used.

use crate::warehouse::{Act, What};
use std::collections::BTreeMap;

/// A request as written by its client. All times are in milliseconds on the test's clock.
#[derive(Clone, Debug)]
pub struct Asked {
    /// When the last byte of the request was written.
    pub at: f64,
    /// Request id.
    pub id: String,
    /// Index of the request class.
    pub class: usize,
    /// Ordering key; requests of an ordered class with the same key must run one after the other.
    pub key: Option<String>,
    /// Deadline at which the client stops waiting.
    pub until: f64,
    /// When the client gave up the request before the deadline; such a request needs no answer.
    pub gone: Option<f64>,
}

/// Final answer that a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// The request succeeded and the answer contains the result.
    Served,
    /// The request was refused, and the client may safely try again.
    Refused,
    /// The request failed.
    Failed,
}

/// Parameters of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// For each class, whether a request may run more than once.
    pub safe: Vec<bool>,
    /// For each class, whether requests with the same ordering key must run in order.
    pub ordered: Vec<bool>,
    /// Time for which an ordering key stays blocked after an attempt that may still be running, in milliseconds.
    pub rest_ms: f64,
    /// Retry budget: number of retries that are always allowed, additional retries per request, and the length of the
    /// sliding window in milliseconds. `None` means no limit.
    pub ration: Option<(f64, f64, f64)>,
    /// Maximum number of attempts per request; `None` means no limit.
    pub most: Option<usize>,
    /// Time after a client's deadline in which a final answer is still accepted, in milliseconds.
    pub grace_ms: f64,
}

struct Attempt {
    from: f64,
    end: Option<(f64, What)>,
}

/// Returns a description of each violation of a rule; empty if there is none.
pub fn judge(asked: &[Asked], said: &[(f64, String, Said)], acts: &[Act], rules: &Rules) -> Vec<String> {
    let mut violations = Vec::new();
    let mut attempts: BTreeMap<&str, Vec<Attempt>> = BTreeMap::new();
    let mut acts: Vec<&Act> = acts.iter().collect();
    // The sort is stable, so events of one engine at the same time stay in order.
    acts.sort_by(|a, b| a.at.total_cmp(&b.at));
    for act in acts {
        let attempts_of_request = attempts.entry(&act.id).or_default();
        if act.what == What::Came {
            if attempts_of_request.iter().any(|t| t.end.is_none()) {
                violations.push(format!("{}: two attempts out at {:.0}", act.id, act.at));
            }
            attempts_of_request.push(Attempt { from: act.at, end: None });
        } else if let Some(open) = attempts_of_request.iter_mut().find(|t| t.end.is_none()) {
            open.end = Some((act.at, act.what));
        }
    }
    let mut retries: Vec<f64> = Vec::new();
    for request in asked {
        let answers: Vec<_> = said.iter().filter(|(_, id, _)| *id == request.id).collect();
        let (id, owed) = (&request.id, usize::from(request.gone.is_none()));
        if answers.len() > 1 || answers.len() < owed {
            violations.push(format!("{id}: {} final answers", answers.len()));
        }
        if let Some((at, ..)) = answers.first().filter(|(at, ..)| *at > request.until + rules.grace_ms) {
            violations.push(format!("{id}: answered {:.0} ms too late", at - request.until));
        }
        let Some(attempts_of_request) = attempts.get(id.as_str()) else { continue };
        retries.extend(attempts_of_request.iter().skip(1).map(|t| t.from));
        let ran = |t: &Attempt| !matches!(t.end, Some((_, What::TurnedAway)));
        if !rules.safe[request.class] {
            if attempts_of_request.iter().rev().skip(1).any(ran) {
                violations.push(format!("{id}: sent again though it may have run"));
            }
            if answers.first().is_some_and(|(.., said)| *said == Said::Refused)
                && attempts_of_request.iter().any(ran)
            {
                violations.push(format!("{id}: refused though it may have run"));
            }
        }
        if rules.most.is_some_and(|most| attempts_of_request.len() > most) {
            violations.push(format!("{id}: {} attempts", attempts_of_request.len()));
        }
        if let (true, Some(key)) = (rules.ordered[request.class], &request.key) {
            let first = attempts_of_request[0].from;
            let same =
                |a: &&Asked| a.key.as_ref() == Some(key) && rules.ordered[a.class] && a.at < request.at;
            for earlier in asked.iter().filter(same) {
                let answered = said.iter().find(|(_, id, _)| *id == earlier.id).map(|(at, ..)| *at);
                let ended_at = answered.into_iter().chain(earlier.gone).fold(f64::INFINITY, f64::min);
                if ended_at > first {
                    violations.push(format!("{id}: sent at {first:.0} before {} was over", earlier.id));
                }
                for t in attempts.get(earlier.id.as_str()).into_iter().flatten() {
                    let blocked_until = match t.end {
                        Some((at, What::Served | What::Failed | What::TurnedAway)) => at,
                        Some((at, What::Broke | What::CalledOff | What::TimedOut | What::Came)) => {
                            at + rules.rest_ms
                        }
                        None => f64::INFINITY,
                    };
                    if first < blocked_until {
                        violations.push(format!(
                            "{id}: sent at {first:.0}, {} rests till {blocked_until:.0}",
                            earlier.id
                        ));
                    }
                }
            }
        }
    }
    if let Some((free, each, span)) = rules.ration {
        for now in &retries {
            let within = |at: &&f64| **at <= *now && now - **at < span;
            let requests = asked.iter().filter(|a| a.at <= *now && now - a.at < span).count() as f64;
            let sent = retries.iter().filter(within).count() as f64;
            if sent > 1.15 * (free + each * requests) + 1.0 {
                violations.push(format!("at {now:.0}: {sent} further attempts for {requests} requests"));
            }
        }
    }
    violations
}
