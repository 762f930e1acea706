//! Fake engine that speaks the platform's engine protocol, as a state machine without sockets: the test passes in the
//! time and the received bytes, and gets back the bytes to send. Its [`Dialect`] selects how the engine reports its
//! load (with answers, on a probe, or never) and whether the number of concurrent queries is limited.

use crate::draw::Draw;
use std::collections::BTreeMap;

/// When an engine reports its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// The engine never reports its load.
    Off,
    /// The engine reports its load with each answer.
    InAnswers,
    /// The engine reports its load only in the answer to a `busy` probe.
    WhenAsked,
}

/// Capacity and protocol options of an engine, and the probabilities of its failures.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// When the engine reports its load.
    pub reports: Reports,
    /// Interval between progress updates in milliseconds; `None` if the engine sends no updates.
    pub notes_ms: Option<f64>,
    /// Whether successful answers contain the work and the memory of the query.
    pub tells_cost: bool,
    /// Number of cores, shared by all running queries.
    pub cores: f64,
    /// Maximum number of concurrent queries; `None` means no limit.
    pub slots: Option<usize>,
    /// Mean work of a query in milliseconds.
    pub work_ms: f64,
    /// Fraction of attempts that end with an error.
    pub crashes: f64,
    /// Fraction of attempts that the engine rejects as overloaded.
    pub overloads: f64,
    /// Fraction of attempts that hang: the engine accepts the query and never answers.
    pub hangs: f64,
}

/// An event in the life of an attempt, as observed by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// The engine received the whole attempt.
    Came,
    /// The engine sent the result.
    Served,
    /// The attempt ended with an error. The query may have run, and no longer runs.
    Failed,
    /// The connection of the attempt ended. The query may have run.
    Broke,
    /// The engine rejected the attempt as overloaded. The query never ran.
    TurnedAway,
    /// The front end cancelled the attempt.
    CalledOff,
    /// The time limit of the attempt expired.
    TimedOut,
}

/// One event in an engine's history.
#[derive(Clone, Debug)]
pub struct Act {
    /// Time of the event in milliseconds, on the test's clock.
    pub at: f64,
    /// Request id of the attempt.
    pub id: String,
    /// Kind of the event.
    pub what: What,
}

struct RunningQuery {
    conn: u64,
    remaining_work: f64,
    work: f64,
    until: f64,
    last_update: f64,
    hangs: bool,
}

/// State machine of a fake engine.
pub struct Engine {
    dialect: Dialect,
    draw: Draw,
    now: f64,
    running: BTreeMap<String, RunningQuery>,
    /// History of all received attempts and their ends, in order.
    pub acts: Vec<Act>,
}

impl Engine {
    /// Creates an engine without running queries.
    pub fn new(dialect: Dialect, seed: u64, now: f64) -> Engine {
        Engine { dialect, draw: Draw::new(seed), now, running: BTreeMap::new(), acts: Vec::new() }
    }

    fn record(&mut self, id: &str, what: What) {
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

    /// Consumes the complete messages in a connection's input and returns the immediate answers. Returns an error
    /// that contains the line if a line violates the protocol.
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
                    self.start_query(conn, id, max, &mut out);
                }
                ["never_mind", id] => {
                    if self.running.get(id).is_some_and(|run| run.conn == conn) {
                        self.running.remove(id);
                        self.record(id, What::CalledOff);
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

    fn start_query(&mut self, conn: u64, id: &str, max: f64, out: &mut String) {
        self.record(id, What::Came);
        let full = self.dialect.slots.is_some_and(|most| self.running.len() >= most);
        if full || self.draw.unit() < self.dialect.overloads {
            self.record(id, What::TurnedAway);
            return out.push_str(&format!("{id} overload - 0\r\n\r\n"));
        }
        if self.draw.unit() < self.dialect.crashes {
            self.record(id, What::Failed);
            return out.push_str(&format!("{id} crashed - 0\r\n\r\n"));
        }
        let work = self.draw.waits(self.dialect.work_ms).max(1.0);
        let hangs = self.draw.unit() < self.dialect.hangs;
        let run = RunningQuery {
            conn,
            remaining_work: work,
            work,
            until: self.now + max,
            last_update: self.now,
            hangs,
        };
        self.running.insert(id.to_owned(), run);
    }

    /// Handles the end of a connection: ends all queries that were running for the connection.
    pub fn closed(&mut self, now: f64, conn: u64) {
        self.now = now;
        let ended: Vec<String> =
            self.running.iter().filter(|(_, run)| run.conn == conn).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.running.remove(&id);
            self.record(&id, What::Broke);
        }
    }

    /// Advances the running queries to the time `now`. Returns the bytes to send, each with the number of its
    /// connection.
    pub fn pass(&mut self, now: f64) -> Vec<(u64, Vec<u8>)> {
        let share = (now - self.now) * (self.dialect.cores / self.running.len().max(1) as f64).min(1.0);
        self.now = now;
        let (mut output, mut finished) = (Vec::new(), Vec::new());
        let report = self.report(false);
        for (id, run) in &mut self.running {
            run.remaining_work -= if run.hangs { 0.0 } else { share };
            if run.remaining_work <= 0.0 {
                let mut fields = vec!["pages=1".to_owned()];
                if self.dialect.tells_cost {
                    fields.push(format!("cost={:.1},need=20", run.work));
                }
                fields.extend(Some(report.clone()).filter(|r| !r.is_empty()));
                let line = format!("{id} served {} 6\r\n1\t{}\t\n\r\n", fields.join(","), "ab");
                output.push((run.conn, line.into_bytes()));
                finished.push((id.clone(), What::Served));
            } else if now >= run.until {
                finished.push((id.clone(), What::TimedOut));
            } else if self.dialect.notes_ms.is_some_and(|every| now - run.last_update >= every && !run.hangs)
            {
                run.last_update = now;
                let done = 1.0 - run.remaining_work / run.work;
                output.push((
                    run.conn,
                    format!("{id} update remark=so_far,v={done:.3} 0\r\n\r\n").into_bytes(),
                ));
            }
        }
        for (id, what) in finished {
            self.running.remove(&id);
            self.record(&id, what);
        }
        output
    }
}
