//! The command `beamgap policy`: validates, compares, proposes, withdraws and shows policies.

use super::{
    invalid_input, read_file, CommandError, FleetClient, EXIT_FAILED, EXIT_INVALID_INPUT, EXIT_UNKNOWN,
};
use crate::cli::{ChangeArgs, FleetArgs, FollowArgs, Policy, PolicyCheck, PolicyDiff, ProposeArgs, ShowArgs};
use beamgap::fleet::document::{self, FleetPolicy, ValidationContext};
use beamgap::fleet::message::{FleetRequest, FleetResponse, OutcomeReport, PolicyText};
use beamgap::fleet::test_hooks::machine_clock;
use beamgap::node::config::Config;
use beamgap_config::Problem;
use beamgap_policy::rollout::{ChangeOutcome, ChangeRequest, ValidationError, Version};
use beamgap_policy::validation::KnownNames;
use serde_json::{json, Value};
use std::path::Path;
use std::time::{Duration, Instant};

/// Timeout of one request to the leader by a command that repeats its requests.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of the request of a command that only shows something and does not repeat the request.
const SHOW_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a change is proposed again, because the previous proposal may have been lost.
const PROPOSE_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Pause between two requests for the outcome of a change, in milliseconds.
const OUTCOME_POLL_MS: u64 = 20;
/// Time after which a withdrawal without a final outcome is given up.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a withdrawal is sent again, in milliseconds.
const WITHDRAW_RETRY_MS: u64 = 50;

/// Runs a `policy` subcommand.
///
/// # Errors
/// The exit code, and why the command failed.
pub fn run(policy: Policy) -> Result<(), CommandError> {
    match policy {
        Policy::Check(check) => self::check(&check),
        Policy::Diff(files) => self::diff(&files),
        Policy::Propose(propose) => self::propose(propose),
        Policy::Rollback(follow) => change(None, follow),
        Policy::TakeBack(args) => self::withdraw(&args),
        Policy::Outcome(args) => self::outcome(&args),
        Policy::Show(show) => self::show(&show),
        Policy::History(args) => self::history(&args),
        Policy::Status(args) => super::fleet::status(&args),
    }
}

fn parse(path: &Path) -> Result<FleetPolicy, CommandError> {
    let text = read_file(path)?;
    document::parse(&path.display().to_string(), &text).map_err(policy_problems)
}

fn policy_problems(problems: Vec<Problem>) -> CommandError {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    (EXIT_INVALID_INPUT, lines.join("\n  "))
}

fn check(check: &PolicyCheck) -> Result<(), CommandError> {
    let name = check.file.display().to_string();
    match &check.config {
        None => drop(parse(&check.file)?),
        Some(config) => {
            let context = validation_context(config)?;
            let text = read_file(&check.file)?;
            document::parse_and_validate(&name, &text, &context).map_err(policy_problems)?;
        }
    }
    println!("{name}: good");
    Ok(())
}

/// Reads from a front end's configuration the names and deadlines that policies are validated against.
fn validation_context(config: &Path) -> Result<ValidationContext, CommandError> {
    // The configuration may refer to NODE_LISTEN for its listening address. Any address will do, because this
    // command does not listen.
    let any_address = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:0".to_owned());
    let env = |name: &str| std::env::var(name).ok().or_else(|| any_address(name));
    let config = Config::read(read_file(config)?.into_bytes(), &env).map_err(invalid_input)?;
    let settings = &config.settings;
    let names = KnownNames {
        classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
        accounts: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: config.zones,
    };
    let class_deadlines_ms = settings.classes.iter().map(|class| class.deadline.as_millis()).collect();
    Ok(ValidationContext { names, class_deadlines_ms })
}

fn diff(files: &PolicyDiff) -> Result<(), CommandError> {
    let differences = document::diff(&parse(&files.before)?, &parse(&files.after)?);
    if files.json {
        let rows = differences
            .iter()
            .map(|d| json!({"about": d.about, "key": d.key, "before": d.before, "after": d.after}));
        println!("{}", Value::from_iter(rows));
    } else {
        for difference in differences {
            println!("{difference}");
        }
    }
    Ok(())
}

fn new_change_id() -> String {
    format!("c-{:x}-{:x}", machine_clock().to_bits() & 0xffff_ffff_ffff, std::process::id())
}

fn propose(propose: ProposeArgs) -> Result<(), CommandError> {
    // An invalid policy is not sent to the fleet.
    parse(&propose.file)?;
    let text = read_file(&propose.file)?;
    change(Some(text), propose.follow)
}

/// Proposes a policy change and follows the change to its outcome. Without a text, the change is a rollback to the
/// previous policy version.
fn change(policy_text: Option<String>, follow: FollowArgs) -> Result<(), CommandError> {
    let FollowArgs { id, by, wait, fleet_args } = follow;
    let id = id.unwrap_or_else(new_change_id);
    let mut follower = ChangeFollower::new(id.clone(), Duration::from_secs(wait), &fleet_args)?;
    // The leader rejects the change if a version other than `base_version` is active when the change is proposed.
    let base_version = Some(follower.active_version()?);
    follower.follow(&ChangeRequest { id, requested_by: by, policy_text, base_version })
}

