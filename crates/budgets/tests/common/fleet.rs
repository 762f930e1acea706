//! A simulated fleet: the real leader and members of the crate, a network that delays and loses messages, and clocks
//! that drift apart. The simulation keeps the true time, and the tests check in true time what was admitted.

use super::front::{Clock, Delivery, Front, Message, OutstandingPoll, UnitInUse};
use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_budgets::spec::{Amount, BudgetSpec};
use beamgap_budgets::{BudgetTimings, InjectedBug};
use beamgap_fakes::draw::Draw;
use beamgap_fleet_types::MemberId;
use std::collections::{BTreeMap, HashMap};

/// Length of a simulation step, in milliseconds of true time.
pub const STEP_MS: f64 = 5.0;
/// Bound on clock drift: the rate of each clock differs from 1 by less than this fraction.
pub const MAX_DRIFT: f64 = 0.05;
/// Time in milliseconds after which a front end stops waiting for the response to a poll.
const POLL_TIMEOUT_MS: f64 = 400.0;
/// Delay in milliseconds between the timeout of a poll and the next poll.
const RETRY_DELAY_MS: f64 = 50.0;
/// Maximum delay of a message in the simulated network, in milliseconds.
const MAX_DELAY_MS: f64 = 8.0;
/// Maximum length of a front end's queue of requests for one budget. The queue grows while the process is suspended.
const MAX_WAITING: f64 = 400.0;

pub struct Fleet {
    pub now: f64,
    pub specs: Vec<BudgetSpec>,
    pub version: u64,
    pub timings: BudgetTimings,
    pub members: BTreeMap<MemberId, u64>,
    pub fronts: Vec<Front>,
    leader: BudgetLeader,
    leader_clock: Clock,
    /// True times of all admissions, by budget.
    pub admitted: Vec<Vec<f64>>,
    /// Number of admissions, by budget and front end.
    pub counts: Vec<HashMap<usize, u64>>,
    /// Units of concurrency limits in use, by budget.
    pub in_use: Vec<Vec<UnitInUse>>,
    /// Largest number of units in use at the same time so far, by budget.
    pub most_in_use: Vec<u64>,
    /// Number of polls that the leader has handled.
    pub polls: u64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Longest time for which a unit stays in use, in milliseconds.
    pub max_duration_ms: f64,
    deliveries: Vec<Delivery>,
    draw: Draw,
    injected_bug: InjectedBug,
    leaders: u64,
    seed: u64,
}

impl Fleet {
    pub fn new(
        seed: u64,
        members: usize,
        specs: Vec<BudgetSpec>,
        lease_ms: f64,
        injected_bug: InjectedBug,
    ) -> Fleet {
        let mut clocks = Draw::new(seed);
        let budgets = specs.len();
        let timings = BudgetTimings::for_lease(lease_ms, MAX_DRIFT);
        let mut fleet = Fleet {
            now: 0.0,
            specs,
            version: 1,
            timings,
            members: BTreeMap::new(),
            fronts: Vec::new(),
            leader: BudgetLeader::new(seed, timings, injected_bug),
            leader_clock: Clock {
                rate: 1.0,
                offset: 0.0,
            },
            admitted: vec![Vec::new(); budgets],
            counts: vec![HashMap::new(); budgets],
            in_use: (0..budgets).map(|_| Vec::new()).collect(),
            most_in_use: vec![0; budgets],
            polls: 0,
            loss: 0.0,
            max_duration_ms: 150.0,
            deliveries: Vec::new(),
            draw: Draw::new(seed ^ 0x55aa),
            injected_bug,
            leaders: 0,
            seed,
        };
        for index in 0..members {
            let clock = Clock::draw(&mut clocks);
            let front = fleet.new_front(index, 1, clock);
            fleet.fronts.push(front);
        }
        fleet.elect();
        fleet
    }

