//! `beamgap fleet`.

use super::{Asker, End, NO, UNKNOWN};
use crate::cli::{Ask, Fleet, Seat};
use beamgap::fleet::machine::{Answer, Question, Status};
use beamgap_budgets::message::{BudgetStatus, MemberShare};
use beamgap_council::link::{Answer as Told, Question as Asked, Status as Decider};
use beamgap_policy::switch::Mark;
use serde_json::json;
use std::time::Duration;

const ONE: Duration = Duration::from_millis(700); // for one decider to answer

/// Does what is asked.
pub fn run(fleet: Fleet) -> Result<(), End> {
    match fleet {
        Fleet::Status(ask) => status(&ask),
        Fleet::Found(ask) => found(&ask),
        Fleet::Readmit(seat) => reseat(&seat, &Asked::Readmit(seat.seat), "is back in its seat"),
        Fleet::Remove(seat) => reseat(&seat, &Asked::Remove(seat.seat), "decides no more"),
    }
}

fn found(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let first = *asker.fleet.deciders.keys().next().ok_or((NO, "no decider".to_owned()))?;
    let asked = asker.caller.ask(first, &Asked::Found, Duration::from_secs(20));
    match asker.runtime.block_on(asked) {
        Ok(Told::Done) => {
            println!("fleet {} is founded", asker.fleet.name);
            Ok(())
        }
        Ok(Told::No(why)) => Err((NO, why)),
        Ok(_) => Err((UNKNOWN, "another answer".to_owned())),
        Err(why) => {
            Err((UNKNOWN, format!("decider {first}: {why}; it may be founded, `beamgap fleet status` tells")))
        }
    }
}

/// Has the leader give a decider its place, or take it.
fn reseat(seat: &Seat, question: &Asked, done: &str) -> Result<(), End> {
    let mut asker = Asker::new(&seat.ask.operator)?;
    let seats: Vec<u64> = asker.fleet.deciders.keys().copied().filter(|s| *s != seat.seat).collect();
    let mut why = Vec::new();
    for other in seats {
        let asked = asker.caller.ask(other, question, Duration::from_secs(30));
        match asker.runtime.block_on(asked) {
            Ok(Told::Done) => {
                println!("decider {} {done}", seat.seat);
                return Ok(());
            }
            Ok(Told::No(no)) => why.push(format!("decider {other}: {no}")),
            Ok(_) => why.push(format!("decider {other} answered another question")),
            Err(e) => why.push(format!("decider {other}: {e}")),
        }
    }
    Err((NO, why.join("; ")))
}

fn deciders(asker: &mut Asker) -> Vec<(u64, Result<Box<Decider>, String>)> {
    let seats: Vec<u64> = asker.fleet.deciders.keys().copied().collect();
    let mut all = Vec::new();
    for seat in seats {
        let told = asker.runtime.block_on(asker.caller.ask(seat, &Asked::Status, ONE));
        let told = told.and_then(|told| match told {
            Told::Status(status) => Ok(status),
            _ => Err("another answer".to_owned()),
        });
        all.push((seat, told));
    }
    all
}

/// How the fleet is.
pub fn status(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let deciders = deciders(&mut asker);
    let fleet = match asker.ask(&Question::Status, Duration::from_secs(2)) {
        Ok(Answer::Status(status)) => Ok(status),
        Ok(_) => Err("another answer".to_owned()),
        Err(why) => Err(why),
    };
    let budgets = match fleet.is_ok().then(|| asker.ask(&Question::Budgets, ONE)) {
        Some(Ok(Answer::Budgets(standings))) => standings,
        // An older leader knows none.
        _ => Vec::new(),
    };
    if ask.json {
        let mut all = as_json(&asker.fleet.name, &deciders, &fleet);
        all["budgets"] = budgets.iter().map(budget_json).collect();
        println!("{all}");
    } else {
        print!("{}", as_text(&asker.fleet.name, &deciders, &fleet));
        budgets.iter().for_each(|budget| print!("{}", budget_text(budget)));
    }
    fleet.map(|_| ()).map_err(|why| {
        let there = deciders.iter().filter(|(_, told)| told.is_ok()).count();
        let of = deciders.len();
        (
            UNKNOWN,
            format!(
                "no leader with a majority ({why}); {there} of {of} deciders answer, {} are needed",
                of / 2 + 1
            ),
        )
    })
}

