//! Property test of the gateway's guarantees over random valid event sequences. The checks are written independently of
//! the implementation and see only the gateway's events and actions. The guarantees are: exactly one answer to each
//! request, by its deadline; no send to an engine after its drain grace; zone and kind limits; limits on attempts and
//! on repeating a request that may have run; order within a key; the retry budget; slow start of a new engine.

mod common;

use beamgap::*;
use common::{ms, request, sent, Bench};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How late after its deadline an answer may be sent, in milliseconds.
const ANSWER_GRACE_MS: u64 = 20;

/// Time for which engines drop a repeated request of a class that repeats by key.
const KEYED_WINDOW: Micros = Micros::from_millis(2000);

struct AttemptRecord {
    engine: EngineId,
    sent: Micros,
    end: Option<(Outcome, Micros)>,
    cancelled: bool,
}

struct RequestRecord {
    class: usize,
    key: Option<Arc<str>>,
    arrival_index: usize,
    deadline: Micros,
    attempts: Vec<AttemptRecord>,
    answered_at: Option<Micros>,
    answers: usize,
}

/// Four request classes: 0 is safe to repeat; 1 repeats by key within a zone and runs on one kind of engine only; 2 is
/// unsafe to repeat; 3 repeats by key anywhere and runs in order within its ordering key.
fn settings(hedging: bool, budget: bool) -> Settings {
    let mut classes = common::settings().classes;
    classes.truncate(1);
    let keyed = |group| Repeat::Keyed { group, window: KEYED_WINDOW };
    let mut bound = ClassSettings::plain("bound", ms(1000), ms(5000));
    (bound.repeat, bound.kinds) = (keyed(RepeatGroup::Zone), Some(vec!["std".into()]));
    let mut once = ClassSettings::plain("once", ms(1000), ms(5000));
    (once.repeat, once.zones) = (Repeat::Unsafe, Some(vec!["b".into()]));
    let mut turns = ClassSettings::plain("turns", ms(1000), ms(5000));
    (turns.repeat, turns.in_order) = (keyed(RepeatGroup::All), true);
    classes.extend([bound, once, turns]);
    let mut s = common::settings();
    s.classes = classes;
    s.gateways = 2;
    (s.hedging, s.max_attempts, s.key_pause, s.drain_grace) = (hedging, Some(4), ms(500), ms(300));
    s.retry_budget = Some(RetryBudget { free: 2.0, per_request: 0.1, span: ms(3000) }).filter(|_| budget);
    let (warm_within, fall_span) = (ms(8000), ms(1500));
    s.slow_start = Some(SlowStart { start_share: 0.3, warm_within, fall_multiple: 2.0, fall_span });
    s
}

fn members() -> Vec<EngineEntry> {
    let of = |i: usize| EngineEntry {
        zone: if i.is_multiple_of(2) { "a" } else { "b" }.into(),
        kind: if i < 3 { "std" } else { "big" }.into(),
        cell: i as u64 / 2,
        ..common::member(&format!("e{i}"))
    };
    (0..5).map(of).collect()
}

struct RuleChecker {
    bench: Bench,
    settings: Settings,
    members: BTreeMap<EngineId, EngineEntry>,
    drain_started: BTreeMap<EngineId, Micros>,
    requests: BTreeMap<RequestId, RequestRecord>,
    arrivals: Vec<Micros>,
    retries: Vec<Micros>,
    warming_work: BTreeMap<EngineId, Vec<(Micros, f64)>>,
}

