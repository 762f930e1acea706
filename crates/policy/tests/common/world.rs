//! The world that is recorded: a leader, members that fail, a log that loses commands, operators.

use super::encoding::Encoding;
use super::random::Random;
use beamgap_policy::document::{read, TEXT_MOST};
use beamgap_policy::rollout::leader::Lead;
use beamgap_policy::rollout::member::{Act, Hold};
use beamgap_policy::rollout::state::{Change, Command, Outcome, State};
use beamgap_policy::rollout::{Ask, Fault, Plant, Reply, Times};
use beamgap_policy::rules::{Meter, Ruling};

const MEMBERS: usize = 5;
const CLASSES: [&str; 3] = ["lookup", "report", "batch"];
const ACCOUNTS: [&str; 3] = ["leinster", "munster", "ulster"];
const RULES: &str = "form = 1\nadmission {\n  open_most = 40\n}\nclass \"lookup\" {\n  rate = 30\n  attempts = 2\n}\n\
    class \"batch\" {\n  refused = true\n}\naccount \"leinster\" {\n  share = \"30%\"\n}\nzone \"a\" {\n  weight = \"60%\"\n}\n\
    engine \"e-3\" {\n  left_out = true\n}\n";

/// How often something happened in a run.
#[derive(Default)]
pub struct Counts {
    pub active: usize,
    pub rejected: usize,
    pub withdrawn: usize,
    pub leaderships: usize,
    pub restarts: usize,
    pub removals: usize,
    pub unusable: usize,
    pub admitted: usize,
    pub refused: usize,
    pub last_version: u64,
}

struct Member {
    hold: Hold,
    incarnation: u64,
    rate: f64,
    silent_until: f64,
    replies: Vec<Reply>,
    /// Actions that are not done yet.
    todo: Vec<Act>,
}

pub struct World {
    random: Random,
    now: f64,
    state: State,
    lead: Lead,
    plant: Plant,
    /// Few failures and many changes: so many versions that old ones are dropped.
    calm: bool,
    members: Vec<Member>,
    asks: Vec<(usize, Ask)>,
    uncommitted: Vec<Command>,
    proposed: usize,
    steps: usize,
    meter: Meter,
    ruling: Ruling,
    pub counts: Counts,
}

impl World {
    pub fn new(seed: u64) -> World {
        // The last seeds run with a bug injected: its code is recorded as well.
        let plant = match seed {
            6 => Plant::EarlyActivation,
            7 => Plant::NoCatchUp,
            8 => Plant::NoWait,
            _ => Plant::None,
        };
        let mut random = Random::new(seed);
        let members = (0..MEMBERS).map(|m| Member {
            hold: Hold::new(&format!("m{m}"), 0, 1, plant),
            incarnation: 0,
            rate: 0.96 + 0.01 * random.below(9) as f64,
            silent_until: 0.0,
            replies: Vec::new(),
            todo: Vec::new(),
        });
        let members = members.collect();
        let classes: Vec<String> = CLASSES.iter().map(|class| (*class).to_owned()).collect();
        let ruling = Ruling::new(read("policy", RULES).expect("a policy").policy, &classes);
        World {
            random,
            now: 0.0,
            state: State::default(),
            lead: Lead::planted(plant),
            plant,
            calm: matches!(seed, 4 | 5),
            members,
            asks: Vec::new(),
            uncommitted: Vec::new(),
            proposed: 0,
            steps: 0,
            meter: Meter::default(),
            ruling,
            counts: Counts::default(),
        }
    }

    /// Lets a little time pass; gives the hash of all that came out.
    pub fn step(&mut self) -> String {
        let mut out = Encoding::default();
        self.steps += 1;
        self.now += self.random.below(25) as f64 + 0.125;
        if !self.calm && self.random.one_in(400) {
            self.now += self.random.below(3000) as f64;
        }
        self.operate();
        self.disturb();
        self.crowd(&mut out);
        self.tick(&mut out);
        self.poll(&mut out);
        self.respond(&mut out);
        self.receive(&mut out);
        self.act(&mut out);
        self.commit(&mut out);
        self.admit(&mut out);
        self.observe(&mut out);
        out.line()
    }

    fn times(&self) -> Times {
        Times { switch_bound: 300.0, right: 900.0, check: 400.0, drift: 0.05 }
    }