    fn new_front(&mut self, index: usize, incarnation: u64, clock: Clock) -> Front {
        let id = MemberId::new(format!("m{index:03}"), incarnation);
        let mut member = BudgetMember::new(id.clone(), "", self.injected_bug);
        member.activate(clock.read(self.now), self.version, self.specs.clone());
        self.members.insert(id.clone(), 1);
        Front {
            member,
            id,
            clock,
            alive: true,
            suspended_until: 0.0,
            cut_off_until: 0.0,
            demand: vec![0.0; self.specs.len()],
            sequence: 0,
            next_poll_at: self.now + (index % 10) as f64 * 10.0,
            outstanding: None,
            waiting: vec![0.0; self.specs.len()],
        }
    }

    /// Replaces the leader by a new one without any state. Responses of
    /// the previous leader that are still in the network are delivered.
    pub fn elect(&mut self) {
        self.leaders += 1;
        self.leader_clock = Clock::draw(&mut self.draw);
        self.leader = BudgetLeader::new(
            self.seed << 8 | self.leaders,
            self.timings,
            self.injected_bug,
        );
        self.leader
            .set_leadership(self.leader_clock.read(self.now), true);
    }

    /// The current time by the clock of a front end, in milliseconds.
    pub fn local_time(&self, front: usize) -> f64 {
        self.fronts[front].clock.read(self.now)
    }

    /// Kills the process of a front end. Units that the member has in use remain in use until their time is over.
    pub fn kill(&mut self, front: usize) {
        self.fronts[front].alive = false;
    }

    /// Restarts a front end as a new incarnation of its member, with the same clock and demand.
    pub fn start(&mut self, front: usize) {
        let incarnation = self.fronts[front].id.incarnation + 1;
        let clock = self.fronts[front].clock;
        let demand = self.fronts[front].demand.clone();
        let new_front = self.new_front(front, incarnation, clock);
        self.fronts[front] = Front {
            demand,
            ..new_front
        };
    }

