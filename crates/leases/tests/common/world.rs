//! A simulated fleet: four members, the replicated state, and two processes of which at most one
//! leads at a time. Messages may be lost, delayed or duplicated.

use super::encoding::Output;
use super::member::{Member, Poll, Response};
use super::random::Random;
use super::tasks::{default_tasks, invalid_task, random_tasks, NAMES};
use beamgap_fleet_types::MemberId;
use beamgap_leases::{
    ActionPermit, ClockBounds, Command, FencingToken, InjectedBug, LeaseLeader, Outcome,
    PermitDenied, State,
};

const MEMBER_COUNT: usize = 4;
/// Milliseconds of simulated time per minute of the simulated wall clock. The wall clock runs much
/// faster than the members' clocks, so that a simulation of some minutes covers several days.
const MS_PER_WALL_CLOCK_MINUTE: f64 = 100.0;

/// Counts of events in a simulation. The test checks them to show that the simulation exercises the
/// state machines sufficiently.
#[derive(Default)]
pub struct Coverage {
    pub permits: usize,
    pub denied_not_held: usize,
    pub denied_lease_expiring: usize,
    pub denied_not_runnable: usize,
    pub denied_step_not_begun: usize,
    pub not_run: usize,
    pub expired: usize,
    pub actions: usize,
    pub halted: usize,
    pub finished_runs: usize,
    pub unknown_outcomes: usize,
    pub leader_changes: usize,
    pub rejected_tasks: usize,
}

impl Coverage {
    /// Counts a permit, or a denial by its reason.
    pub fn count(&mut self, result: &Result<ActionPermit, PermitDenied>) {
        match result {
            Ok(_) => self.permits += 1,
            Err(PermitDenied::NotHeld) => self.denied_not_held += 1,
            Err(PermitDenied::LeaseExpiring) => self.denied_lease_expiring += 1,
            Err(PermitDenied::NotRunnable) => self.denied_not_runnable += 1,
            Err(PermitDenied::StepNotBegun) => self.denied_step_not_begun += 1,
        }
    }
}

/// A message that was sent and is delivered at `arrives_at`.
struct InFlight<T> {
    message: T,
    arrives_at: f64,
}

/// The simulated fleet. Times are in milliseconds of simulated time.
pub struct World {
    random: Random,
    now: f64,
    state: State,
    leaders: [LeaseLeader; 2],
    leader: Option<usize>,
    members: Vec<Member>,
    polls: Vec<InFlight<Poll>>,
    responses: Vec<InFlight<Response>>,
    log: Vec<InFlight<Command>>,
    pub coverage: Coverage,
}

/// Removes and returns the messages that have arrived by `now`, in the order of sending.
fn arrived<T>(in_flight: &mut Vec<InFlight<T>>, now: f64) -> Vec<T> {
    let (due, later): (Vec<_>, Vec<_>) = std::mem::take(in_flight)
        .into_iter()
        .partition(|sent| sent.arrives_at <= now);
    *in_flight = later;
    due.into_iter().map(|sent| sent.message).collect()
}

impl World {
    /// Creates a fleet with the default tasks, in which the first of the two processes leads.
    pub fn new(seed: u64, injected_bug: InjectedBug) -> World {
        let mut state = State::default();
        state.apply(&Command::DefineTasks(default_tasks()));
        let mut leaders = [
            LeaseLeader::new(ClockBounds::default(), injected_bug),
            LeaseLeader::new(ClockBounds::default(), injected_bug),
        ];
        leaders[0].set_leadership(0.0, true);
        World {
            random: Random::new(seed),
            now: 0.0,
            state,
            leaders,
            leader: Some(0),
            members: (0..MEMBER_COUNT)
                .map(|index| Member::new(index, injected_bug))
                .collect(),
            polls: Vec::new(),
            responses: Vec::new(),
            log: Vec::new(),
            coverage: Coverage::default(),
        }
    }

