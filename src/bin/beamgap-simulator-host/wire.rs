//! The simulator's wire: lines of text to events, actions to lines of text. Nothing is decided here.

use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::settings::{bad, micros, number, report_field, settings, Parsed};
use beamgap::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::sync::Arc;

/// The parts of a line, taken one by one.
struct Parts<'a>(std::str::Split<'a, char>);

impl<'a> Parts<'a> {
    fn text(&mut self, what: &str) -> Parsed<&'a str> {
        match self.0.next() {
            Some(part) if !part.is_empty() => Ok(part),
            Some(_) => bad("nothing", what),
            None => bad("end of line", what),
        }
    }
    fn maybe(&mut self, what: &str) -> Parsed<Option<&'a str>> {
        Ok(Some(self.text(what)?).filter(|part| *part != "-"))
    }
    fn int<T: std::str::FromStr>(&mut self, what: &str) -> Parsed<T> {
        let part = self.text(what)?;
        part.parse().or_else(|_| bad(part, what))
    }
    fn number(&mut self, what: &str) -> Parsed<f64> {
        number(self.text(what)?, what)
    }
    fn maybe_number(&mut self, what: &str) -> Parsed<Option<f64>> {
        self.maybe(what)?.map(|part| number(part, what)).transpose()
    }
    fn flag(&mut self, what: &str) -> Parsed<bool> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => bad(other, what),
        }
    }
    fn end(mut self) -> Parsed<()> {
        self.0.next().map_or(Ok(()), |part| bad(part, "end of line"))
    }
}

/// A line of a batch.
#[derive(Debug)]
pub enum Line {
    /// The batch opens at this time.
    Clock(Micros),
    /// The batch closes.
    End,
    /// An instance comes up.
    Start(u32, u64, Box<Settings>),
    /// An instance dies.
    Stop(u32),
    /// A list follows, of so many entries, under this number.
    List(u8, usize),
    /// An entry of a list.
    Entry(EngineEntry),
    /// News of the list kept under a number; its kind and version.
    Registry(u32, Option<ListKind>, u64, Option<u8>),
    /// Anything else that happens to an instance.
    Event(u32, Event),
    /// A request; its class is still a name, for the instance's settings to resolve.
    Order(u32, Request, String),
}

