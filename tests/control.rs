//! Health checks, agent checks and xDS over HTTP for load balancers and proxies, and signals to the node's process.

#[path = "common/stage.rs"]
mod stage;

use beamgap::node::config::Config;
use beamgap::node::control::ControlProtocol;
use stage::{config, Peer, Stage};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const CONTROL: &str =
    r#""listen":"127.0.0.1:0","control":{"http":"127.0.0.1:0","agent":"127.0.0.1:0","cluster":"boxes"},"#;

/// Sends a text to a control address and returns the response up to the text `end`, or up to the close if `end` is
/// empty.
fn ask(stage: &mut Stage, kind: ControlProtocol, text: &str, end: &str) -> String {
    let address = stage.node.control_address(kind).unwrap();
    let mut peer = Peer::new(TcpStream::connect(address).unwrap());
    peer.push(text.as_bytes());
    for _ in 0..5000 {
        stage.turn();
        peer.pull();
        let got = String::from_utf8_lossy(&peer.input).into_owned();
        if peer.closed || (!end.is_empty() && got.ends_with(end)) {
            return got;
        }
    }
    panic!("no response to {text}");
}

fn get(stage: &mut Stage, path: &str) -> String {
    ask(
        stage,
        ControlProtocol::Http,
        &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
        "",
    )
}

fn post_discovery(stage: &mut Stage, body: &str) -> String {
    let head = format!("POST /v3/discovery:endpoints HTTP/1.0\r\nContent-Length: {}\r\n\r\n", body.len());
    ask(stage, ControlProtocol::Http, &(head + body), "")
}

