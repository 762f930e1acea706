//! A seeded world of one leader and several members on a set clock, whose outputs are recorded step by step.
//!
//! It calls the public interface only. Everything that a call gives back is encoded: what has a serde form by
//! postcard, everything else by fixed tags, so that no name of the code enters the recording.

use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_budgets::{BudgetTimings, InjectedBug};
use beamgap_fleet_types::MemberId;
use beamgap_standins::draw::Draw;
use serde::Serialize;
use std::collections::BTreeMap;

/// Length of a step in milliseconds.
const STEP: f64 = 10.0;
/// Bound on how far clocks run apart.
const DRIFT: f64 = 0.05;
/// After so many milliseconds without a response, a member asks again.
const TIMEOUT: f64 = 400.0;
/// Steps between two drawn events.
const EVENT_EVERY: u64 = 25;
/// What requests come in: class and account.
const STREAMS: [(&str, Option<&str>); 3] = [("x", Some("a")), ("y", Some("b")), ("x", None)];

/// Tags of outputs without a serde form.
const TAG_ADMITTED: u8 = 1;
const TAG_REJECTED: u8 = 2;
const TAG_SHARE: u8 = 3;
const TAG_AMONG: u8 = 4;
const TAG_EARLY_POLL: u8 = 5;
const TAG_NO_EARLY_POLL: u8 = 6;
const TAG_QUESTION: u8 = 7;
const TAG_ANSWER: u8 = 8;
const TAG_REPORT: u8 = 9;

/// Collects the outputs of one step and gives their hash.
#[derive(Default)]
pub struct Recorder {
    bytes: Vec<u8>,
}

impl Recorder {
    pub fn tag(&mut self, tag: u8) {
        self.bytes.push(tag);
    }

    pub fn number(&mut self, number: u64) {
        self.bytes.extend(number.to_le_bytes());
    }

    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    pub fn encoded<T: Serialize>(&mut self, value: &T) {
        let bytes = postcard::to_stdvec(value).expect("it has a serialized form");
        self.number(bytes.len() as u64);
        self.bytes.extend(bytes);
    }

    /// The FNV-1a hash of what was recorded since the last line, folded to eight hexadecimal digits.
    pub fn line(&mut self) -> String {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for byte in self.bytes.drain(..) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        format!("{:08x}", (hash ^ (hash >> 32)) as u32)
    }
}

/// How often each kind of thing has happened, so that a recording of nothing is noticed.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub admitted: u64,
    pub rejected: u64,
    pub questions: u64,
    pub full_statements: u64,
    pub answers_renewing: u64,
    pub answers_refusing: u64,
    pub elections: u64,
    pub restarts: u64,
    pub drained: u64,
    pub changes: u64,
    pub lost: u64,
}

struct Member {
    holder: BudgetMember,
    who: MemberId,
    clock: (f64, f64),
    alive: bool,
    draining: bool,
    version: u64,
    adopts_at: f64,
    stopped_until: f64,
    cut_until: f64,
    demand: [f64; STREAMS.len()],
    owed: [f64; STREAMS.len()],
    round: u64,
    next_poll: f64,
    out: Option<(u64, f64)>,
    /// Units of stocks in use: until when, and of which budget.
    in_use: Vec<(f64, String)>,
    connections: u64,
}

enum Message {
    Question(usize, PollRequest),
    Answer(usize, u64, PollResponse),
}

pub struct World {
    now: f64,
    draw: Draw,
    plant: InjectedBug,
    times: BudgetTimings,
    /// The budgets of each version; the first is version 1.
    versions: Vec<Vec<BudgetSpec>>,
    lives: BTreeMap<MemberId, u64>,
    lead: BudgetLeader,
    leader_clock: (f64, f64),
    leaders: u64,
    members: Vec<Member>,
    in_flight: Vec<(f64, Message)>,
    lost: f64,
    steps: u64,
    recorder: Recorder,
    pub counts: Counts,
}

impl World {
    pub fn new(seed: u64, plant: InjectedBug) -> World {
        let mut draw = Draw::new(seed);
        let times = BudgetTimings::for_lease(1800.0, DRIFT);
        let first = draw_specs(&mut draw);
        let lost = [0.0, 0.05, 0.25][draw.below(3) as usize];
        let mut world = World {
            now: 0.0,
            lead: BudgetLeader::new(seed << 8, times, plant),
            draw,
            plant,
            times,
            versions: vec![first],
            lives: BTreeMap::new(),
            leader_clock: (1.0 + DRIFT * 0.9, 500.0),
            leaders: 0,
            members: Vec::new(),
            in_flight: Vec::new(),
            lost,
            steps: 0,
            recorder: Recorder::default(),
            counts: Counts::default(),
        };
        world.lead.set_leadership(world.leader_now(), true);
        for m in 0..3 + world.draw.below(4) as usize {
            let clock = (1.0 + DRIFT * (2.0 * world.draw.unit() - 1.0) * 0.99, 1e6 * world.draw.unit());
            let member = world.started(m, 1, clock);
            world.members.push(member);
        }
        world
    }

