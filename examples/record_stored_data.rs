//! Writes the data folder that `tests/stored_data.rs` opens: `cargo run --example record_stored_data -- FOLDER`.
//!
//! One voter runs the consensus as a front end does. Its commands are submitted one by one, so that the state at the end
//! is known: more than 500 entries, of which a snapshot is taken, and some more behind it.

use beamgap::fleet::machine::{decode, encode, Answer, FleetMachine, Question};
use beamgap::fleet::trial::Trial;
use beamgap_budgets::Plant as BudgetPlant;
use beamgap_council::disk::{Files, SharedDisk};
use beamgap_council::link::{Answer as PeerAnswer, Question as PeerQuestion};
use beamgap_council::store::Store;
use beamgap_council::{Caller, Council, Machine, Plants, Settings};
use beamgap_leases::spec::{Spec, Unknown, When};
use beamgap_leases::state::{Command as TaskCommand, Outcome};
use beamgap_leases::Plant as LeasePlant;
use beamgap_policy::switch::state::{Change, Command};
use beamgap_policy::switch::{Fault, Plant, Times};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const FIRST: &str = r#"form = 1

budget "all" {
  limits = "requests"
  rate   = 300
  burst  = 60
}

budget "munster" {
  limits  = "open"
  account = "munster"
  most    = 12
  longest = "26 s"
}
"#;

const SECOND: &str = r#"form = 1

budget "all" {
  limits = "requests"
  rate   = 500
}
"#;

/// The fleet's state machine, whose commands come from this program alone.
struct Scripted(FleetMachine);

impl Machine for Scripted {
    fn blank(&mut self) {
        self.0.blank();
    }
    fn apply(&mut self, command: &[u8]) {
        self.0.apply(command);
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        self.0.restore(snapshot)
    }
    fn role(&mut self, now: f64, leads: bool) {
        self.0.role(now, leads);
    }
    fn answer(&mut self, now: f64, question: &[u8]) -> (Vec<u8>, Vec<Vec<u8>>) {
        match question.split_first() {
            Some((0, command)) => (Vec::new(), vec![command.to_vec()]),
            Some((_, question)) => self.0.answer(now, question),
            None => (Vec::new(), Vec::new()),
        }
    }
    fn tick(&mut self, _: f64) -> Vec<Vec<u8>> {
        Vec::new()
    }
}

struct Fleet {
    runtime: tokio::runtime::Runtime,
    caller: Caller,
}

impl Fleet {
    fn submit(&mut self, tag: u8, bytes: &[u8]) -> Vec<u8> {
        let question = [&[tag], bytes].concat();
        for _ in 0..20 {
            let answer = self.runtime.block_on(self.caller.call(question.clone(), Duration::from_secs(2)));
            if let Ok(answer) = answer {
                return answer;
            }
        }
        panic!("nobody leads");
    }
    fn policy(&mut self, command: Command) {
        self.submit(0, &encode(&command));
    }
    fn task(&mut self, command: TaskCommand) {
        self.submit(1, &encode(&Question::Task(command)));
    }
}

