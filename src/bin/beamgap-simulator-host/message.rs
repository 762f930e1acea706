//! Reads the lines of a batch. A line is the name of a message and its fields, separated by one space each.
//!
//! The simulator's names and what they are here:
//!
//! | line | message |
//! |---|---|
//! | `clock` | [`Message::Clock`] |
//! | `eof_batch` | [`Message::EndOfBatch`] |
//! | `start` | [`Message::Start`] |
//! | `shutdown` | [`Message::Shutdown`] |
//! | `directory` | [`Message::List`] |
//! | `engine` | [`Message::Entry`] |
//! | `registry` | [`Message::EngineList`] |
//! | `order` | [`Message::Request`] |
//! | `streaming` | [`Event::Streaming`] |
//! | `notice` | [`Event::AttemptProgress`] |
//! | `closed_attempt` | [`Event::AttemptEnded`] |
//! | `abandoned` | [`Event::ClientGone`] |
//! | `timeout_fired` | [`Event::Timer`] |
//! | `sampled` | [`Event::ProbeEnded`] |
//! | `peer_data` | [`Event::Peer`] |

use crate::fields::{Fields, ABSENT};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::settings::{micros, read_settings, unexpected, Parsed};
use beamgap::{
    AttemptEnd, ClassId, EngineEntry, EngineState, Event, ListKind, Micros, Progress, Request, Settings,
    TimerId, TrueCost,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Set in an order's options if the plan cost may be used as a hint of the work.
const OPTION_WORK_HINT: u64 = 1;
/// Set in an order's options if the request repeats an earlier one.
const OPTION_REPEAT: u64 = 2;

/// A true cost is one integer: the work in milliseconds times this, plus the memory in units.
const COST_RADIX: u64 = 4096;
/// Memory of one unit of a true cost, in MB.
const COST_MEMORY_UNIT_MB: f64 = 4.0;

/// A notice that a request waits has a value below this if it waits for memory, else it waits for a table's holder.
const WAITS_FOR_HOLDER_FROM: f64 = 1.5;

/// Size of an engine whose line gives none.
const DEFAULT_SIZE_HINT: f64 = 1.0;

/// A line of a batch.
#[derive(Debug)]
pub enum Message {
    /// The batch opens at this time.
    Clock(Micros),
    /// The batch closes.
    EndOfBatch,
    /// An instance comes up.
    Start(StartMessage),
    /// An instance dies.
    Shutdown { instance: u32 },
    /// A list with this many entries follows.
    List { list: u8, entries: usize },
    /// An entry of a list.
    Entry(EngineEntry),
    /// An instance's request for the engine list is answered, or the list has changed.
    EngineList(EngineListMessage),
    /// A request arrives at an instance.
    Request(RequestMessage),
    /// Anything else that happens to an instance.
    Event { instance: u32, event: Event },
}

/// An instance comes up.
#[derive(Debug)]
pub struct StartMessage {
    pub instance: u32,
    pub seed: u64,
    pub settings: Box<Settings>,
}

/// News of the engine list for an instance.
#[derive(Debug)]
pub struct EngineListMessage {
    pub instance: u32,
    /// `None` if the list could not be had.
    pub kind: Option<ListKind>,
    pub version: u64,
    /// The number under which the list was sent.
    pub list: Option<u8>,
}

/// A request arrives at an instance.
#[derive(Debug)]
pub struct RequestMessage {
    pub instance: u32,
    /// Its class is not yet set.
    pub request: Request,
    /// The name of the class, for the instance's settings to resolve.
    pub class: String,
}

/// Reads one line.
pub fn read_message(line: &str) -> Parsed<Message> {
    let mut fields = Fields::of(line);
    let message = match fields.text("the name of a message")? {
        "clock" => read_clock(&mut fields)?,
        "eof_batch" => Message::EndOfBatch,
        "start" => read_start(&mut fields)?,
        "shutdown" => Message::Shutdown { instance: fields.instance()? },
        "directory" => read_list(&mut fields)?,
        "engine" => read_entry(&mut fields)?,
        "registry" => read_engine_list(&mut fields)?,
        "order" => read_request(&mut fields)?,
        "streaming" => read_streaming(&mut fields)?,
        "notice" => read_attempt_progress(&mut fields)?,
        "closed_attempt" => read_attempt_end(&mut fields)?,
        "abandoned" => read_client_gone(&mut fields)?,
        "timeout_fired" => read_timer(&mut fields)?,
        "sampled" => read_probe_end(&mut fields)?,
        "peer_data" => read_peer_message(&mut fields)?,
        other => return unexpected(other, "the name of a message"),
    };
    fields.end()?;
    Ok(message)
}

fn read_clock(fields: &mut Fields) -> Parsed<Message> {
    let now_ms = fields.number("the time in milliseconds")?;
    Ok(Message::Clock(micros(now_ms)))
}

fn read_start(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let seed = fields.integer("a salt")?;
    let mut pairs = HashMap::new();
    while let Some(field) = fields.next_field() {
        let Some((path, value)) = field.split_once('=') else {
            return unexpected(field, "a path=value pair");
        };
        pairs.insert(path.to_owned(), value.to_owned());
    }
    let settings = Box::new(read_settings(&pairs)?);
    Ok(Message::Start(StartMessage { instance, seed, settings }))
}

fn read_list(fields: &mut Fields) -> Parsed<Message> {
    let list = fields.integer("a list number")?;
    let entries = fields.integer("a number of entries")?;
    Ok(Message::List { list, entries })
}

fn read_entry(fields: &mut Fields) -> Parsed<Message> {
    let zone = fields.optional_text("a zone")?.unwrap_or("").to_owned();
    let engine = fields.engine()?;
    let kind = fields.optional_text("a machine kind")?.unwrap_or("").to_owned();
    let size_hint = fields.optional_number("a size")?.unwrap_or(DEFAULT_SIZE_HINT);
    let cell = fields.optional_integer("a cell number")?.unwrap_or(0);
    let started_ms = fields.optional_number("a start time")?.filter(|at| *at > 0.0);
    let started = started_ms.map(micros);
    let state = read_engine_state(fields)?;
    Ok(Message::Entry(EngineEntry { engine, zone, kind, size_hint, cell, started, state }))
}

fn read_engine_state(fields: &mut Fields) -> Parsed<EngineState> {
    const EXPECTED: &str = "SERVING, DRAINING or DELETED";
    match fields.text(EXPECTED)? {
        "SERVING" => Ok(EngineState::Serving),
        "DRAINING" => Ok(EngineState::Draining),
        "DELETED" => Ok(EngineState::Removed),
        other => unexpected(other, EXPECTED),
    }
}

fn read_engine_list(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let kind = read_list_kind(fields)?;
    let version = fields.optional_number("a list version")?.unwrap_or(0.0) as u64;
    let list = fields.optional_integer("a list number")?;
    Ok(Message::EngineList(EngineListMessage { instance, kind, version, list }))
}

fn read_list_kind(fields: &mut Fields) -> Parsed<Option<ListKind>> {
    const EXPECTED: &str = "delta, full, cached or failed";
    match fields.text(EXPECTED)? {
        "delta" => Ok(Some(ListKind::Changes)),
        "full" => Ok(Some(ListKind::Full)),
        "cached" => Ok(Some(ListKind::Cached)),
        "failed" => Ok(None),
        other => unexpected(other, EXPECTED),
    }
}

fn read_request(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let id = fields.request()?;
    let plan_cost_ms = fields.optional_number("a plan cost")?;
    let options = fields.optional_number("a sum of option bits")?.unwrap_or(0.0) as u64;
    let table_group = fields.optional_number("a table group")?.unwrap_or(0.0).max(0.0) as u64;
    let key = fields.optional_text("a key")?.map(Arc::from);
    let time_left = micros(fields.number("the time left")?);
    let class = fields.text("a class")?.to_owned();
    let tenant = fields.optional_text("a tenant")?.map(Arc::from);
    let memory_hint_mb = fields.optional_number("a memory estimate")?.filter(|mb| *mb > 0.0);
    let hint_is_given = options & OPTION_WORK_HINT != 0;
    let request = Request {
        id,
        class: ClassId(0),
        time_left,
        table_group,
        work_hint: plan_cost_ms.filter(|cost| hint_is_given && *cost > 0.0).map(micros),
        memory_hint_mb,
        key,
        tenant,
        repeat: options & OPTION_REPEAT != 0,
    };
    Ok(Message::Request(RequestMessage { instance, request, class }))
}

/// Reads a `streaming` line; its engine and its delay are checked and not used.
fn read_streaming(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let request = fields.request()?;
    let attempt = fields.attempt()?;
    fields.engine()?;
    fields.delay()?;
    Ok(Message::Event { instance, event: Event::Streaming { request, attempt } })
}

fn read_attempt_progress(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let request = fields.request()?;
    let progress = read_progress(fields)?;
    let attempt = fields.attempt()?;
    let engine = fields.engine()?;
    let event = Event::AttemptProgress { request, attempt, engine, progress };
    Ok(Message::Event { instance, event })
}

fn read_progress(fields: &mut Fields) -> Parsed<Progress> {
    const EXPECTED_TOPIC: &str = "a topic from 1 to 3";
    let value = fields.optional_number("a value")?.unwrap_or(0.0);
    match fields.integer::<u32>(EXPECTED_TOPIC)? {
        1 => Ok(Progress::ShareDone(value)),
        2 => Ok(Progress::Spilling(value)),
        3 if value < WAITS_FOR_HOLDER_FROM => Ok(Progress::WaitsForMemory),
        3 => Ok(Progress::WaitsForHolder),
        other => unexpected(&other.to_string(), EXPECTED_TOPIC),
    }
}

fn read_attempt_end(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let request = fields.request()?;
    let outcome = fields.outcome()?;
    let attempt = fields.attempt()?;
    let latency = fields.delay()?;
    let engine = fields.engine()?;
    let request_answered = fields.flag()?;
    let cost = read_true_cost(fields)?;
    let report = fields.load_report()?;
    let end = AttemptEnd { request, attempt, engine, outcome, latency, request_answered, cost, report };
    Ok(Message::Event { instance, event: Event::AttemptEnded(end) })
}

fn read_true_cost(fields: &mut Fields) -> Parsed<Option<TrueCost>> {
    let cost: Option<u64> = fields.optional_integer("a cost")?;
    let cost = cost.filter(|cost| *cost > 0);
    Ok(cost.map(|cost| TrueCost {
        work: Micros::from_millis(cost / COST_RADIX),
        memory_mb: (cost % COST_RADIX) as f64 * COST_MEMORY_UNIT_MB,
    }))
}

fn read_client_gone(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let request = fields.request()?;
    Ok(Message::Event { instance, event: Event::ClientGone(request) })
}

fn read_timer(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let timer = TimerId(fields.integer("a timer handle")?);
    Ok(Message::Event { instance, event: Event::Timer(timer) })
}

fn read_probe_end(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let engine = fields.engine()?;
    let outcome = fields.outcome()?;
    let latency = fields.delay()?;
    let report = fields.load_report()?;
    Ok(Message::Event { instance, event: Event::ProbeEnded { engine, outcome, latency, report } })
}

fn read_peer_message(fields: &mut Fields) -> Parsed<Message> {
    let instance = fields.instance()?;
    let from = fields.integer("a sender")?;
    let data = match fields.text("base64")? {
        ABSENT => Vec::new(),
        text => BASE64_STANDARD.decode(text).or_else(|_| unexpected(text, "base64 with padding"))?,
    };
    Ok(Message::Event { instance, event: Event::Peer { from, data } })
}