    /// Advances the simulation by a random time and returns the digest of all outputs of this
    /// step.
    pub fn step(&mut self) -> String {
        let mut output = Output::default();
        self.now += self.random.millis(30, 260);
        if self.random.percent(9) {
            self.inject_random_event(&mut output);
        }
        if self.leader.is_none() && self.random.percent(5) {
            self.change_leader();
        }
        self.run_leader(&mut output);
        self.commit();
        self.run_members(&mut output);
        self.observe(&mut output);
        output.digest()
    }

    /// The reading of the leader's own clock, in milliseconds. The two clocks drift apart.
    fn leader_clock(&self, leader: usize) -> f64 {
        let rate = [1.03, 0.97][leader];
        self.now * rate + 50_000.0 * leader as f64
    }

    /// Sends a command to the log. It is lost with a probability of 5%, otherwise delayed at
    /// random.
    fn propose(&mut self, command: Command) {
        if self.random.percent(95) {
            let arrives_at = self.now + self.random.millis(0, 120);
            self.log.push(InFlight {
                message: command,
                arrives_at,
            });
        }
    }

    fn run_leader(&mut self, output: &mut Output) {
        let polls = arrived(&mut self.polls, self.now);
        let Some(leader) = self.leader else { return };
        let clock = self.leader_clock(leader);
        for poll in polls {
            let response = self.leaders[leader].handle_request(clock, &self.state, &poll.request);
            output.value(b'r', &response);
            poll.commands
                .into_iter()
                .for_each(|command| self.propose(command));
            let arrives_at = self.now + self.random.millis(0, 150);
            let response = Response {
                member: poll.member,
                incarnation: poll.incarnation,
                sent_at: poll.sent_at,
                response,
            };
            if self.random.percent(90) {
                self.responses.push(InFlight {
                    message: response,
                    arrives_at,
                });
            }
        }
        let minute = (self.now / MS_PER_WALL_CLOCK_MINUTE) as u64;
        let known_minute = self.random.percent(90).then_some(minute);
        let commands = self.leaders[leader].tick(clock, known_minute, &self.state);
        output.value(b'l', &commands);
        commands
            .into_iter()
            .for_each(|command| self.propose(command));
    }

    fn commit(&mut self) {
        for command in arrived(&mut self.log, self.now) {
            self.apply(&command);
        }
    }

    fn apply(&mut self, command: &Command) {
        let halted = |state: &State| {
            let runs = state.tasks.values().filter_map(|task| task.run.as_ref());
            runs.filter(|run| run.halted_reason.is_some()).count()
        };
        let running = |state: &State| {
            state
                .tasks
                .values()
                .filter(|task| task.run.is_some())
                .count()
        };
        let before = (halted(&self.state), running(&self.state));
        self.state.apply(command);
        self.coverage.halted += usize::from(halted(&self.state) > before.0);
        self.coverage.finished_runs += usize::from(running(&self.state) < before.1);
        if matches!(
            command,
            Command::RecordOutcome {
                outcome: Outcome::Unknown(_),
                ..
            }
        ) {
            self.coverage.unknown_outcomes += 1;
        }
    }

    fn run_members(&mut self, output: &mut Output) {
        for response in arrived(&mut self.responses, self.now) {
            let member = &mut self.members[response.member];
            if self.now >= member.frozen_until && self.now >= member.silent_until {
                member.receive(response);
            }
        }
        for member in &mut self.members {
            if member.is_restart_due(self.now) {
                member.restart();
            }
            if self.now < member.frozen_until {
                continue;
            }
            member.work(self.now, &mut self.random, output, &mut self.coverage);
            let poll = member.poll(self.now, &mut self.random, output);
            let lost = self.now < member.silent_until || self.random.percent(8);
            let Some(poll) = poll.filter(|_| !lost) else {
                continue;
            };
            let copies = if self.random.percent(3) { 2 } else { 1 };
            for _ in 0..copies {
                let arrives_at = self.now + self.random.millis(0, 200);
                self.polls.push(InFlight {
                    message: poll.clone(),
                    arrives_at,
                });
            }
        }
    }

