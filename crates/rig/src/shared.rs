//! The judge of what the fleet owns in common: what members admitted and what engines had in hand, against the promises of
//! `docs/budgets.md`, by their numbers. Pure. It never looks at the program's own books.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// A bound of the whole fleet, as the judge goes by it.
#[derive(Clone, Debug, Default)]
pub struct Bound {
    /// Of this account; of all if empty.
    pub account: String,
    /// Of this class; of all if none.
    pub class: Option<usize>,
    /// Admitted a second, and at once, at most, under these versions.
    pub rate: Option<(f64, f64)>,
    /// In hand at all engines together at most.
    pub most: Option<usize>,
    /// Attempts beyond the first of their request, a second and at once.
    pub further: Option<(f64, f64)>,
    /// The versions under which it stands.
    pub versions: BTreeSet<u64>,
}

/// What was seen of a bound.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Admissions that it bound.
    pub admitted: usize,
    /// The most that came in any window beyond the rate, of the burst that is allowed.
    pub burst: f64,
    /// The most in hand at engines at one moment.
    pub widest: usize,
}

/// Judges a history against the bounds; events in order of time.
pub fn judge_shared(events: &[Event], bounds: &[Bound]) -> Result<Vec<Seen>, Break> {
    bounds.iter().map(|bound| one(events, bound)).collect()
}

/// The fullest that a bucket gets which leaks at this rate, and where a burst is passed, the events of that window.
fn fullest<'a>(came: &[&'a Event], per_s: f64, burst: f64) -> (f64, Option<Vec<&'a Event>>) {
    let (mut level, mut last, mut from, mut most) = (0.0f64, f64::NEG_INFINITY, 0, 0.0f64);
    for (i, event) in came.iter().enumerate() {
        if last.is_finite() {
            level -= (event.at - last) * per_s / 1000.0;
        }
        if level <= 0.0 {
            (level, from) = (0.0, i);
        }
        (level, last) = (level + 1.0, event.at);
        most = most.max(level);
        // A reading is written to a thousandth of a millisecond.
        if level > burst + 1e-3 * per_s {
            return (most, Some(came[from..=i].to_vec()));
        }
    }
    (most, None)
}

fn one(events: &[Event], bound: &Bound) -> Result<Seen, Break> {
    let mut seen = Seen::default();
    // Requests that it binds.
    let mut bound_ids: BTreeSet<&str> = BTreeSet::new();
    let mut all: Vec<&Event> = Vec::new();
    for event in events {
        if let What::Admit { id, class, version, account, .. } = &event.what {
            let fits = (bound.account.is_empty() || bound.account == *account)
                && bound.class.is_none_or(|of| of == *class)
                && bound.versions.contains(version);
            if fits {
                bound_ids.insert(id);
                all.push(event);
                seen.admitted += 1;
            }
        }
    }
    if let Some((per_s, burst)) = bound.rate {
        // All versions together: the bound stands the same in each of them.
        let (most, over) = fullest(&all, per_s, burst);
        seen.burst = seen.burst.max(most);
        if let Some(window) = over {
            let (n, ms) = (window.len(), window[window.len() - 1].at - window[0].at);
            let text = format!(
                "{n} of '{}' were admitted within {ms:.0} ms, beyond {per_s} a second and {burst} at once",
                bound.account
            );
            return broken(1, text, &window);
        }
    }
    // Requests in hand somewhere, by the engines that have them: one may be called off here and begun there.
    let mut out: BTreeMap<&str, BTreeMap<&str, &Event>> = BTreeMap::new();
    // Of each request: how often it came to an engine, and its leaves for further attempts.
    let mut tries: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let mut further: Vec<&Event> = Vec::new();
    for event in events {
        match &event.what {
            What::Came { engine, id } if bound_ids.contains(id.as_str()) => {
                out.entry(id).or_default().insert(engine, event);
                seen.widest = seen.widest.max(out.len());
                if bound.most.is_some_and(|most| out.len() > most) {
                    let text = format!("{} of '{}' are in hand at engines at once", out.len(), bound.account);
                    let excerpt: Vec<&Event> = out.values().flat_map(BTreeMap::values).copied().collect();
                    return broken(1, text, &excerpt);
                }
                let (came, leaves) = tries.entry(id).or_default();
                *came += 1;
                if bound.further.is_some() && *came > *leaves + 1 {
                    let text =
                        format!("request {id} came {came} times, with leave for {leaves} further attempts");
                    return broken(1, text, &[event]);
                }
            }
            What::Further { id, .. } if bound_ids.contains(id.as_str()) => {
                tries.entry(id).or_default().1 += 1;
                further.push(event);
            }
            What::Left { engine, id } => {
                if let Some(at) = out.get_mut(id.as_str()) {
                    at.remove(engine.as_str());
                }
                out.retain(|_, at| !at.is_empty());
            }
            _ => {}
        }
    }
    if let Some((per_s, burst)) = bound.further {
        let (most, over) = fullest(&further, per_s, burst);
        seen.burst = seen.burst.max(most);
        if let Some(window) = over {
            let text =
                format!("{} further attempts, beyond {per_s} a second and {burst} at once", window.len());
            return broken(1, text, &window);
        }
    }
    Ok(seen)
}