fn change(id: &str, text: Option<&str>) -> Command {
    let (id, by, text) = (id.to_owned(), "ada".to_owned(), text.map(str::to_owned));
    Command::Propose(Change { id, by, text, base: None })
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder"));
    let disk: SharedDisk = Arc::new(Files);
    if folder.exists() {
        // The second run copies all into a fresh file, as each start does, and closes it.
        let store = Store::open(&folder, &disk, true).unwrap();
        println!("{:?}, {} entries", store.marker().unwrap(), store.entries(..).unwrap().len());
        return;
    }
    let times = Times { right: 600_000.0, ..Times::default() };
    let machine = FleetMachine::new(times, 1, Plant::None, LeasePlant::None, BudgetPlant::None);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let settings = Settings {
        fleet: "cedar".to_owned(),
        member: "front-1".to_owned(),
        deciders: [(1, address)].into(),
        seat: Some(1),
        folder: Some(folder),
        seed: 7,
        clock: Trial::default().clock(),
        plants: Plants::default(),
    };
    let caller = Caller::new(&settings, &settings.deciders, Arc::default());
    let machine = Arc::new(Mutex::new(Scripted(machine)));
    let council = Council::start(settings, Some(listener), disk, machine.clone(), || {}).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut fleet = Fleet { runtime, caller };
    std::thread::sleep(Duration::from_secs(1));
    let found = fleet.caller.ask(1, &PeerQuestion::Found, Duration::from_secs(10));
    assert!(matches!(fleet.runtime.block_on(found).unwrap(), PeerAnswer::Done));

    fleet.policy(Command::Found(times));
    for (member, life) in [("front-1", 0x11), ("front-2", 0x22), ("front-2", 0x23)] {
        fleet.policy(Command::Join { member: member.to_owned(), life, form: 1 });
    }
    fleet.policy(Command::Leave { member: "front-2".to_owned(), life: 0x22 });
    fleet.policy(change("c1", Some(FIRST)));
    fleet.policy(Command::Decide { id: "c1".to_owned() });
    fleet.policy(Command::Activate { id: "c1".to_owned() });
    fleet.policy(change("c2", Some("form = 1\nnonsense = 2\n")));
    let faults = vec![Fault { member: "front-1".to_owned(), text: "policy:2:1: unknown key".to_owned() }];
    fleet.policy(Command::TurnDown { id: "c2".to_owned(), faults });

    let mut compact = Spec::new("compact", When::Asked, "http://127.0.0.1:9/compact");
    (compact.steps, compact.lease, compact.unknown) = (4, 30_000.0, Unknown::Skip);
    let mut sweep = Spec::new("sweep", When::At { minute: 150, window: 60 }, "http://127.0.0.1:9/sweep");
    (sweep.steps, sweep.zones) = (2, vec!["z1".to_owned()]);
    let watch = Spec::new("watch", When::Always, "http://127.0.0.1:9/watch");
    fleet.task(TaskCommand::Define(vec![compact, sweep, watch]));
    let front = |n: &str, life: u64| (n.to_owned(), life);
    fleet.task(TaskCommand::Start { task: "compact".to_owned(), run: 1, day: 0 });
    fleet.task(TaskCommand::Grant { task: "compact".to_owned(), who: front("front-1", 0x11) });
    fleet.task(TaskCommand::Begin { task: "compact".to_owned(), token: 1, run: 1, step: 0 });
    fleet.task(TaskCommand::Record { task: "compact".to_owned(), token: 1, step: 0, outcome: Outcome::Done });
    for i in 0..540 {
        fleet.task(TaskCommand::Pause { task: "sweep".to_owned(), paused: i % 2 == 0 });
    }
    std::thread::sleep(Duration::from_secs(2));

    // Behind the snapshot.
    fleet.task(TaskCommand::Begin { task: "compact".to_owned(), token: 1, run: 1, step: 1 });
    fleet.task(TaskCommand::End { task: "compact".to_owned(), token: 1 });
    fleet.task(TaskCommand::Grant { task: "watch".to_owned(), who: front("front-1", 0x11) });
    fleet.task(TaskCommand::Grant { task: "compact".to_owned(), who: front("front-2", 0x23) });
    fleet.task(TaskCommand::Begin { task: "compact".to_owned(), token: 3, run: 1, step: 2 });
    let why = "connection refused".to_owned();
    let never = Outcome::NeverRan(why);
    fleet.task(TaskCommand::Record { task: "compact".to_owned(), token: 3, step: 2, outcome: never });
    fleet.task(TaskCommand::Begin { task: "compact".to_owned(), token: 3, run: 1, step: 2 });
    fleet.task(TaskCommand::Start { task: "sweep".to_owned(), run: 1, day: 20_000 });
    fleet.task(TaskCommand::Pause { task: "sweep".to_owned(), paused: true });
    fleet.policy(change("c3", Some(SECOND)));
    fleet.policy(Command::TakeBack { id: "c3".to_owned() });
    fleet.policy(change("c4", Some(SECOND)));
    std::thread::sleep(Duration::from_millis(500));

    let tasks = fleet.submit(1, &encode(&Question::Tasks(None)));
    println!("{:#?}", decode::<Answer>(&tasks));
    let status = fleet.submit(1, &encode(&Question::Status));
    println!("{:#?}", decode::<Answer>(&status));
    println!("{:#?}", council.status());
    std::fs::write("tests/stored_data/state.bin", machine.lock().unwrap().snapshot()).unwrap();
}