    fn observe(&self, output: &mut Output) {
        output.value(b's', &self.state);
        for task in self.state.tasks.values() {
            output.value(b'y', &(task.runnable(), task.blocked_reason()));
            let Some(lease) = &task.lease else { continue };
            for (index, leader) in self.leaders.iter().enumerate() {
                output.value(
                    b'n',
                    &leader.since_renewal(self.leader_clock(index), lease.token),
                );
            }
        }
    }

    /// Injects a random event: an operator's command, a fault of a process or of the network, or a
    /// command whose preconditions may no longer hold.
    fn inject_random_event(&mut self, output: &mut Output) {
        let name = NAMES[self.random.index(NAMES.len())].to_owned();
        let member = self.random.index(MEMBER_COUNT);
        match self.random.below(20) {
            0 | 1 => {
                let tasks = random_tasks(&mut self.random);
                self.propose(Command::DefineTasks(tasks));
            }
            2 => self.propose(Command::DefineTasks(default_tasks())),
            3 | 4 => self.propose(Command::SetPaused {
                task: name,
                paused: true,
            }),
            5..=7 => self.propose(Command::SetPaused {
                task: name,
                paused: false,
            }),
            8..=10 => {
                let run = self.state.tasks.get(&name).map_or(1, |task| task.runs + 1);
                self.propose(Command::StartRun {
                    task: name,
                    run,
                    day: 0,
                });
            }
            11 => self.release(&name),
            12 => {
                let forbidden = if self.random.percent(50) {
                    vec![name]
                } else {
                    Vec::new()
                };
                self.propose(Command::SetForbidden(forbidden));
            }
            13 => self.members[member].drain(self.now),
            14 => self.members[member].restart(),
            15 => self.members[member].silent_until = self.now + self.random.millis(500, 9000),
            16 => self.members[member].frozen_until = self.now + self.random.millis(500, 9000),
            17 | 18 => self.change_leader(),
            _ => self.apply_stray_command(name, output),
        }
    }

    /// Lets the leader release the task's lease, if both exist.
    fn release(&mut self, name: &str) {
        let token = self
            .state
            .tasks
            .get(name)
            .and_then(|task| task.lease.as_ref())
            .map(|lease| lease.token);
        if let (Some(leader), Some(token)) = (self.leader, token) {
            let clock = self.leader_clock(leader);
            self.leaders[leader].release(clock, token);
        }
    }

    /// Ends the current leadership and drops uncommitted commands. Then one of the two processes
    /// becomes leader, or none.
    fn change_leader(&mut self) {
        self.coverage.leader_changes += 1;
        if let Some(leader) = self.leader.take() {
            let clock = self.leader_clock(leader);
            self.leaders[leader].set_leadership(clock, false);
        }
        self.log.clear();
        let next = self.random.index(3);
        if next < 2 {
            let clock = self.leader_clock(next);
            self.leaders[next].set_leadership(clock, true);
            self.leader = Some(next);
        }
    }

    /// Applies a command whose preconditions may not hold, and validates an invalid task
    /// definition.
    fn apply_stray_command(&mut self, task: String, output: &mut Output) {
        let last_token = self.state.last_token.number();
        let token = FencingToken::new(last_token.saturating_sub(self.random.below(3)));
        let step = self.random.below(3) as u32;
        let run = self.state.tasks.get(&task).map_or(0, |task| task.runs);
        let command = match self.random.below(5) {
            0 => Command::GrantLease {
                task,
                holder: MemberId::new("m9", 1),
            },
            1 => Command::EndLease { task, token },
            2 => Command::BeginStep {
                task,
                token,
                run,
                step,
            },
            3 => Command::StartRun { task, run, day: 1 },
            _ => Command::RecordOutcome {
                task,
                token,
                step,
                outcome: Outcome::Unknown("stray".to_owned()),
            },
        };
        output.value(b'c', &command);
        self.apply(&command);
        let invalid = invalid_task(&mut self.random);
        let problem = invalid
            .validate()
            .err()
            .map(|problem| (problem.key(), problem.to_string()));
        self.coverage.rejected_tasks += usize::from(problem.is_some());
        output.value(b'i', &problem);
        let member = self.random.index(MEMBER_COUNT);
        output.value(b'f', &invalid.allows(&format!("m{member}"), "east"));
    }
}
