//! `beamgap policy`: validate, compare, propose, withdraw and show policies.

use super::{text_of, unusable, Asker, End, NO, UNKNOWN, UNUSABLE};
use crate::cli::{Ask, Follow, Outcome as OutcomeOf, Policy, PolicyCheck, PolicyDiff, Propose, Show};
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

/// Time for one request to the leader while a change is followed.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the one request of a command that only shows something.
const SHOW_TIMEOUT: Duration = Duration::from_secs(5);
/// A change is proposed again after this time: the proposal may have been lost.
const PROPOSE_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Pause between two requests for a change's outcome, in milliseconds.
const OUTCOME_POLL_MS: u64 = 20;
/// How long a withdrawal is tried.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a withdrawal is tried again, in milliseconds.
const WITHDRAW_RETRY_MS: u64 = 50;

/// Runs a subcommand.
///
/// # Errors
/// The exit code and why the command was not done.
pub fn run(policy: Policy) -> Result<(), End> {
    match policy {
        Policy::Check(check) => self::check(&check),
        Policy::Diff(files) => self::diff(&files),
        Policy::Propose(propose) => self::propose(propose),
        Policy::Rollback(follow) => change(None, follow),
        Policy::TakeBack(of) => self::withdraw(&of),
        Policy::Outcome(of) => self::outcome(&of),
        Policy::Show(show) => self::show(&show),
        Policy::History(ask) => self::history(&ask),
        Policy::Status(ask) => super::fleet::status(&ask),
    }
}

fn parse(path: &Path) -> Result<FleetPolicy, End> {
    let text = text_of(path)?;
    document::parse(&path.display().to_string(), &text).map_err(problems_end)
}

fn problems_end(problems: Vec<Problem>) -> End {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    (UNUSABLE, lines.join("\n  "))
}

fn check(check: &PolicyCheck) -> Result<(), End> {
    let name = check.file.display().to_string();
    match &check.config {
        None => drop(parse(&check.file)?),
        Some(config) => {
            let context = validation_context(config)?;
            let text = text_of(&check.file)?;
            document::parse_and_validate(&name, &text, &context).map_err(problems_end)?;
        }
    }
    println!("{name}: good");
    Ok(())
}

/// What the front end with this configuration validates policies against.
fn validation_context(config: &Path) -> Result<ValidationContext, End> {
    // The address on which it listens does not matter here.
    let any_address = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:0".to_owned());
    let env = |name: &str| std::env::var(name).ok().or_else(|| any_address(name));
    let config = Config::read(text_of(config)?.into_bytes(), &env).map_err(unusable)?;
    let settings = &config.settings;
    let names = KnownNames {
        classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
        accounts: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: config.zones,
    };
    let class_deadlines_ms = settings.classes.iter().map(|class| class.deadline.as_millis()).collect();
    Ok(ValidationContext { names, class_deadlines_ms })
}

fn diff(files: &PolicyDiff) -> Result<(), End> {
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

fn propose(propose: Propose) -> Result<(), End> {
    // A text with problems is not sent.
    parse(&propose.file)?;
    let text = text_of(&propose.file)?;
    change(Some(text), propose.follow)
}

/// Proposes a change, or a rollback where there is no text, and follows it to its outcome.
fn change(policy_text: Option<String>, follow: Follow) -> Result<(), End> {
    let Follow { id, by, wait, ask } = follow;
    let id = id.unwrap_or_else(new_change_id);
    let mut follower = ChangeFollower::new(id.clone(), Duration::from_secs(wait), &ask)?;
    // Made from what is active now: if that changes before, the change is rejected.
    let base_version = Some(follower.active_version()?);
    follower.follow(&ChangeRequest { id, requested_by: by, policy_text, base_version })
}

/// Follows a change to its outcome. It is proposed under one id as often as need be: that is one change.
struct ChangeFollower<'a> {
    asker: Asker,
    progress: Progress<'a>,
    ask: &'a Ask,
    deadline: Instant,
    proposed_at: Option<Instant>,
    /// When it was first seen to be active.
    active_since: Option<Instant>,
}