    /// One step; gives its line of the recording.
    pub fn step(&mut self) -> String {
        self.now += STEP;
        self.steps += 1;
        if self.steps.is_multiple_of(EVENT_EVERY) {
            self.event();
        }
        self.deliver();
        let leader_now = self.leader_now();
        let agreed = AgreedState {
            version: self.versions.len() as u64,
            specs: &self.versions[self.versions.len() - 1],
            members: &self.lives,
        };
        self.lead.tick(leader_now, &agreed);
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
            self.recorder.encoded(&self.lead.status());
        }
        self.recorder.line()
    }

    fn started(&mut self, m: usize, life: u64, clock: (f64, f64)) -> Member {
        let who: MemberId = MemberId::new(format!("m{m}"), life);
        let zone = if m.is_multiple_of(2) { "east" } else { "west" };
        let mut holder = BudgetMember::new(who.clone(), zone, self.plant);
        let version = self.versions.len() as u64;
        let specs = self.versions[self.versions.len() - 1].clone();
        holder.activate(self.now * clock.0 + clock.1, version, specs);
        self.lives.insert(who.clone(), 1);
        Member {
            holder,
            who,
            clock,
            alive: true,
            draining: false,
            version,
            adopts_at: 0.0,
            stopped_until: 0.0,
            cut_until: 0.0,
            demand: [20.0; STREAMS.len()],
            owed: [0.0; STREAMS.len()],
            round: 0,
            next_poll: self.now + m as f64 * 10.0,
            out: None,
            in_use: Vec::new(),
            connections: 0,
        }
    }

    fn leader_now(&self) -> f64 {
        self.now * self.leader_clock.0 + self.leader_clock.1
    }

    fn local(&self, m: usize) -> f64 {
        self.now * self.members[m].clock.0 + self.members[m].clock.1
    }

    /// One drawn event: demand that moves, a fault, a change of leaders or of the budgets.
    fn event(&mut self) {
        let m = self.draw.below(self.members.len() as u64) as usize;
        match self.draw.below(18) {
            0 => self.elect(),
            1 => self.step_down_or_up(),
            2 => self.members[m].alive = false,
            3 | 4 => self.restart_all(),
            5 => self.members[m].stopped_until = self.now + self.draw.waits(700.0),
            6 => self.members[m].cut_until = self.now + self.draw.waits(1500.0),
            7 | 8 => self.change(),
            9 => self.drain(m),
            10 => {
                self.times = BudgetTimings::for_lease([1800.0, 2400.0][self.draw.below(2) as usize], DRIFT);
                self.lead.set_timings(self.times);
            }
            11 => {
                let members = &self.members;
                let current =
                    |who: &MemberId| members.iter().any(|member| member.alive && member.who == *who);
                self.lives.retain(|who, _| current(who));
            }
            12 => self.members[m].connections = self.draw.below(12),
            _ => {
                for stream in 0..STREAMS.len() {
                    self.members[m].demand[stream] = [0.0, 15.0, 200.0][self.draw.below(3) as usize];
                }
            }
        }
    }

    fn elect(&mut self) {
        self.leaders += 1;
        self.counts.elections += 1;
        let rate = 1.0 + DRIFT * (2.0 * self.draw.unit() - 1.0) * 0.99;
        self.leader_clock = (rate, 1e6 * self.draw.unit());
        self.lead = BudgetLeader::new(self.draw.bits(), self.times, self.plant);
        self.lead.set_leadership(self.leader_now(), true);
    }

    /// The same process loses the leadership and has it again later.
    fn step_down_or_up(&mut self) {
        let leads = self.draw.below(3) > 0;
        let now = self.leader_now();
        self.lead.set_leadership(now, false);
        self.lead.set_leadership(now, leads);
    }

    fn restart_all(&mut self) {
        for m in 0..self.members.len() {
            if !self.members[m].alive || self.members[m].draining {
                let (life, clock) = (self.members[m].who.incarnation + 1, self.members[m].clock);
                self.members[m] = self.started(m, life, clock);
                self.counts.restarts += 1;
            }
        }
        self.lead.set_leadership(self.leader_now(), true);
    }

    fn change(&mut self) {
        self.counts.changes += 1;
        let specs = draw_specs(&mut self.draw);
        self.versions.push(specs);
        for m in 0..self.members.len() {
            self.members[m].adopts_at = self.now + self.draw.waits(150.0);
        }
    }

    fn drain(&mut self, m: usize) {
        self.counts.drained += 1;
        self.members[m].draining = true;
        self.members[m].holder.start_draining();
    }

    /// Messages that have come by now are handled; those for a member that stands still wait.
    fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, message) in due {
            match message {
                Message::Question(m, ask) => self.question(m, &ask),
                Message::Answer(m, life, reply) => self.answer(m, life, reply),
            }
        }
    }

    fn question(&mut self, m: usize, ask: &PollRequest) {
        let leader_now = self.leader_now();
        let agreed = AgreedState {
            version: self.versions.len() as u64,
            specs: &self.versions[self.versions.len() - 1],
            members: &self.lives,
        };
        let reply = self.lead.handle_poll(leader_now, &agreed, ask);
        self.counts.questions += 1;
        if reply.renewed {
            self.counts.answers_renewing += 1;
        } else {
            self.counts.answers_refusing += 1;
        }
        self.recorder.tag(TAG_ANSWER);
        self.recorder.encoded(&reply);
        self.send(Message::Answer(m, ask.member.incarnation, reply.clone()));
        if self.draw.unit() < 0.03 {
            self.send(Message::Answer(m, ask.member.incarnation, reply));
        }
    }

    fn answer(&mut self, m: usize, life: u64, reply: PollResponse) {
        let local = self.local(m);
        let member = &mut self.members[m];
        if !member.alive || member.who.incarnation != life {
            return;
        }
        if member.stopped_until > self.now {
            self.in_flight.push((member.stopped_until, Message::Answer(m, life, reply)));
            return;
        }
        if member.out.is_some_and(|(round, _)| round == reply.sequence) {
            member.out = None;
            member.next_poll = self.now + self.times.floor_ms / 6.0;
        }
        member.holder.handle_response(local, reply);
    }

    fn send(&mut self, message: Message) {
        if self.draw.unit() < self.lost {
            self.counts.lost += 1;
            return;
        }
        let at = self.now + self.draw.unit() * 30.0;
        self.in_flight.push((at, message));
    }

    /// A member takes on the newest version some time after it came into force.
    fn adopt(&mut self, m: usize) {
        let newest = self.versions.len() as u64;
        let local = self.local(m);
        let member = &mut self.members[m];
        if member.version < newest && self.now >= member.adopts_at {
            member.version = newest;
            member.holder.activate(local, newest, self.versions[newest as usize - 1].clone());
        }
    }

    fn requests(&mut self, m: usize) {
        let now = self.now;
        self.members[m].in_use.retain(|(until, _)| *until > now);
        for (stream, (class, account)) in STREAMS.into_iter().enumerate() {
            let member = &mut self.members[m];
            member.owed[stream] = (member.owed[stream] + member.demand[stream] * STEP / 1000.0).min(40.0);
            while self.members[m].owed[stream] >= 1.0 {
                self.members[m].owed[stream] -= 1.0;
                self.request(m, class, account);
            }
        }
        let links = self.members[m].holder.applicable(Resource::Connections, "", None);
        if !links.is_empty() && self.members[m].connections > 6 {
            self.take(m, &links);
        }
    }

    fn request(&mut self, m: usize, class: &str, account: Option<&str>) {
        let holder = &self.members[m].holder;
        let mut which = holder.applicable(Resource::Requests, class, account);
        let stocks = holder.applicable(Resource::OpenRequests, class, account);
        let further = holder.applicable(Resource::Retries, class, account);
        which.extend(&stocks);
        if !self.take(m, &which) {
            return;
        }
        for i in stocks {
            let name = self.members[m].holder.specs().nth(i).expect("it is one of them").name.clone();
            let until = self.now + 600.0 * (0.2 + 0.8 * self.draw.unit());
            self.members[m].in_use.push((until, name));
        }
        if self.draw.unit() < 0.3 {
            self.take(m, &further);
        }
    }

    fn take(&mut self, m: usize, which: &[usize]) -> bool {
        let local = self.local(m);
        let used = self.used(m);
        match self.members[m].holder.try_acquire(local, which, |i| used[i]) {
            Ok(()) => {
                self.counts.admitted += 1;
                self.recorder.tag(TAG_ADMITTED);
                true
            }
            Err(i) => {
                self.counts.rejected += 1;
                self.recorder.tag(TAG_REJECTED);
                self.recorder.number(i as u64);
                false
            }
        }
    }

    /// Units in use of each of a member's budgets.
    fn used(&self, m: usize) -> Vec<u64> {
        let member = &self.members[m];
        let of = |spec: &BudgetSpec| match spec.resource {
            Resource::Connections => member.connections,
            _ => member.in_use.iter().filter(|(_, name)| *name == spec.name).count() as u64,
        };
        member.holder.specs().map(of).collect()
    }

    fn record_shares(&mut self, m: usize) {
        let local = self.local(m);
        let holder = &self.members[m].holder;
        let recorder = &mut self.recorder;
        for (i, spec) in holder.specs().enumerate() {
            recorder.tag(TAG_SHARE);
            recorder.number(holder.share(i, local).parts());
            recorder.number(holder.unit_limit(i, local));
            if spec.resource == Resource::WarmingEngines {
                let split = holder.warming_split(i, local);
                recorder.tag(TAG_AMONG);
                recorder.float(split.members);
                recorder.number(split.index);
            }
        }
    }

    fn poll(&mut self, m: usize) {
        let local = self.local(m);
        let used = self.used(m);
        let member = &mut self.members[m];
        if member.out.is_some_and(|(_, asked)| self.now - asked > TIMEOUT) {
            member.out = None;
            member.next_poll = self.now + 50.0;
        }
        match member.holder.wants_early_poll(local) {
            Some(ms) => {
                self.recorder.tag(TAG_EARLY_POLL);
                self.recorder.float(ms);
                member.next_poll = member.next_poll.min(self.now + ms);
            }
            None => self.recorder.tag(TAG_NO_EARLY_POLL),
        }
        if member.out.is_some() || self.now < member.next_poll {
            return;
        }
        member.round += 1;
        member.out = Some((member.round, self.now));
        let ask = member.holder.poll_request(local, member.round, |i| used[i]);
        let is_cut = member.cut_until > self.now;
        self.counts.full_statements += u64::from(ask.full_statement.is_some());
        self.recorder.tag(TAG_QUESTION);
        self.recorder.encoded(&ask);
        if !is_cut {
            if self.draw.unit() < 0.03 {
                self.send(Message::Question(m, ask.clone()));
            }
            self.send(Message::Question(m, ask));
        }
    }
}

