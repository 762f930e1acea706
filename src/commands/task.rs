//! `beamgap task`.

use super::{Asker, End, NO, UNKNOWN};
use crate::cli::{Ask, Named, Task as Asked};
use beamgap::fleet::message::{FleetRequest, FleetResponse, TaskStatus};
use beamgap_leases::spec::When;
use beamgap_leases::state::{Command, Outcome, Task};
use serde_json::json;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(800); // for one question to the leader
const WAIT: Duration = Duration::from_secs(10); // for what was asked to be agreed on

/// Does what is asked.
pub fn run(task: Asked) -> Result<(), End> {
    match task {
        Asked::Apply(ask) => apply(&ask),
        Asked::List(ask) => list(&ask),
        Asked::Show(of) | Asked::History(of) => show(&of),
        Asked::Run(of) => {
            let start = |t: &Task| Command::Start { task: t.spec.name.clone(), run: t.runs + 1, day: 0 };
            follow(&of, "a run begins", Some(&start), &|before, now| now.runs > before.runs)
        }
        Asked::Pause(of) => {
            let pause = |t: &Task| Command::Pause { task: t.spec.name.clone(), paused: true };
            follow(&of, "paused: no further step begins", Some(&pause), &|_, now| now.paused)
        }
        Asked::Resume(of) => {
            let resume = |t: &Task| Command::Pause { task: t.spec.name.clone(), paused: false };
            let going = |now: &Task| !now.paused && now.run.as_ref().is_none_or(|run| run.halted.is_none());
            follow(&of, "goes on", Some(&resume), &|_, now| going(now))
        }
        Asked::Release(of) => {
            let other = |before: &Task, now: &Task| now.lease != before.lease;
            follow(&of, "its lease has ended", None, &other)
        }
    }
}

fn tasks(asker: &mut Asker, one: Option<&str>) -> Result<Vec<TaskStatus>, End> {
    match asker.ask(&FleetRequest::Tasks(one.map(str::to_owned)), STEP) {
        Ok(FleetResponse::Tasks(all)) => Ok(all),
        Ok(_) => Err((UNKNOWN, "another answer".to_owned())),
        Err(why) => Err((UNKNOWN, format!("no leader with a majority: {why}"))),
    }
}

fn named(asker: &mut Asker, name: &str) -> Result<TaskStatus, End> {
    let all = tasks(asker, Some(name))?;
    all.into_iter()
        .next()
        .ok_or_else(|| (NO, format!("task {name} is not known; `beamgap task list` names all")))
}

/// Asks until a task is as it was to become, and says so.
fn follow(
    of: &Named,
    done: &str,
    command: Option<&dyn Fn(&Task) -> Command>,
    is: &dyn Fn(&Task, &Task) -> bool,
) -> Result<(), End> {
    let mut asker = Asker::new(&of.ask.operator)?;
    let TaskStatus { task: before, .. } = named(&mut asker, &of.name)?;
    if command.is_none() && before.lease.is_none() {
        return Err((NO, format!("task {}: nobody holds it", of.name)));
    }
    let patience = command.map_or(Duration::from_secs_f64(before.spec.lease * 1.5 / 1000.0) + WAIT, |_| WAIT);
    let until = Instant::now() + patience;
    let question = match command {
        Some(command) => FleetRequest::SubmitTaskCommand(command(&before)),
        None => FleetRequest::ReleaseLease(of.name.clone()),
    };
    loop {
        // Sent again it is the same command: its run's number, or what it sets.
        let _ = asker.ask(&question, STEP);
        asker.sleep(60);
        if let Ok(TaskStatus { task: now, .. }) = named(&mut asker, &of.name) {
            if is(&before, &now) {
                println!("task {}: {done}", of.name);
                return Ok(());
            }
            if let Some(run) = now.run.as_ref().filter(|_| now.runs == before.runs && command.is_some()) {
                if before.run.is_some() && done.starts_with("a run") {
                    return Err((NO, format!("task {}: run {} is under way", of.name, run.no)));
                }
            }
        }
        if Instant::now() > until {
            return Err((UNKNOWN, format!("task {}: not known yet; `beamgap task show` tells", of.name)));
        }
    }
}

