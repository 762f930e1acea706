//! Parses the lines of a batch. A line consists of the name of a message and its fields, separated by one space.
//!
//! The name at the start of the line determines the type of the message:
//!
//! | name | message |
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

/// Option bit of an `order` line: the plan cost may be used as an estimate of the request's work.
const OPTION_WORK_HINT: u64 = 1;
/// Option bit of an `order` line: the client marks the request as a repeat of an earlier one.
const OPTION_REPEAT: u64 = 2;

/// Separates the two parts of an actual cost, which is encoded as one integer: the work in milliseconds times this
/// number, plus the memory in units of [`COST_MEMORY_UNIT_MB`].
const COST_RADIX: u64 = 4096;
/// Unit of the memory in an encoded actual cost, in megabytes.
const COST_MEMORY_UNIT_MB: f64 = 4.0;

/// Threshold on the value of a `notice` line that reports a waiting query. Below this value the query waits for
/// memory; from this value on it waits for another query that has its tables locked.
const WAITS_FOR_HOLDER_FROM: f64 = 1.5;

/// Relative size of an engine whose `engine` line gives no size.
const DEFAULT_SIZE_HINT: f64 = 1.0;

/// The message in one line of a batch.
#[derive(Debug)]
pub enum Message {
    /// Starts a batch and sets the current time.
    Clock(Micros),
    /// Ends the batch.
    EndOfBatch,
    /// Starts a gateway instance.
    Start(StartMessage),
    /// Stops a gateway instance at once.
    Shutdown { instance: u32 },
    /// Announces an engine list; the next `entries` lines are its entries.
    List { list: u8, entries: usize },
    /// One entry of the announced engine list.
    Entry(EngineEntry),
    /// Delivers the engine list to an instance, because the instance requested it or because the list has changed.
    EngineList(EngineListMessage),
    /// A client's request arrives at an instance.
    Request(RequestMessage),
    /// An event that is passed to an instance unchanged.
    Event { instance: u32, event: Event },
}

/// Content of a `start` line, which starts a gateway instance.
#[derive(Debug)]
pub struct StartMessage {
    pub instance: u32,
    pub seed: u64,
    pub settings: Box<Settings>,
}

/// Content of a `registry` line, which delivers the engine list to an instance.
#[derive(Debug)]
pub struct EngineListMessage {
    pub instance: u32,
    /// Whether the list is complete or holds only changes; `None` if the list could not be fetched.
    pub kind: Option<ListKind>,
    pub version: u64,
    /// Number under which a `directory` line announced the list.
    pub list: Option<u8>,
}

/// Content of an `order` line: a client's request that arrives at an instance.
#[derive(Debug)]
pub struct RequestMessage {
    pub instance: u32,
    /// The request; its class index is a placeholder until the class name is resolved.
    pub request: Request,
    /// Name of the request's class, which is looked up in the settings of the instance.
    pub class: String,
}

/// Parses one line.
pub fn read_message(line: &str) -> Parsed<Message> {
    let mut fields = Fields::new(line);
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

/// Reads a `streaming` line. The engine and the delay must be valid but are not used.
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
        3 => Ok(Progress::WaitsForTableLock),
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