/// Proposes a change and follows the change to its outcome. The change is proposed again until its outcome is known;
/// the leader treats proposals with the same id as one change.
struct ChangeFollower<'a> {
    client: FleetClient,
    progress: Progress<'a>,
    args: &'a FleetArgs,
    deadline: Instant,
    proposed_at: Option<Instant>,
    /// When this command first saw the change active.
    active_since: Option<Instant>,
}

impl<'a> ChangeFollower<'a> {
    fn new(id: String, wait: Duration, args: &'a FleetArgs) -> Result<ChangeFollower<'a>, CommandError> {
        Ok(ChangeFollower {
            client: FleetClient::new(&args.operator)?,
            progress: Progress { id, args, last_state: String::new() },
            args,
            deadline: Instant::now() + wait,
            proposed_at: None,
            active_since: None,
        })
    }

    fn active_version(&mut self) -> Result<Version, CommandError> {
        loop {
            match self.client.request(&FleetRequest::PolicyText(None), REQUEST_TIMEOUT) {
                Ok(FleetResponse::PolicyText(Some(PolicyText { version, .. }))) => return Ok(version),
                Ok(_) => return Err(self.unknown_outcome("unexpected response")),
                Err(reason) if Instant::now() >= self.deadline => return Err(self.unknown_outcome(&reason)),
                Err(_) => {}
            }
        }
    }

    fn follow(&mut self, request: &ChangeRequest) -> Result<(), CommandError> {
        let mut last_error = None;
        while Instant::now() < self.deadline {
            if let Err(error) = self.propose_if_due(request) {
                last_error = Some(error);
                continue;
            }
            match self.client.request(&FleetRequest::Outcome(request.id.clone()), REQUEST_TIMEOUT) {
                Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(outcome), members_behind })) => {
                    if let Some(end) = self.report(&outcome, members_behind) {
                        return end;
                    }
                }
                Ok(_) => self.progress.state("is on its way"),
                Err(error) => last_error = Some(error),
            }
            self.client.sleep(OUTCOME_POLL_MS);
        }
        Err(self.unknown_outcome(last_error.as_deref().unwrap_or("timed out")))
    }

    fn propose_if_due(&mut self, request: &ChangeRequest) -> Result<(), String> {
        let is_recent = self.proposed_at.is_some_and(|at| at.elapsed() <= PROPOSE_AGAIN_AFTER);
        if self.active_since.is_some() || is_recent {
            return Ok(());
        }
        self.proposed_at = Some(Instant::now());
        self.client.request(&FleetRequest::Propose(request.clone()), REQUEST_TIMEOUT).map(drop)
    }

    /// Prints the progress of the change. Returns the result of the command if the outcome is final.
    fn report(&mut self, outcome: &ChangeOutcome, members_behind: usize) -> Option<Result<(), CommandError>> {
        let id = &self.progress.id;
        match outcome {
            ChangeOutcome::Validating => self.progress.state("is checked by the members"),
            ChangeOutcome::Committed(_) => {
                self.progress.state("is decided; rights under the old version end")
            }
            ChangeOutcome::Active(version) => {
                if self.is_active_everywhere(members_behind) {
                    let text = format!("version {version} is in force everywhere");
                    self.progress.show("done", &json!(text));
                    return Some(Ok(()));
                }
            }
            ChangeOutcome::Rejected(errors) => {
                self.progress.show("turned down", &json!(error_lines(errors)));
                return Some(Err((EXIT_FAILED, format!("{id} was rejected and was never in force"))));
            }
            ChangeOutcome::Withdrawn => {
                self.progress.show("taken back", &Value::Null);
                return Some(Err((EXIT_FAILED, format!("{id} was withdrawn and was never in force"))));
            }
        }
        None
    }

    /// Whether no member admits requests under an older version. A member that does not have the active version stops
    /// admitting requests within the switch bound, even if it can't reach the leader.
    fn is_active_everywhere(&mut self, members_behind: usize) -> bool {
        let since = *self.active_since.get_or_insert_with(Instant::now);
        let switch_bound = Duration::from_secs_f64(self.client.fleet.timings.switch_bound_ms / 1000.0);
        members_behind == 0 || since.elapsed() >= switch_bound
    }

    fn unknown_outcome(&self, reason: &str) -> CommandError {
        let id = &self.progress.id;
        let command = format!("beamgap policy outcome {id} --operator {}", self.args.operator.display());
        (EXIT_UNKNOWN, format!("the outcome of {id} is not known yet ({reason}); ask again with: {command}"))
    }
}

/// Prints the states of a change as lines of text or JSON.
struct Progress<'a> {
    id: String,
    args: &'a FleetArgs,
    last_state: String,
}

