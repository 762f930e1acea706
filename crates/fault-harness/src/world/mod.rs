//! A fleet of real processes in its test environment.
//! The environment consists of a relay on each link, fake engines, clients, a fake target of tasks and operators' commands.

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

/// Name of a flag file: while the file exists in a voter's data folder, every fsync of the voter fails.
/// Only processes with `power` in `BEAMGAP_TRIAL` check for the file.
const FSYNC_FAILS: &str = "fsync-fails";

/// Number of voters of a fleet.
pub const SEATS: usize = 3;

/// Configuration of a fleet under test.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of members; the first three are voters.
    pub members: usize,
    /// Injected bugs and clock errors for `BEAMGAP_TRIAL`, one entry per member; the last entry applies to all further ones.
    pub trials: Vec<String>,
    /// Maximum time in which admissions under two policy versions may overlap, in milliseconds.
    pub switch_bound: u64,
    /// Duration of a member's admission lease, in milliseconds.
    pub right: u64,
    /// Time limit for the members' validation of a policy change, in milliseconds.
    pub check: u64,
    /// Interval between two requests of each client.
    pub every: Duration,
    /// Number of engines.
    pub engines: u32,
    /// Execution time of a request at each engine; the last entry applies to all further engines.
    pub takes: Vec<Duration>,
    /// Estimated execution time that clients state in their requests.
    pub work: Duration,
    /// Text that is appended to each of the [`POLICIES`].
    pub common: String,
    /// Whether members form a fleet; without a fleet, members apply no policy.
    pub fleet: bool,
    /// Whether members write `history` lines for the history checkers.
    pub history: bool,
    /// Index of a member whose configuration names the second class differently, so that it rejects policies for the class.
    pub odd: Option<usize>,
    /// `task` blocks of the operator's file; `TARGET` is replaced by the URL of the fake target.
    pub tasks: String,
    /// Path of another build of the program that all members except the first run, for tests with mixed versions.
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

/// Policies that operators propose; plans of faults refer to them by index.
pub const POLICIES: [&str; 7] = [
    "form = 1\nclass \"delivery-load\" {\n  refused = true\n}\n",
    "form = 1\nengine \"s-00000001\" {\n  left_out = true\n}\n",
    "form = 1\nclass \"lookup\" {\n  attempts = 1\n}\n",
    "form = 1\naccount \"leinster\" {\n  share = \"50%\"\n}\n",
    "form = 1\nengine \"s-00000002\" {\n  left_out = true\n}\nclass \"lookup\" {\n  attempts = 2\n}\n",
    "form = 1\ntask \"feed\" {\n  forbidden = true\n}\n",
    "form = 1\n",
];

/// A running fleet with its test environment.
pub struct World {
    /// Processes of the members.
    pub members: Vec<Process>,
    /// Events recorded so far.
    pub history: History,
    /// Fake clients, one per member.
    pub clients: Vec<Client>,
    /// Fake engines, shared by all members.
    pub engines: Vec<Engine>,
    /// Fake target of the fleet's tasks.
    pub target: Target,
    /// Name of the fleet, unique among the fleets of a test process.
    pub name: String,
    binary: PathBuf,
    folder: PathBuf,
    /// Relay of each link, by the index of the connecting member and the index of the voter.
    /// The operator's commands connect under the index after the last member.
    relays: BTreeMap<(usize, usize), Relay>,
    /// Threads that run operators' commands in the background.
    operators: Vec<std::thread::JoinHandle<()>>,
    options: Options,
    /// Whether the folder is left in place for debugging after a violation.
    keep_folder: bool,
}

impl World {
    /// Starts the processes and clients of a fleet with its files in a temporary folder, and bootstraps the fleet.
    /// Returns once every member admits requests.
    ///
    /// # Errors
    ///
    /// If a process does not start, if the bootstrap takes more than 30 s, or if members need 30 s more to be ready.
    pub fn start(binary: &Path, name: &str, options: Options) -> Result<World, String> {
        let folder =
            std::env::temp_dir().join(format!("beamgap-fault-harness-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder); // Left over from an earlier run with the same process id.
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
        // The operator's commands get relays of their own, under the index after the last member.
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
            keep_folder: false,
        };
        for me in 0..world.options.members {
            let process = world.create_member(me).map_err(failed)?;
            world.members.push(process);
        }
        let block = world.fleet_block(world.options.members);
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
        // On a busy machine a voter may answer after the command's timeout; repeating the bootstrap command is harmless.
        let deadline = Instant::now() + Duration::from_secs(30);
        loop {
            let founded = world.operate(&["fleet", "found"]);
            let why = String::from_utf8_lossy(&founded.stderr).into_owned();
            if founded.status.success() || why.contains("founded already") {
                break;
            }
            if Instant::now() > deadline {
                return Err(format!("the fleet was not bootstrapped within 30 s: {why}"));
            }
        }
        if world.options.history {
            world.all_admit(0, Duration::from_secs(30))?;
        } else {
            world.wait("all members have a long admission lease", Duration::from_secs(30), |w| {
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
        if !self.keep_folder {
            let _ = std::fs::remove_dir_all(&self.folder); // A folder that remains is in the system's temporary folder.
        }
    }
}
