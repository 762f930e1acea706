//! Hosts gateways on the simulator's wire: batches of events on standard input, replies on standard output.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("beamgap-simulator-host: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = wire::Host::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            let whole = host.between_batches();
            return if whole {
                Ok(())
            } else {
                Err(format!("line {number}: found end of input, expected eof_batch"))
            };
        }
        if line.last() != Some(&b'\n') {
            return Err(format!("line {number}: found end of input, expected end of line"));
        }
        let text =
            std::str::from_utf8(&line).map_err(|_| format!("line {number}: found bytes, expected UTF-8"))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if let Some(reply) = host.line(text).map_err(|e| format!("line {number}: {}", e.0))? {
            let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("line {number}: reply not written: {e}"))?;
        }
    }
    Ok(())
}
