//! Policy, tasks and budgets as commands and questions of the council.

use super::document;
use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::message::{
    BudgetStatus, PollRequest as BudgetPollRequest, PollResponse as BudgetPollResponse,
};
use beamgap_budgets::spec::BudgetSpec;
use beamgap_budgets::{BudgetTimings, InjectedBug as BudgetBug};
use beamgap_council::Machine;
use beamgap_fleet_types::MemberId;
use beamgap_leases::lead::{self, Lead as LeaseLead};
use beamgap_leases::state::{Command as TaskCommand, State as Tasks, Task};
use beamgap_leases::{Clocks, Plant as LeasePlant, Token};
use beamgap_policy::switch::lead::Lead;
use beamgap_policy::switch::state::{Change, Command, Outcome, Record, State};
use beamgap_policy::switch::{Ask, Mark, Plant, Reply, Times, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// What is asked of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A member renews its right.
    Renew(Ask),
    /// An operator proposes a change.
    Propose(Change),
    /// An operator takes one back.
    TakeBack(String),
    /// What became of a change?
    Outcome(String),
    /// How the fleet is.
    Status,
    /// What became of changes.
    History,
    /// The text of a version; of the one in force if none is named.
    Text(Option<Version>),
    /// A member renews its right and all its leases, and has these commands agreed on.
    Both(Ask, lead::Ask, Vec<TaskCommand>),
    /// An operator has something agreed on of a task.
    Task(TaskCommand),
    /// An operator has a task's lease not be renewed any more.
    Release(String),
    /// How tasks stand: all, without their records, or one with it.
    Tasks(Option<String>),
    /// As [`Question::Both`], where the policy in use has budgets.
    All(Ask, lead::Ask, Vec<TaskCommand>, BudgetPollRequest),
    /// How budgets are divided.
    Budgets,
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To a renewal.
    Renewed(Reply),
    /// Taken: ask for its outcome.
    Taken,
    /// What became of a change, as far as it is known, and how many members still stand under the version before.
    Outcome(Option<Outcome>, usize),
    /// How the fleet is.
    Status(Box<Status>),
    /// Changes, oldest first.
    History(Vec<Record>),
    /// A version's text.
    Text(Option<(Version, String)>),
    /// The question can't be read: it comes from another program.
    Unreadable,
    /// To a renewal of both.
    Both(Reply, lead::Reply),
    /// Tasks, with the milliseconds since each one's lease was renewed.
    Tasks(Vec<(Task, Option<f64>)>),
    /// To a renewal of all.
    All(Reply, lead::Reply, BudgetPollResponse),
    /// Budgets as they are divided.
    Budgets(Vec<BudgetStatus>),
}

/// How the fleet is, as its leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The version in force.
    pub version: Version,
    /// The change under way: id, who asked, whether it is decided.
    pub pending: Option<(String, String, bool)>,
    /// Its figures of time.
    pub times: Option<Times>,
    /// Its members.
    pub members: Vec<Member>,
}

/// A member, as the leader last heard of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its life.
    pub life: u64,
    /// The version that it has.
    pub version: Option<Version>,
    /// What its right was worth when it last asked.
    pub holds: Option<Mark>,
    /// How long ago that was, in milliseconds; none if not since this leader leads.
    pub heard_ms: Option<f64>,
    /// Why it admits nothing, if so.
    pub why_not: Option<String>,
    /// Its note.
    pub note: String,
}

/// Encodes what goes over the council.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Such a value always has a form; an empty one is read by nobody.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The other way.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// What a task's command begins with in the log: no command of the policy does.
const TASK: u8 = 0xff;

fn of_task(command: &TaskCommand) -> Vec<u8> {
    [vec![TASK], encode(command)].concat()
}

/// The policy and the tasks, as the council's machine.
#[derive(Debug)]
pub struct FleetMachine {
    state: State,
    lead: Lead,
    times: Times,
    tasks: Tasks,
    leases: LeaseLead,
    /// The budgets of a version, as its text says.
    budgets: (Option<Version>, Vec<BudgetSpec>),
    division: BudgetLeader,
}

/// The members that the fleet has agreed on.
fn member_ids(state: &State) -> BTreeMap<MemberId, u64> {
    let member =
        |((name, incarnation), form): (&(String, u64), &u64)| (MemberId::new(name, *incarnation), *form);
    state.members.iter().map(member).collect()
}