fn apply(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let specs = asker.fleet.tasks.clone();
    let until = Instant::now() + WAIT;
    loop {
        let _ = asker.ask(&FleetRequest::SubmitTaskCommand(Command::Define(specs.clone())), STEP);
        asker.sleep(60);
        let known = tasks(&mut asker, None).unwrap_or_default();
        let same = |spec: &beamgap_leases::spec::Spec| {
            known.iter().any(|TaskStatus { task, .. }| task.spec == *spec && !task.gone)
        };
        if known.iter().filter(|TaskStatus { task, .. }| !task.gone).count() == specs.len()
            && specs.iter().all(same)
        {
            println!("{} tasks are known to the fleet", specs.len());
            return Ok(());
        }
        if Instant::now() > until {
            return Err((UNKNOWN, "not known yet; `beamgap task list` tells".to_owned()));
        }
    }
}

fn as_json(TaskStatus { task, renewed_ms_ago: ago }: &TaskStatus) -> serde_json::Value {
    let run = task.run.as_ref().map(|run| {
        json!({"no": run.no, "next": run.next, "of": task.spec.steps, "open": run.open.is_some(), "halted": run.halted})
    });
    let word = |outcome: &Outcome| match outcome {
        Outcome::Done => ("done", None),
        Outcome::NeverRan(why) => ("never ran", Some(why.clone())),
        Outcome::Unknown(why) => ("unknown", Some(why.clone())),
    };
    let record = task.record.iter().map(|s| {
        let (outcome, why) = word(&s.outcome);
        json!({"run": s.run, "step": s.step, "token": s.token, "member": s.member, "outcome": outcome, "why": why})
    });
    json!({"task": task.spec.name, "holder": task.lease.as_ref().map(|l| &l.who.0),
        "token": task.lease.as_ref().map(|l| l.token), "left_ms": left(task, *ago), "runs": task.runs, "run": run,
        "why_not": task.why_not(), "fenced": task.spec.fenced, "record": record.collect::<Vec<_>>()})
}

fn left(task: &Task, ago: Option<f64>) -> Option<f64> {
    task.lease.as_ref().and(ago).map(|ago| (task.spec.lease - ago).max(0.0).round())
}

fn line(TaskStatus { task, renewed_ms_ago: ago }: &TaskStatus) -> String {
    let held = match &task.lease {
        Some(lease) => {
            let left = left(task, *ago).map_or("not renewed lately".to_owned(), |ms| format!("{ms} ms left"));
            format!("held by {} with token {}, {left}", lease.who.0, lease.token)
        }
        None => "held by nobody".to_owned(),
    };
    let run = match &task.run {
        Some(run) => format!("run {} at step {} of {}", run.no, run.next, task.spec.steps),
        None if task.spec.when == When::Always => "without steps".to_owned(),
        None => format!("{} runs are over", task.runs),
    };
    let why = task.why_not().map_or(String::new(), |why| format!("; does not run: {why}"));
    format!("{:<20} {held}; {run}{why}", task.spec.name)
}

fn list(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let all = tasks(&mut asker, None)?;
    if ask.json {
        println!("{}", serde_json::Value::from_iter(all.iter().map(as_json)));
    } else {
        all.iter().for_each(|told| println!("{}", line(told)));
    }
    Ok(())
}

fn show(of: &Named) -> Result<(), End> {
    let mut asker = Asker::new(&of.ask.operator)?;
    let told = named(&mut asker, &of.name)?;
    if of.ask.json {
        println!("{}", as_json(&told));
        return Ok(());
    }
    println!("{}", line(&told));
    for s in &told.task.record {
        let outcome = match &s.outcome {
            Outcome::Done => "done".to_owned(),
            Outcome::NeverRan(why) => format!("never ran: {why}"),
            Outcome::Unknown(why) => format!("unknown: {why}"),
        };
        println!("  run {} step {} by {} with token {}: {outcome}", s.run, s.step, s.member, s.token);
    }
    Ok(())
}
