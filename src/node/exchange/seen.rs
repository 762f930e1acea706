//! Names of requests taken lately: a name comes once. Who sends one again and again would earn further attempts for the
//! ration, and have a load run twice.

use super::*;

/// For so long at least, in milliseconds: as a ration looks back.
const LEAST_MS: f64 = 10_000.0;

/// Names kept at most: some MB. A flood of new names drives out old ones.
const MOST: usize = 16_384;

/// The names and when they came.
pub(super) struct Seen {
    span_ms: f64,
    names: HashSet<Arc<str>>,
    order: VecDeque<(f64, Arc<str>)>,
}

impl Seen {
    /// None yet; a ration's span may ask for longer than the least.
    pub(super) fn new(settings: &Settings) -> Seen {
        let span_ms =
            settings.retry_budget.map_or(0.0, |b| b.span.as_millis()).clamp(LEAST_MS, 6.0 * LEAST_MS);
        Seen { span_ms, names: HashSet::new(), order: VecDeque::new() }
    }

    /// Whether a name comes for the first time lately; from now on it is kept.
    pub(super) fn is_first(&mut self, now: f64, name: &Arc<str>) -> bool {
        while self.order.front().is_some_and(|(at, _)| now - at > self.span_ms || self.order.len() >= MOST) {
            if let Some((_, old)) = self.order.pop_front() {
                self.names.remove(&old);
            }
        }
        let first = self.names.insert(name.clone());
        if first {
            self.order.push_back((now, name.clone()));
        }
        first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_is_kept_for_the_span_and_a_flood_of_names_is_bounded() {
        let mut seen = Seen::new(&Settings::default());
        let name = |n: usize| Arc::from(format!("{n:016x}"));
        assert!(seen.is_first(0.0, &name(1)) && !seen.is_first(9_999.0, &name(1)));
        assert!(seen.is_first(10_001.0, &name(1)), "it has been forgotten");
        (10..200_000).for_each(|n| assert!(seen.is_first(10_002.0, &name(n))));
        assert!(seen.order.len() <= MOST && seen.names.len() == seen.order.len());
        assert!(!seen.is_first(10_003.0, &name(199_999)) && seen.is_first(10_003.0, &name(10)));
    }
}
