//! Definition of the command line. Doc comments on the items below are the help texts of the commands and options.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A front end for a pool of query engines, and a control service for other proxies.
///
/// Without a command, the program serves requests like `run`.
///
/// Exit codes: 0 success, or a graceful shutdown; 1 failure, with the reason on standard error; 2 invalid command
/// line. The commands of `policy`, `fleet` and `task` also use 2 for invalid input files, and 3 for an outcome that is
/// not known yet.
#[derive(Debug, Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// The command; `run` if absent.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Options of `run`, for a command line without a command.
    #[command(flatten)]
    pub run: Run,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve requests until SIGTERM, with the configuration file that NODE_CONFIG names.
    Run(Run),
    /// Check an operator's file (.hcl) or a configuration (.json), and report errors with their positions.
    Check(Check),
    /// Show the resources that the control service sends to proxies over xDS.
    #[command(subcommand)]
    Xds(Xds),
    /// Check, change, roll back and show the policy of a fleet. A change applies to all members or to none.
    #[command(subcommand)]
    Policy(Policy),
    /// Show a fleet's members and deciders, and change which deciders belong to the fleet.
    #[command(subcommand)]
    Fleet(Fleet),
    /// Define, show and control the tasks of a fleet. Each task runs on one front end at a time.
    #[command(subcommand)]
    Task(Task),
}