    /// Puts a new policy version into force and activates it on all front ends at once.
    pub fn change(&mut self, specs: Vec<BudgetSpec>) {
        self.version += 1;
        self.specs = specs;
        for front in 0..self.fronts.len() {
            let now = self.local_time(front);
            let specs = self.specs.clone();
            self.fronts[front].member.activate(now, self.version, specs);
        }
    }

    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for units in &mut self.in_use {
            units.retain(|unit| unit.until > now);
        }
        self.deliver();
        self.tick_leader();
        for front in 0..self.fronts.len() {
            self.receive_requests(front);
            if self.fronts[front].is_running(now) {
                self.admit_waiting(front);
                self.poll(front);
            }
        }
        for (most, units) in self.most_in_use.iter_mut().zip(&self.in_use) {
            *most = (*most).max(units.len() as u64);
        }
    }

    fn tick_leader(&mut self) {
        let agreed = AgreedState {
            version: self.version,
            specs: &self.specs,
            members: &self.members,
        };
        self.leader.tick(self.leader_clock.read(self.now), &agreed);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.deliveries);
        let (due, later): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|delivery| delivery.at <= now);
        self.deliveries = later;
        for delivery in due {
            match delivery.message {
                Message::Request { front, request } => self.deliver_request(front, &request),
                Message::Response {
                    front,
                    incarnation,
                    response,
                } => {
                    self.deliver_response(front, incarnation, response);
                }
            }
        }
    }

    fn deliver_request(&mut self, front: usize, request: &PollRequest) {
        let agreed = AgreedState {
            version: self.version,
            specs: &self.specs,
            members: &self.members,
        };
        let leader_now = self.leader_clock.read(self.now);
        let response = self.leader.handle_poll(leader_now, &agreed, request);
        self.polls += 1;
        self.send(Message::Response {
            front,
            incarnation: request.member.incarnation,
            response,
        });
    }

    fn deliver_response(&mut self, index: usize, incarnation: u64, response: PollResponse) {
        let local_time = self.local_time(index);
        let front = &mut self.fronts[index];
        if !front.alive || front.id.incarnation != incarnation {
            return;
        }
        if front.suspended_until > self.now {
            self.deliveries.push(Delivery {
                at: front.suspended_until,
                message: Message::Response {
                    front: index,
                    incarnation,
                    response,
                },
            });
            return;
        }
        let is_answered = |poll: &mut OutstandingPoll| poll.sequence == response.sequence;
        if front.outstanding.take_if(is_answered).is_some() {
            front.member.handle_response(local_time, response);
            front.next_poll_at = self.now + self.timings.floor_ms / 6.0;
        }
    }

    fn send(&mut self, message: Message) {
        if self.draw.unit() >= self.loss {
            let at = self.now + self.draw.unit() * MAX_DELAY_MS;
            self.deliveries.push(Delivery { at, message });
        }
    }

    /// Adds the requests that arrived during the step to the queue of a
    /// front end. Requests also arrive while its process is suspended.
    fn receive_requests(&mut self, front: usize) {
        let front = &mut self.fronts[front];
        for (waiting, demand) in front.waiting.iter_mut().zip(&front.demand) {
            *waiting = (*waiting + demand * STEP_MS / 1000.0).min(MAX_WAITING);
        }
    }

    fn admit_waiting(&mut self, front: usize) {
        for budget in 0..self.specs.len() {
            while self.fronts[front].waiting[budget] >= 1.0 {
                self.fronts[front].waiting[budget] -= 1.0;
                self.admit(front, budget);
            }
        }
    }

    fn admit(&mut self, index: usize, budget: usize) {
        let now = self.now;
        let local_time = self.local_time(index);
        let units = &self.in_use;
        let front = &mut self.fronts[index];
        let id = &front.id;
        let in_use = |budget: usize| count_in_use(&units[budget], id, now);
        if front
            .member
            .try_acquire(local_time, &[budget], in_use)
            .is_err()
        {
            return;
        }
        self.admitted[budget].push(now);
        *self.counts[budget].entry(index).or_default() += 1;
        if let Amount::Concurrency { .. } = self.specs[budget].amount {
            let until = now + self.max_duration_ms * (0.2 + 0.8 * self.draw.unit());
            let member = front.id.clone();
            self.in_use[budget].push(UnitInUse { until, member });
        }
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        let local_time = self.local_time(index);
        let units = &self.in_use;
        let front = &mut self.fronts[index];
        if front
            .outstanding
            .as_ref()
            .is_some_and(|poll| now - poll.sent_at > POLL_TIMEOUT_MS)
        {
            front.outstanding = None;
            front.next_poll_at = now + RETRY_DELAY_MS;
        }
        if let Some(ms) = front.member.wants_early_poll(local_time) {
            front.next_poll_at = front.next_poll_at.min(now + ms);
        }
        if front.outstanding.is_some() || now < front.next_poll_at {
            return;
        }
        front.sequence += 1;
        front.outstanding = Some(OutstandingPoll {
            sequence: front.sequence,
            sent_at: now,
        });
        let id = &front.id;
        let in_use = |budget: usize| count_in_use(&units[budget], id, now);
        let request = front
            .member
            .poll_request(local_time, front.sequence, in_use);
        if front.cut_off_until <= now {
            self.send(Message::Request {
                front: index,
                request,
            });
        }
    }

    /// Sum of the shares of a budget, in parts, that all live members may use now, each by its own clock.
    pub fn usable_parts(&self, budget: usize) -> u128 {
        let share = |front: usize| {
            self.fronts[front]
                .member
                .share(budget, self.local_time(front))
        };
        (0..self.fronts.len())
            .filter(|front| self.fronts[*front].alive)
            .map(|front| u128::from(share(front).parts()))
            .sum()
    }

    /// Number of admissions under a budget so far.
    pub fn count(&self, budget: usize) -> usize {
        self.admitted[budget].len()
    }
}

fn count_in_use(units: &[UnitInUse], member: &MemberId, now: f64) -> u64 {
    let is_in_use = |unit: &&UnitInUse| unit.until > now && unit.member == *member;
    units.iter().filter(is_in_use).count() as u64
}