    /// Operators ask for changes, also for such as can't be.
    fn operate(&mut self) {
        if self.steps == 3 || self.random.one_in(500) {
            let times = self.times();
            self.state.apply(&Command::Found(times));
        }
        let interval = if self.calm { 8 } else { 45 };
        if self.random.one_in(interval) {
            let change = self.change();
            self.uncommitted.push(Command::Propose(change));
        }
        if self.random.one_in(600) {
            for _ in 0..40 {
                let change = self.change();
                self.uncommitted.push(Command::Propose(change));
            }
        }
        if self.calm && !self.random.one_in(10) {
            return;
        }
        let id = format!("c{}", self.proposed.saturating_sub(self.random.below(2)));
        if self.random.one_in(60) {
            self.uncommitted.push(Command::TakeBack { id });
        } else if self.random.one_in(300) {
            self.uncommitted.push(Command::Activate { id });
        } else if self.random.one_in(300) {
            self.uncommitted.push(Command::Decide { id });
        } else if self.random.one_in(300) {
            let fault = |n: usize| Fault { member: format!("m{n}"), text: format!("fault {n}") };
            self.uncommitted.push(Command::TurnDown { id, faults: (0..60).map(fault).collect() });
        }
    }

    fn change(&mut self) -> Change {
        self.proposed += 1;
        if self.calm && !self.random.one_in(6) {
            let text = Some(format!("form = 1 # {}\n", self.proposed));
            return Change { id: format!("c{}", self.proposed), by: "operator".to_owned(), text, base: None };
        }
        let id = match self.random.below(12) {
            0 => format!("c{}", self.proposed.saturating_sub(3)),
            1 => "no good id".to_owned(),
            _ => format!("c{}", self.proposed),
        };
        let by = if self.random.one_in(10) { "o".repeat(100) } else { "operator".to_owned() };
        let text = match self.random.below(10) {
            0 | 1 => None,
            2 => Some("#".repeat(TEXT_MOST + 1)),
            _ => Some(format!("form = 1 # {}\n", self.proposed)),
        };
        let base = match self.random.below(6) {
            0 => None,
            1 => Some(self.state.version() + 1),
            _ => Some(self.state.version()),
        };
        Change { id, by, text, base }
    }

    /// Leaders change, members restart, fall silent, are taken off; strangers come.
    fn disturb(&mut self) {
        if self.steps == 1 || self.random.one_in(if self.calm { 1500 } else { 250 }) {
            self.lead.role(self.now, !self.lead.leads());
            self.uncommitted.clear();
            self.counts.leaderships += usize::from(self.lead.leads());
        } else if !self.lead.leads() && self.random.one_in(15) {
            self.lead.role(self.now, true);
            self.counts.leaderships += 1;
        }
        if self.calm {
            return;
        }
        let m = self.random.below(MEMBERS);
        if self.random.one_in(300) {
            let member = &mut self.members[m];
            member.incarnation += 1;
            member.hold = Hold::new(&format!("m{m}"), member.incarnation, 1, self.plant);
            member.replies.clear();
            member.todo.clear();
            self.counts.restarts += 1;
        }
        if self.random.one_in(200) {
            self.members[m].silent_until = self.now + self.random.below(6000) as f64;
        }
        if self.random.one_in(900) {
            self.members[m].silent_until = self.now + 20_000.0;
        }
        if self.random.one_in(700) {
            let member = format!("m{m}");
            self.uncommitted.push(Command::Leave { member, life: self.members[m].incarnation });
        }
        if self.random.one_in(60) {
            let own = self.now * self.members[m].rate;
            self.members[m].hold.hasten(own);
        }
    }

    /// More members join than a fleet takes.
    fn crowd(&mut self, out: &mut Encoding) {
        if self.steps == 2450 {
            for n in 0..1010 {
                self.state.apply(&Command::Join { member: format!("s{n}"), life: n, form: 1 });
            }
            out.put(0x41, &self.state);
            for n in 0..1005 {
                self.state.apply(&Command::Leave { member: format!("s{n}"), life: n });
            }
        }
    }

    fn tick(&mut self, out: &mut Encoding) {
        if self.random.one_in(3) {
            let commands = self.lead.tick(self.now, &self.state);
            self.submit(out, commands);
        }
    }

    fn submit(&mut self, out: &mut Encoding, commands: Vec<Command>) {
        for command in commands {
            out.put(0x40, &command);
            self.uncommitted.push(command);
        }
    }

    fn poll(&mut self, out: &mut Encoding) {
        for m in 0..MEMBERS {
            let member = &mut self.members[m];
            if self.now < member.silent_until {
                continue;
            }
            let own = self.now * member.rate;
            let note = format!("admitted={}", self.counts.admitted);
            let Some(ask) = member.hold.ask(own, &note) else { continue };
            out.put(0x50, &ask);
            match self.random.below(if self.calm { 200 } else { 20 }) {
                0 => {}
                1 => {
                    member.hold.no_answer(own, ask.round);
                    member.hold.no_answer(own, ask.round);
                }
                2 => {
                    self.asks.push((m, ask.clone()));
                    self.asks.push((m, ask));
                }
                _ => self.asks.push((m, ask)),
            }
        }
        if self.random.one_in(150) {
            let name = if self.random.one_in(2) { "a name that is none" } else { "stranger" };
            let ask = Hold::new(name, 9, 1, self.plant).ask(self.now, "");
            self.asks.extend(ask.map(|ask| (0, ask)));
        }
    }

