//! The gate before the core: which requests come in, under which version, and what the decision module is offered of the
//! list of engines. It holds the front end's right to admit, and asks the council for it.

use super::budgets::{Further, Held, Shares};
use super::document::{usable, Here};
use super::machine::{decode, encode, Answer, FleetMachine, Question};
use super::settings::Fleet;
use super::tasks::TaskRunner;
use super::trial::{machine_clock, Trial};
use crate::{EngineId, Member, MemberState, Settings as ModuleSettings};
use beamgap_config::Problem;
use beamgap_consensus::{Council, Settings};
use beamgap_fleet_types::MemberId;
use beamgap_policy::check::Known;
use beamgap_policy::document::{Policy, FORM};
use beamgap_policy::rules::{Meter, No, Ruling, Terms};
use beamgap_policy::rollout::member::{Act, Hold};
use beamgap_policy::rollout::{Fault, Plant, Version};
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
    pub limits: RequestLimits,
    /// What the version says of engines.
    pub policy: Rc<CompiledPolicy>,
    /// What it holds of the fleet's stocks until it is over.
    pub held: Rc<Held>,
    /// Its leave for further attempts, where a budget bounds them.
    pub further: Option<Further>,
}

/// The gate.
pub struct Gate {
    consensus: ConsensusNode,
    hold: PolicyMember,
    here: ValidationContext,
    classes: Vec<String>,
    ruling: Rc<CompiledPolicy>,
    meter: AdmissionMeter,
    tasks: TaskRunner,
    shares: Rc<RefCell<Shares>>,
    /// The question that is out: its round, and when it was asked.
    asked: (u64, f64),
    /// Until then only the policy is asked for: the leader runs an older program, which knows no tasks.
    plain_until: f64,
    hooks: TestHooks,
    /// The list as it was told, to offer it anew when the policy changes.
    listed: BTreeMap<EngineId, EngineEntry>,
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
        fleet: &FleetSettings,
        module: &ModuleSettings,
        zones: &[String],
        seed: u64,
        wake: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<Gate> {
        fleet.test_hooks.watch_stdin();
        let listener = fleet.listen.map(std::net::TcpListener::bind).transpose()?;
        // A life is told from others by when it began: two processes never begin within the same nanosecond by one name.
        let life = machine_clock().to_bits() ^ u64::from(std::process::id()).rotate_left(48) ^ seed;
        let settings = Settings {
            fleet: fleet.name.clone(),
            member: fleet.member.clone(),
            voters: fleet.voters.clone(),
            slot: fleet.slot,
            data_dir: fleet.data_dir.clone(),
            seed: life,
            clock: fleet.test_hooks.clock(),
            injected_bugs: fleet.test_hooks.consensus_bugs(),
        };
        let wake: Arc<dyn Fn() + Send + Sync> = Arc::new(wake);
        let woken = wake.clone();
        let zone = zones.first().map(String::as_str).unwrap_or_default();
        let tasks = TaskRunner::new(MemberId::new(&fleet.member, life), zone, fleet.test_hooks, wake);
        let machine = FleetStateMachine::new(fleet.timings, life, &fleet.test_hooks);
        let machine = Arc::new(Mutex::new(machine));
        let consensus =
            ConsensusNode::start(settings, listener, fleet.test_hooks.disk(), machine, move || woken())?;
        let classes: Vec<String> = module.classes.iter().map(|c| c.name.clone()).collect();
        let accounts = module.tenants.iter().map(|t| t.name.clone()).collect();
        let deadlines = module.classes.iter().map(|c| c.deadline.as_millis()).collect();
        let names = KnownNames { classes: classes.clone(), accounts, zones: zones.to_vec() };
        let shares = Shares::new(&fleet.member, life, zone, &classes, fleet.test_hooks);
        Ok(Gate {
            consensus,
            hold: PolicyMember::new(
                MemberId::new(fleet.member.clone(), life),
                FORMAT_VERSION,
                fleet.test_hooks.policy_bug,
            ),
            here: ValidationContext { names, class_deadlines_ms: deadlines },
            ruling: Rc::new(CompiledPolicy::new(Policy::default(), &classes)),
            classes,
            meter: AdmissionMeter::default(),
            tasks,
            shares: Rc::new(RefCell::new(shares)),
            asked: (0, 0.0),
            plain_until: f64::NEG_INFINITY,
            hooks: fleet.test_hooks,
            listed: BTreeMap::new(),
            turn: 0.0,
            was_shut: true,
            counts: (0, 0),
            short: (BTreeMap::new(), f64::NEG_INFINITY),
        })
    }

