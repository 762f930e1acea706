//! Runs gateways under the simulator's protocol: reads batches of events from standard input and writes replies to
//! standard output.
//!
//! [`message`] parses a line, [`host`] passes the message to the gateway instance that it names, and [`action`]
//! writes the resulting actions. All routing decisions are made by the gateway, none in this program.

mod action;
mod error;
mod fields;
mod host;
mod message;

use error::HostError;
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("beamgap-simulator-host: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches and writes the reply to each, until the input ends.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut bytes = Vec::new();
    for line in 1.. {
        bytes.clear();
        let length =
            input.read_until(b'\n', &mut bytes).map_err(|source| HostError::Read { line, source })?;
        if length == 0 {
            if host.batch_is_open() {
                return Err(HostError::EndInsideBatch { line });
            }
            return Ok(());
        }
        let text = decode_line(&bytes, line)?;
        let reply = host.handle_line(text).map_err(|source| HostError::Malformed { line, source })?;
        if let Some(reply) = reply {
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(|source| HostError::Write { line, source })?;
        }
    }
    Ok(())
}

/// Decodes a line as UTF-8 and removes the line ending.
fn decode_line(bytes: &[u8], line: u64) -> Result<&str, HostError> {
    if bytes.last() != Some(&b'\n') {
        return Err(HostError::EndInsideLine { line });
    }
    let text = std::str::from_utf8(bytes).map_err(|source| HostError::NotUtf8 { line, source })?;
    Ok(text.trim_end_matches(['\n', '\r']))
}