#[test]
fn health_and_agent_check_tell_whether_new_work_is_welcome() {
    let mut stage = Stage::new(1, CONTROL);
    assert!(get(&mut stage, "/health/live").starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(get(&mut stage, "/health/ready").ends_with("\r\n\r\nready\n"));
    assert_eq!(ask(&mut stage, ControlProtocol::Agent, "", ""), "ready up 100%\n");
    assert_eq!(ask(&mut stage, ControlProtocol::Agent, "who are you\n", ""), "ready up 100%\n");
    stage.tell_of(0, "2 2");
    assert!(get(&mut stage, "/health/ready").starts_with("HTTP/1.1 503 "));
    assert!(ask(&mut stage, ControlProtocol::Agent, "", "").starts_with("down #"));
    stage.tell_of(0, "3 0");
    stage.node.begin_shutdown();
    assert_eq!(ask(&mut stage, ControlProtocol::Agent, "", ""), "drain\n");
    assert!(get(&mut stage, "/health/live").starts_with("HTTP/1.1 200 "));
}

#[test]
fn http_is_kept_open_or_closed_as_asked_and_nonsense_is_told() {
    let mut stage = Stage::new(1, CONTROL);
    let two = "GET /health/live HTTP/1.1\r\n\r\nHEAD /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    let got = ask(&mut stage, ControlProtocol::Http, two, "");
    assert_eq!((got.matches("HTTP/1.1 200").count(), got.matches("alive\n").count()), (2, 1));
    assert!(got.ends_with("\r\n\r\n"), "the response to HEAD has a body");
    assert!(get(&mut stage, "/other").starts_with("HTTP/1.1 404 "));
    assert!(get(&mut stage, "/v3/discovery:endpoints").starts_with("HTTP/1.1 405 "));
    let long = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(9000));
    for (text, status) in [
        ("\0\0\0\r\n\r\n", "400"),
        ("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
        ("POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", "413"),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501"),
        (&long, "431"),
    ] {
        let got = ask(&mut stage, ControlProtocol::Http, text, "");
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {got}");
    }
}

#[test]
fn xds_tells_the_engines_as_the_module_sees_them() {
    let mut stage = Stage::new(2, CONTROL);
    let first = post_discovery(&mut stage, r#"{"resource_names":["boxes"]}"#);
    assert!(first.starts_with("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"));
    let healthy = |got: &str| got.matches(r#""health_status":"HEALTHY""#).count();
    assert_eq!((healthy(&first), first.matches(r#""locality":{"zone":"a"}"#).count()), (2, 1));
    for house in &stage.houses {
        assert!(first.contains(&format!(r#""port_value":{}"#, house.address().port())));
    }
    assert!(first.contains(r#""load_balancing_weight":800"#));
    let version = first.split(r#""version_info":""#).nth(1).unwrap()[..16].to_owned();
    let again = format!(r#"{{"version_info":"{version}","resource_names":["boxes"]}}"#);
    let same = post_discovery(&mut stage, &again);
    assert!(same.starts_with("HTTP/1.1 304 "), "{same}");
    stage.tell_of(1, "2 1");
    let changed = post_discovery(&mut stage, &again);
    assert!(!changed.contains(&version) && changed.contains(r#""health_status":"DRAINING""#));
    assert_eq!(healthy(&changed), 1);
    assert!(post_discovery(&mut stage, r#"{"resource_names":["others"]}"#).contains(r#""resources":[]"#));
    assert!(post_discovery(&mut stage, "{").starts_with("HTTP/1.1 400 "));
    assert!(post_discovery(&mut stage, r#"{"type_url":"x"}"#).starts_with("HTTP/1.1 404 "));
}

fn config_path(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("beamgap-{name}-{}.json", std::process::id()))
}

/// Writes a configuration to a temporary file and starts the program with it.
fn start(name: &str, text: &str) -> Child {
    let path = config_path(name);
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_beamgap"));
    command.env("NODE_CONFIG", &path).env_remove("NODE_LISTEN").stderr(Stdio::piped());
    command.spawn().expect("the program failed to start")
}

fn stderr_of_failed_start(name: &str, text: &str) -> String {
    let output = start(name, text).wait_with_output().unwrap();
    std::fs::remove_file(config_path(name)).unwrap();
    assert!(!output.status.success(), "{name}: the program started with an invalid configuration");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_key() {
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = config(&[unused_address], unused_address, r#""listen":"127.0.0.1:0","#);
    for (name, bad, key) in [
        ("json", "{".to_owned(), "(file)"),
        ("settings", r#"{"listen":"127.0.0.1:0"}"#.to_owned(), "settings"),
        ("listen", good.replace(r#""listen":"127.0.0.1:0""#, r#""listen":"here""#), "listen"),
        ("absent", good.replace(r#""listen":"127.0.0.1:0","#, ""), "listen"),
        ("seed", good.replace(r#""seed":"1f""#, r#""seed":"no""#), "seed"),
        ("sockets", good.replace(r#""sockets":1024"#, r#""sockets":-1"#), "limits.sockets"),
        ("class", good.replace(r#""HardLimit":2500,"#, r#""HardLimit":"x","#), "Classes.0.HardLimit"),
        ("state", good.replace("in_service", "asleep"), "known.items[0].roster.targets[0].state"),
        (
            "mysql",
            good.replace(r#""seed""#, r#""mysql":{"listen":"127.0.0.1:0"},"seed""#),
            "mysql.default_class",
        ),
        ("control", good.replace(r#""seed""#, r#""control":{"http":7},"seed""#), "control.http"),
    ] {
        let stderr = stderr_of_failed_start(name, &bad);
        assert!(stderr.contains(key) && stderr.lines().count() == 1, "{name}: {stderr}");
    }
}

#[test]
fn the_operators_example_is_a_good_configuration() {
    let text = include_bytes!("../deploy/operator.example.json").to_vec();
    let config = Config::read(text.clone(), &|_| Some("secret".to_owned())).unwrap();
    let mysql = config.mysql.expect("the MySQL front is configured");
    assert!(config.listen.is_none() && mysql.accounts.len() == 2 && mysql.rules.len() == 3);
    let error =
        Config::read(text, &|_| None).err().expect("a password missing from the environment is an error");
    assert_eq!(error.key, "mysql.accounts[0].password_env");
}

#[test]
fn a_sigterm_lets_the_program_answer_all_and_exit_well() {
    // Guards against lost requests in a planned restart: after SIGTERM the node still answers its open requests, and
    // it also serves clients that connect just after the signal.
    let engine_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let engines = [engine_listener.local_addr().unwrap()];
    let mut child = start("term", &config(&engines, unused_address, r#""listen":"127.0.0.1:0","#));
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut wait_for_log_line = |what: &str| loop {
        let mut line = String::new();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "the log ended before: {what}");
        if line.contains(what) {
            return line;
        }
    };
    let address =
        wait_for_log_line("listen: front=JsonRpc").trim().rsplit_once("address=").unwrap().1.to_owned();
    let ask = |stream: &mut TcpStream, body: &str| {
        write!(stream, "Content-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    };
    let answer = |stream: TcpStream| {
        let (mut reader, mut head, mut empty) = (BufReader::new(stream), String::new(), String::new());
        reader.read_line(&mut head).unwrap();
        reader.read_line(&mut empty).unwrap();
        let mut body = vec![0; head.trim().strip_prefix("Content-Length: ").unwrap().parse().unwrap()];
        reader.read_exact(&mut body).unwrap();
        String::from_utf8(body).unwrap()
    };
    let mut client = TcpStream::connect(&address).unwrap();
    ask(
        &mut client,
        r#"{"jsonrpc":"2.0","id":1,"method":"delivery-load","params":{"rid":"00000000000000ab","budget":25000,"doc":"eA=="}}"#,
    );
    let (mut engine_side, _) = engine_listener.accept().unwrap();
    let mut want = String::new();
    BufReader::new(engine_side.try_clone().unwrap()).read_line(&mut want).unwrap();
    assert!(want.starts_with("want 00000000000000ab profile=delivery-load,"), "{want}");
    let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(killed.success());
    wait_for_log_line("n0 ending: open=1");
    let mut late = TcpStream::connect(&address).unwrap();
    ask(&mut late, r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#);
    assert_eq!(answer(late), r#"{"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
    engine_side.write_all(b"00000000000000ab served pages=1 6\r\na\tb\tc\n\r\n").unwrap();
    assert_eq!(answer(client), r#"{"jsonrpc":"2.0","id":1,"result":{"doc":"YQliCWMK"}}"#);
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(config_path("term")).unwrap();
}

#[test]
fn a_sighup_moves_the_bulletin_and_a_bad_file_changes_nothing() {
    // Guards against a reload on SIGHUP that stops the program or applies an invalid file. The program must connect to
    // the new address of service discovery and resume after the last change number received. Its log must name an
    // invalid key, and keys that have an effect at startup only.
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let text = config(&[], old.local_addr().unwrap(), r#""listen":"127.0.0.1:0","#);
    let mut child = start("hup", &text);
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let accept_subscription = |bulletin: &TcpListener| {
        let (mut stream, mut last) = (bulletin.accept().unwrap().0, [0; 8]);
        stream.read_exact(&mut last).unwrap();
        (stream, u64::from_be_bytes(last))
    };
    let (mut dropped, last) = accept_subscription(&old);
    assert_eq!(last, 1);
    let mut reload = |text: &str, lines: &[&str]| {
        std::fs::write(config_path("hup"), text).unwrap();
        assert!(Command::new("kill").args(["-HUP", &child.id().to_string()]).status().unwrap().success());
        for line in lines {
            assert!(log.any(|entry| entry.unwrap().contains(line)), "the log ended before: {line}");
        }
    };
    reload(&text.replace(r#""seed":"1f""#, r#""seed":"no""#), &["reload: config: seed is not 16 hex digits"]);
    let moved = text.replace(&old.local_addr().unwrap().to_string(), &new.local_addr().unwrap().to_string());
    reload(&moved.replace(r#""seed":"1f""#, r#""seed":"2f""#), &["reload: done", "reload: seed has changed"]);
    assert_eq!(accept_subscription(&new).1, 1);
    assert_eq!(
        dropped.read(&mut [0; 8]).unwrap(),
        0,
        "the connection to the old service discovery is still open"
    );
    assert!(child.try_wait().unwrap().is_none(), "the program exited");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(config_path("hup")).unwrap();
}

// Guards against a connection that stops: requests beyond what one read takes were answered only if more bytes came.
#[test]
fn all_requests_that_a_peer_pipelines_are_answered() {
    const REQUESTS: usize = 10_000;
    let mut stage = Stage::new(1, CONTROL);
    let address = stage.node.control_address(ControlProtocol::Http).expect("the listener is open");
    let mut peer = Peer::new(TcpStream::connect(address).expect("the connect failed"));
    let request = "GET /health/live HTTP/1.1\r\n\r\n";
    let bytes = request.repeat(REQUESTS);
    let node = &mut stage.node;
    peer.push_while(bytes.as_bytes(), || {
        node.poll_once(Duration::from_millis(1)).expect("the event loop failed")
    });
    stage.expect("all responses", |_| {
        peer.pull();
        assert!(!peer.closed, "the connection was closed");
        peer.input.windows(6).filter(|bytes| bytes == b"alive\n").count() == REQUESTS
    });
}

// Guards against a node that balancers take for dead: held connections kept every new health check out.
#[test]
fn health_checks_are_answered_while_others_hold_all_connections() {
    let mut stage = Stage::new(1, CONTROL);
    let address = stage.node.control_address(ControlProtocol::Http).expect("the listener is open");
    let held: Vec<Peer> = (0..40)
        .map(|_| {
            let mut peer = Peer::new(TcpStream::connect(address).expect("the connect failed"));
            peer.push(b"GET /health");
            stage.turn();
            stage.clock.set(stage.clock.now() + 1.0);
            peer
        })
        .collect();
    assert!(get(&mut stage, "/health/live").starts_with("HTTP/1.1 200 OK\r\n"));
    assert_eq!(ask(&mut stage, ControlProtocol::Agent, "", ""), "ready up 100%\n");
    drop(held);
}
