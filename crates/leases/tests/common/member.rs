//! A member of the replayed fleet: its lease holder, its clock, and what it is acting on.

use super::encoding::Output;
use super::random::Random;
use super::tasks::NAMES;
use super::world::Coverage;
use beamgap_leases::leader::{Ask, Reply};
use beamgap_leases::member::{Acted, Holder, No, Pass};
use beamgap_leases::state::{Command, Outcome};
use beamgap_leases::Plant;

/// A permit in use: the action starts at `start_at`.
struct Planned {
    permit: Pass,
    start_at: f64,
}

/// An action under way, whose outcome is known at `end_at`.
struct Running {
    action: Acted,
    end_at: f64,
}

/// What a member sends to the leader.
#[derive(Clone)]
pub struct Question {
    pub member: usize,
    pub incarnation: u64,
    pub sent_at: f64,
    pub ask: Ask,
    pub commands: Vec<Command>,
}

/// What the leader sends back.
#[derive(Clone)]
pub struct Answer {
    pub member: usize,
    pub incarnation: u64,
    pub sent_at: f64,
    pub reply: Reply,
}

/// One front end.
pub struct Member {
    index: usize,
    pub incarnation: u64,
    holder: Holder,
    clock_rate: f64,
    clock_offset: f64,
    next_question_at: f64,
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
    plant: Plant,
}

fn new_holder(index: usize, incarnation: u64, plant: Plant) -> Holder {
    let zone = ["east", "west"][index % 2];
    Holder::new((format!("m{index}"), incarnation), zone, plant)
}

impl Member {
    /// A member whose clock runs at its own rate within the bounds.
    pub fn new(index: usize, plant: Plant) -> Member {
        Member {
            index,
            incarnation: 1,
            holder: new_holder(index, 1, plant),
            clock_rate: [0.96, 1.0, 1.04, 1.01][index % 4],
            clock_offset: 1_000.0 * index as f64,
            next_question_at: 0.0,
            frozen_until: 0.0,
            silent_until: 0.0,
            busy_until: 0.0,
            restart_at: None,
            planned: Vec::new(),
            running: Vec::new(),
            plant,
        }
    }

    /// Ends the process and starts it again under the same name.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.restart_at = None;
        self.holder = new_holder(self.index, self.incarnation, self.plant);
        self.planned.clear();
        self.running.clear();
    }

    /// Starts a graceful shutdown; the process is started again some seconds later.
    pub fn drain(&mut self, now: f64) {
        self.holder.drain();
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

    /// Takes an answer in.
    pub fn receive(&mut self, answer: Answer) {
        if answer.incarnation == self.incarnation {
            self.holder.reply(answer.sent_at, answer.reply);
        }
    }

    /// The next question to the leader, if it is time for one.
    pub fn question(&mut self, now: f64, random: &mut Random, output: &mut Output) -> Option<Question> {
        let clock = self.clock(now);
        let hurries = self.holder.hurries(clock);
        output.value(b'h', &hurries);
        if now < self.next_question_at && !hurries {
            return None;
        }
        self.next_question_at = now + 830.0;
        let commands = self.holder.wants(clock, random.percent(10));
        let ask = self.holder.ask();
        output.value(b'a', &ask);
        output.value(b'w', &commands);
        Some(Question { member: self.index, incarnation: self.incarnation, sent_at: clock, ask, commands })
    }

    /// Gets permits, acts, and notes outcomes.
    pub fn work(&mut self, now: f64, random: &mut Random, output: &mut Output, coverage: &mut Coverage) {
        let clock = self.clock(now);
        self.end_actions(now, random, coverage);
        self.start_actions(now, random, output, coverage);
        let ready = self.holder.begun();
        output.value(b'b', &ready);
        if random.percent(4) {
            self.busy_until = now + random.millis(500, 6000);
        }
        let is_busy = now < self.busy_until;
        for (task, longest) in ready.into_iter().filter(|_| !is_busy) {
            let result = self.holder.pass(&task, clock, longest);
            output.permit(b'p', &result);
            coverage.count(&result);
            match result {
                Ok(permit) if random.percent(92) => self.plan(permit, now, random),
                Ok(unused) => drop(unused),
                Err(denied @ No::RanOut) => {
                    coverage.never_ran += 1;
                    self.holder.never_ran(&task, Outcome::NeverRan(denied.to_string()));
                }
                Err(_) => {}
            }
        }
        let any = NAMES[random.index(NAMES.len())];
        let result = self.holder.pass(any, clock, random.millis(0, 300));
        output.permit(b'q', &result);
        coverage.count(&result);
        if let Ok(permit) = result {
            self.plan(permit, now, random);
        }
        self.observe(clock, any, output);
    }

    fn plan(&mut self, permit: Pass, now: f64, random: &mut Random) {
        let most = if random.percent(10) { 6000 } else { 200 };
        let start_at = now + random.millis(0, most);
        self.planned.push(Planned { permit, start_at });
    }

    fn start_actions(&mut self, now: f64, random: &mut Random, output: &mut Output, coverage: &mut Coverage) {
        let clock = self.clock(now);
        let (due, later): (Vec<Planned>, Vec<Planned>) =
            std::mem::take(&mut self.planned).into_iter().partition(|planned| planned.start_at <= now);
        self.planned = later;
        for planned in due {
            match planned.permit.act(clock) {
                Ok(action) => {
                    output.value(b't', &action.token());
                    let end_at = now + random.millis(0, 500);
                    self.running.push(Running { action, end_at });
                }
                Err(expired) => {
                    coverage.expired += 1;
                    let command = output.expired(b'x', expired);
                    self.holder.owe(command);
                }
            }
        }
    }

    fn end_actions(&mut self, now: f64, random: &mut Random, coverage: &mut Coverage) {
        let (due, later): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|running| running.end_at <= now);
        self.running = later;
        for running in due {
            coverage.acted += 1;
            let outcome = match random.below(10) {
                0 => Outcome::NeverRan("refused ".repeat(30)),
                1 => Outcome::NeverRan("no connection".to_owned()),
                2 => Outcome::Unknown("no answer".to_owned()),
                _ => Outcome::Done,
            };
            self.holder.owe(running.action.over(outcome));
        }
    }

    fn observe(&self, clock: f64, task: &str, output: &mut Output) {
        let held: Vec<_> = self.holder.holds(clock).collect();
        output.value(b'H', &held);
        output.value(b'T', &self.holder.told(task));
    }
}
