//! Helpers that build the settings, engine lists, requests and events with which tests drive a `Gateway`.
#![allow(dead_code)]

use beamgap::*;
use std::sync::Arc;

pub fn ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

pub fn engine(name: &str) -> EngineId {
    EngineId(Arc::from(name))
}

pub fn member(name: &str) -> EngineEntry {
    EngineEntry {
        engine: engine(name),
        zone: "a".into(),
        kind: "std".into(),
        size_hint: 1.0,
        ..EngineEntry::default()
    }
}

pub fn list(kind: ListKind, members: Vec<EngineEntry>) -> Event {
    Event::EngineList { kind, version: 1, entries: members }
}

pub fn request(id: &str, class: usize, tables: u64, left: u64) -> Request {
    Request {
        id: RequestId(Arc::from(id)),
        class: ClassId(class),
        table_group: tables,
        time_left: ms(left),
        work_hint: Some(ms(if class == 0 { 100 } else { 3000 })),
        memory_hint_mb: Some(if class == 0 { 50.0 } else { 4000.0 }),
        ..Request::default()
    }
}

/// Settings with a light and a heavy request class, as in most installations. All optional features are enabled.
pub fn settings() -> Settings {
    let light = ClassSettings::plain("light", ms(800), ms(4000));
    let mut heavy = ClassSettings::plain("heavy", ms(3000), ms(20_000));
    (heavy.threads, heavy.objective_stretch, heavy.late_weight, heavy.priority_weight) = (4.0, 2.5, 0.3, 8.0);
    let mut s = Settings::plain(vec![light, heavy]);
    s.kinds = vec![KindSettings { name: "std".into(), cores: Some(8.0), memory_mb: Some(16_384.0) }];
    (s.cancel, s.hedging, s.priorities, s.grants) = (true, true, true, true);
    (s.progress_interval, s.reports_cost, s.max_attempts) = (Some(ms(1000)), true, Some(6));
    s
}

/// A gateway with a simulated clock. Tests feed it one event at a time and check the returned actions.
pub struct Bench {
    pub gateway: Gateway,
    pub now: Micros,
    pub timers: Vec<(Micros, TimerId)>,
}

impl Bench {
    pub fn new(settings: Settings, members: Vec<EngineEntry>) -> Bench {
        Bench::born(settings, 11, ms(1000), members)
    }
    /// Creates a gateway that starts at time `now` with `members` as its cached engine list.
    pub fn born(settings: Settings, seed: u64, now: Micros, members: Vec<EngineEntry>) -> Bench {
        let gateway = Gateway::new(settings, seed).expect("the settings are valid");
        let mut bench = Bench { gateway, now, timers: Vec::new() };
        bench.tell(list(ListKind::Cached, members));
        bench
    }
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::SetTimer { after, timer } = action {
                self.timers.push((self.now.plus(*after), *timer));
            }
        }
        out
    }
    /// Advances the simulated clock and fires the timers that fall due, in order of their times.
    pub fn pass(&mut self, millis: u64) -> Vec<Action> {
        let until = self.now.plus(ms(millis));
        let mut all = Vec::new();
        while let Some(i) =
            (0..self.timers.len()).filter(|i| self.timers[*i].0 <= until).min_by_key(|i| self.timers[*i].0)
        {
            let (at, timer) = self.timers.remove(i);
            self.now = self.now.max(at);
            all.extend(self.tell(Event::Timer(timer)));
        }
        self.now = until;
        all
    }
    pub fn arrive(&mut self, request: Request) -> Vec<Action> {
        self.tell(Event::RequestArrived(request))
    }
    pub fn close(
        &mut self,
        id: &str,
        attempt: u32,
        at: &EngineId,
        outcome: Outcome,
        latency: u64,
    ) -> Vec<Action> {
        let served = outcome == Outcome::Served;
        let cost = Some(TrueCost { work: ms(100), memory_mb: 40.0 }).filter(|_| served);
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: RequestId(Arc::from(id)),
            attempt: Attempt(attempt),
            engine: at.clone(),
            outcome,
            latency: ms(latency),
            request_answered: served,
            cost,
            report: None,
        }))
    }
    pub fn note(&mut self, id: &str, attempt: u32, at: &EngineId, note: Progress) -> Vec<Action> {
        self.tell(Event::AttemptProgress {
            request: RequestId(Arc::from(id)),
            attempt: Attempt(attempt),
            engine: at.clone(),
            progress: note,
        })
    }
}

/// The engines to which requests were forwarded, in order of the actions.
pub fn sent(actions: &[Action]) -> Vec<EngineId> {
    let to = |a: &Action| if let Action::Forward { engine, .. } = a { Some(engine.clone()) } else { None };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count()
}

pub fn failed(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}

pub fn cancelled(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count()
}
