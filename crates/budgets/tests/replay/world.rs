//! A seeded simulation of one leader and several members, which records their outputs step by step.
//!
//! The simulation calls only the public interface of the crate and records every result. Members' clocks and the
//! leader's clock drift from the true time that the simulation keeps.

mod events;
mod messages;

use super::recorder::{
    Recorder, TAG_ADMITTED, TAG_EARLY_POLL, TAG_NO_EARLY_POLL, TAG_WARMING_SPLIT,
};
use super::recorder::{TAG_REJECTED, TAG_REQUEST, TAG_SHARE, TAG_STATUS};
use super::specs::draw_specs;
use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_budgets::spec::{BudgetSpec, Resource};
use beamgap_budgets::{BudgetTimings, InjectedBug};
use beamgap_fakes::draw::Draw;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// Length of a simulation step, in milliseconds of true time.
const STEP_MS: f64 = 10.0;
/// Bound on clock drift: the rate of each clock differs from 1 by less than this fraction.
const MAX_DRIFT: f64 = 0.05;
/// Time in milliseconds after which a member stops waiting for the response to a poll.
const POLL_TIMEOUT_MS: f64 = 400.0;
/// Number of steps between two random events.
const STEPS_PER_EVENT: u64 = 25;
/// Class and account of each stream of requests that arrives at a member.
const STREAMS: [(&str, Option<&str>); 3] = [("x", Some("a")), ("y", Some("b")), ("x", None)];

/// Numbers of events in a simulation. A test checks them, because a recording without events would test nothing.
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
    activates_at: f64,
    suspended_until: f64,
    cut_off_until: f64,
    demand: [f64; STREAMS.len()],
    waiting: [f64; STREAMS.len()],
    sequence: u64,
    next_poll: f64,
    outstanding: Option<(u64, f64)>,
    /// Units of concurrency limits in use: the true time until which each is in use, and the name of the budget.
    in_use: Vec<(f64, String)>,
    connections: u64,
}

enum Message {
    Request(usize, PollRequest),
    Response(usize, u64, PollResponse),
}

pub struct Simulation {
    now: f64,
    draw: Draw,
    injected_bug: InjectedBug,
    timings: BudgetTimings,
    /// The budgets of each policy version, beginning with version 1.
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

impl Simulation {
    pub fn new(seed: u64, injected_bug: InjectedBug) -> Simulation {
        let mut draw = Draw::new(seed);
        let timings = BudgetTimings::for_lease(1800.0, MAX_DRIFT);
        let first = draw_specs(&mut draw);
        let loss = [0.0, 0.05, 0.25][draw.below(3) as usize];
        let mut simulation = Simulation {
            now: 0.0,
            leader: BudgetLeader::new(seed << 8, timings, injected_bug),
            draw,
            injected_bug,
            timings,
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
        simulation
            .leader
            .set_leadership(simulation.leader_now(), true);
        for m in 0..3 + simulation.draw.below(4) as usize {
            let clock = (
                1.0 + MAX_DRIFT * (2.0 * simulation.draw.unit() - 1.0) * 0.99,
                1e6 * simulation.draw.unit(),
            );
            let member = simulation.new_member(m, 1, clock);
            simulation.members.push(member);
        }
        simulation
    }

    /// Simulates one step and returns its line of the recording.
    pub fn step(&mut self) -> String {
        self.now += STEP_MS;
        self.steps += 1;
        if self.steps.is_multiple_of(STEPS_PER_EVENT) {
            self.apply_random_event();
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
            if self.members[m].alive && self.members[m].suspended_until <= self.now {
                self.activate_newest(m);
                self.receive_requests(m);
                self.record_shares(m);
                self.poll(m);
            }
        }
        if self.steps.is_multiple_of(10) {
            self.recorder.tag(TAG_STATUS);
            self.recorder.encoded(&self.leader.status());
        }
        self.recorder.take_line()
    }

    fn new_member(&mut self, m: usize, incarnation: u64, clock: (f64, f64)) -> Member {
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
            activates_at: 0.0,
            suspended_until: 0.0,
            cut_off_until: 0.0,
            demand: [20.0; STREAMS.len()],
            waiting: [0.0; STREAMS.len()],
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

    /// Activates the newest policy version on a member, some time after the version has come into force.
    fn activate_newest(&mut self, m: usize) {
        let newest = self.versions.len() as u64;
        let local = self.local_time(m);
        let member = &mut self.members[m];
        if member.version < newest && self.now >= member.activates_at {
            member.version = newest;
            member
                .budgets
                .activate(local, newest, self.versions[newest as usize - 1].clone());
        }
    }

    fn receive_requests(&mut self, m: usize) {
        let now = self.now;
        self.members[m].in_use.retain(|(until, _)| *until > now);
        for (stream, (class, account)) in STREAMS.into_iter().enumerate() {
            let member = &mut self.members[m];
            member.waiting[stream] =
                (member.waiting[stream] + member.demand[stream] * STEP_MS / 1000.0).min(40.0);
            while self.members[m].waiting[stream] >= 1.0 {
                self.members[m].waiting[stream] -= 1.0;
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
        let mut numbers = budgets.applicable(Resource::Requests, class, account);
        let limits = budgets.applicable(Resource::OpenRequests, class, account);
        let retries = budgets.applicable(Resource::Retries, class, account);
        numbers.extend(&limits);
        if !self.try_acquire(m, &numbers) {
            return;
        }
        for i in limits {
            let name = self.members[m]
                .budgets
                .specs()
                .nth(i)
                .expect("the member has a budget of this number")
                .name
                .clone();
            let until = self.now + 600.0 * (0.2 + 0.8 * self.draw.unit());
            self.members[m].in_use.push((until, name));
        }
        if self.draw.unit() < 0.3 {
            self.try_acquire(m, &retries);
        }
    }

    fn try_acquire(&mut self, m: usize, numbers: &[usize]) -> bool {
        let local = self.local_time(m);
        let in_use = self.units_in_use(m);
        match self.members[m]
            .budgets
            .try_acquire(local, numbers, |i| in_use[i])
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

    /// The number of units that a member has in use, for each of its budgets.
    fn units_in_use(&self, m: usize) -> Vec<u64> {
        let member = &self.members[m];
        let units = |spec: &BudgetSpec| match spec.resource {
            Resource::Connections => member.connections,
            _ => member
                .in_use
                .iter()
                .filter(|(_, name)| *name == spec.name)
                .count() as u64,
        };
        member.budgets.specs().map(units).collect()
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
                recorder.tag(TAG_WARMING_SPLIT);
                recorder.float(split.members);
                recorder.number(split.index);
            }
        }
    }

    fn poll(&mut self, m: usize) {
        let local = self.local_time(m);
        let in_use = self.units_in_use(m);
        let member = &mut self.members[m];
        if member
            .outstanding
            .is_some_and(|(_, sent_at)| self.now - sent_at > POLL_TIMEOUT_MS)
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
            .poll_request(local, member.sequence, |i| in_use[i]);
        let is_cut_off = member.cut_off_until > self.now;
        self.counts.full_statements += u64::from(request.full_statement.is_some());
        self.recorder.tag(TAG_REQUEST);
        self.recorder.encoded(&request);
        if !is_cut_off {
            if self.draw.unit() < 0.03 {
                self.send(Message::Request(m, request.clone()));
            }
            self.send(Message::Request(m, request));
        }
    }
}
