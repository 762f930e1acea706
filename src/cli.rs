//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A front end for a pool of query engines, and a control service for other proxies.
///
/// Without a command it serves, as `run` does.
///
/// Exit codes: 0 done or ended as asked, 1 it could not be done (a line on standard error says why), 2 the command
/// line can't be used.
#[derive(Debug, Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How to serve, where no command is given.
    #[command(flatten)]
    pub run: Run,
}

/// What can be done.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM, on the configuration that NODE_CONFIG names.
    Run(Run),
    /// Check an operator's file (.hcl) or a configuration (.json), and say what is wrong and where.
    Check(Check),
    /// What proxies are told over xDS.
    #[command(subcommand)]
    Xds(Xds),
    /// The policy of a fleet: check it, change it everywhere or nowhere, go back.
    #[command(subcommand)]
    Policy(Policy),
    /// A fleet's members and deciders.
    #[command(subcommand)]
    Fleet(Fleet),
    /// Tasks of a whole fleet, each done by one front end at a time.
    #[command(subcommand)]
    Task(Task),
}

/// Whom to ask.
#[derive(Clone, Debug, Args)]
pub struct Ask {
    /// An operator's file whose `fleet` block tells where the deciders are.
    #[arg(long, env = "BEAMGAP_OPERATOR", value_name = "FILE")]
    pub operator: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Policies.
///
/// Exit codes: 0 done, 1 turned down or taken back, 2 can't be used, 3 not known yet: ask again by the change's id.
#[derive(Debug, Subcommand)]
pub enum Policy {
    /// Check a policy's file; with a configuration, against its classes, accounts and zones.
    Check(PolicyCheck),
    /// Compare two policies by their meaning.
    Diff(PolicyDiff),
    /// Propose a policy to the fleet, and follow it until it is in force everywhere or nowhere.
    Propose(Propose),
    /// Go back to the version before the one in force; a change as any other.
    Rollback(Follow),
    /// Take a change back that is not decided yet.
    TakeBack(Outcome),
    /// What became of a change.
    Outcome(Outcome),
    /// Print the policy in force, or an earlier version.
    Show(Show),
    /// What became of all changes, oldest first.
    History(Ask),
    /// How the fleet is; the same as `fleet status`.
    Status(Ask),
}

/// What to check.
#[derive(Debug, Args)]
pub struct PolicyCheck {
    /// The policy.
    pub file: PathBuf,
    /// A front end's configuration, with the classes, accounts and zones that it knows.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// What to compare.
#[derive(Debug, Args)]
pub struct PolicyDiff {
    /// A policy.
    pub before: PathBuf,
    /// Another one.
    pub after: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// What to propose.
#[derive(Debug, Args)]
pub struct Propose {
    /// The policy.
    pub file: PathBuf,
    /// How it is followed.
    #[command(flatten)]
    pub follow: Follow,
}

/// How a change is sent, and followed to its outcome.
#[derive(Debug, Args)]
pub struct Follow {
    /// The change's id; sent twice under one id it is one change. Drawn if absent.
    #[arg(long)]
    pub id: Option<String>,
    /// Who makes it, for the history.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// How long to follow it, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub wait: u64,
    /// Whom to ask.
    #[command(flatten)]
    pub ask: Ask,
}

/// Which change.
#[derive(Debug, Args)]
pub struct Outcome {
    /// The change's id.
    pub id: String,
    /// Whom to ask.
    #[command(flatten)]
    pub ask: Ask,
}

/// Which version.
#[derive(Debug, Args)]
pub struct Show {
    /// The version; the one in force if absent.
    pub version: Option<u64>,
    /// Whom to ask.
    #[command(flatten)]
    pub ask: Ask,
}

/// Fleets.
#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Members, versions, rights, deciders and their disks.
    Status(Ask),
    /// Found a fleet, once: all deciders must be there with empty folders.
    #[command(alias = "bootstrap")]
    Found(Ask),
    /// Let a decider that lost its disk back in, or one that is new to the file.
    Readmit(Seat),
    /// Take a decider out of those that decide.
    Remove(Seat),
}

/// Tasks of the whole fleet.
#[derive(Debug, Subcommand)]
pub enum Task {
    /// Have the tasks of the operator's file be those of the fleet.
    Apply(Ask),
    /// All tasks: holder, token, time left, run, why one does not run.
    List(Ask),
    /// One task, with what was done of it.
    Show(Named),
    /// The same.
    History(Named),
    /// Begin a run.
    Run(Named),
    /// Begin no further step.
    Pause(Named),
    /// Go on after a pause or a halt.
    Resume(Named),
    /// Have its lease not be renewed: another member may hold it then.
    Release(Named),
}

/// Which task.
#[derive(Debug, Args)]
pub struct Named {
    /// Its name.
    pub name: String,
    /// Whom to ask.
    #[command(flatten)]
    pub ask: Ask,
}

/// Which decider.
#[derive(Debug, Args)]
pub struct Seat {
    /// Its seat.
    pub seat: u64,
    /// Whom to ask.
    #[command(flatten)]
    pub ask: Ask,
}

/// How to serve.
#[derive(Clone, Debug, Args)]
pub struct Run {
    /// The operator's file, in HCL. Without it, nothing listens but the platform's front.
    #[arg(long, env = "BEAMGAP_OPERATOR", value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// The form of the log on standard error.
    #[arg(long, value_enum, default_value_t, value_name = "FORM")]
    pub log_format: LogFormat,
    /// What is logged: a level (error, warn, info, debug, trace, off), or levels by part, such as `info,list=warn`.
    #[arg(long, default_value = "info,openraft=error", value_name = "LEVELS")]
    pub log: String,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines of text, with the node's name first.
    #[default]
    Text,
    /// A JSON object a line, with time, level and part.
    Json,
}

/// What to check.
#[derive(Debug, Args)]
pub struct Check {
    /// An operator's file (.hcl), or a configuration (any other name).
    pub file: PathBuf,
    /// With an operator's file: the configuration that it goes with. Then its meaning is checked too: classes,
    /// tenants, bounds, passwords.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// xDS.
#[derive(Debug, Subcommand)]
pub enum Xds {
    /// Subscribe as a proxy would, and print each change.
    Watch(Watch),
}

/// What to watch.
#[derive(Debug, Args)]
pub struct Watch {
    /// The service, as `host:port`.
    pub address: String,
    /// Speak the incremental form of the protocol instead of state of the world.
    #[arg(long)]
    pub delta: bool,
    /// Print JSON lines.
    #[arg(long)]
    pub json: bool,
    /// The name to go by. It must be no proxy's.
    #[arg(long, default_value_t = format!("beamgap-watch-{}", std::process::id()))]
    pub node: String,
    /// Refuse responses of this type (cds, eds, lds, rds, all), to see what the service makes of a NACK. May be given
    /// more than once.
    #[arg(long, value_name = "TYPE", value_parser = ["cds", "eds", "lds", "rds", "all"])]
    pub nack: Vec<String>,
    /// The text of those NACKs.
    #[arg(long, default_value = "refused by beamgap xds watch", value_name = "TEXT")]
    pub nack_text: String,
    /// End after so many responses; 0: when the stream ends.
    #[arg(long, default_value_t = 0, value_name = "N")]
    pub responses: u64,
}
