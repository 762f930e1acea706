//! Writes the actions of a gateway as output lines of the simulator's protocol.
//!
//! | line | action |
//! |---|---|
//! | `assign` | [`Action::Forward`] |
//! | `not_now` | [`Action::Reject`] |
//! | `finish_error` | [`Action::Fail`] |
//! | `abandon` | [`Action::Cancel`] |
//! | `set_terms` | [`Action::SetTerms`] |
//! | `free_links` | [`Action::CloseIdle`] |
//! | `announce` | [`Action::SendToPeer`] |
//! | `defer` | [`Action::SetTimer`] |
//! | `tail` | [`Action::Subscribe`] |
//! | `get_list` | [`Action::FetchList`] |
//! | `debug` | [`Action::Log`] |

use crate::fields::ABSENT;
use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::{Action, Micros};
use std::fmt::{Result, Write as _};

/// Receiver field of an `announce` line whose message goes to all other gateways.
const ALL_PEERS: &str = "*";

/// Appends the line for one action of the gateway `instance` to `output`.
pub fn write_action(instance: u32, action: &Action, output: &mut String) {
    let written = write_line(instance, action, output);
    debug_assert!(written.is_ok(), "writing to a string can't fail");
}

fn write_line(instance: u32, action: &Action, output: &mut String) -> Result {
    match action {
        Action::Forward { request, engine, give_up_after } => {
            let after = optional_milliseconds(*give_up_after);
            writeln!(output, "assign {instance} {} {} {after}", request.0, engine.0)
        }
        Action::Reject { request, retry_after } => {
            let after = optional_milliseconds(*retry_after);
            writeln!(output, "not_now {instance} {} {after}", request.0)
        }
        Action::Fail { request } => writeln!(output, "finish_error {instance} {}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(output, "abandon {instance} {} {}", request.0, attempt.0)
        }
        Action::SetTerms { request, memory_mb, priority } => {
            writeln!(output, "set_terms {instance} {} {memory_mb} {priority}", request.0)
        }
        Action::CloseIdle(engine) => writeln!(output, "free_links {instance} {}", engine.0),
        Action::SendToPeer { to, data } => {
            let to = to.map_or(ALL_PEERS.to_owned(), |to| to.to_string());
            writeln!(output, "announce {instance} {to} {}", base64_field(data))
        }
        Action::SetTimer { after, timer } => {
            writeln!(output, "defer {instance} {} {}", milliseconds(*after), timer.0)
        }
        Action::Subscribe(on) => writeln!(output, "tail {instance} {}", u8::from(*on)),
        Action::FetchList => writeln!(output, "get_list {instance}"),
        Action::Log(event) => {
            let text = event.to_string().replace(['\n', '\r'], " ");
            writeln!(output, "debug {instance} {text}")
        }
    }
}

fn milliseconds(time: Micros) -> String {
    format!("{}.{:03}", time.0 / 1000, time.0 % 1000)
}

fn optional_milliseconds(time: Option<Micros>) -> String {
    time.map_or("0".to_owned(), milliseconds)
}

fn base64_field(data: &[u8]) -> String {
    if data.is_empty() {
        return ABSENT.to_owned();
    }
    BASE64_STANDARD.encode(data)
}
