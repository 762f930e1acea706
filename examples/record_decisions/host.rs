//! The recorded program: a `beamgap-simulator-host` process and the text exchanged with the process.

use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A running `beamgap-simulator-host` process, with the complete text sent to the process and received from it.
pub struct Host {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    events: String,
    actions: String,
}

impl Host {
    pub fn start(program: &str) -> io::Result<Host> {
        let mut child = Command::new(program).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take().ok_or_else(|| io::Error::other("no standard input"))?;
        let output = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let output = BufReader::new(output);
        Ok(Host { child, input, output, events: String::new(), actions: String::new() })
    }

    /// Sends one batch of event lines and returns the action lines of its reply.
    pub fn exchange(&mut self, now_ms: f64, events: &[String]) -> io::Result<Vec<String>> {
        let batch = format!("clock {now_ms:.3}\n{}\neof_batch\n", events.join("\n"));
        self.input.write_all(batch.as_bytes())?;
        self.events.push_str(&batch);
        let mut actions = Vec::new();
        loop {
            let mut line = String::new();
            if self.output.read_line(&mut line)? == 0 {
                return Err(io::Error::other("the program ended before its reply"));
            }
            self.actions.push_str(&line);
            match line.trim_end() {
                "ok" => return Ok(actions),
                action => actions.push(action.to_owned()),
            }
        }
    }

    /// Closes the program's standard input, waits until the program exits, and returns the recorded events and actions.
    pub fn finish(mut self) -> io::Result<(String, String)> {
        drop(self.input);
        self.child.wait()?;
        Ok((self.events, self.actions))
    }
}
