//! A simulated member of the replayed fleet, with its lease holder, its clock and its actions.

use super::encoding::Output;
use super::random::Random;
use super::tasks::NAMES;
use super::world::Coverage;
use beamgap_fleet_types::MemberId;
use beamgap_leases::{
    ActionPermit, Command, InjectedBug, LeaseHolder, Outcome, PermitDenied, PermittedAction,
    PollRequest, PollResponse,
};

/// A permitted action that is to start at `start_at`, in milliseconds of simulated time.
struct PlannedAction {
    permit: ActionPermit,
    start_at: f64,
}

/// A started action that ends at `end_at`, in milliseconds of simulated time.
struct RunningAction {
    action: PermittedAction,
    end_at: f64,
}

/// A poll that a member sends to the leader, together with the commands to propose.
#[derive(Clone)]
pub struct Poll {
    pub member: usize,
    pub incarnation: u64,
    pub sent_at: f64,
    pub request: PollRequest,
    pub commands: Vec<Command>,
}

/// The leader's response to a poll, addressed to the incarnation that sent the poll.
#[derive(Clone)]
pub struct Response {
    pub member: usize,
    pub incarnation: u64,
    pub sent_at: f64,
    pub response: PollResponse,
}

/// A simulated front end.
pub struct Member {
    index: usize,
    pub incarnation: u64,
    holder: LeaseHolder,
    clock_rate: f64,
    clock_offset: f64,
    next_poll_at: f64,
    /// Time until which the process is paused: it handles no message and does no work.
    pub frozen_until: f64,
    /// Time until which all messages from and to the member are lost.
    pub silent_until: f64,
    /// Time until which the member requests no permits for its ready steps, as if too many actions
    /// were running.
    busy_until: f64,
    /// When a draining member is to be restarted; `None` if the member is not draining.
    restart_at: Option<f64>,
    planned: Vec<PlannedAction>,
    running: Vec<RunningAction>,
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
    /// Creates a member. Members have different clock rates, all within the drift bound.
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

    /// Restarts the process under the same name, as a new incarnation without any lease.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.restart_at = None;
        self.holder = new_holder(self.index, self.incarnation, self.injected_bug);
        self.planned.clear();
        self.running.clear();
    }

    /// Starts a graceful shutdown. The process is restarted 4 s of simulated time later.
    pub fn drain(&mut self, now: f64) {
        self.holder.start_draining();
        self.restart_at = Some(now + 4000.0);
    }

    /// Whether the draining member is due to be restarted.
    pub fn is_restart_due(&self, now: f64) -> bool {
        self.restart_at.is_some_and(|at| at <= now)
    }

    /// The reading of the member's own clock, in milliseconds, at this simulated time.
    fn clock(&self, now: f64) -> f64 {
        now * self.clock_rate + self.clock_offset
    }

    /// Handles a response, unless it was addressed to an earlier incarnation.
    pub fn receive(&mut self, response: Response) {
        if response.incarnation == self.incarnation {
            self.holder
                .handle_response(response.sent_at, response.response);
        }
    }

    /// Returns a poll if the poll interval has passed or the lease holder asks for an early poll.
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

    /// Ends and starts actions that are due, and requests permits for further actions.
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

    /// Plans an action under a permit after a random delay, which may outlast the permit.
    fn plan(&mut self, permit: ActionPermit, now: f64, random: &mut Random) {
        let max_delay_ms = if random.percent(10) { 6000 } else { 200 };
        let start_at = now + random.millis(0, max_delay_ms);
        self.planned.push(PlannedAction { permit, start_at });
    }

    /// Starts the planned actions that are due, and records those whose permit has expired.
    fn start_actions(
        &mut self,
        now: f64,
        random: &mut Random,
        output: &mut Output,
        coverage: &mut Coverage,
    ) {
        let clock = self.clock(now);
        let (due, later): (Vec<PlannedAction>, Vec<PlannedAction>) =
            std::mem::take(&mut self.planned)
                .into_iter()
                .partition(|planned| planned.start_at <= now);
        self.planned = later;
        for planned in due {
            match planned.permit.start(clock) {
                Ok(action) => {
                    output.value(b't', &action.token());
                    let end_at = now + random.millis(0, 500);
                    self.running.push(RunningAction { action, end_at });
                }
                Err(expired) => {
                    coverage.expired += 1;
                    let command = output.expired(b'x', expired);
                    self.holder.queue_outcome(command);
                }
            }
        }
    }

    /// Ends the running actions that are due, each with a random outcome.
    fn end_actions(&mut self, now: f64, random: &mut Random, coverage: &mut Coverage) {
        let (due, later): (Vec<RunningAction>, Vec<RunningAction>) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(|running| running.end_at <= now);
        self.running = later;
        for running in due {
            coverage.actions += 1;
            let outcome = match random.below(10) {
                0 => Outcome::NotRun("refused ".repeat(30)),
                1 => Outcome::NotRun("no connection".to_owned()),
                2 => Outcome::Unknown("no answer".to_owned()),
                _ => Outcome::Done,
            };
            self.holder.queue_outcome(running.action.record(outcome));
        }
    }

    /// Adds the member's active leases, and its view of the task's lease, to the output.
    fn observe(&self, clock: f64, task: &str, output: &mut Output) {
        let active = self.holder.active_leases(clock);
        let held: Vec<_> = active
            .map(|lease| (lease.view, lease.remaining_ms))
            .collect();
        output.value(b'H', &held);
        output.value(b'T', &self.holder.lease(task));
    }
}
