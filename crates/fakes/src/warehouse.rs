//! A stand-in engine of the platform's wire on a clock that tests set: bytes in, bytes out, no sockets. Its dialect
//! (reports in answers, by probe or never; a bound on what runs or none) comes from the settings that it is given.

use crate::draw::Draw;
use std::collections::BTreeMap;

/// How load reports leave an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Never.
    Off,
    /// With each answer.
    InAnswers,
    /// In the answer to `busy` alone.
    WhenAsked,
}

/// What an engine is like, and how often it fails.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// How its load is told.
    pub reports: Reports,
    /// Milliseconds between notes; none if it says nothing until the end.
    pub notes_ms: Option<f64>,
    /// Whether good ends tell work and memory.
    pub tells_cost: bool,
    /// Cores that all it runs share.
    pub cores: f64,
    /// Queries that it runs at once; none: all that it is sent.
    pub slots: Option<usize>,
    /// Mean work in milliseconds.
    pub work_ms: f64,
    /// Share of attempts that it ends with an error.
    pub crashes: f64,
    /// Share of attempts that it turns away.
    pub overloads: f64,
    /// Share of attempts of which it never says a word.
    pub hangs: f64,
}

/// What became of an attempt, as the engine saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// It came whole.
    Came,
    /// It was served.
    Served,
    /// It ended with an error: it may have run, and does so no more.
    Failed,
    /// Its connection ended: it may have run.
    Broke,
    /// It was turned away: it never ran.
    TurnedAway,
    /// It was called off by its front end.
    CalledOff,
    /// Its time was over.
    TimedOut,
}

/// One line of an engine's history.
#[derive(Clone, Debug)]
pub struct Act {
    /// When, on the test's clock.
    pub at: f64,
    /// The request's id.
    pub id: String,
    /// What happened.
    pub what: What,
}

struct Run {
    conn: u64,
    left: f64,
    work: f64,
    until: f64,
    noted: f64,
    mute: bool,
}

/// An engine.
pub struct Engine {
    dialect: Dialect,
    draw: Draw,
    now: f64,
    running: BTreeMap<String, Run>,
    /// All that came to it and what became of it, in order.
    pub acts: Vec<Act>,
}

impl Engine {
    /// An engine that runs nothing yet.
    pub fn new(dialect: Dialect, seed: u64, now: f64) -> Engine {
        Engine { dialect, draw: Draw::new(seed), now, running: BTreeMap::new(), acts: Vec::new() }
    }

    fn note(&mut self, id: &str, what: What) {
        self.acts.push(Act { at: self.now, id: id.to_owned(), what });
    }

    fn report(&self, asked: bool) -> String {
        let tells = match self.dialect.reports {
            Reports::Off => false,
            Reports::InAnswers => true,
            Reports::WhenAsked => asked,
        };
        let busy = (self.running.len() as f64 / self.dialect.cores).min(1.0);
        if tells {
            format!("report=inflight:{};util:{busy:.2};x0:{:.2}", self.running.len(), busy / 2.0)
        } else {
            String::new()
        }
    }

    /// Takes the whole lines of a connection's input; what it answers at once. A line that is none of the wire's is an
    /// error that names it.
    pub fn take(&mut self, now: f64, conn: u64, input: &mut Vec<u8>) -> Result<Vec<u8>, String> {
        self.now = now;
        let mut out = String::new();
        while let Some(end) = input.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8(input[..end].to_vec()).map_err(|e| e.to_string())?;
            let words: Vec<&str> = line.split(' ').collect();
            let mut used = end + 2;
            match words[..] {
                ["want", id, fields, length] => {
                    let length: usize = length.parse().map_err(|_| line.clone())?;
                    if input.len() < used + length + 2 {
                        break;
                    }
                    used += length + 2;
                    let max = fields.split(',').find_map(|f| f.strip_prefix("max=")?.parse::<f64>().ok());
                    let max = max.ok_or_else(|| format!("no max: {line}"))?;
                    self.want(conn, id, max, &mut out);
                }
                ["never_mind", id] => {
                    if self.running.get(id).is_some_and(|run| run.conn == conn) {
                        self.running.remove(id);
                        self.note(id, What::CalledOff);
                    }
                }
                ["there", tag] => out.push_str(&format!("{tag} green - 0\r\n\r\n")),
                ["busy", tag] => {
                    let report = self.report(true);
                    let fields = if report.is_empty() { "-" } else { &report };
                    out.push_str(&format!("{tag} green {fields} 0\r\n\r\n"));
                }
                ["hurry", _, _] | ["shut", _] => {}
                _ => return Err(format!("not of the wire: {line}")),
            }
            input.drain(..used);
        }
        Ok(out.into_bytes())
    }

    fn want(&mut self, conn: u64, id: &str, max: f64, out: &mut String) {
        self.note(id, What::Came);
        let full = self.dialect.slots.is_some_and(|most| self.running.len() >= most);
        if full || self.draw.unit() < self.dialect.overloads {
            self.note(id, What::TurnedAway);
            return out.push_str(&format!("{id} overload - 0\r\n\r\n"));
        }
        if self.draw.unit() < self.dialect.crashes {
            self.note(id, What::Failed);
            return out.push_str(&format!("{id} crashed - 0\r\n\r\n"));
        }
        let work = self.draw.waits(self.dialect.work_ms).max(1.0);
        let mute = self.draw.unit() < self.dialect.hangs;
        let run = Run { conn, left: work, work, until: self.now + max, noted: self.now, mute };
        self.running.insert(id.to_owned(), run);
    }

    /// A connection has ended, and with it all that was open there.
    pub fn closed(&mut self, now: f64, conn: u64) {
        self.now = now;
        let gone: Vec<String> =
            self.running.iter().filter(|(_, run)| run.conn == conn).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.running.remove(&id);
            self.note(&id, What::Broke);
        }
    }

    /// Lets time pass; what it says, by connection.
    pub fn pass(&mut self, now: f64) -> Vec<(u64, Vec<u8>)> {
        let share = (now - self.now) * (self.dialect.cores / self.running.len().max(1) as f64).min(1.0);
        self.now = now;
        let (mut said, mut over) = (Vec::new(), Vec::new());
        let report = self.report(false);
        for (id, run) in &mut self.running {
            run.left -= if run.mute { 0.0 } else { share };
            if run.left <= 0.0 {
                let mut fields = vec!["pages=1".to_owned()];
                if self.dialect.tells_cost {
                    fields.push(format!("cost={:.1},need=20", run.work));
                }
                fields.extend(Some(report.clone()).filter(|r| !r.is_empty()));
                let line = format!("{id} served {} 6\r\n1\t{}\t\n\r\n", fields.join(","), "ab");
                said.push((run.conn, line.into_bytes()));
                over.push((id.clone(), What::Served));
            } else if now >= run.until {
                over.push((id.clone(), What::TimedOut));
            } else if self.dialect.notes_ms.is_some_and(|every| now - run.noted >= every && !run.mute) {
                run.noted = now;
                let done = 1.0 - run.left / run.work;
                said.push((
                    run.conn,
                    format!("{id} update remark=so_far,v={done:.3} 0\r\n\r\n").into_bytes(),
                ));
            }
        }
        for (id, what) in over {
            self.running.remove(&id);
            self.note(&id, what);
        }
        said
    }
}