    fn respond(&mut self, out: &mut Encoding) {
        while !self.asks.is_empty() && !self.random.one_in(4) {
            let i = self.random.below(self.asks.len());
            let (m, ask) = self.asks.remove(i);
            if !self.lead.leads() {
                let own = self.now * self.members[m].rate;
                self.members[m].hold.no_answer(own, ask.round);
                continue;
            }
            let (reply, commands) = self.lead.answer(self.now, &self.state, &ask);
            out.put(0x51, &reply);
            self.submit(out, commands);
            let copies = match self.random.below(if self.calm { 200 } else { 20 }) {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for _ in 0..copies {
                self.members[m].replies.push(reply.clone());
            }
        }
    }

    fn receive(&mut self, out: &mut Encoding) {
        for m in 0..MEMBERS {
            let own = self.now * self.members[m].rate;
            while !self.members[m].replies.is_empty() && !self.random.one_in(3) {
                let i = self.random.below(self.members[m].replies.len());
                let reply = self.members[m].replies.remove(i);
                let actions = self.members[m].hold.reply(own, reply);
                for action in actions {
                    out.put_action(&action);
                    self.members[m].todo.push(action);
                }
            }
        }
    }

    fn act(&mut self, out: &mut Encoding) {
        for m in 0..MEMBERS {
            let own = self.now * self.members[m].rate;
            while !self.members[m].todo.is_empty() && !self.random.one_in(4) {
                let member = &mut self.members[m];
                match member.todo.remove(0) {
                    Act::Use(version, _) => {
                        let unusable = self.random.one_in(25);
                        self.counts.unusable += usize::from(unusable);
                        let outcome =
                            if unusable { Err("class \"x\" is not known".to_owned()) } else { Ok(()) };
                        member.hold.used(version, outcome);
                    }
                    Act::Check(id, _) => {
                        let fault = Fault { member: format!("m{m}"), text: "line 1".to_owned() };
                        let faults = if self.random.one_in(if self.calm { 100 } else { 15 }) {
                            vec![fault]
                        } else {
                            Vec::new()
                        };
                        member.hold.checked(own, &id, faults);
                    }
                }
                out.put(0x60, &m);
            }
        }
    }

    fn commit(&mut self, out: &mut Encoding) {
        while !self.uncommitted.is_empty() && !self.random.one_in(5) {
            let command = self.uncommitted.remove(0);
            if self.random.one_in(25) {
                continue;
            }
            self.counts.removals += usize::from(matches!(command, Command::Leave { .. }));
            let last = self.state.history.back().cloned();
            self.state.apply(&command);
            if self.state.history.back() != last.as_ref() {
                match self.state.history.back().map(|record| &record.outcome) {
                    Some(Outcome::InForce(_)) => self.counts.active += 1,
                    Some(Outcome::TurnedDown(_)) => self.counts.rejected += 1,
                    Some(Outcome::TakenBack) => self.counts.withdrawn += 1,
                    _ => {}
                }
            }
            out.put(0x61, &command);
        }
    }

    /// Requests come to the first member's rules.
    fn admit(&mut self, out: &mut Encoding) {
        for _ in 0..self.random.below(3) {
            let class = self.random.below(CLASSES.len() + 1);
            let account = ACCOUNTS.get(self.random.below(ACCOUNTS.len() + 1)).copied();
            let open = self.random.below(42);
            let admission = self.meter.admit(self.now, &self.ruling, class, account, open);
            self.counts.admitted += usize::from(admission.is_ok());
            self.counts.refused += usize::from(admission.is_err());
            out.put_admission(&admission);
        }
        let engine = format!("e-{}", self.random.below(50));
        out.put(0x70, &(self.ruling.leaves_out(&engine, "a"), self.ruling.leaves_out(&engine, "b")));
    }

    fn observe(&mut self, out: &mut Encoding) {
        self.counts.last_version = self.state.version();
        out.put(0x80, &self.state);
        out.put(0x81, &(self.state.version(), self.state.text()));
        let id = format!("c{}", self.proposed.saturating_sub(self.random.below(4)));
        let outcome = self.state.outcome(&id);
        out.put(0x82, &outcome.as_ref().map(Outcome::is_final));
        out.put(0x83, &outcome);
        for member in &self.members {
            out.put_member(self.now * member.rate, &member.hold);
        }
        out.put_leader(&self.lead);
    }
}