/// Budgets of all kinds; some are missing, and their figures and forms differ from draw to draw.
fn draw_specs(draw: &mut Draw) -> Vec<BudgetSpec> {
    let rate = Amount::Rate {
        per_second: [200.0, 40.0][draw.below(2) as usize],
        burst: [60, 20][draw.below(2) as usize],
    };
    let few = Amount::Rate { per_second: 30.0, burst: 12 };
    let open = Amount::Concurrency {
        max: [24, 9][draw.below(2) as usize],
        max_duration_ms: [700.0, 1400.0][draw.below(2) as usize],
    };
    let links = Amount::Concurrency { max: 30, max_duration_ms: 300.0 };
    let cold = Amount::Concurrency { max: 1_000_000, max_duration_ms: 0.0 };
    let account = ["a", "b"][draw.below(2) as usize];
    let mut all = vec![
        spec("again", Resource::Retries, None, None, few),
        spec("all", Resource::Requests, None, None, rate),
        spec("cold", Resource::WarmingEngines, None, None, cold),
        spec("links", Resource::Connections, None, None, links),
        spec("open", Resource::OpenRequests, None, Some("x"), open),
        spec("single", Resource::Requests, Some(account), None, few),
    ];
    for spec in &mut all {
        if spec.name == "all" && draw.below(2) == 0 {
            spec.floor = 0.4;
            spec.max_members = 12;
        }
        if draw.below(3) == 0 {
            spec.weights.insert("m1".to_owned(), 3.0);
            spec.weights.insert("east".to_owned(), 2.0);
        }
    }
    all.retain(|_| draw.below(6) > 0);
    all
}

fn spec(name: &str, of: Resource, account: Option<&str>, class: Option<&str>, amount: Amount) -> BudgetSpec {
    BudgetSpec {
        name: name.to_owned(),
        resource: of,
        account: account.map(str::to_owned),
        class: class.map(str::to_owned),
        amount,
        floor: 0.0,
        max_members: 0,
        weights: BTreeMap::new(),
    }
}