/// Options of commands that send requests to a fleet.
#[derive(Clone, Debug, Args)]
pub struct FleetArgs {
    /// An operator's file whose `fleet` block lists the addresses of the deciders.
    #[arg(long, env = "BEAMGAP_OPERATOR", value_name = "FILE")]
    pub operator: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Check, change and show policies.
///
/// Exit codes: 0 success, 1 the change was rejected or withdrawn, 2 invalid input, 3 the outcome is not known yet
/// and can be requested again by the id of the change.
#[derive(Debug, Subcommand)]
pub enum Policy {
    /// Check a policy file and, with a configuration, that the policy names only known classes, accounts and zones.
    Check(PolicyCheck),
    /// Compare the content of two policies, regardless of their formatting.
    Diff(PolicyDiff),
    /// Propose a policy to the fleet and wait until the policy is in force on all members or the change has failed.
    Propose(ProposeArgs),
    /// Propose a change back to the policy version before the one in force.
    Rollback(FollowArgs),
    /// Withdraw a change that is not decided yet.
    TakeBack(ChangeArgs),
    /// Show the outcome of a change.
    Outcome(ChangeArgs),
    /// Print the policy in force, or an earlier version.
    Show(ShowArgs),
    /// Show the outcomes of all recorded changes, oldest first.
    History(FleetArgs),
    /// Show the fleet's status; same as `fleet status`.
    Status(FleetArgs),
}

/// Arguments of `policy check`.
#[derive(Debug, Args)]
pub struct PolicyCheck {
    /// The policy file.
    pub file: PathBuf,
    /// A front end's configuration, which defines the known classes, accounts and zones.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// Arguments of `policy diff`.
#[derive(Debug, Args)]
pub struct PolicyDiff {
    /// The policy file to compare from.
    pub before: PathBuf,
    /// The policy file to compare to.
    pub after: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `policy propose`.
#[derive(Debug, Args)]
pub struct ProposeArgs {
    /// The policy file.
    pub file: PathBuf,
    /// How the change is sent and followed.
    #[command(flatten)]
    pub follow: FollowArgs,
}

/// Options of commands that send a change and follow the change to its outcome.
#[derive(Debug, Args)]
pub struct FollowArgs {
    /// Id of the change. A change that is sent again with the same id is not repeated. Generated if absent.
    #[arg(long)]
    pub id: Option<String>,
    /// Who makes the change; recorded in the history.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Maximum time to wait for the outcome, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub wait: u64,
    /// The fleet to send requests to.
    #[command(flatten)]
    pub fleet_args: FleetArgs,
}

/// Arguments of commands that refer to one change.
#[derive(Debug, Args)]
pub struct ChangeArgs {
    /// Id of the change.
    pub id: String,
    /// The fleet to send requests to.
    #[command(flatten)]
    pub fleet_args: FleetArgs,
}

/// Arguments of `policy show`.
#[derive(Debug, Args)]
pub struct ShowArgs {
    /// The policy version; the version in force if absent.
    pub version: Option<u64>,
    /// The fleet to send requests to.
    #[command(flatten)]
    pub fleet_args: FleetArgs,
}

/// Commands for a fleet's members and deciders.
#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Show the members with their policy versions and rights, and the deciders with their disks.
    Status(FleetArgs),
    /// Found a fleet. This is done once, with all deciders running and their data folders empty.
    #[command(alias = "bootstrap")]
    Found(FleetArgs),
    /// Let a decider take part again after it lost its disk, or add a decider that is new in the operator's file.
    Readmit(VoterArgs),
    /// Remove a decider from the fleet, so that it no longer counts towards the majority.
    Remove(VoterArgs),
}

/// Commands for the tasks of a fleet.
#[derive(Debug, Subcommand)]
pub enum Task {
    /// Replace the fleet's tasks with the tasks defined in the operator's file.
    Apply(FleetArgs),
    /// List all tasks, with the holder, token and remaining time of the lease, the run, and why a task does not run.
    List(FleetArgs),
    /// Show one task, with the history of its steps.
    Show(TaskArgs),
    /// Show one task, with the history of its steps; same as `show`.
    History(TaskArgs),
    /// Start a run of a task.
    Run(TaskArgs),
    /// Pause a task: no further step starts.
    Pause(TaskArgs),
    /// Resume a task that was paused or has halted.
    Resume(TaskArgs),
    /// Stop the renewal of a task's lease, so that another member can acquire the lease after it has ended.
    Release(TaskArgs),
}

/// Arguments of commands that refer to one task.
#[derive(Debug, Args)]
pub struct TaskArgs {
    /// Name of the task.
    pub name: String,
    /// The fleet to send requests to.
    #[command(flatten)]
    pub fleet_args: FleetArgs,
}

/// Arguments of commands that refer to one decider.
#[derive(Debug, Args)]
pub struct VoterArgs {
    /// Seat of the decider, as in the `fleet` block of the operator's file.
    pub seat: u64,
    /// The fleet to send requests to.
    #[command(flatten)]
    pub fleet_args: FleetArgs,
}

/// Options of `run`.
#[derive(Clone, Debug, Args)]
pub struct Run {
    /// The operator's file, in HCL. Without this file, only the platform's listener is started.
    #[arg(long, env = "BEAMGAP_OPERATOR", value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value_t, value_name = "FORM")]
    pub log_format: LogFormat,
    /// Log levels: one level for everything (error, warn, info, debug, trace, off), or levels per log target, such as
    /// `info,list=warn`.
    #[arg(long, default_value = "info,openraft=error", value_name = "LEVELS")]
    pub log: String,
}

/// Formats of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines of text that start with the node's name.
    #[default]
    Text,
    /// One JSON object per line, with time, level and log target.
    Json,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct Check {
    /// An operator's file (.hcl), or a configuration (any other file name).
    pub file: PathBuf,
    /// The configuration that is used together with the operator's file. With this option, the operator's file is
    /// also checked against the configuration: classes, tenants, limits and passwords.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// Commands for xDS.
#[derive(Debug, Subcommand)]
pub enum Xds {
    /// Subscribe like a proxy, and print each change of a resource.
    Watch(Watch),
}

/// Arguments of `xds watch`.
#[derive(Debug, Args)]
pub struct Watch {
    /// Address of the control service, as `host:port`.
    pub address: String,
    /// Use the incremental (delta) variant of xDS instead of state of the world.
    #[arg(long)]
    pub delta: bool,
    /// Print JSON lines.
    #[arg(long)]
    pub json: bool,
    /// Node name to send to the service. It must differ from the names of all proxies.
    #[arg(long, default_value_t = format!("beamgap-watch-{}", std::process::id()))]
    pub node: String,
    /// Reject responses of this type (cds, eds, lds, rds, all) with a NACK, to test how the service handles a
    /// rejection. May be given more than once.
    #[arg(long, value_name = "TYPE", value_parser = ["cds", "eds", "lds", "rds", "all"])]
    pub nack: Vec<String>,
    /// Error text in the NACKs.
    #[arg(long, default_value = "refused by beamgap xds watch", value_name = "TEXT")]
    pub nack_text: String,
    /// Exit after this number of responses; 0 waits until the stream ends.
    #[arg(long, default_value_t = 0, value_name = "N")]
    pub responses: u64,
}