/// Reads one line.
pub fn read(line: &str) -> Parsed<Line> {
    let mut p = Parts(line.split(' '));
    let name = p.text("the name of a message")?;
    let read = match name {
        "clock" => Line::Clock(micros(p.number("the time in milliseconds")?)),
        "eof_batch" => Line::End,
        "start" => {
            let (inst, seed) = (p.int("an instance number")?, p.int("a salt")?);
            let mut pairs = HashMap::new();
            for part in p.0.by_ref() {
                let Some((path, value)) = part.split_once('=') else { return bad(part, "a path=value pair") };
                pairs.insert(path.to_owned(), value.to_owned());
            }
            return Ok(Line::Start(inst, seed, Box::new(settings(&pairs)?)));
        }
        "shutdown" => Line::Stop(p.int("an instance number")?),
        "directory" => Line::List(p.int("a list number")?, p.int("a number of entries")?),
        "engine" => {
            let zone = p.maybe("a zone")?.unwrap_or("").to_owned();
            let engine = EngineId(Arc::from(p.text("an engine address")?));
            let kind = p.maybe("a machine kind")?.unwrap_or("").to_owned();
            let size_hint = p.maybe_number("a size")?.unwrap_or(1.0);
            let cell = match p.maybe("a cell number")? {
                Some(cell) => cell.parse().or_else(|_| bad(cell, "a cell number"))?,
                None => 0,
            };
            let started = p.maybe_number("a start time")?.filter(|at| *at > 0.0).map(micros);
            let state = match p.text("SERVING, DRAINING or DELETED")? {
                "SERVING" => EngineState::Serving,
                "DRAINING" => EngineState::Draining,
                "DELETED" => EngineState::Removed,
                other => return bad(other, "SERVING, DRAINING or DELETED"),
            };
            Line::Entry(EngineEntry { engine, zone, kind, size_hint, cell, started, state })
        }
        "registry" => {
            let inst = p.int("an instance number")?;
            let kind = match p.text("delta, full, cached or failed")? {
                "delta" => Some(ListKind::Changes),
                "full" => Some(ListKind::Full),
                "cached" => Some(ListKind::Cached),
                "failed" => None,
                other => return bad(other, "delta, full, cached or failed"),
            };
            let version = p.maybe_number("a list version")?.unwrap_or(0.0) as u64;
            let list = match p.maybe("a list number")? {
                Some(list) => Some(list.parse().or_else(|_| bad(list, "a list number"))?),
                None => None,
            };
            Line::Registry(inst, kind, version, list)
        }
        "order" => order(&mut p)?,
        "streaming" => {
            let (inst, request, attempt) = (p.int("an instance number")?, id(&mut p)?, attempt(&mut p)?);
            p.text("an engine address")?;
            p.maybe_number("a delay")?;
            Line::Event(inst, Event::Streaming { request, attempt })
        }
        "notice" => {
            let (inst, request) = (p.int("an instance number")?, id(&mut p)?);
            let value = p.maybe_number("a value")?.unwrap_or(0.0);
            let note = match (p.int::<u32>("a topic from 1 to 3")?, value) {
                (1, v) => Progress::ShareDone(v),
                (2, v) => Progress::Spilling(v),
                (3, v) if v < 1.5 => Progress::WaitsForMemory,
                (3, _) => Progress::WaitsForHolder,
                (other, _) => return bad(&other.to_string(), "a topic from 1 to 3"),
            };
            let (attempt, engine) = (attempt(&mut p)?, engine(&mut p)?);
            Line::Event(inst, Event::AttemptProgress { request, attempt, engine, progress: note })
        }
        "closed_attempt" => {
            let (inst, request, outcome) = (p.int("an instance number")?, id(&mut p)?, outcome(&mut p)?);
            let attempt = attempt(&mut p)?;
            let latency = micros(p.maybe_number("a delay")?.unwrap_or(0.0));
            let engine = engine(&mut p)?;
            let request_answered = p.flag("1 or 0")?;
            let cost =
                p.maybe("a cost")?.map(|c| c.parse::<u64>().or_else(|_| bad(c, "a cost"))).transpose()?;
            let cost = cost.filter(|c| *c > 0).map(|c| TrueCost {
                work: Micros::from_millis(c / 4096),
                memory_mb: (c % 4096) as f64 * 4.0,
            });
            let report = report(&mut p)?;
            let closed =
                AttemptEnd { request, attempt, engine, outcome, latency, request_answered, cost, report };
            Line::Event(inst, Event::AttemptEnded(closed))
        }
        "abandoned" => Line::Event(p.int("an instance number")?, Event::ClientGone(id(&mut p)?)),
        "timeout_fired" => {
            Line::Event(p.int("an instance number")?, Event::Timer(TimerId(p.int("a timer handle")?)))
        }
        "sampled" => {
            let (inst, engine, outcome) = (p.int("an instance number")?, engine(&mut p)?, outcome(&mut p)?);
            let latency = micros(p.maybe_number("a delay")?.unwrap_or(0.0));
            Line::Event(inst, Event::ProbeEnded { engine, outcome, latency, report: report(&mut p)? })
        }
        "peer_data" => {
            let (inst, from, data) = (p.int("an instance number")?, p.int("a sender")?, p.text("base64")?);
            let data = match data {
                "-" => Vec::new(),
                data => BASE64_STANDARD.decode(data).or_else(|_| bad(data, "base64 with padding"))?,
            };
            Line::Event(inst, Event::Peer { from, data })
        }
        other => return bad(other, "the name of a message"),
    };
    p.end()?;
    Ok(read)
}

fn order(p: &mut Parts) -> Parsed<Line> {
    let (inst, id) = (p.int("an instance number")?, id(p)?);
    let hint = p.maybe_number("a plan cost")?;
    let options = p.maybe_number("a sum of option bits")?.unwrap_or(0.0) as u64;
    let tables = p.maybe_number("a table group")?.unwrap_or(0.0).max(0.0) as u64;
    let key = p.maybe("a key")?.map(Arc::from);
    let left = micros(p.number("the time left")?);
    let class = p.text("a class")?.to_owned();
    let tenant = p.maybe("a tenant")?.map(Arc::from);
    let memory_hint_mb = p.maybe_number("a memory estimate")?.filter(|mb| *mb > 0.0);
    let request = Request {
        id,
        class: ClassId(0),
        time_left: left,
        table_group: tables,
        work_hint: hint.filter(|h| options & 1 != 0 && *h > 0.0).map(micros),
        memory_hint_mb,
        key,
        tenant,
        repeat: options & 2 != 0,
    };
    Ok(Line::Order(inst, request, class))
}

fn id(p: &mut Parts) -> Parsed<RequestId> {
    Ok(RequestId(Arc::from(p.text("a request id")?)))
}

fn engine(p: &mut Parts) -> Parsed<EngineId> {
    Ok(EngineId(Arc::from(p.text("an engine address")?)))
}

fn attempt(p: &mut Parts) -> Parsed<Attempt> {
    Ok(Attempt(p.int("an attempt number")?))
}

fn outcome(p: &mut Parts) -> Parsed<Outcome> {
    Ok(match p.text("an outcome code")? {
        "200" => Outcome::Served,
        "502" => Outcome::Error,
        "429" => Outcome::Overloaded,
        "408" => Outcome::TimedOut,
        "521" => Outcome::ConnectFailed,
        "520" => Outcome::Reset,
        "444" => Outcome::Cancelled,
        "409" => Outcome::NotSent,
        other => return bad(other, "an outcome code"),
    })
}