impl RuleChecker {
    fn apply(&mut self, actions: Vec<Action>) {
        let now = self.bench.now;
        for action in actions {
            match action {
                Action::Forward { request, engine, .. } => self.check_send(now, &request, &engine),
                Action::Reject { request, .. } => self.check_answer(now, &request, true),
                Action::Fail { request } => self.check_answer(now, &request, false),
                Action::Cancel { request, attempt } => {
                    if let Some(t) =
                        self.requests.get_mut(&request).and_then(|r| r.attempts.get_mut(attempt.0 as usize))
                    {
                        t.cancelled = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn check_answer(&mut self, now: Micros, id: &RequestId, refused: bool) {
        let r = self.requests.get_mut(id).expect("the answered request has arrived before");
        r.answers += 1;
        assert!(r.answered_at.is_none(), "the request was answered twice");
        r.answered_at = Some(now);
        assert!(now <= r.deadline.plus(ms(ANSWER_GRACE_MS)), "answered after the deadline and its grace");
        let first = r.attempts.iter().find(|t| t.end.is_none_or(|(o, _)| !o.never_ran()));
        if let Some(first) = first.filter(|_| refused) {
            let window_is_open = now.since(first.sent) < KEYED_WINDOW;
            assert!(
                r.class == 0 || (r.class == 3 && window_is_open),
                "rejected a request that may have run, so a client retry could run it twice"
            );
        }
    }

    fn check_send(&mut self, now: Micros, id: &RequestId, engine: &EngineId) {
        let member = self.members[engine].clone();
        if let Some(drained_since) = self.drain_started.get(engine) {
            assert!(
                now <= drained_since.plus(self.settings.drain_grace),
                "sent to an engine after its drain grace"
            );
        }
        let r = &self.requests[id];
        let class = &self.settings.classes[r.class];
        assert!(r.answered_at.is_none() && now <= r.deadline, "sent after the answer or the deadline");
        assert!(
            class.kinds.as_ref().is_none_or(|k| k.contains(&member.kind)),
            "sent to a kind of engine that the class excludes"
        );
        assert!(
            class.zones.as_ref().is_none_or(|z| z.contains(&member.zone)),
            "sent to a zone that the class excludes"
        );
        assert!((r.attempts.len() as u32) < 4, "more attempts than max_attempts");
        let open = r.attempts.iter().filter(|t| t.end.is_none()).count();
        assert!(open == 0 || (open == 1 && self.settings.hedging), "too many attempts in flight at once");
        if let Some(ran) = r.attempts.iter().find(|t| t.end.is_none_or(|(o, _)| !o.never_ran())) {
            let zone = |e: &EngineId| self.members[e].zone.clone();
            match r.class {
                1 => assert_eq!(zone(&ran.engine), member.zone, "keyed retry left its zone"),
                2 => panic!("retried an unsafe request that may have run"),
                _ => {}
            }
            if r.class == 1 || r.class == 3 {
                assert!(now.since(ran.sent) <= KEYED_WINDOW, "keyed retry after its window");
            }
        }
        if let (3, Some(key)) = (r.class, &r.key) {
            for earlier in self.requests.values().filter(|e| e.class == 3 && e.key.as_ref() == Some(key)) {
                if earlier.arrival_index < r.arrival_index {
                    assert!(
                        earlier.answered_at.is_some(),
                        "sent before an earlier request of its key was answered"
                    );
                    for t in &earlier.attempts {
                        let (outcome, at) = t.end.expect("the earlier attempt has an outcome");
                        assert!(
                            !outcome.may_still_run() || now.since(at) >= ms(500),
                            "sent during the pause of its key"
                        );
                    }
                }
            }
        }
        if !r.attempts.is_empty() {
            self.retries.push(now);
            if let Some(b) = self.settings.retry_budget {
                let within = |all: &[Micros]| all.iter().filter(|t| now.since(**t) <= b.span).count() as f64;
                let allowed = b.free + b.per_request * within(&self.arrivals);
                assert!(within(&self.retries) <= allowed + 1e-9, "over the retry budget");
            }
        }
        if let Some(started) = member.started {
            let age = now.since(started).as_millis() / 8000.0;
            let sent = self.warming_work.entry(engine.clone()).or_default();
            sent.push((now, 100.0));
            let recent: f64 = sent.iter().filter(|(t, _)| now.since(*t) <= ms(1500)).map(|(_, w)| w).sum();
            let share = 0.3 + 0.7 * age.min(1.0);
            assert!(
                age >= 1.0 || recent <= 2.0 * share * 8.0 * 0.85 * 1500.0 / 2.0,
                "a warming-up engine was sent more work than it survives"
            );
        }
        let sent = AttemptRecord { engine: engine.clone(), sent: now, end: None, cancelled: false };
        self.requests.get_mut(id).expect("the request has arrived").attempts.push(sent);
    }

    fn arrive(&mut self, n: usize, a: u8, b: u8) {
        let class = a as usize % 4;
        let left = if b < 20 { u64::from(b) } else { 500 + u64::from(b) * 15 };
        let mut r = request(&format!("r{n}"), 0, u64::from(b % 5), left);
        r.class = ClassId(class);
        r.key = Some(Arc::from(format!("k{}", b % 3))).filter(|_| class == 3);
        let record = RequestRecord {
            class,
            key: r.key.clone(),
            arrival_index: n,
            deadline: self.bench.now.plus(r.time_left),
            attempts: Vec::new(),
            answered_at: None,
            answers: 0,
        };
        self.requests.insert(r.id.clone(), record);
        self.arrivals.push(self.bench.now);
        let actions = self.bench.arrive(r);
        self.apply(actions);
    }

    fn finish(&mut self, id: &RequestId, attempt: usize, outcome: Outcome) {
        let now = self.bench.now;
        let r = self.requests.get_mut(id).expect("the request has arrived");
        let t = &mut r.attempts[attempt];
        t.end = Some((outcome, now));
        let (engine, latency) = (t.engine.clone(), now.since(t.sent));
        if outcome == Outcome::Served && r.answered_at.is_none() {
            (r.answered_at, r.answers) = (Some(now), r.answers + 1);
        }
        let cost = Some(TrueCost { work: ms(100), memory_mb: 60.0 }).filter(|_| outcome == Outcome::Served);
        let (request, request_answered) = (id.clone(), r.answered_at.is_some());
        let attempt = Attempt(attempt as u32);
        let closed =
            AttemptEnd { request, attempt, engine, outcome, latency, request_answered, cost, report: None };
        let actions = self.bench.tell(Event::AttemptEnded(closed));
        self.apply(actions);
    }

    /// Advances the clock in steps of one millisecond. Ends each open attempt that the gateway cancelled, and each one
    /// whose request has reached its deadline as timed out.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            let actions = self.bench.pass(1);
            self.apply(actions);
            let now = self.bench.now;
            let due = |r: &RequestRecord| r.deadline <= now || r.answered_at.is_some();
            let mut ends: Vec<(RequestId, usize, Outcome)> = Vec::new();
            for (id, r) in &self.requests {
                for (i, t) in r.attempts.iter().enumerate().filter(|(_, t)| t.end.is_none()) {
                    if t.cancelled {
                        ends.push((id.clone(), i, Outcome::Cancelled));
                    } else if due(r) && r.deadline <= now {
                        ends.push((id.clone(), i, Outcome::TimedOut));
                    }
                }
            }
            ends.into_iter().for_each(|(id, i, outcome)| self.finish(&id, i, outcome));
        }
    }

    fn step(&mut self, n: usize, op: u8, a: u8, b: u8) {
        match op % 8 {
            0..=2 => self.arrive(n, a, b),
            3..=5 => {
                let open: Vec<(RequestId, usize)> = self
                    .requests
                    .iter()
                    .flat_map(|(id, r)| {
                        r.attempts.iter().enumerate().map(move |(i, t)| (id, i, t.end.is_none()))
                    })
                    .filter(|(_, _, open)| *open)
                    .map(|(id, i, _)| (id.clone(), i))
                    .collect();
                let Some((id, i)) = open.get(a as usize % open.len().max(1)).cloned() else { return };
                let outcomes = [
                    Outcome::Served,
                    Outcome::Error,
                    Outcome::Overloaded,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Served,
                ];
                self.finish(&id, i, outcomes[b as usize % outcomes.len()]);
            }
            6 => {
                let mut m = members()[a as usize % 5].clone();
                m.state = [EngineState::Serving, EngineState::Draining, EngineState::Removed][b as usize % 3];
                m.started =
                    Some(self.bench.now).filter(|_| b.is_multiple_of(6)).or(self.members[&m.engine].started);
                match m.state {
                    EngineState::Serving => self.drain_started.remove(&m.engine),
                    _ => self.drain_started.insert(m.engine.clone(), self.bench.now),
                };
                self.members.insert(m.engine.clone(), m.clone());
                let actions = self.bench.tell(common::list(ListKind::Changes, vec![m]));
                self.apply(actions);
            }
            _ => self.advance(u64::from(b) * 3),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(20_261_128),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_rule_holds(
        steps in prop::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 20..160),
        second in any::<bool>(),
        budget in any::<bool>(),
    ) {
        let settings = settings(second, budget);
        let bench = Bench::new(settings.clone(), members());
        let members = members().into_iter().map(|m| (m.engine.clone(), m)).collect();
        let mut w = RuleChecker {
            bench, settings, members, drain_started: BTreeMap::new(), requests: BTreeMap::new(), arrivals: Vec::new(),
            retries: Vec::new(), warming_work: BTreeMap::new(),
        };
        for (n, (op, a, b)) in steps.into_iter().enumerate() {
            w.step(n, op, a, b);
        }
        w.advance(6000);
        for (id, r) in &w.requests {
            prop_assert_eq!(r.answers, 1, "{:?} was answered {} times", id, r.answers);
        }
    }
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut bench = Bench::new(common::settings(), vec![common::member("x"), common::member("y")]);
        let mut all = Vec::new();
        for i in 0..60 {
            all.extend(bench.arrive(request(&format!("r{i}"), i % 2, i as u64 % 4, 4000)));
            all.extend(bench.pass(40));
        }
        all
    };
    assert_eq!(run(), run());
    assert!(sent(&run()).len() > 10);
}

#[test]
fn a_request_with_no_time_left_is_answered_on_arrival() {
    // Guards against requests that get no answer under overload: a client's last retry may arrive with less time left
    // than one tick of the gateway's timer, so the gateway has to reject it on arrival.
    let mut bench = Bench::new(common::settings(), Vec::new());
    assert_eq!(common::refused(&bench.arrive(request("r", 0, 1, 10))), 1);
}
