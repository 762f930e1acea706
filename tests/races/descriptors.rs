//! Idle clients hold all the descriptors that clients may have, while discovery is down: what the program needs for
//! itself is kept back, and new clients are served.

use crate::stage::{config, Peer, LIMITS};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const DESCRIPTORS: usize = 96;
const PATIENCE: Duration = Duration::from_secs(20);
const ALIVE: &str = r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#;

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_for_line(log: &mut impl BufRead, what: &str) -> String {
    let mut line = String::new();
    while log.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
        if line.contains(what) {
            return line;
        }
        line.clear();
    }
    panic!("the log has ended without: {what}");
}

/// A client that has asked once and been answered, if it is served.
fn ask(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    write!(stream, "Content-Length: {}\r\n\r\n{ALIVE}", ALIVE.len()).ok()?;
    let mut answer = [0; 20];
    stream.read_exact(&mut answer).ok()?;
    Some(stream)
}

fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => return stream,
            Err(e) => assert!(Instant::now() < until, "nobody came: {e}"),
        }
        std::thread::yield_now();
    }
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_engines_reloads_and_new_clients() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    // Discovery is down: its address is known and nobody listens there.
    let down = TcpListener::bind("127.0.0.1:0").unwrap();
    let (engine, discovery) = (TcpListener::bind("127.0.0.1:0").unwrap(), down.local_addr().unwrap());
    drop(down);
    let limits = LIMITS.replace("1024", &DESCRIPTORS.to_string());
    let text = config(&[engine.local_addr().unwrap()], discovery, r#""listen":"127.0.0.1:0","#);
    std::fs::write(&path, text.replace(LIMITS, &limits)).unwrap();
    let script = format!("ulimit -n {DESCRIPTORS}; exec {}", env!("CARGO_BIN_EXE_beamgap"));
    let mut command = Command::new("sh");
    command.args(["-c", &script]).env("NODE_CONFIG", &path).stderr(Stdio::piped());
    let mut program = Program(command.spawn().unwrap());
    let mut log = BufReader::new(program.0.stderr.take().unwrap());
    let line = wait_for_line(&mut log, "listen: front=JsonRpc");
    let address: SocketAddr = line.trim().rsplit_once("address=").unwrap().1.parse().unwrap();

    // More clients than there are descriptors, each idle once it was answered.
    let idle: Vec<TcpStream> = (0..DESCRIPTORS + 30).filter_map(|_| ask(address)).collect();
    assert_eq!(idle.len(), DESCRIPTORS + 30, "each was served when it came");

    // The file is read anew, with discovery at a place where it is up.
    let back = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    let (before, after) = (discovery.to_string(), back.local_addr().unwrap().to_string());
    std::fs::write(&path, text.replace(&before, &after)).unwrap();
    assert!(Command::new("kill").args(["-HUP", &program.0.id().to_string()]).status().unwrap().success());
    wait_for_line(&mut log, "reload: done");
    let _watch = accept(&back);

    // A request reaches its engine, and its client has the answer.
    let mut client = ask(address).expect("a new client is served");
    let params = r#"{"rid":"00000000000000aa","budget":2500,"est":20,"memory":8,"doc":"c2VsZWN0IDE="}"#;
    let request = format!(r#"{{"jsonrpc":"2.0","id":2,"method":"lookup","params":{params}}}"#);
    write!(client, "Content-Length: {}\r\n\r\n{request}", request.len()).unwrap();
    let mut peer = Peer::new(accept(&engine));
    let until = Instant::now() + PATIENCE;
    while peer.line().is_none() {
        assert!(Instant::now() < until, "the request never came");
        peer.pull();
    }
}
