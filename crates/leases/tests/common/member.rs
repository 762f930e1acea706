//! A member of the replayed fleet: its lease holder, its clock, and what it is acting on.

use super::encoding::Output;
use super::random::Random;
use super::tasks::NAMES;
use super::world::Coverage;
use beamgap_fleet_types::MemberId;
use beamgap_leases::{
    ActionPermit, Command, InjectedBug, LeaseHolder, Outcome, PermitDenied, PermittedAction,
    PollRequest, PollResponse,
};

/// A permit in use: the action starts at `start_at`.
struct Planned {
    permit: ActionPermit,
    start_at: f64,
}

/// An action under way, whose outcome is known at `end_at`.
struct Running {
    action: PermittedAction,
    end_at: f64,
}

/// What a member sends to the leader.
#[derive(Clone)]
pub struct Poll {
    pub member: usize,
    pub incarnation: u64,
    pub sent_at: f64,
    pub request: PollRequest,
    pub commands: Vec<Command>,
}

/// What the leader sends back.
#[derive(Clone)]
pub struct Response {
    pub member: usize,
    pub incarnation: u64,
    pub sent_at: f64,
    pub response: PollResponse,
}

/// One front end.
pub struct Member {
    index: usize,
    pub incarnation: u64,
    holder: LeaseHolder,
    clock_rate: f64,
    clock_offset: f64,
    next_poll_at: f64,
    /// Until then the process stands still: it takes nothing in and does nothing.
    pub frozen_until: f64,
    /// Until then all its messages are lost.
    pub silent_until: f64,
    /// Until then no further action is started: too many are under way.
    busy_until: f64,
    /// When a member that is shutting down is started again.
    restart_at: Option<f64>,
    planned: Vec<Planned>,
    running: Vec<Running>,
    injected_bug: InjectedBug,
}

fn new_holder(index: usize, incarnation: u64, injected_bug: InjectedBug) -> LeaseHolder {
    let zone = ["east", "west"][index % 2];
    LeaseHolder::new(
        MemberId::new(format!("m{index}"), incarnation),
        zone,
        injected_bug,
    )
}

impl Member {
    /// A member whose clock runs at its own rate within the bounds.
    pub fn new(index: usize, injected_bug: InjectedBug) -> Member {
        Member {
            index,
            incarnation: 1,
            holder: new_holder(index, 1, injected_bug),
            clock_rate: [0.96, 1.0, 1.04, 1.01][index % 4],
            clock_offset: 1_000.0 * index as f64,
            next_poll_at: 0.0,
            frozen_until: 0.0,
            silent_until: 0.0,
            busy_until: 0.0,
            restart_at: None,
            planned: Vec::new(),
            running: Vec::new(),
            injected_bug,
        }
    }

