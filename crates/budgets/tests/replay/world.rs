//! A seeded world of one leader and several members on a set clock, whose outputs are recorded step by step.
//!
//! It calls the public interface only, and records everything that a call gives back.

mod events;
mod messages;

use super::recorder::{Recorder, TAG_ADMITTED, TAG_AMONG, TAG_EARLY_POLL, TAG_NO_EARLY_POLL};
use super::recorder::{TAG_REJECTED, TAG_REPORT, TAG_REQUEST, TAG_SHARE};
use super::specs::draw_specs;
use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_budgets::spec::{BudgetSpec, Resource};
use beamgap_budgets::{BudgetTimings, InjectedBug};
use beamgap_fakes::draw::Draw;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// Length of a step in milliseconds.
const STEP_MS: f64 = 10.0;
/// Bound on how far clocks run apart.
const MAX_DRIFT: f64 = 0.05;
/// After so many milliseconds without a response, a member asks again.
const POLL_TIMEOUT_MS: f64 = 400.0;
/// Steps between two drawn events.
const EVENT_EVERY: u64 = 25;
/// What requests come in: class and account.
const STREAMS: [(&str, Option<&str>); 3] = [("x", Some("a")), ("y", Some("b")), ("x", None)];

/// How often each kind of thing has happened, so that a recording of nothing is noticed.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub admitted: u64,
    pub rejected: u64,
    pub polls: u64,
    pub full_statements: u64,
    pub renewed: u64,
    pub not_renewed: u64,
    pub elections: u64,
    pub restarts: u64,
    pub drained: u64,
    pub changes: u64,
    pub lost: u64,
}

struct Member {
    budgets: BudgetMember,
    id: MemberId,
    clock: (f64, f64),
    alive: bool,
    draining: bool,
    version: u64,
    adopts_at: f64,
    stopped_until: f64,
    cut_until: f64,
    demand: [f64; STREAMS.len()],
    owed: [f64; STREAMS.len()],
    sequence: u64,
    next_poll: f64,
    outstanding: Option<(u64, f64)>,
    /// Units of limits in use: until when, and of which budget.
    in_use: Vec<(f64, String)>,
    connections: u64,
}

enum Message {
    Request(usize, PollRequest),
    Response(usize, u64, PollResponse),
}

pub struct World {
    now: f64,
    draw: Draw,
    injected_bug: InjectedBug,
    times: BudgetTimings,
    /// The budgets of each version; the first is version 1.
    versions: Vec<Vec<BudgetSpec>>,
    agreed_members: BTreeMap<MemberId, u64>,
    leader: BudgetLeader,
    leader_clock: (f64, f64),
    leaders: u64,
    members: Vec<Member>,
    in_flight: Vec<(f64, Message)>,
    loss: f64,
    steps: u64,
    recorder: Recorder,
    pub counts: Counts,
}

impl World {
    pub fn new(seed: u64, injected_bug: InjectedBug) -> World {
        let mut draw = Draw::new(seed);
        let times = BudgetTimings::for_lease(1800.0, MAX_DRIFT);
        let first = draw_specs(&mut draw);
        let loss = [0.0, 0.05, 0.25][draw.below(3) as usize];
        let mut world = World {
            now: 0.0,
            leader: BudgetLeader::new(seed << 8, times, injected_bug),
            draw,
            injected_bug,
            times,
            versions: vec![first],
            agreed_members: BTreeMap::new(),
            leader_clock: (1.0 + MAX_DRIFT * 0.9, 500.0),
            leaders: 0,
            members: Vec::new(),
            in_flight: Vec::new(),
            loss,
            steps: 0,
            recorder: Recorder::default(),
            counts: Counts::default(),
        };
        world.leader.set_leadership(world.leader_now(), true);
        for m in 0..3 + world.draw.below(4) as usize {
            let clock = (
                1.0 + MAX_DRIFT * (2.0 * world.draw.unit() - 1.0) * 0.99,
                1e6 * world.draw.unit(),
            );
            let member = world.started(m, 1, clock);
            world.members.push(member);
        }
        world
    }

    /// One step; gives its line of the recording.
    pub fn step(&mut self) -> String {
        self.now += STEP_MS;
        self.steps += 1;
        if self.steps.is_multiple_of(EVENT_EVERY) {
            self.event();
        }
        self.deliver();
        let leader_now = self.leader_now();
        let agreed = AgreedState {
            version: self.versions.len() as u64,
            specs: &self.versions[self.versions.len() - 1],
            members: &self.agreed_members,
        };
        self.leader.tick(leader_now, &agreed);
        for m in 0..self.members.len() {
            if self.members[m].alive && self.members[m].stopped_until <= self.now {
                self.adopt(m);
                self.requests(m);
                self.record_shares(m);
                self.poll(m);
            }
        }
        if self.steps.is_multiple_of(10) {
            self.recorder.tag(TAG_REPORT);
            self.recorder.encoded(&self.leader.status());
        }
        self.recorder.line()
    }

    fn started(&mut self, m: usize, incarnation: u64, clock: (f64, f64)) -> Member {
        let id: MemberId = MemberId::new(format!("m{m}"), incarnation);
        let zone = if m.is_multiple_of(2) { "east" } else { "west" };
        let mut budgets = BudgetMember::new(id.clone(), zone, self.injected_bug);
        let version = self.versions.len() as u64;
        let specs = self.versions[self.versions.len() - 1].clone();
        budgets.activate(self.now * clock.0 + clock.1, version, specs);
        self.agreed_members.insert(id.clone(), 1);
        Member {
            budgets,
            id,
            clock,
            alive: true,
            draining: false,
            version,
            adopts_at: 0.0,
            stopped_until: 0.0,
            cut_until: 0.0,
            demand: [20.0; STREAMS.len()],
            owed: [0.0; STREAMS.len()],
            sequence: 0,
            next_poll: self.now + m as f64 * 10.0,
            outstanding: None,
            in_use: Vec::new(),
            connections: 0,
        }
    }