impl<'a> ChangeFollower<'a> {
    fn new(id: String, wait: Duration, ask: &'a Ask) -> Result<ChangeFollower<'a>, End> {
        Ok(ChangeFollower {
            asker: Asker::new(&ask.operator)?,
            progress: Progress { id, ask, last_state: String::new() },
            ask,
            deadline: Instant::now() + wait,
            proposed_at: None,
            active_since: None,
        })
    }

    fn active_version(&mut self) -> Result<Version, End> {
        loop {
            match self.asker.ask(&FleetRequest::PolicyText(None), REQUEST_TIMEOUT) {
                Ok(FleetResponse::PolicyText(Some(PolicyText { version, .. }))) => return Ok(version),
                Ok(_) => return Err(self.not_known_yet("another answer")),
                Err(why) if Instant::now() >= self.deadline => return Err(self.not_known_yet(&why)),
                Err(_) => {}
            }
        }
    }

    fn follow(&mut self, request: &ChangeRequest) -> Result<(), End> {
        let mut last_error = None;
        while Instant::now() < self.deadline {
            if let Err(error) = self.propose_if_due(request) {
                last_error = Some(error);
                continue;
            }
            match self.asker.ask(&FleetRequest::Outcome(request.id.clone()), REQUEST_TIMEOUT) {
                Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(outcome), members_behind })) => {
                    if let Some(end) = self.report(&outcome, members_behind) {
                        return end;
                    }
                }
                Ok(_) => self.progress.state("is on its way"),
                Err(error) => last_error = Some(error),
            }
            self.asker.sleep(OUTCOME_POLL_MS);
        }
        Err(self.not_known_yet(last_error.as_deref().unwrap_or("time is up")))
    }

    fn propose_if_due(&mut self, request: &ChangeRequest) -> Result<(), String> {
        let is_recent = self.proposed_at.is_some_and(|at| at.elapsed() <= PROPOSE_AGAIN_AFTER);
        if self.active_since.is_some() || is_recent {
            return Ok(());
        }
        self.proposed_at = Some(Instant::now());
        self.asker.ask(&FleetRequest::Propose(request.clone()), REQUEST_TIMEOUT).map(drop)
    }

    /// Shows how far the change is; gives how the command ends, if the outcome is final.
    fn report(&mut self, outcome: &ChangeOutcome, members_behind: usize) -> Option<Result<(), End>> {
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
                return Some(Err((NO, format!("{id} was turned down; it was never in force"))));
            }
            ChangeOutcome::Withdrawn => {
                self.progress.show("taken back", &Value::Null);
                return Some(Err((NO, format!("{id} was taken back; it was never in force"))));
            }
        }
        None
    }

    /// Whether no member admits requests under an older version. Members that are behind have stopped admitting after
    /// the switch bound, wherever they are.
    fn is_active_everywhere(&mut self, members_behind: usize) -> bool {
        let since = *self.active_since.get_or_insert_with(Instant::now);
        let switch_bound = Duration::from_secs_f64(self.asker.fleet.timings.switch_bound_ms / 1000.0);
        members_behind == 0 || since.elapsed() >= switch_bound
    }

    fn not_known_yet(&self, why: &str) -> End {
        let id = &self.progress.id;
        let how = format!("beamgap policy outcome {id} --operator {}", self.ask.operator.display());
        (UNKNOWN, format!("the outcome of {id} is not known yet ({why}); ask again: {how}"))
    }
}

/// Shows the states of a change as lines of text or JSON.
struct Progress<'a> {
    id: String,
    ask: &'a Ask,
    last_state: String,
}

