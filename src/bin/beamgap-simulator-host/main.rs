//! Hosts gateways on the simulator's wire: batches of events on standard input, replies on standard output.
//!
//! [`message`] reads a line, [`host`] passes it to the gateway instance that it names, and [`action`] writes what
//! the gateway answers. Nothing is decided here.

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

/// Answers batches until the input ends.
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
        let text = text_of(&bytes, line)?;
        let reply = host.handle_line(text).map_err(|source| HostError::Malformed { line, source })?;
        if let Some(reply) = reply {
            let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|source| HostError::Write { line, source })?;
        }
    }
    Ok(())
}

/// The text of a line without its line ending.
fn text_of(bytes: &[u8], line: u64) -> Result<&str, HostError> {
    if bytes.last() != Some(&b'\n') {
        return Err(HostError::EndInsideLine { line });
    }
    let text = std::str::from_utf8(bytes).map_err(|source| HostError::NotUtf8 { line, source })?;
    Ok(text.trim_end_matches(['\n', '\r']))
}