impl FleetMachine {
    /// One with nothing agreed on yet; `times` are those that a fleet is founded with.
    /// The seed is unlike that of any other life.
    pub fn new(
        times: Times,
        seed: u64,
        plant: Plant,
        leases: LeasePlant,
        budgets: BudgetBug,
    ) -> FleetMachine {
        let clocks = Clocks { drift: times.drift, ..Clocks::default() };
        let leases = LeaseLead::new(clocks, leases);
        let lead = Lead::planted(plant);
        let division = BudgetLeader::new(seed, BudgetTimings::for_lease(times.right, times.drift), budgets);
        let (state, tasks, budgets) = (State::default(), Tasks::default(), (None, Vec::new()));
        FleetMachine { state, lead, times, tasks, leases, budgets, division }
    }

    fn tick_budgets(&mut self, now: f64) {
        let members = member_ids(&self.state);
        let agreed = AgreedState { version: self.state.version(), specs: &self.budgets.1, members: &members };
        self.division.tick(now, &agreed);
    }

    /// Reads the budgets of the version in force, if they are not those that were read last.
    fn read_budgets(&mut self) {
        let version = self.state.version();
        if self.budgets.0 != Some(version) {
            let read = document::read("policy", self.state.text()).ok();
            self.budgets = (Some(version), read.map(|read| read.budgets).unwrap_or_default());
            let times = self.state.times.unwrap_or(self.times);
            self.division.set_timings(BudgetTimings::for_lease(times.right, times.drift));
        }
    }

    fn renew(&mut self, now: f64, ask: &Ask, lease: &lead::Ask) -> (Reply, lead::Reply, Vec<Command>) {
        let (reply, changes) = self.lead.answer(now, &self.state, ask);
        // Only members hold leases: who is none yet is told so by the policy's answer.
        let joined =
            lease.who == (ask.member.clone(), ask.life) && self.state.members.contains_key(&lease.who);
        let told = if joined { self.leases.answer(now, &self.tasks, lease) } else { lead::Reply::default() };
        (reply, told, changes)
    }

    /// Holds back the tasks that the policy in force forbids; the same at all deciders, as the text is.
    fn forbid(&mut self) {
        let read = document::read("policy", self.state.text()).ok();
        let names = read.map(|read| read.read.policy.forbidden.into_iter().collect()).unwrap_or_default();
        self.tasks.apply(&TaskCommand::Forbid(names));
    }

    /// What a member may have agreed on: of leases that are its own.
    fn own(&self, ask: &lead::Ask, command: &TaskCommand) -> bool {
        let holds = |task: &str, token: Token| {
            let lease = self.tasks.tasks.get(task).and_then(|task| task.lease.as_ref());
            lease.is_some_and(|lease| lease.token == token && lease.who == ask.who)
        };
        match command {
            TaskCommand::Begin { task, token, .. }
            | TaskCommand::Record { task, token, .. }
            | TaskCommand::End { task, token } => holds(task, *token),
            _ => false,
        }
    }

    fn told(&self, now: f64, one: Option<&str>) -> Vec<(Task, Option<f64>)> {
        let renewed = |task: &Task| task.lease.as_ref().and_then(|l| self.leases.renewed_ago(now, l.token));
        let all = self.tasks.tasks.values().filter(|task| one.is_none_or(|name| name == task.spec.name));
        let shown = |task: &Task| {
            let mut shown = task.clone();
            if one.is_none() {
                shown.record.clear();
            }
            (shown, renewed(task))
        };
        all.map(shown).collect()
    }

    fn status(&self, now: f64) -> Status {
        let member = |who: &(String, u64)| {
            let heard = self.lead.heard().get(who);
            Member {
                name: who.0.clone(),
                life: who.1,
                version: heard.and_then(|h| h.version),
                holds: heard.and_then(|h| h.holds.clone()),
                heard_ms: heard.map(|h| now - h.at),
                why_not: heard.and_then(|h| h.why_not.clone()),
                note: heard.map(|h| h.note.clone()).unwrap_or_default(),
            }
        };
        let pending = self.state.pending.as_ref().map(|p| (p.id.clone(), p.by.clone(), p.decided));
        let members = self.state.members.keys().map(member).collect();
        Status { version: self.state.version(), pending, times: self.state.times, members }
    }

    /// Members heard of within a right's time that do not have the version in force yet.
    fn behind(&self, now: f64) -> usize {
        let (version, right) = (Some(self.state.version()), self.state.times.map_or(0.0, |t| t.right));
        let behind = self.lead.heard().values().filter(|h| h.version != version && now - h.at < right);
        behind.count()
    }
}

impl Machine for FleetMachine {
    fn blank(&mut self) {
        (self.state, self.tasks, self.budgets.0) = (State::default(), Tasks::default(), None);
    }