impl Progress<'_> {
    /// Shows a state that is not final, once.
    fn state(&mut self, state: &str) {
        if self.last_state != state {
            state.clone_into(&mut self.last_state);
            self.show(state, &Value::Null);
        }
    }

    fn show(&self, state: &str, details: &Value) {
        let id = &self.id;
        if self.ask.json {
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

fn withdraw(of: &OutcomeOf) -> Result<(), End> {
    let mut asker = Asker::new(&of.ask.operator)?;
    let deadline = Instant::now() + WITHDRAW_TIMEOUT;
    while Instant::now() < deadline {
        // Where this is lost, the outcome tells so and it is sent again.
        let _ = asker.ask(&FleetRequest::Withdraw(of.id.clone()), REQUEST_TIMEOUT);
        match asker.ask(&FleetRequest::Outcome(of.id.clone()), REQUEST_TIMEOUT) {
            Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(ChangeOutcome::Withdrawn), .. })) => {
                println!("{} taken back", of.id);
                return Ok(());
            }
            Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(outcome), .. }))
                if outcome != ChangeOutcome::Validating =>
            {
                return Err((NO, format!("too late: {} is {}", of.id, outcome_text(&outcome))));
            }
            _ => asker.sleep(WITHDRAW_RETRY_MS),
        }
    }
    Err((UNKNOWN, format!("whether {} was taken back is not known yet; ask for its outcome", of.id)))
}

fn error_lines(errors: &[ValidationError]) -> Vec<String> {
    errors.iter().map(|error| format!("{}: {}", error.member, error.message)).collect()
}

/// An outcome in the words of the commands' output.
fn outcome_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Validating => "checked by the members".to_owned(),
        ChangeOutcome::Committed(version) => format!("decided, to be version {version}"),
        ChangeOutcome::Active(version) => format!("in force as version {version}"),
        ChangeOutcome::Rejected(errors) => format!("turned down: {}", error_lines(errors).join("; ")),
        ChangeOutcome::Withdrawn => "taken back".to_owned(),
    }
}

fn outcome(of: &OutcomeOf) -> Result<(), End> {
    let mut asker = Asker::new(&of.ask.operator)?;
    match asker.ask(&FleetRequest::Outcome(of.id.clone()), SHOW_TIMEOUT) {
        Ok(FleetResponse::Outcome(OutcomeReport { outcome: Some(outcome), .. })) => {
            show_outcome(of, &outcome);
            outcome_end(&of.id, &outcome)
        }
        Ok(_) => Err((UNKNOWN, format!("no change {} is known; it may still be on its way", of.id))),
        Err(why) => Err((UNKNOWN, why)),
    }
}

fn show_outcome(of: &OutcomeOf, outcome: &ChangeOutcome) {
    let text = outcome_text(outcome);
    if of.ask.json {
        println!("{}", json!({"change": of.id, "outcome": text, "final": outcome.is_final()}));
    } else {
        println!("{} {text}", of.id);
    }
}

fn outcome_end(id: &str, outcome: &ChangeOutcome) -> Result<(), End> {
    match outcome {
        ChangeOutcome::Active(_) => Ok(()),
        ChangeOutcome::Rejected(_) | ChangeOutcome::Withdrawn => {
            Err((NO, format!("{id} was never in force")))
        }
        ChangeOutcome::Validating | ChangeOutcome::Committed(_) => {
            Err((UNKNOWN, format!("{id} is under way")))
        }
    }
}

fn show(show: &Show) -> Result<(), End> {
    let mut asker = Asker::new(&show.ask.operator)?;
    match asker.ask(&FleetRequest::PolicyText(show.version), SHOW_TIMEOUT) {
        Ok(FleetResponse::PolicyText(Some(PolicyText { version, text }))) => {
            if show.ask.json {
                println!("{}", json!({"version": version, "text": text}));
            } else {
                print!("# version {version}\n{text}");
            }
            Ok(())
        }
        Ok(_) => Err((NO, "that version is not kept; `beamgap policy history` lists them".to_owned())),
        Err(why) => Err((UNKNOWN, why)),
    }
}

fn history(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    match asker.ask(&FleetRequest::History, SHOW_TIMEOUT) {
        Ok(FleetResponse::History(records)) => {
            for record in records {
                let (id, by, outcome) = (record.id, record.requested_by, outcome_text(&record.outcome));
                if ask.json {
                    println!("{}", json!({"change": id, "by": by, "outcome": outcome}));
                } else {
                    println!("{id} by {by}: {outcome}");
                }
            }
            Ok(())
        }
        Ok(_) => Err((UNKNOWN, "another answer".to_owned())),
        Err(why) => Err((UNKNOWN, why)),
    }
}
