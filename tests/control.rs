//! What balancers and proxies are told, and the node as a process.

#[path = "common/stage.rs"]
mod stage;

use beamgap::node::config::Config;
use beamgap::node::control::ControlProtocol;
use stage::{config, Peer, Stage};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

const CONTROL: &str =
    r#""listen":"127.0.0.1:0","control":{"http":"127.0.0.1:0","agent":"127.0.0.1:0","cluster":"boxes"},"#;

/// Writes a text and gives all that comes until `end` or the close.
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
    panic!("no answer to {text}");
}

fn get(stage: &mut Stage, path: &str) -> String {
    ask(
        stage,
        ControlProtocol::Http,
        &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
        "",
    )
}

fn discover(stage: &mut Stage, body: &str) -> String {
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
    assert!(got.ends_with("\r\n\r\n"), "a HEAD has no body");
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
    let first = discover(&mut stage, r#"{"resource_names":["boxes"]}"#);
    assert!(first.starts_with("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"));
    let healthy = |got: &str| got.matches(r#""health_status":"HEALTHY""#).count();
    assert_eq!((healthy(&first), first.matches(r#""locality":{"zone":"a"}"#).count()), (2, 1));
    for house in &stage.houses {
        assert!(first.contains(&format!(r#""port_value":{}"#, house.address().port())));
    }
    assert!(first.contains(r#""load_balancing_weight":800"#));
    let version = first.split(r#""version_info":""#).nth(1).unwrap()[..16].to_owned();
    let again = format!(r#"{{"version_info":"{version}","resource_names":["boxes"]}}"#);
    let same = discover(&mut stage, &again);
    assert!(same.starts_with("HTTP/1.1 304 "), "{same}");
    stage.tell_of(1, "2 1");
    let changed = discover(&mut stage, &again);
    assert!(!changed.contains(&version) && changed.contains(r#""health_status":"DRAINING""#));
    assert_eq!(healthy(&changed), 1);
    assert!(discover(&mut stage, r#"{"resource_names":["others"]}"#).contains(r#""resources":[]"#));
    assert!(discover(&mut stage, "{").starts_with("HTTP/1.1 400 "));
    assert!(discover(&mut stage, r#"{"type_url":"x"}"#).starts_with("HTTP/1.1 404 "));
}

fn file(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("beamgap-{name}-{}.json", std::process::id()))
}

/// Starts the program on a configuration, in a file of its own.
fn start(name: &str, text: &str) -> Child {
    let path = file(name);
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_beamgap"));
    command.env("NODE_CONFIG", &path).env_remove("NODE_LISTEN").stderr(Stdio::piped());
    command.spawn().expect("the program starts")
}

fn fails(name: &str, text: &str) -> String {
    let output = start(name, text).wait_with_output().unwrap();
    std::fs::remove_file(file(name)).unwrap();
    assert!(!output.status.success(), "{name}: it should not start");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_key() {
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = config(&[nowhere], nowhere, r#""listen":"127.0.0.1:0","#);
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
        let told = fails(name, &bad);
        assert!(told.contains(key) && told.lines().count() == 1, "{name}: {told}");
    }
}

#[test]
fn the_operators_example_is_a_good_configuration() {
    let text = include_bytes!("../deploy/operator.example.json").to_vec();
    let config = Config::read(text.clone(), &|_| Some("secret".to_owned())).unwrap();
    let mysql = config.mysql.expect("the MySQL front is on");
    assert!(config.listen.is_none() && mysql.accounts.len() == 2 && mysql.rules.len() == 3);
    let error = Config::read(text, &|_| None).err().expect("passwords come from the environment");
    assert_eq!(error.key, "mysql.accounts[0].password_env");
}

#[test]
fn a_sigterm_lets_the_program_answer_all_and_exit_well() {
    // Guards a planned restart: what is open is finished, and who connects just after the signal is served too.
    let warehouse = TcpListener::bind("127.0.0.1:0").unwrap();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let engines = [warehouse.local_addr().unwrap()];
    let mut child = start("term", &config(&engines, nowhere, r#""listen":"127.0.0.1:0","#));
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut until = |what: &str| loop {
        let mut line = String::new();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "it ended before: {what}");
        if line.contains(what) {
            return line;
        }
    };
    let address = until("listen: front=JsonRpc").trim().rsplit_once("address=").unwrap().1.to_owned();
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
    let (mut box_side, _) = warehouse.accept().unwrap();
    let mut want = String::new();
    BufReader::new(box_side.try_clone().unwrap()).read_line(&mut want).unwrap();
    assert!(want.starts_with("want 00000000000000ab profile=delivery-load,"), "{want}");
    let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(killed.success());
    until("n0 ending: open=1");
    let mut late = TcpStream::connect(&address).unwrap();
    ask(&mut late, r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#);
    assert_eq!(answer(late), r#"{"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
    box_side.write_all(b"00000000000000ab served pages=1 6\r\na\tb\tc\n\r\n").unwrap();
    assert_eq!(answer(client), r#"{"jsonrpc":"2.0","id":1,"result":{"doc":"YQliCWMK"}}"#);
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(file("term")).unwrap();
}

#[test]
fn a_sighup_moves_the_bulletin_and_a_bad_file_changes_nothing() {
    // Guards a new configuration under load: the program goes on, dials the new bulletin from the last number had,
    // and names the key that is wrong and those that count at the start only.
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let text = config(&[], old.local_addr().unwrap(), r#""listen":"127.0.0.1:0","#);
    let mut child = start("hup", &text);
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let greeting = |bulletin: &TcpListener| {
        let (mut stream, mut last) = (bulletin.accept().unwrap().0, [0; 8]);
        stream.read_exact(&mut last).unwrap();
        (stream, u64::from_be_bytes(last))
    };
    let (mut dropped, last) = greeting(&old);
    assert_eq!(last, 1);
    let mut reload = |text: &str, lines: &[&str]| {
        std::fs::write(file("hup"), text).unwrap();
        assert!(Command::new("kill").args(["-HUP", &child.id().to_string()]).status().unwrap().success());
        for line in lines {
            assert!(log.any(|told| told.unwrap().contains(line)), "it ended before: {line}");
        }
    };
    reload(&text.replace(r#""seed":"1f""#, r#""seed":"no""#), &["reload: config: seed is not 16 hex digits"]);
    let moved = text.replace(&old.local_addr().unwrap().to_string(), &new.local_addr().unwrap().to_string());
    reload(&moved.replace(r#""seed":"1f""#, r#""seed":"2f""#), &["reload: done", "reload: seed has changed"]);
    assert_eq!(greeting(&new).1, 1);
    assert_eq!(dropped.read(&mut [0; 8]).unwrap(), 0, "the old bulletin is let go");
    assert!(child.try_wait().unwrap().is_none(), "the program goes on");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(file("hup")).unwrap();
}