    fn apply(&mut self, command: &[u8]) {
        if let Some(rest) = command.strip_prefix(&[TASK]) {
            match decode::<TaskCommand>(rest) {
                Some(command) => {
                    self.tasks.apply(&command);
                    if matches!(command, TaskCommand::Define(_)) {
                        self.forbid();
                    }
                }
                None => {
                    tracing::error!(target: "fleet", "a task's command can't be read: update this program")
                }
            }
            return;
        }
        match decode::<Command>(command) {
            Some(command) => {
                let before = self.state.version();
                self.state.apply(&command);
                if self.state.version() != before {
                    self.forbid();
                }
            }
            // A younger program's command: this one can't follow, and says so rather than guess.
            None => tracing::error!(target: "fleet", "a command can't be read: update this program"),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // An older program reads the policy, and leaves what follows.
        [encode(&self.state), encode(&self.tasks)].concat()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let form = "a snapshot of another form: update this program";
        let (state, rest) = postcard::take_from_bytes(snapshot).map_err(|_| form)?;
        let tasks = if rest.is_empty() { Tasks::default() } else { decode(rest).ok_or(form)? };
        (self.state, self.tasks, self.budgets.0) = (state, tasks, None);
        Ok(())
    }

    fn role(&mut self, now: f64, leads: bool) {
        self.lead.role(now, leads);
        self.leases.role(now, leads);
        self.division.set_leadership(now, leads);
    }

    fn answer(&mut self, now: f64, question: &[u8]) -> (Vec<u8>, Vec<Vec<u8>>) {
        let mut commands = Vec::new();
        let mut more: Vec<TaskCommand> = Vec::new();
        let answer = match decode::<Question>(question) {
            Some(Question::Renew(ask)) => {
                let (reply, more) = self.lead.answer(now, &self.state, &ask);
                commands = more;
                Answer::Renewed(reply)
            }
            Some(Question::Both(ask, lease, wants)) => {
                more.extend(wants.into_iter().filter(|want| self.own(&lease, want)));
                let (reply, told, changes) = self.renew(now, &ask, &lease);
                commands = changes;
                Answer::Both(reply, told)
            }
            Some(Question::All(ask, lease, wants, budget)) => {
                more.extend(wants.into_iter().filter(|want| self.own(&lease, want)));
                let (reply, told, changes) = self.renew(now, &ask, &lease);
                commands = changes;
                self.read_budgets();
                let own = budget.member == MemberId::new(ask.member, ask.life);
                let members = member_ids(&self.state);
                let agreed =
                    AgreedState { version: self.state.version(), specs: &self.budgets.1, members: &members };
                let shares = match own {
                    true => self.division.handle_poll(now, &agreed, &budget),
                    false => BudgetPollResponse::default(),
                };
                Answer::All(reply, told, shares)
            }
            Some(Question::Budgets) => {
                self.read_budgets();
                self.tick_budgets(now);
                Answer::Budgets(self.division.status())
            }
            Some(Question::Task(command)) => {
                more.push(command);
                Answer::Taken
            }
            Some(Question::Release(task)) => {
                let lease = self.tasks.tasks.get(&task).and_then(|task| task.lease.as_ref());
                lease.into_iter().for_each(|lease| self.leases.release(now, lease.token));
                Answer::Taken
            }
            Some(Question::Tasks(one)) => Answer::Tasks(self.told(now, one.as_deref())),
            Some(Question::Propose(change)) => {
                commands.push(Command::Propose(change));
                Answer::Taken
            }
            Some(Question::TakeBack(id)) => {
                commands.push(Command::TakeBack { id });
                Answer::Taken
            }
            Some(Question::Outcome(id)) => Answer::Outcome(self.state.outcome(&id), self.behind(now)),
            Some(Question::Status) => Answer::Status(Box::new(self.status(now))),
            Some(Question::History) => Answer::History(self.state.history.iter().cloned().collect()),
            Some(Question::Text(version)) => {
                let version = version.unwrap_or(self.state.version());
                let kept = self.state.versions.iter().find(|(v, _)| *v == version);
                let text = kept.map(|(v, text)| (*v, text.clone()));
                let empty = (version == 0).then(|| (0, beamgap_policy::switch::state::EMPTY.to_owned()));
                Answer::Text(text.or(empty))
            }
            None => Answer::Unreadable,
        };
        (encode(&answer), commands.iter().map(encode).chain(more.iter().map(of_task)).collect())
    }

    fn tick(&mut self, now: f64) -> Vec<Vec<u8>> {
        if self.state.times.is_none() {
            return vec![encode(&Command::Found(self.times))];
        }
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).ok();
        let minute = since_1970.map(|time| time.as_secs() / 60);
        let policy = self.lead.tick(now, &self.state);
        let tasks = self.leases.tick(now, minute, &self.tasks);
        self.read_budgets();
        self.tick_budgets(now);
        policy.iter().map(encode).chain(tasks.iter().map(of_task)).collect()
    }
}
