//! A fleet of real processes with everything round it: relays on all links, engines, clients, an operator.

mod files;
mod operate;
mod seeds;
mod troubles;
mod verdict;

pub use seeds::{play_seed, play_shared_seed};

use crate::breaks::Break;
use crate::checker::{judge, Law, Summary, Version};
use crate::client::Client;
use crate::engine::Engine;
use crate::faults::{plan, plan_shared, Fault, Step};
use crate::history::{History, What};
use crate::now;
use crate::operations::{check_operations, OperationSummary, StepKey, TaskRules};
use crate::process::Process;
use crate::relay::{Relay, Way};
use crate::target::Target;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// While a file of this name is in a decider's folder, its fsync fails (`power` in `BEAMGAP_TRIAL`).
const FSYNC_FAILS: &str = "fsync-fails";

/// Deciders of a fleet.
pub const SEATS: usize = 3;

/// How a fleet is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Members; the first three decide.
    pub members: usize,
    /// What each member is given by `BEAMGAP_TRIAL`; the last holds for all further ones.
    pub trials: Vec<String>,
    /// The fleet's bound on a switch, in milliseconds.
    pub switch_bound: u64,
    /// How long a right lasts, in milliseconds.
    pub right: u64,
    /// How long members have to check a change, in milliseconds.
    pub check: u64,
    /// Each client's pause between requests.
    pub every: Duration,
    /// Engines.
    pub engines: u32,
    /// How long each takes for a request; the last holds for all further ones.
    pub takes: Vec<Duration>,
    /// The work that clients tell of their requests.
    pub work: Duration,
    /// What stands in each of the policies beside what is theirs.
    pub common: String,
    /// Whether members form a fleet; if not, the policy is off.
    pub fleet: bool,
    /// Whether members write down what they admit.
    pub history: bool,
    /// A member whose configuration has another name for the second class.
    pub odd: Option<usize>,
    /// `task` blocks of the operator's file; `TARGET` stands for where the target listens.
    pub tasks: String,
    /// Another program, which all members but the first run.
    pub older: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            members: 5,
            trials: vec![String::new()],
            switch_bound: 600,
            right: 1800,
            check: 600,
            every: Duration::from_millis(15),
            engines: 3,
            takes: vec![Duration::from_millis(4)],
            work: Duration::from_millis(20),
            common: String::new(),
            fleet: true,
            history: true,
            odd: None,
            tasks: String::new(),
            older: std::env::var_os("RIG_OLDER").map(PathBuf::from),
        }
    }
}

/// Policies that operators propose, by number.
pub const POLICIES: [&str; 7] = [
    "form = 1\nclass \"delivery-load\" {\n  refused = true\n}\n",
    "form = 1\nengine \"s-00000001\" {\n  left_out = true\n}\n",
    "form = 1\nclass \"lookup\" {\n  attempts = 1\n}\n",
    "form = 1\naccount \"leinster\" {\n  share = \"50%\"\n}\n",
    "form = 1\nengine \"s-00000002\" {\n  left_out = true\n}\nclass \"lookup\" {\n  attempts = 2\n}\n",
    "form = 1\ntask \"feed\" {\n  forbidden = true\n}\n",
    "form = 1\n",
];

/// A fleet.
pub struct World {
    /// Its members.
    pub members: Vec<Process>,
    /// What happened.
    pub history: History,
    /// Its clients, one for each member.
    pub clients: Vec<Client>,
    /// Its engines.
    pub engines: Vec<Engine>,
    /// What its tasks act on.
    pub target: Target,
    /// The fleet's name, unlike that of any other world.
    pub name: String,
    binary: PathBuf,
    folder: PathBuf,
    relays: BTreeMap<(usize, usize), Relay>,
    operators: Vec<std::thread::JoinHandle<()>>,
    options: Options,
    keep: bool,
}

impl World {
    /// Starts a fleet in a folder of its own, founds it, and has clients ask.
    pub fn start(binary: &Path, name: &str, options: Options) -> Result<World, String> {
        let folder =
            std::env::temp_dir().join(format!("beamgap-fault-harness-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder); // Of an earlier run, if at all.
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let history = History::default();
        let failed = |e: std::io::Error| e.to_string();
        let takes = |n: u32| {
            let takes = options.takes.get(n as usize - 1).or(options.takes.last()).copied();
            takes.unwrap_or(Duration::from_millis(4))
        };
        let engines = (1..=options.engines).map(|n| Engine::start(n, takes(n), history.clone()));
        let engines = engines.collect::<Result<Vec<_>, _>>().map_err(failed)?;
        let mut relays = BTreeMap::new();
        // The operator's own links are those of one more member.
        for from in 0..=options.members {
            for seat in (0..SEATS).filter(|seat| *seat != from) {
                relays.insert((from, seat), Relay::start().map_err(failed)?);
            }
        }
        let target = Target::start(history.clone())?;
        let mut world = World {
            members: Vec::new(),
            target,
            history,
            clients: Vec::new(),
            engines,
            name: name.to_owned(),
            binary: binary.to_owned(),
            folder,
            relays,
            operators: Vec::new(),
            options,
            keep: false,
        };
        for me in 0..world.options.members {
            let process = world.write(me).map_err(failed)?;
            world.members.push(process);
        }
        let block = world.block(world.options.members);
        let tasks = world.options.tasks.replace("TARGET", &format!("http://{}", world.target.address));
        let block = format!("{}{tasks}}}\n", block.trim_end().trim_end_matches('}'));
        std::fs::write(world.folder.join("operator.hcl"), block).map_err(failed)?;
        for (number, text) in POLICIES.iter().enumerate() {
            std::fs::write(world.policy(number), format!("{text}{}", world.options.common))
                .map_err(failed)?;
        }
        for me in 0..world.options.members {
            let Options { every, work, .. } = world.options;
            let client = Client::start(&format!("n{me}"), me as u64 + 1, every, work, world.history.clone());
            world.clients.push(client);
        }
        for me in 0..world.options.members {
            world.begin(me)?;
        }
        if !world.options.fleet {
            return Ok(world);
        }
        // On a machine that is busy a decider may answer late; to found again is harmless.
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let founded = world.operate(&["fleet", "found"]);
            let why = String::from_utf8_lossy(&founded.stderr).into_owned();
            if founded.status.success() || why.contains("founded already") {
                break;
            }
            if Instant::now() > until {
                return Err(format!("not founded: {why}"));
            }
        }
        if world.options.history {
            world.all_admit(0, Duration::from_secs(30))?;
        } else {
            world.wait("all hold a right", Duration::from_secs(30), |w| {
                let status = w.status();
                let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
                members.len() == w.options.members && members.iter().all(|m| m["right"] == "long")
            })?;
        }
        Ok(world)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.clients.iter().for_each(Client::stop);
        self.members.iter_mut().for_each(Process::kill);
        self.relays.values().for_each(Relay::stop);
        self.engines.iter().for_each(Engine::stop);
        self.target.stop();
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.folder); // It is in the system's temporary folder.
        }
    }
}