    fn leader_now(&self) -> f64 {
        self.now * self.leader_clock.0 + self.leader_clock.1
    }

    fn local_time(&self, m: usize) -> f64 {
        self.now * self.members[m].clock.0 + self.members[m].clock.1
    }

    /// A member takes on the newest version some time after it came into force.
    fn adopt(&mut self, m: usize) {
        let newest = self.versions.len() as u64;
        let local = self.local_time(m);
        let member = &mut self.members[m];
        if member.version < newest && self.now >= member.adopts_at {
            member.version = newest;
            member
                .budgets
                .activate(local, newest, self.versions[newest as usize - 1].clone());
        }
    }

    fn requests(&mut self, m: usize) {
        let now = self.now;
        self.members[m].in_use.retain(|(until, _)| *until > now);
        for (stream, (class, account)) in STREAMS.into_iter().enumerate() {
            let member = &mut self.members[m];
            member.owed[stream] =
                (member.owed[stream] + member.demand[stream] * STEP_MS / 1000.0).min(40.0);
            while self.members[m].owed[stream] >= 1.0 {
                self.members[m].owed[stream] -= 1.0;
                self.admit(m, class, account);
            }
        }
        let connections = self.members[m]
            .budgets
            .applicable(Resource::Connections, "", None);
        if !connections.is_empty() && self.members[m].connections > 6 {
            self.try_acquire(m, &connections);
        }
    }

    fn admit(&mut self, m: usize, class: &str, account: Option<&str>) {
        let budgets = &self.members[m].budgets;
        let mut which = budgets.applicable(Resource::Requests, class, account);
        let limits = budgets.applicable(Resource::OpenRequests, class, account);
        let retries = budgets.applicable(Resource::Retries, class, account);
        which.extend(&limits);
        if !self.try_acquire(m, &which) {
            return;
        }
        for i in limits {
            let name = self.members[m]
                .budgets
                .specs()
                .nth(i)
                .expect("it is one of them")
                .name
                .clone();
            let until = self.now + 600.0 * (0.2 + 0.8 * self.draw.unit());
            self.members[m].in_use.push((until, name));
        }
        if self.draw.unit() < 0.3 {
            self.try_acquire(m, &retries);
        }
    }

    fn try_acquire(&mut self, m: usize, which: &[usize]) -> bool {
        let local = self.local_time(m);
        let used = self.used(m);
        match self.members[m]
            .budgets
            .try_acquire(local, which, |i| used[i])
        {
            Ok(()) => {
                self.counts.admitted += 1;
                self.recorder.tag(TAG_ADMITTED);
                true
            }
            Err(exhausted) => {
                self.counts.rejected += 1;
                self.recorder.tag(TAG_REJECTED);
                self.recorder.number(exhausted.number as u64);
                false
            }
        }
    }

    /// Units in use of each of a member's budgets.
    fn used(&self, m: usize) -> Vec<u64> {
        let member = &self.members[m];
        let of = |spec: &BudgetSpec| match spec.resource {
            Resource::Connections => member.connections,
            _ => member
                .in_use
                .iter()
                .filter(|(_, name)| *name == spec.name)
                .count() as u64,
        };
        member.budgets.specs().map(of).collect()
    }

    fn record_shares(&mut self, m: usize) {
        let local = self.local_time(m);
        let budgets = &self.members[m].budgets;
        let recorder = &mut self.recorder;
        for (i, spec) in budgets.specs().enumerate() {
            recorder.tag(TAG_SHARE);
            recorder.number(budgets.share(i, local).parts());
            recorder.number(budgets.unit_limit(i, local));
            if spec.resource == Resource::WarmingEngines {
                let split = budgets.warming_split(i, local);
                recorder.tag(TAG_AMONG);
                recorder.float(split.members);
                recorder.number(split.index);
            }
        }
    }

    fn poll(&mut self, m: usize) {
        let local = self.local_time(m);
        let used = self.used(m);
        let member = &mut self.members[m];
        if member
            .outstanding
            .is_some_and(|(_, asked)| self.now - asked > POLL_TIMEOUT_MS)
        {
            member.outstanding = None;
            member.next_poll = self.now + 50.0;
        }
        match member.budgets.wants_early_poll(local) {
            Some(ms) => {
                self.recorder.tag(TAG_EARLY_POLL);
                self.recorder.float(ms);
                member.next_poll = member.next_poll.min(self.now + ms);
            }
            None => self.recorder.tag(TAG_NO_EARLY_POLL),
        }
        if member.outstanding.is_some() || self.now < member.next_poll {
            return;
        }
        member.sequence += 1;
        member.outstanding = Some((member.sequence, self.now));
        let request = member
            .budgets
            .poll_request(local, member.sequence, |i| used[i]);
        let is_cut = member.cut_until > self.now;
        self.counts.full_statements += u64::from(request.full_statement.is_some());
        self.recorder.tag(TAG_REQUEST);
        self.recorder.encoded(&request);
        if !is_cut {
            if self.draw.unit() < 0.03 {
                self.send(Message::Request(m, request.clone()));
            }
            self.send(Message::Request(m, request));
        }
    }
}