fn budget_json(b: &BudgetStatus) -> serde_json::Value {
    let part = |m: &MemberShare| {
        let life = format!("{:x}", m.member.incarnation);
        json!({"member": m.member.name, "life": life, "part": m.share, "wants": m.demand})
    };
    let parts: Vec<serde_json::Value> = b.members.iter().map(part).collect();
    json!({"budget": b.name, "is": b.description, "unknown": b.unknown, "parts": parts})
}

fn budget_text(b: &BudgetStatus) -> String {
    let mut text = format!("budget {}: {}\n", b.name, b.description);
    for m in &b.members {
        let (member, life) = (&m.member.name, m.member.incarnation);
        let (part, wants) = (m.share * 100.0, m.demand * 100.0);
        text += &format!("  {member:<12} life {life:x}  has {part:.1}%, wants {wants:.1}%\n");
    }
    if b.unknown > 0.0 {
        let part = b.unknown * 100.0;
        text += &format!("  {part:.1}% may be held by lives not heard of since this leader leads\n");
    }
    text
}

fn as_json(
    name: &str,
    deciders: &[(u64, Result<Box<Decider>, String>)],
    fleet: &Result<Box<Status>, String>,
) -> serde_json::Value {
    let decider = |(seat, told): &(u64, Result<Box<Decider>, String>)| match told {
        Ok(d) => json!({"seat": seat, "member": d.member, "role": d.role, "term": d.term, "leader": d.leader,
            "disk": d.disk, "disk_ok": d.disk_ok, "log": d.log.0, "applied": d.log.1, "fsyncs": d.writes,
            "voters": d.voters, "bytes_read": d.bytes.0, "bytes_written": d.bytes.1}),
        Err(why) => json!({"seat": seat, "unreachable": why}),
    };
    let mut all = json!({"fleet": name, "deciders": deciders.iter().map(decider).collect::<Vec<_>>()});
    if let Ok(status) = fleet {
        let member = |m: &beamgap::fleet::machine::Member| {
            json!({"member": m.name, "life": format!("{:x}", m.life), "version": m.version,
                "right": m.holds.as_ref().map(|mark| matches!(mark, Mark::Long)).map(|long| if long {"long"} else {"short"}),
                "heard_ms": m.heard_ms, "why_not": m.why_not, "note": m.note})
        };
        all["version"] = json!(status.version);
        all["pending"] = json!(status
            .pending
            .as_ref()
            .map(|(id, by, decided)| json!({"change": id, "by": by, "decided": decided})));
        all["members"] = status.members.iter().map(member).collect();
    }
    all
}

fn as_text(
    name: &str,
    deciders: &[(u64, Result<Box<Decider>, String>)],
    fleet: &Result<Box<Status>, String>,
) -> String {
    let mut text = format!("fleet {name}\n");
    for (seat, told) in deciders {
        text += &match told {
            Ok(d) => format!(
                "decider {seat}  {:<12} {:<9} term {} log {} applied {} disk {}\n",
                d.member, d.role, d.term, d.log.0, d.log.1, d.disk
            ),
            Err(why) => format!("decider {seat}  unreachable: {why}\n"),
        };
    }
    let Ok(status) = fleet else { return text };
    text += &format!("policy version {}\n", status.version);
    if let Some((id, by, decided)) = &status.pending {
        text +=
            &format!("change {id} by {by} {}\n", if *decided { "is decided" } else { "is being checked" });
    }
    for m in &status.members {
        let version = m.version.map_or("-".to_owned(), |v| v.to_string());
        let right = match &m.holds {
            Some(Mark::Long) => "holds a right",
            Some(Mark::Short(_)) => "holds a short right",
            None => "holds no right",
        };
        let heard = m.heard_ms.map_or("not heard of".to_owned(), |ms| format!("heard {ms:.0} ms ago"));
        let why = m.why_not.as_ref().map_or(String::new(), |why| format!("; admits nothing: {why}"));
        text += &format!("member {:<12} version {version} {right}, {heard}, {}{why}\n", m.name, m.note);
    }
    text
}
