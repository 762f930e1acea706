//! `beamgap policy`.

use super::{text_of, unusable, Asker, End, NO, UNKNOWN, UNUSABLE};
use crate::cli::{Ask, Follow, Outcome as OutcomeOf, Policy, PolicyCheck, PolicyDiff, Propose, Show};
use beamgap::fleet::document::{self, usable, Here};
use beamgap::fleet::machine::{Answer, Question};
use beamgap::fleet::trial::machine_clock;
use beamgap::node::config::Config;
use beamgap_policy::check::Known;
use beamgap_policy::rollout::{ChangeOutcome, ChangeRequest};
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(800); // for one question to the leader

/// Does what is asked.
pub fn run(policy: Policy) -> Result<(), End> {
    match policy {
        Policy::Check(check) => self::check(&check),
        Policy::Diff(two) => self::compare(&two),
        Policy::Propose(propose) => self::propose(propose),
        Policy::Rollback(follow) => change(None, follow),
        Policy::TakeBack(of) => self::take_back(&of),
        Policy::Outcome(of) => self::outcome(&of),
        Policy::Show(show) => self::show(&show),
        Policy::History(ask) => self::history(&ask),
        Policy::Status(ask) => super::fleet::status(&ask),
    }
}

fn read(path: &Path) -> Result<document::Whole, End> {
    let text = text_of(path)?;
    document::read(&path.display().to_string(), &text).map_err(|problems| {
        (UNUSABLE, problems.iter().map(|p| p.to_string()).collect::<Vec<_>>().join("\n  "))
    })
}

fn check(check: &PolicyCheck) -> Result<(), End> {
    let name = check.file.display().to_string();
    match &check.config {
        None => drop(read(&check.file)?),
        Some(config) => {
            // Where it listens is of no matter here.
            let anywhere = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:0".to_owned());
            let env = |name: &str| std::env::var(name).ok().or_else(|| anywhere(name));
            let config = Config::read(text_of(config)?.into_bytes(), &env).map_err(unusable)?;
            let names = Known {
                classes: config.settings.classes.iter().map(|c| c.name.clone()).collect(),
                accounts: config.settings.tenants.iter().map(|t| t.name.clone()).collect(),
                zones: config.zones,
            };
            let deadlines = config.settings.classes.iter().map(|c| c.deadline.as_millis()).collect();
            usable(&name, &text_of(&check.file)?, &Here { names, deadlines }).map_err(|problems| {
                (UNUSABLE, problems.iter().map(|p| p.to_string()).collect::<Vec<_>>().join("\n  "))
            })?;
        }
    }
    println!("{name}: good");
    Ok(())
}

fn compare(two: &PolicyDiff) -> Result<(), End> {
    let changes = document::compare(&read(&two.before)?, &read(&two.after)?);
    if two.json {
        let rows = changes
            .iter()
            .map(|c| json!({"about": c.about, "key": c.key, "before": c.before, "after": c.after}));
        println!("{}", serde_json::Value::from_iter(rows));
    } else {
        changes.iter().for_each(|change| println!("{change}"));
    }
    Ok(())
}

fn fresh_id() -> String {
    format!("c-{:x}-{:x}", machine_clock().to_bits() & 0xffff_ffff_ffff, std::process::id())
}

fn propose(propose: Propose) -> Result<(), End> {
    // What can't be read by anybody need not travel.
    read(&propose.file)?;
    let text = text_of(&propose.file)?;
    change(Some(text), propose.follow)
}

