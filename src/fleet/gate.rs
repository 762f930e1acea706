//! The gate before the core: which requests come in, under which version, and what the decision module is offered of the
//! list of engines. It holds the front end's right to admit, and asks the council for it.

use super::budgets::{FleetBudgets, FleetRetryBudget, HeldUnits};
use super::document::{usable, Here};
use super::machine::{decode, encode, Answer, FleetMachine, Question};
use super::settings::Fleet;
use super::tasks::Keeper;
use super::trial::{machine_clock, Trial};
use crate::{EngineId, Member, MemberState, Settings as ModuleSettings};
use beamgap_config::Problem;
use beamgap_council::{Council, Settings};
use beamgap_policy::check::Known;
use beamgap_policy::document::{Policy, FORM};
use beamgap_policy::rules::{Meter, No, Ruling, Terms};
use beamgap_policy::switch::hold::{Act, Hold};
use beamgap_policy::switch::{Fault, Plant, Version};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

const NO_RIGHT_BACKOFF: f64 = 500.0; // ms; a new leader is there within a second or two
const RULE_BACKOFF: f64 = 1000.0; // ms; policies stand for long
const BUDGET_BACKOFF: f64 = 500.0; // ms; a part may move here by then
const SHORT_TOLD: f64 = 10_000.0; // ms between lines on what budgets refuse
const PLAIN: f64 = 5000.0; // ms; an older leader may be replaced by then
const HURRY: f64 = 30.0; // ms between questions while a step of a task waits for the council
const FILE: &str = "policy"; // what stands for the file's name where members check a text

/// What an admitted request lives under.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The version.
    pub version: Version,
    /// What binds it.
    pub terms: Terms,
    /// What the version says of engines.
    pub ruling: Rc<Ruling>,
    /// What it holds of the fleet's stocks until it is over.
    pub held: Rc<HeldUnits>,
    /// Its leave for further attempts, where a budget bounds them.
    pub further: Option<FleetRetryBudget>,
}

/// The gate.
pub struct Gate {
    council: Council,
    hold: Hold,
    here: Here,
    classes: Vec<String>,
    ruling: Rc<Ruling>,
    meter: Meter,
    tasks: Keeper,
    shares: Rc<RefCell<FleetBudgets>>,
    /// The question that is out: its round, and when it was asked.
    asked: (u64, f64),
    /// Until then only the policy is asked for: the leader runs an older program, which knows no tasks.
    plain_until: f64,
    trial: Trial,
    /// The list as it was told, to offer it anew when the policy changes.
    listed: BTreeMap<EngineId, Member>,
    /// The loop's turn's reading, for a fault that tests plant.
    turn: f64,
    was_shut: bool,
    counts: (u64, u64),
    /// Refused for want of a budget since that was last told, by its name; and when it was.
    short: (BTreeMap<String, u64>, f64),
}

fn one_line(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("; ")
}