    /// Ends the process and starts it again under the same name.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.restart_at = None;
        self.holder = new_holder(self.index, self.incarnation, self.injected_bug);
        self.planned.clear();
        self.running.clear();
    }

    /// Starts a graceful shutdown; the process is started again some seconds later.
    pub fn drain(&mut self, now: f64) {
        self.holder.start_draining();
        self.restart_at = Some(now + 4000.0);
    }

    /// Whether a graceful shutdown is over, and the process is to be started again.
    pub fn restarts(&self, now: f64) -> bool {
        self.restart_at.is_some_and(|at| at <= now)
    }

    /// The member's reading of the clock.
    fn clock(&self, now: f64) -> f64 {
        now * self.clock_rate + self.clock_offset
    }

    /// Takes a response in.
    pub fn receive(&mut self, response: Response) {
        if response.incarnation == self.incarnation {
            self.holder
                .handle_response(response.sent_at, response.response);
        }
    }

    /// The next poll to the leader, if it is time for one.
    pub fn poll(&mut self, now: f64, random: &mut Random, output: &mut Output) -> Option<Poll> {
        let clock = self.clock(now);
        let wants_early_poll = self.holder.wants_early_poll(clock);
        output.value(b'h', &wants_early_poll);
        if now < self.next_poll_at && !wants_early_poll {
            return None;
        }
        self.next_poll_at = now + 830.0;
        let commands = self.holder.pending_commands(clock, random.percent(10));
        let request = self.holder.poll_request();
        output.value(b'a', &request);
        output.value(b'w', &commands);
        Some(Poll {
            member: self.index,
            incarnation: self.incarnation,
            sent_at: clock,
            request,
            commands,
        })
    }

    /// Gets permits, acts, and notes outcomes.
    pub fn work(
        &mut self,
        now: f64,
        random: &mut Random,
        output: &mut Output,
        coverage: &mut Coverage,
    ) {
        let clock = self.clock(now);
        self.end_actions(now, random, coverage);
        self.start_actions(now, random, output, coverage);
        let ready = self.holder.ready_steps();
        let encoded: Vec<_> = ready
            .iter()
            .map(|step| (&step.task, step.max_step_ms))
            .collect();
        output.value(b'b', &encoded);
        if random.percent(4) {
            self.busy_until = now + random.millis(500, 6000);
        }
        let is_busy = now < self.busy_until;
        for step in ready.into_iter().filter(|_| !is_busy) {
            let result = self.holder.permit(&step.task, clock, step.max_step_ms);
            output.permit(b'p', &result);
            coverage.count(&result);
            match result {
                Ok(permit) if random.percent(92) => self.plan(permit, now, random),
                Ok(unused) => drop(unused),
                Err(denied @ PermitDenied::LeaseExpiring) => {
                    coverage.not_run += 1;
                    self.holder
                        .record_not_run(&step.task, Outcome::NotRun(denied.to_string()));
                }
                Err(_) => {}
            }
        }
        let any = NAMES[random.index(NAMES.len())];
        let result = self.holder.permit(any, clock, random.millis(0, 300));
        output.permit(b'q', &result);
        coverage.count(&result);
        if let Ok(permit) = result {
            self.plan(permit, now, random);
        }
        self.observe(clock, any, output);
    }

    fn plan(&mut self, permit: ActionPermit, now: f64, random: &mut Random) {
        let most = if random.percent(10) { 6000 } else { 200 };
        let start_at = now + random.millis(0, most);
        self.planned.push(Planned { permit, start_at });
    }

    fn start_actions(
        &mut self,
        now: f64,
        random: &mut Random,
        output: &mut Output,
        coverage: &mut Coverage,
    ) {
        let clock = self.clock(now);
        let (due, later): (Vec<Planned>, Vec<Planned>) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition(|planned| planned.start_at <= now);
        self.planned = later;
        for planned in due {
            match planned.permit.start(clock) {
                Ok(action) => {
                    output.value(b't', &action.token());
                    let end_at = now + random.millis(0, 500);
                    self.running.push(Running { action, end_at });
                }
                Err(expired) => {
                    coverage.expired += 1;
                    let command = output.expired(b'x', expired);
                    self.holder.queue_outcome(command);
                }
            }
        }
    }

    fn end_actions(&mut self, now: f64, random: &mut Random, coverage: &mut Coverage) {
        let (due, later): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.end_at <= now);
        self.running = later;
        for running in due {
            coverage.acted += 1;
            let outcome = match random.below(10) {
                0 => Outcome::NotRun("refused ".repeat(30)),
                1 => Outcome::NotRun("no connection".to_owned()),
                2 => Outcome::Unknown("no answer".to_owned()),
                _ => Outcome::Done,
            };
            self.holder.queue_outcome(running.action.record(outcome));
        }
    }

    fn observe(&self, clock: f64, task: &str, output: &mut Output) {
        let active = self.holder.active_leases(clock);
        let held: Vec<_> = active
            .map(|lease| (lease.view, lease.remaining_ms))
            .collect();
        output.value(b'H', &held);
        output.value(b'T', &self.holder.lease(task));
    }
}