impl Progress<'_> {
    /// Prints a state that is not final, unless it was the last state printed.
    fn state(&mut self, state: &str) {
        if self.last_state != state {
            state.clone_into(&mut self.last_state);
            self.show(state, &Value::Null);
        }
    }

    fn show(&self, state: &str, details: &Value) {
        let id = &self.id;
        if self.args.json {
            println!("{}", json!({"change": id, "state": state, "more": details}));
            return;
        }
        let details = match details {
            Value::Null => String::new(),
            Value::String(text) => format!(": {text}"),
            Value::Array(lines) => {
                lines.iter().filter_map(Value::as_str).map(|line| format!("\n  {line}")).collect()
            }
            other => format!(": {other}"),
        };
        println!("{id} {state}{details}");
    }
}

fn withdraw(args: &ChangeArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.fleet_args.operator)?;
    let deadline = Instant::now() + WITHDRAW_TIMEOUT;
    while Instant::now() < deadline {
        // The response is ignored: if the withdrawal was lost, the outcome shows this and the loop sends the withdrawal
        // again.
        let _ = client.request(&FleetRequest::Withdraw(args.id.clone()), REQUEST_TIMEOUT);
        match client.request(&FleetRequest::Outcome(args.id.clone()), REQUEST_TIMEOUT) {
            Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(ChangeOutcome::Withdrawn), .. })) => {
                println!("{} taken back", args.id);
                return Ok(());
            }
            Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(outcome), .. }))
                if outcome != ChangeOutcome::Validating =>
            {
                return Err((EXIT_FAILED, format!("too late: {} is {}", args.id, outcome_text(&outcome))));
            }
            _ => client.sleep(WITHDRAW_RETRY_MS),
        }
    }
    Err((
        EXIT_UNKNOWN,
        format!("whether {} was withdrawn is not known yet; check with `beamgap policy outcome`", args.id),
    ))
}

fn error_lines(errors: &[ValidationError]) -> Vec<String> {
    errors.iter().map(|error| format!("{}: {}", error.member, error.message)).collect()
}

/// Text for an outcome in the output of the commands.
fn outcome_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Validating => "checked by the members".to_owned(),
        ChangeOutcome::Committed(version) => format!("decided, to be version {version}"),
        ChangeOutcome::Active(version) => format!("in force as version {version}"),
        ChangeOutcome::Rejected(errors) => format!("turned down: {}", error_lines(errors).join("; ")),
        ChangeOutcome::Withdrawn => "taken back".to_owned(),
    }
}

fn outcome(args: &ChangeArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.fleet_args.operator)?;
    match client.request(&FleetRequest::Outcome(args.id.clone()), SHOW_TIMEOUT) {
        Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(outcome), .. })) => {
            show_outcome(args, &outcome);
            outcome_result(&args.id, &outcome)
        }
        Ok(_) => Err((
            EXIT_UNKNOWN,
            format!("change {} is not known; its proposal may not have arrived yet", args.id),
        )),
        Err(reason) => Err((EXIT_UNKNOWN, reason)),
    }
}

fn show_outcome(args: &ChangeArgs, outcome: &ChangeOutcome) {
    let text = outcome_text(outcome);
    if args.fleet_args.json {
        println!("{}", json!({"change": args.id, "outcome": text, "final": outcome.is_final()}));
    } else {
        println!("{} {text}", args.id);
    }
}

fn outcome_result(id: &str, outcome: &ChangeOutcome) -> Result<(), CommandError> {
    match outcome {
        ChangeOutcome::Active(_) => Ok(()),
        ChangeOutcome::Rejected(_) | ChangeOutcome::Withdrawn => {
            Err((EXIT_FAILED, format!("{id} was never in force")))
        }
        ChangeOutcome::Validating | ChangeOutcome::Committed(_) => {
            Err((EXIT_UNKNOWN, format!("{id} is still in progress")))
        }
    }
}

fn show(show: &ShowArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&show.fleet_args.operator)?;
    match client.request(&FleetRequest::PolicyText(show.version), SHOW_TIMEOUT) {
        Ok(FleetResponse::PolicyText(Some(PolicyText { version, text }))) => {
            if show.fleet_args.json {
                println!("{}", json!({"version": version, "text": text}));
            } else {
                print!("# version {version}\n{text}");
            }
            Ok(())
        }
        Ok(_) => Err((
            EXIT_FAILED,
            "this policy version is not stored; `beamgap policy history` lists the changes".to_owned(),
        )),
        Err(reason) => Err((EXIT_UNKNOWN, reason)),
    }
}

fn history(args: &FleetArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.operator)?;
    match client.request(&FleetRequest::History, SHOW_TIMEOUT) {
        Ok(FleetResponse::History(records)) => {
            for record in records {
                let (id, by, outcome) = (record.id, record.requested_by, outcome_text(&record.outcome));
                if args.json {
                    println!("{}", json!({"change": id, "by": by, "outcome": outcome}));
                } else {
                    println!("{id} by {by}: {outcome}");
                }
            }
            Ok(())
        }
        Ok(_) => Err((EXIT_UNKNOWN, "unexpected response".to_owned())),
        Err(reason) => Err((EXIT_UNKNOWN, reason)),
    }
}