    /// The front end is about to end: it gives up what it holds of the fleet's tasks.
    pub fn drain(&mut self) {
        self.tasks.start_draining();
        self.shares.borrow_mut().drain();
    }

    /// Where this decider listens for other members.
    pub fn address(&self) -> Option<SocketAddr> {
        self.consensus.address()
    }

    /// The member's clock now.
    pub fn now(&self) -> f64 {
        self.hooks.member_time(machine_clock())
    }

    /// How long until the council is to be asked again, in milliseconds.
    pub fn due_in(&self) -> f64 {
        (self.hold.next_poll_at() - self.now()).max(0.0)
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
        let now =
            if self.hooks.policy_bug == InjectedBug::StaleClock { self.turn } else { self.hooks.member_time(machine) };
        let admitted = match self.hold.admits(now) {
            None => Err(("right", NO_RIGHT_BACKOFF)),
            Some(version) => match self.meter.admit(now, &self.ruling, class, account, open) {
                Ok(limits) => match Shares::admit(&self.shares, now, class, account) {
                    Ok((held, further)) => {
                        let (policy, held) = (self.ruling.clone(), Rc::new(held));
                        Ok(Admitted { version, limits, policy, held, further })
                    }
                    Err(budget) => {
                        *self.short.0.entry(budget).or_default() += 1;
                        Err(("budget", BUDGET_BACKOFF))
                    }
                },
                Err(Rejection::ClassRejected) => Err(("class", RULE_BACKOFF)),
                Err(Rejection::RateExceeded) => Err(("rate", RULE_BACKOFF)),
                Err(Rejection::AccountShareExceeded) => Err(("share", RULE_BACKOFF)),
                Err(Rejection::TooManyInFlight) => Err(("open", RULE_BACKOFF)),
            },
        };
        if self.hooks.write_history {
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
    pub fn offer(&mut self, whole: bool, members: Vec<EngineEntry>) -> Vec<EngineEntry> {
        if whole {
            self.listed.clear();
        }
        for member in &members {
            if member.state == EngineState::Removed {
                self.listed.remove(&member.engine);
            } else {
                self.listed.insert(member.engine.clone(), member.clone());
            }
        }
        members.into_iter().map(|member| narrowed(&self.ruling, member)).collect()
    }

    /// What the council has answered, and what is to be asked: changes for the module's list, and lines for the log.
    /// `open` requests are open at this front end.
    pub fn turn(&mut self, open: usize) -> (Vec<EngineEntry>, Vec<String>) {
        let (mut changed, mut lines) = (Vec::new(), Vec::new());
        self.turn = self.now();
        let answers: Vec<_> = self.consensus.responses().collect();
        for TaggedResponse { tag: round, body: answer } in answers {
            let now = self.now();
            match answer.as_deref().and_then(decode::<FleetResponse>) {
                Some(FleetResponse::Policy(reply)) => {
                    for act in self.hold.handle_response(now, reply) {
                        self.act(act, &mut changed, &mut lines);
                    }
                }
                Some(FleetResponse::All(reply, leases, shares)) => {
                    if round == self.asked.0 {
                        self.tasks.handle_response(self.asked.1, leases);
                        self.shares.borrow_mut().reply(now, shares);
                    }
                    for act in self.hold.handle_response(now, reply) {
                        self.act(act, &mut changed, &mut lines);
                    }
                }
                Some(FleetResponse::PolicyAndTasks(reply, leases)) => {
                    if round == self.asked.0 {
                        self.tasks.handle_response(self.asked.1, leases);
                    }
                    for act in self.hold.handle_response(now, reply) {
                        self.act(act, &mut changed, &mut lines);
                    }
                }
                Some(FleetResponse::Unreadable) => {
                    self.plain_until = now + PLAIN;
                    self.hold.poll_failed(now, round);
                }
                _ => self.hold.poll_failed(now, round),
            }
        }
        let now = self.now();
        self.tasks.advance(now);
        if self.tasks.wants_early_poll(now) {
            self.hold.poll_no_later_than(self.asked.1 + HURRY);
        }
        if let Some(soon) = self.shares.borrow().hurries(now) {
            self.hold.poll_no_later_than(self.asked.1 + soon);
        }
        let due = self.hold.next_poll_at() <= now;
        let note = || format!("admitted={} refused={}", self.counts.0, self.counts.1);
        if let Some(ask) = due.then(note).and_then(|note| self.hold.poll_request(now, &note)) {
            let round = ask.sequence;
            self.asked = (round, now);
            let question = match now < self.plain_until {
                true => FleetRequest::PollPolicy(ask),
                false if self.shares.borrow().is_empty() => {
                    FleetRequest::PollPolicyAndTasks(ask, self.tasks.poll_request(), self.tasks.pending_commands(now, open))
                }
                false => {
                    let shares = self.shares.borrow_mut().ask(now, round);
                    FleetRequest::PollAll(ask, self.tasks.poll_request(), self.tasks.pending_commands(now, open), shares)
                }
            };
            if !self.consensus.submit(round, encode(&question)) {
                self.hold.poll_failed(now, round);
            }
        }
        if !self.short.0.is_empty() && now - self.short.1 >= SHORT_TOLD {
            self.short.1 = now;
            let told = std::mem::take(&mut self.short.0).into_iter();
            lines.extend(told.map(|(budget, n)| format!("fleet: budget {budget}: refused {n} lately")));
        }
        let why_not = self.hold.blocked_reason(self.now());
        if why_not.is_some() != self.was_shut {
            self.was_shut = why_not.is_some();
            let version = self.hold.lease().map_or(0, |lease| lease.version);
            lines.push(match &why_not {
                Some(why) => format!("fleet: admits nothing: {why}"),
                None => format!("fleet: admits under version {version}"),
            });
        }
        (changed, lines)
    }

    fn act(&mut self, act: MemberAction, changed: &mut Vec<EngineEntry>, lines: &mut Vec<String>) {
        match act {
            MemberAction::Validate(change) => {
                let read = parse_and_validate(FILE, &change.policy_text, &self.here);
                let member = self.hold.id().name.clone();
                let fault = |p: &Problem| ValidationError { member: member.clone(), message: p.to_string() };
                let faults: Vec<ValidationError> = read.err().iter().flatten().map(fault).collect();
                lines.push(format!("fleet: checked change={} faults={}", change.id, faults.len()));
                self.hold.validated(self.now(), &change.id, faults);
            }
            MemberAction::Activate { version, policy_text: text } => {
                match parse_and_validate(FILE, &text, &self.here) {
                    Ok(whole) => {
                        let ruling = Rc::new(CompiledPolicy::new(whole.parsed.policy, &self.classes));
                        let before = std::mem::replace(&mut self.ruling, ruling);
                        self.shares.borrow_mut().uses(self.now(), version, whole.budgets);
                        let offered = |ruling: &CompiledPolicy, m: &EngineEntry| narrowed(ruling, m.clone()).state;
                        let other =
                            self.listed.values().filter(|m| offered(&before, m) != offered(&self.ruling, m));
                        changed.extend(other.map(|m| narrowed(&self.ruling, m.clone())));
                        self.hold.activated(version);
                        lines.push(format!("fleet: policy version={version} in use"));
                        if self.hooks.write_history {
                            let hash = text
                                .bytes()
                                .fold(0u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
                            eprintln!("history use t={:.3} v={version} hash={hash:x}", machine_clock());
                        }
                    }
                    Err(problems) => {
                        let why = one_line(&problems);
                        lines.push(format!("fleet: policy version={version} can't be used: {why}"));
                        self.hold.activation_failed(version, why);
                    }
                }
            }
        }
    }

    /// Connections that each engine may have from here, if a budget bounds them; of those that it has, `used` is the
    /// most, and `vain` tells that more were wanted.
    pub fn links(&mut self, used: usize, vain: bool) -> Option<usize> {
        let now = self.now();
        self.shares.borrow_mut().links(now, used as u64, vain).map(|most| most as usize)
    }

    /// Its part of what cold engines bear, if a budget divides that: one of how many front ends it is, and which.
    pub fn cold(&self) -> Option<(f64, u64)> {
        self.shares.borrow().cold(self.now())
    }

    /// Why nothing is admitted now, if so.
    pub fn why_not(&self) -> Option<String> {
        self.hold.blocked_reason(self.now())
    }
}

/// An engine as the policy has it offered: one that it leaves out takes nothing new, and ends what it has.
fn narrowed(ruling: &CompiledPolicy, member: EngineEntry) -> EngineEntry {
    let out = member.state == EngineState::Serving && ruling.excludes(&member.engine.0, &member.zone);
    EngineEntry { state: if out { EngineState::Draining } else { member.state }, ..member }
}