fn report(p: &mut Parts) -> Parsed<Option<LoadReport>> {
    let Some(text) = p.maybe("a load report")? else { return Ok(None) };
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once(':') else { return bad(pair, "a name:value pair") };
        let value = number(value, "a number")?;
        report_field(&mut report, name, value);
    }
    Ok(Some(report))
}

/// Writes one action of an instance as a line.
pub fn write(inst: u32, action: &Action, out: &mut String) {
    let ms = |t: &Micros| format!("{}.{:03}", t.0 / 1000, t.0 % 1000);
    let written = match action {
        Action::Forward { request, engine, give_up_after } => {
            let after = give_up_after.as_ref().map_or("0".to_owned(), ms);
            writeln!(out, "assign {inst} {} {} {after}", request.0, engine.0)
        }
        Action::Reject { request, retry_after } => {
            let after = retry_after.as_ref().map_or("0".to_owned(), ms);
            writeln!(out, "not_now {inst} {} {after}", request.0)
        }
        Action::Fail { request } => writeln!(out, "finish_error {inst} {}", request.0),
        Action::Cancel { request, attempt } => writeln!(out, "abandon {inst} {} {}", request.0, attempt.0),
        Action::SetTerms { request, memory_mb, priority } => {
            writeln!(out, "set_terms {inst} {} {memory_mb} {priority}", request.0)
        }
        Action::CloseIdle(engine) => writeln!(out, "free_links {inst} {}", engine.0),
        Action::SendToPeer { to, data } => {
            let to = to.map_or("*".to_owned(), |to| to.to_string());
            let data = if data.is_empty() { "-".to_owned() } else { BASE64_STANDARD.encode(data) };
            writeln!(out, "announce {inst} {to} {data}")
        }
        Action::SetTimer { after, timer } => writeln!(out, "defer {inst} {} {}", ms(after), timer.0),
        Action::Subscribe(on) => writeln!(out, "tail {inst} {}", u8::from(*on)),
        Action::FetchList => writeln!(out, "get_list {inst}"),
        Action::Log(event) => writeln!(out, "debug {inst} {}", event.to_string().replace(['\n', '\r'], " ")),
    };
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}

/// The hosted instances and the lists that they may be told of.
#[derive(Default)]
pub struct Host {
    now: Micros,
    open: bool,
    lists: BTreeMap<u8, Vec<EngineEntry>>,
    filling: Option<(u8, usize)>,
    instances: BTreeMap<u32, (Gateway, HashMap<String, usize>)>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Takes one line; gives the reply when a batch has closed.
    pub fn line(&mut self, line: &str) -> Parsed<Option<String>> {
        let parsed = read(line)?;
        if let Some((list, left)) = self.filling {
            let Line::Entry(member) = parsed else { return bad(line, "an engine line") };
            self.lists.entry(list).or_default().push(member);
            self.filling = (left > 1).then_some((list, left - 1));
            return Ok(None);
        }
        match parsed {
            Line::Clock(now) if !self.open => (self.now, self.open) = (now, true),
            _ if !self.open => return bad(line, "a clock line"),
            Line::Clock(_) => return bad(line, "an event or eof_batch"),
            Line::End => {
                self.open = false;
                self.reply.push_str("ok\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            Line::Start(inst, seed, settings) => {
                let names = settings.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), i)).collect();
                let gateway = Gateway::new(*settings, seed)
                    .or_else(|e| bad(&e.to_string(), "settings that make sense"))?;
                self.instances.insert(inst, (gateway, names));
            }
            Line::Stop(inst) => {
                self.instances.remove(&inst);
            }
            Line::List(list, entries) => {
                self.lists.insert(list, Vec::new());
                self.filling = (entries > 0).then_some((list, entries));
            }
            Line::Entry(_) => return bad(line, "an event: no list is open"),
            Line::Registry(inst, kind, version, list) => {
                let event = match kind {
                    None => Event::ListFailed,
                    Some(kind) => {
                        let members = list.and_then(|list| self.lists.get(&list)).cloned();
                        let Some(members) = members else { return bad(line, "the number of a list") };
                        Event::EngineList { kind, version, entries: members }
                    }
                };
                self.event(inst, event, line)?;
            }
            Line::Event(inst, event) => self.event(inst, event, line)?,
            Line::Order(inst, mut request, class) => {
                let Some((_, names)) = self.instances.get(&inst) else {
                    return bad(line, "an instance that was started");
                };
                let Some(place) = names.get(&class) else { return bad(&class, "a class of the settings") };
                request.class = ClassId(*place);
                self.event(inst, Event::RequestArrived(request), line)?;
            }
        }
        Ok(None)
    }

    /// Whether input may end here.
    pub fn between_batches(&self) -> bool {
        !self.open
    }

    fn event(&mut self, inst: u32, event: Event, line: &str) -> Parsed<()> {
        let Some((gateway, _)) = self.instances.get_mut(&inst) else {
            return bad(line, "an instance that was started");
        };
        gateway.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write(inst, &action, &mut self.reply);
        }
        Ok(())
    }
}