impl Gate {
    /// Takes part in the fleet. `wake` ends the loop's wait when the council has answered.
    pub fn start(
        fleet: &Fleet,
        module: &ModuleSettings,
        zones: &[String],
        seed: u64,
        wake: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<Gate> {
        fleet.trial.hold_leash();
        let listener = fleet.listen.map(std::net::TcpListener::bind).transpose()?;
        // A life is told from others by when it began: two processes never begin within the same nanosecond by one name.
        let life = machine_clock().to_bits() ^ u64::from(std::process::id()).rotate_left(48) ^ seed;
        let settings = Settings {
            fleet: fleet.name.clone(),
            member: fleet.member.clone(),
            deciders: fleet.deciders.clone(),
            seat: fleet.seat,
            folder: fleet.folder.clone(),
            seed: life,
            clock: fleet.trial.clock(),
            plants: fleet.trial.plants(),
        };
        let wake: Arc<dyn Fn() + Send + Sync> = Arc::new(wake);
        let woken = wake.clone();
        let zone = zones.first().map(String::as_str).unwrap_or_default();
        let tasks = Keeper::new(&fleet.member, life, zone, fleet.trial, wake);
        let machine =
            FleetMachine::new(fleet.times, life, fleet.trial.plant, fleet.trial.leases, fleet.trial.budgets);
        let machine = Arc::new(Mutex::new(machine));
        let council = Council::start(settings, listener, fleet.trial.disk(), machine, move || woken())?;
        let classes: Vec<String> = module.classes.iter().map(|c| c.name.clone()).collect();
        let accounts = module.tenants.iter().map(|t| t.name.clone()).collect();
        let deadlines = module.classes.iter().map(|c| c.deadline.as_millis()).collect();
        let names = Known { classes: classes.clone(), accounts, zones: zones.to_vec() };
        let shares = FleetBudgets::new(&fleet.member, life, zone, &classes, fleet.trial);
        Ok(Gate {
            council,
            hold: Hold::new(&fleet.member, life, FORM, fleet.trial.plant),
            here: Here { names, deadlines },
            ruling: Rc::new(Ruling::new(Policy::default(), &classes)),
            classes,
            meter: Meter::default(),
            tasks,
            shares: Rc::new(RefCell::new(shares)),
            asked: (0, 0.0),
            plain_until: f64::NEG_INFINITY,
            trial: fleet.trial,
            listed: BTreeMap::new(),
            turn: 0.0,
            was_shut: true,
            counts: (0, 0),
            short: (BTreeMap::new(), f64::NEG_INFINITY),
        })
    }

    /// The front end is about to end: it gives up what it holds of the fleet's tasks.
    pub fn drain(&mut self) {
        self.tasks.drain();
        self.shares.borrow_mut().start_draining();
    }

    /// Where this decider listens for other members.
    pub fn address(&self) -> Option<SocketAddr> {
        self.council.address()
    }

    /// The member's clock now.
    pub fn now(&self) -> f64 {
        self.trial.taken(machine_clock())
    }

    /// How long until the council is to be asked again, in milliseconds.
    pub fn due_in(&self) -> f64 {
        (self.hold.due() - self.now()).max(0.0)
    }

    /// Whether a request may come in now; with the time after which to come back, if not.
    pub fn admit(
        &mut self,
        id: &str,
        class: usize,
        account: Option<&str>,
        open: usize,
    ) -> Result<Admitted, f64> {
        // Read for this request: the process may have stood still since the loop's turn began.
        let machine = machine_clock();
        let now = if self.trial.plant == Plant::StaleClock { self.turn } else { self.trial.taken(machine) };
        let admitted = match self.hold.admits(now) {
            None => Err(("right", NO_RIGHT_BACKOFF)),
            Some(version) => match self.meter.admit(now, &self.ruling, class, account, open) {
                Ok(terms) => match FleetBudgets::admit(&self.shares, now, class, account) {
                    Ok(by_budgets) => {
                        let (ruling, held) = (self.ruling.clone(), Rc::new(by_budgets.held_units));
                        let further = by_budgets.retry_budget;
                        Ok(Admitted { version, terms, ruling, held, further })
                    }
                    Err(exhausted) => {
                        *self.short.0.entry(exhausted.budget).or_default() += 1;
                        Err(("budget", BUDGET_BACKOFF))
                    }
                },
                Err(No::Class) => Err(("class", RULE_BACKOFF)),
                Err(No::Rate) => Err(("rate", RULE_BACKOFF)),
                Err(No::Share) => Err(("share", RULE_BACKOFF)),
                Err(No::Open) => Err(("open", RULE_BACKOFF)),
            },
        };
        if self.trial.history {
            match &admitted {
                Ok(a) => {
                    let (version, account) = (a.version, account.unwrap_or_default());
                    eprintln!(
                        "history admit t={machine:.3} id={id} class={class} v={version} account={account}"
                    )
                }
                Err((why, _)) => eprintln!("history refuse t={machine:.3} id={id} class={class} why={why}"),
            }
        }
        match admitted {
            Ok(admitted) => {
                self.counts.0 += 1;
                Ok(admitted)
            }
            Err((_, backoff)) => {
                self.counts.1 += 1;
                Err(backoff)
            }
        }
    }

    /// News of the list: as the decision module is to have it.
    pub fn offer(&mut self, whole: bool, members: Vec<Member>) -> Vec<Member> {
        if whole {
            self.listed.clear();
        }
        for member in &members {
            if member.state == MemberState::Gone {
                self.listed.remove(&member.engine);
            } else {
                self.listed.insert(member.engine.clone(), member.clone());
            }
        }
        members.into_iter().map(|member| narrowed(&self.ruling, member)).collect()
    }

    /// What the council has answered, and what is to be asked: changes for the module's list, and lines for the log.
    /// `open` requests are open at this front end.
    pub fn turn(&mut self, open: usize) -> (Vec<Member>, Vec<String>) {
        let (mut changed, mut lines) = (Vec::new(), Vec::new());
        self.turn = self.now();
        let answers: Vec<_> = self.council.answers().collect();
        for (round, answer) in answers {
            let now = self.now();
            match answer.as_deref().and_then(decode::<Answer>) {
                Some(Answer::Renewed(reply)) => {
                    for act in self.hold.reply(now, reply) {
                        self.act(act, &mut changed, &mut lines);
                    }
                }
                Some(Answer::All(reply, leases, shares)) => {
                    if round == self.asked.0 {
                        self.tasks.reply(self.asked.1, leases);
                        self.shares.borrow_mut().handle_response(now, shares);
                    }
                    for act in self.hold.reply(now, reply) {
                        self.act(act, &mut changed, &mut lines);
                    }
                }
                Some(Answer::Both(reply, leases)) => {
                    if round == self.asked.0 {
                        self.tasks.reply(self.asked.1, leases);
                    }
                    for act in self.hold.reply(now, reply) {
                        self.act(act, &mut changed, &mut lines);
                    }
                }
                Some(Answer::Unreadable) => {
                    self.plain_until = now + PLAIN;
                    self.hold.no_answer(now, round);
                }
                _ => self.hold.no_answer(now, round),
            }
        }
        let now = self.now();
        self.tasks.work(now);
        if self.tasks.hurries(now) {
            self.hold.hasten(self.asked.1 + HURRY);
        }
        if let Some(soon) = self.shares.borrow().wants_early_poll(now) {
            self.hold.hasten(self.asked.1 + soon);
        }
        let due = self.hold.due() <= now;
        let note = || format!("admitted={} refused={}", self.counts.0, self.counts.1);
        if let Some(ask) = due.then(note).and_then(|note| self.hold.ask(now, &note)) {
            let round = ask.round;
            self.asked = (round, now);
            let question = match now < self.plain_until {
                true => Question::Renew(ask),
                false if self.shares.borrow().is_empty() => {
                    Question::Both(ask, self.tasks.ask(), self.tasks.wants(now, open))
                }
                false => {
                    let shares = self.shares.borrow_mut().poll_request(now, round);
                    Question::All(ask, self.tasks.ask(), self.tasks.wants(now, open), shares)
                }
            };
            if !self.council.ask(round, encode(&question)) {
                self.hold.no_answer(now, round);
            }
        }
        if !self.short.0.is_empty() && now - self.short.1 >= SHORT_TOLD {
            self.short.1 = now;
            let told = std::mem::take(&mut self.short.0).into_iter();
            lines.extend(told.map(|(budget, n)| format!("fleet: budget {budget}: refused {n} lately")));
        }
        let why_not = self.hold.why_not(self.now());
        if why_not.is_some() != self.was_shut {
            self.was_shut = why_not.is_some();
            let version = self.hold.right().map_or(0, |right| right.version);
            lines.push(match &why_not {
                Some(why) => format!("fleet: admits nothing: {why}"),
                None => format!("fleet: admits under version {version}"),
            });
        }
        (changed, lines)
    }

    fn act(&mut self, act: Act, changed: &mut Vec<Member>, lines: &mut Vec<String>) {
        match act {
            Act::Check(id, text) => {
                let read = usable(FILE, &text, &self.here);
                let member = self.hold.member().to_owned();
                let fault = |p: &Problem| Fault { member: member.clone(), text: p.to_string() };
                let faults: Vec<Fault> = read.err().iter().flatten().map(fault).collect();
                lines.push(format!("fleet: checked change={id} faults={}", faults.len()));
                self.hold.checked(self.now(), &id, faults);
            }
            Act::Use(version, text) => match usable(FILE, &text, &self.here) {
                Ok(whole) => {
                    let ruling = Rc::new(Ruling::new(whole.read.policy, &self.classes));
                    let before = std::mem::replace(&mut self.ruling, ruling);
                    self.shares.borrow_mut().activate(self.now(), version, whole.budgets);
                    let offered = |ruling: &Ruling, m: &Member| narrowed(ruling, m.clone()).state;
                    let other =
                        self.listed.values().filter(|m| offered(&before, m) != offered(&self.ruling, m));
                    changed.extend(other.map(|m| narrowed(&self.ruling, m.clone())));
                    self.hold.used(version, Ok(()));
                    lines.push(format!("fleet: policy version={version} in use"));
                    if self.trial.history {
                        let hash =
                            text.bytes().fold(0u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
                        eprintln!("history use t={:.3} v={version} hash={hash:x}", machine_clock());
                    }
                }
                Err(problems) => {
                    let why = one_line(&problems);
                    lines.push(format!("fleet: policy version={version} can't be used: {why}"));
                    self.hold.used(version, Err(why));
                }
            },
        }
    }

    /// Connections that each engine may have from here, if a budget bounds them; of those that it has, `used` is the
    /// most, and `vain` tells that more were wanted.
    pub fn links(&mut self, used: usize, vain: bool) -> Option<usize> {
        let now = self.now();
        self.shares.borrow_mut().connection_limit(now, used as u64, vain).map(|most| most as usize)
    }

    /// Its part of what cold engines bear, if a budget divides that: one of how many front ends it is, and which.
    pub fn cold(&self) -> Option<(f64, u64)> {
        self.shares.borrow().warming_split(self.now())
    }

    /// Why nothing is admitted now, if so.
    pub fn why_not(&self) -> Option<String> {
        self.hold.why_not(self.now())
    }
}

/// An engine as the policy has it offered: one that it leaves out takes nothing new, and ends what it has.
fn narrowed(ruling: &Ruling, member: Member) -> Member {
    let out = member.state == MemberState::Serving && ruling.leaves_out(&member.engine.0, &member.zone);
    Member { state: if out { MemberState::Draining } else { member.state }, ..member }
}
