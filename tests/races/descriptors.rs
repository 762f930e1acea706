//! Descriptor exhaustion: idle clients use all descriptors that clients may have, while service discovery is down.
//! The program must have descriptors left for discovery, engines and reloads, and must still serve new clients.

use crate::stage::{config, Peer, LIMITS};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const DESCRIPTORS: usize = 96;
const TIMEOUT: Duration = Duration::from_secs(20);
const ALIVE: &str = r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#;

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        // Ignores errors, because the program may have exited by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_for_line(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while log.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
        if line.contains(text) {
            return line;
        }
        line.clear();
    }
    panic!("the log ended without a line that contains: {text}");
}

/// Connects a client, sends one request and reads the start of the response. Returns `None` if a step fails.
fn connect_client(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    write!(stream, "Content-Length: {}\r\n\r\n{ALIVE}", ALIVE.len()).ok()?;
    let mut answer = [0; 20];
    stream.read_exact(&mut answer).ok()?;
    Some(stream)
}

fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => return stream,
            Err(e) => assert!(Instant::now() < until, "no connection arrived: {e}"),
        }
        std::thread::yield_now();
    }
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_engines_reloads_and_new_clients() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    // Service discovery is down: the configuration names its address, but no server listens on that address.
    let stopped_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (engine, discovery) =
        (TcpListener::bind("127.0.0.1:0").unwrap(), stopped_discovery.local_addr().unwrap());
    drop(stopped_discovery);
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

    // Connects 30 clients more than the program has descriptors. Each client stays idle after its first response.
    let idle: Vec<TcpStream> = (0..DESCRIPTORS + 30).filter_map(|_| connect_client(address)).collect();
    assert_eq!(idle.len(), DESCRIPTORS + 30, "each client must be served when it connects");

    // Reloads the configuration with the address of a discovery server that is running.
    let running_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    let (before, after) = (discovery.to_string(), running_discovery.local_addr().unwrap().to_string());
    std::fs::write(&path, text.replace(&before, &after)).unwrap();
    assert!(Command::new("kill").args(["-HUP", &program.0.id().to_string()]).status().unwrap().success());
    wait_for_line(&mut log, "reload: done");
    let _watch = accept(&running_discovery);

    // A new client gets a response to its first request, and its second request reaches an engine.
    let mut client = connect_client(address).expect("a new client must be served");
    let params = r#"{"rid":"00000000000000aa","budget":2500,"est":20,"memory":8,"doc":"c2VsZWN0IDE="}"#;
    let request = format!(r#"{{"jsonrpc":"2.0","id":2,"method":"lookup","params":{params}}}"#);
    write!(client, "Content-Length: {}\r\n\r\n{request}", request.len()).unwrap();
    let mut peer = Peer::new(accept(&engine));
    let until = Instant::now() + TIMEOUT;
    while peer.line().is_none() {
        assert!(Instant::now() < until, "the request never reached the engine");
        peer.pull();
    }
}