/// Sends a change and follows it to its outcome. Sent again under its id as often as need be: it is one change.
fn change(text: Option<String>, follow: Follow) -> Result<(), End> {
    let Follow { id, by, wait, ask } = follow;
    let mut asker = Asker::new(&ask.operator)?;
    let id = id.unwrap_or_else(fresh_id);
    let say = |word: &str, more: serde_json::Value| {
        if ask.json {
            println!("{}", json!({"change": id, "state": word, "more": more}));
        } else {
            let more = match &more {
                serde_json::Value::Null => String::new(),
                serde_json::Value::String(text) => format!(": {text}"),
                serde_json::Value::Array(lines) => {
                    lines.iter().filter_map(|l| l.as_str()).map(|l| format!("\n  {l}")).collect()
                }
                other => format!(": {other}"),
            };
            println!("{id} {word}{more}");
        }
    };
    let until = Instant::now() + Duration::from_secs(wait);
    let unknown = |why: &str| {
        let how = format!("beamgap policy outcome {id} --operator {}", ask.operator.display());
        (UNKNOWN, format!("the outcome of {id} is not known yet ({why}); ask again: {how}"))
    };
    // Made from what is in force now: if that changes before, it is turned down.
    let base = loop {
        match asker.ask(&Question::Text(None), STEP) {
            Ok(Answer::Text(Some((version, _)))) => break version,
            Ok(_) => return Err(unknown("another answer")),
            Err(why) if Instant::now() >= until => return Err(unknown(&why)),
            Err(_) => {}
        }
    };
    let change =
        ChangeRequest { id: id.clone(), requested_by: by, policy_text: text, base_version: Some(base) };
    let (mut said, mut sent, mut why) = (String::new(), None::<Instant>, String::new());
    let mut in_force = None::<Instant>;
    while Instant::now() < until {
        if in_force.is_none() && sent.is_none_or(|at| at.elapsed() > Duration::from_secs(1)) {
            sent = Some(Instant::now());
            if let Err(e) = asker.ask(&Question::Propose(change.clone()), STEP) {
                why = e;
                continue;
            }
        }
        let mut tell = |word: &str| {
            if said != word {
                said = word.to_owned();
                say(word, serde_json::Value::Null);
            }
        };
        match asker.ask(&Question::Outcome(id.clone()), STEP) {
            Ok(Answer::Outcome(Some(ChangeOutcome::Active(version)), behind)) => {
                let since = *in_force.get_or_insert_with(Instant::now);
                let bound = Duration::from_secs_f64(asker.fleet.times.switch_bound_ms / 1000.0);
                // Who is behind has stopped admitting by then, wherever it is.
                if behind == 0 || since.elapsed() >= bound {
                    say("done", json!(format!("version {version} is in force everywhere")));
                    return Ok(());
                }
            }
            Ok(Answer::Outcome(Some(ChangeOutcome::Rejected(faults)), _)) => {
                let lines: Vec<_> = faults.iter().map(|f| format!("{}: {}", f.member, f.message)).collect();
                say("turned down", json!(lines));
                return Err((NO, format!("{id} was turned down; it was never in force")));
            }
            Ok(Answer::Outcome(Some(ChangeOutcome::Withdrawn), _)) => {
                say("taken back", serde_json::Value::Null);
                return Err((NO, format!("{id} was taken back; it was never in force")));
            }
            Ok(Answer::Outcome(Some(ChangeOutcome::Validating), _)) => tell("is checked by the members"),
            Ok(Answer::Outcome(Some(ChangeOutcome::Committed(_)), _)) => {
                tell("is decided; rights under the old version end")
            }
            Ok(_) => tell("is on its way"),
            Err(e) => why = e,
        }
        asker.sleep(20);
    }
    Err(unknown(if why.is_empty() { "time is up" } else { &why }))
}

fn take_back(of: &OutcomeOf) -> Result<(), End> {
    let mut asker = Asker::new(&of.ask.operator)?;
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline {
        // Where this is lost, the outcome tells so and it is sent again.
        let _ = asker.ask(&Question::TakeBack(of.id.clone()), STEP);
        match asker.ask(&Question::Outcome(of.id.clone()), STEP) {
            Ok(Answer::Outcome(Some(ChangeOutcome::Withdrawn), _)) => {
                println!("{} taken back", of.id);
                return Ok(());
            }
            Ok(Answer::Outcome(Some(outcome), _)) if outcome != ChangeOutcome::Validating => {
                return Err((NO, format!("too late: {} is {}", of.id, word(&outcome))));
            }
            _ => asker.sleep(50),
        }
    }
    Err((UNKNOWN, format!("whether {} was taken back is not known yet; ask for its outcome", of.id)))
}

fn word(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Validating => "checked by the members".to_owned(),
        ChangeOutcome::Committed(version) => format!("decided, to be version {version}"),
        ChangeOutcome::Active(version) => format!("in force as version {version}"),
        ChangeOutcome::Rejected(faults) => {
            let lines: Vec<_> = faults.iter().map(|f| format!("{}: {}", f.member, f.message)).collect();
            format!("turned down: {}", lines.join("; "))
        }
        ChangeOutcome::Withdrawn => "taken back".to_owned(),
    }
}

fn outcome(of: &OutcomeOf) -> Result<(), End> {
    let mut asker = Asker::new(&of.ask.operator)?;
    match asker.ask(&Question::Outcome(of.id.clone()), Duration::from_secs(5)) {
        Ok(Answer::Outcome(Some(outcome), _)) => {
            if of.ask.json {
                println!(
                    "{}",
                    json!({"change": of.id, "outcome": word(&outcome), "final": outcome.is_final()})
                );
            } else {
                println!("{} {}", of.id, word(&outcome));
            }
            match outcome {
                ChangeOutcome::Active(_) => Ok(()),
                ChangeOutcome::Rejected(_) | ChangeOutcome::Withdrawn => {
                    Err((NO, format!("{} was never in force", of.id)))
                }
                _ => Err((UNKNOWN, format!("{} is under way", of.id))),
            }
        }
        Ok(_) => Err((UNKNOWN, format!("no change {} is known; it may still be on its way", of.id))),
        Err(why) => Err((UNKNOWN, why)),
    }
}

fn show(show: &Show) -> Result<(), End> {
    let mut asker = Asker::new(&show.ask.operator)?;
    match asker.ask(&Question::Text(show.version), Duration::from_secs(5)) {
        Ok(Answer::Text(Some((version, text)))) => {
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
    match asker.ask(&Question::History, Duration::from_secs(5)) {
        Ok(Answer::History(records)) => {
            for r in records {
                if ask.json {
                    println!(
                        "{}",
                        json!({"change": r.id, "by": r.requested_by, "outcome": word(&r.outcome)})
                    );
                } else {
                    println!("{} by {}: {}", r.id, r.requested_by, word(&r.outcome));
                }
            }
            Ok(())
        }
        Ok(_) => Err((UNKNOWN, "another answer".to_owned())),
        Err(why) => Err((UNKNOWN, why)),
    }
}
