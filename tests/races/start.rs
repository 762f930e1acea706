//! Races of the start: signals that arrive before the program serves requests, and a start without any engine.

use crate::stage::{config, Stage};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The program, blocked while it reads its configuration from a named pipe to which the test has not written yet.
struct BlockedProgram {
    child: Child,
    pipe: PathBuf,
    writer: File,
}

impl BlockedProgram {
    fn start(folder: &tempfile::TempDir) -> BlockedProgram {
        let pipe = folder.path().join("config.json");
        assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
        let mut command = Command::new(env!("CARGO_BIN_EXE_beamgap"));
        let child = command.env("NODE_CONFIG", &pipe).stderr(Stdio::piped()).spawn().unwrap();
        // Opening the named pipe for writing blocks until the program has opened the pipe for reading.
        let writer = File::options().write(true).open(&pipe).unwrap();
        BlockedProgram { child, pipe, writer }
    }

    fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(killed.success());
    }
}

fn config_text(discovery: &TcpListener) -> String {
    config(&[], discovery.local_addr().unwrap(), r#""listen":"127.0.0.1:0","#)
}

#[test]
fn a_reload_signal_before_the_program_serves_is_a_reload_and_no_end() {
    let folder = tempfile::tempdir().unwrap();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut program = BlockedProgram::start(&folder);
    program.signal("-HUP");
    program.writer.write_all(config_text(&discovery).as_bytes()).unwrap();
    drop(program.writer);
    let mut log = BufReader::new(program.child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("listen: ")), "the program has exited");
    // The program handles the pending reload signal once it serves requests, and reads its configuration again.
    std::fs::write(&program.pipe, config_text(&discovery)).unwrap();
    assert!(log.any(|line| line.ends_with("reload: done")), "the program has exited");
    program.child.kill().unwrap();
    program.child.wait().unwrap();
}

#[test]
fn a_signal_to_end_before_the_program_serves_ends_it_well() {
    let folder = tempfile::tempdir().unwrap();
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut program = BlockedProgram::start(&folder);
    program.signal("-TERM");
    program.writer.write_all(config_text(&discovery).as_bytes()).unwrap();
    drop(program.writer);
    let mut log = String::new();
    program.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(program.child.wait().unwrap().success(), "{log}");
}

#[test]
fn a_front_end_is_ready_without_any_engine_and_answers_what_it_cannot_run() {
    let mut stage = Stage::play(
        0,
        r#"c1 send {"jsonrpc":"2.0","id":1,"method":"alive"}
        c1 expect *pass*
        c1 send ask 2 lookup 1000 select 1 from s_1.t"#,
    );
    stage.go("clock wait 1020\nc1 expect 2 error *");
    assert_eq!(stage.node.open_requests(), 0);
}
