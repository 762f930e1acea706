//! A stage for the node: scenarios in a small language, played on real sockets under a clock that stands.
//!
//! One step a line, `PARTY VERB TEXT`. Parties: `c1`, `c2`.. clients of the platform's front; `w` the warehouse that
//! spoke last (any, when something is expected); `list` the bulletin; `clock`. Verbs: `send`, `expect` (`*` stands
//! for anything), `close`, `wait` (milliseconds, or `silent`: nothing has come).
#![allow(dead_code)]

use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::node::clock::Clock;
use beamgap::node::config::Config;
use beamgap::node::exchange::Front;
use beamgap::node::json::{self, *};
use beamgap::node::Node;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub const START: f64 = 1_700_000_000_000.0;
const PATIENCE: Duration = Duration::from_secs(20);

/// The settings of the tests: a safe class and a load, as on the site.
pub const SETTINGS: &str = r#"{"Azs":["a"],"Balancers":1,"Me":0,"Zone":"a","MachineTypes":["std"],
 "Classes":[{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1},
  {"Name":"delivery-load","OnTime":3000,"HardLimit":25000,"Repeat":"side_effect","Value":30}],
 "Parties":[{"Name":"leinster","QuotaPerS":100}],
 "Domain":{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1,2],"Grants":true,"Priorities":true,
  "TellsCost":true,"TellsEvery":500},
 "Contract":{"DrainGrace":250},"Limits":{"Cancel":true,"DialTimeout":250,"ConnIdle":15000,"SendCap":6},
 "Report":{"How":"inline","Fields":["outstanding"]}}"#;

const LIMITS: &str = r#"{"cores":1,"memory_mb":192,"sockets":1024}"#;

/// A connection of the test's side, with what has come on it.
pub struct Peer {
    stream: TcpStream,
    pub input: Vec<u8>,
    pub closed: bool,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_nonblocking(true).unwrap();
        // Under a clock that is set, the system's wait for an acknowledgement could be seconds.
        stream.set_nodelay(true).unwrap();
        Peer { stream, input: Vec::new(), closed: false }
    }
    pub fn pull(&mut self) {
        let mut chunk = [0; 65_536];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.closed = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.closed = true,
            }
        }
    }
    pub fn push(&mut self, bytes: &[u8]) {
        self.push_while(bytes, || {});
    }
    /// Writes all, letting the other side work where it must read first. What has been closed takes nothing.
    fn push_while(&mut self, mut bytes: &[u8], mut work: impl FnMut()) {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => work(),
                Err(_) => return,
            }
        }
    }
    /// The next line, with its body if the last word is a length.
    fn line(&mut self) -> Option<String> {
        let end = self.input.windows(2).position(|w| w == b"\r\n")?;
        let line = String::from_utf8(self.input[..end].to_vec()).unwrap();
        let (head, length) = line.rsplit_once(' ').unwrap_or((&line, ""));
        let body = if line.starts_with("want ") { length.parse::<usize>().ok() } else { None };
        let Some(length) = body else {
            self.input.drain(..end + 2);
            return Some(line);
        };
        let body = self.input.get(end + 2..end + 2 + length)?;
        let whole = format!("{head} {}", String::from_utf8_lossy(body));
        self.input.drain(..end + 4 + length);
        Some(whole)
    }
    /// The next JSON-RPC message: `ID served TEXT`, `ID error CODE [backoff]`, or what else it holds.
    pub fn message(&mut self) -> Option<String> {
        let end = self.input.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8(self.input[..end].to_vec()).unwrap();
        let length: usize = head.strip_prefix("Content-Length: ").unwrap().parse().unwrap();
        let body = self.input.get(end + 4..end + 4 + length)?.to_vec();
        self.input.drain(..end + 4 + length);
        let text = String::from_utf8(body.clone()).unwrap();
        let value = json::read(body).expect("an answer is JSON");
        let id = value.get("id").and_then(|id| id.as_u64()).map_or("null".into(), |id| id.to_string());
        if let Some(error) = value.get("error") {
            let backoff = error.get("data").and_then(|d| d.get("backoff")).and_then(json::number);
            let backoff = if backoff.is_some_and(|ms| ms > 0.0) { " backoff" } else { "" };
            return Some(format!("{id} error {}{backoff}", error.get("code").unwrap().as_i64().unwrap()));
        }
        match value.get("result").and_then(|r| r.get("doc")).and_then(|doc| doc.as_str()) {
            Some(doc) => {
                let body = BASE64_STANDARD.decode(doc).unwrap();
                Some(format!("{id} served {}", String::from_utf8(body).unwrap()))
            }
            None => Some(text),
        }
    }
}

/// The request id that stands for a name of the scenarios, such as `c1-2`: its letters as 16 hex digits.
pub fn rid(name: &str) -> String {
    let digits: String = name.bytes().map(|b| format!("{b:02x}")).collect();
    format!("{digits:0<16}")
}

/// Puts names in the place of request ids, as the scenarios write them.
fn named(line: &str) -> String {
    let name = |word: &str| {
        let digits = word.len() == 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
        let bytes = (0..8).map_while(|i| u8::from_str_radix(word.get(2 * i..2 * i + 2)?, 16).ok());
        let text = bytes.take_while(|b| *b != 0).map(char::from).collect();
        if digits {
            text
        } else {
            word.to_owned()
        }
    };
    line.split(' ').map(name).collect::<Vec<String>>().join(" ")
}

/// Whether a text is as the pattern says; `*` stands for anything.
pub fn fits(pattern: &str, text: &str) -> bool {
    match pattern.split_once('*') {
        None => pattern == text,
        Some((head, rest)) => text.strip_prefix(head).is_some_and(|text| {
            rest.is_empty() || (0..=text.len()).any(|i| text.is_char_boundary(i) && fits(rest, &text[i..]))
        }),
    }
}

pub struct House {
    pub listener: TcpListener,
    pub conns: Vec<Peer>,
}

impl House {
    pub fn new() -> House {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        House { listener, conns: Vec::new() }
    }
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
    pub fn pull(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            self.conns.push(Peer::new(stream));
        }
        self.conns.iter_mut().for_each(Peer::pull);
    }
}

pub struct Stage {
    pub node: Node,
    pub clock: Clock,
    pub houses: Vec<House>,
    list: House,
    clients: BTreeMap<String, Peer>,
    current: (usize, usize),
}

/// The configuration of a node that knows these engines and a bulletin.
pub fn config(engines: &[SocketAddr], bulletin: SocketAddr, more: &str) -> String {
    let target = |(i, at): (usize, &SocketAddr)| {
        format!(
            r#"{{"uid":"s-{i:08x}","endpoint":"{at}","az":"a","model":"std","pod_group":0,"state":"in_service",
            "capacity_hint":1,"boot_ms":0}}"#
        )
    };
    let targets: Vec<String> = engines.iter().enumerate().map(target).collect();
    format!(
        r#"{{"name":"n0","seed":"1f","bulletin":"{bulletin}",{more}
        "limits":{LIMITS},"settings":{SETTINGS},
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{}]}}}}]}}}}"#,
        targets.join(",")
    )
}

fn configured(houses: &[House], list: &House, more: &str) -> String {
    let engines: Vec<SocketAddr> = houses.iter().map(House::address).collect();
    config(&engines, list.address(), more)
}

impl Stage {
    /// The configuration of this stage's node.
    pub fn config(&self, more: &str) -> String {
        configured(&self.houses, &self.list, more)
    }

    /// A node with so many warehouses; `more` goes into its configuration.
    pub fn new(warehouses: usize, more: &str) -> Stage {
        Stage::limited(warehouses, more, LIMITS)
    }

    /// A node with the platform's front under these limits.
    pub fn with_limits(warehouses: usize, limits: &str) -> Stage {
        Stage::limited(warehouses, r#""listen":"127.0.0.1:0","#, limits)
    }

    fn limited(warehouses: usize, more: &str, limits: &str) -> Stage {
        Stage::with(warehouses, more, limits, SETTINGS)
    }

    /// A node with all that a test may vary.
    pub fn with(warehouses: usize, more: &str, limits: &str, settings: &str) -> Stage {
        let houses: Vec<House> = (0..warehouses).map(|_| House::new()).collect();
        let list = House::new();
        let text = configured(&houses, &list, more).replace(LIMITS, limits).replace(SETTINGS, settings);
        let secret = |name: &str| (name == "SECRET").then(|| "frost".to_owned());
        let config = Config::read(text.into_bytes(), &secret).expect("a good configuration");
        let clock = Clock::fixed(START);
        let node = Node::new(config, clock.clone()).expect("the node starts");
        Stage { node, clock, houses, list, clients: BTreeMap::new(), current: (0, 0) }
    }

    /// A stage whose loads keep the order of their keys, with a rest of 300 ms.
    pub fn in_order(warehouses: usize) -> Stage {
        Stage::in_order_with(warehouses, r#""listen":"127.0.0.1:0","#)
    }

    /// The same with a configuration's further sections.
    pub fn in_order_with(warehouses: usize, more: &str) -> Stage {
        let order = r#""Repeat":"side_effect","ByArrival":true,"#;
        let settings = SETTINGS.replace(r#""Repeat":"side_effect","#, order);
        let settings = settings.replace(r#""Contract":{"#, r#""Contract":{"TurnGap":300,"#);
        Stage::with(warehouses, more, LIMITS, &settings)
    }

    /// Plays a scenario on a fresh stage.
    pub fn play(warehouses: usize, scenario: &str) -> Stage {
        let mut stage = Stage::new(warehouses, r#""listen":"127.0.0.1:0","#);
        stage.go(scenario);
        stage
    }

    pub fn go(&mut self, scenario: &str) {
        for line in scenario.lines().map(str::trim).filter(|line| !line.is_empty()) {
            let mut words = line.splitn(3, ' ');
            let mut word = || words.next().unwrap_or_default();
            let (party, verb, text) = (word(), word(), word().replace("\\n", "\n").replace("\\t", "\t"));
            match (party, verb) {
                ("clock", "wait") => self.pass(text.parse().unwrap()),
                ("list", "send") => self.tell(&text),
                ("w", "send") => self.reply(&text),
                ("w", "close") => drop(self.houses[self.current.0].conns.remove(self.current.1)),
                ("w", "expect") => self.expect(line, |stage| stage.heard_by_warehouse(&text, line)),
                (client, "send") => self.ask(client, &text),
                (client, "close") => drop(self.clients.remove(client).unwrap()),
                (client, "expect") => self.expect(line, |stage| stage.heard_by_client(client, &text, line)),
                (_, "wait") => self.silent(line),
                _ => panic!("not a step: {line}"),
            }
        }
    }

    /// Lets the node and the parties work off what there is.
    pub fn turn(&mut self) {
        self.node.turn(Duration::from_millis(1)).unwrap();
        self.houses.iter_mut().for_each(House::pull);
        self.list.pull();
        self.clients.values_mut().for_each(Peer::pull);
    }

    pub fn expect(&mut self, what: &str, mut done: impl FnMut(&mut Stage) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !done(self) {
            assert!(Instant::now() < until, "never came: {what}");
            self.turn();
        }
    }

    /// Moves the clock in steps, as timers would see it.
    fn pass(&mut self, ms: f64) {
        let until = self.clock.now() + ms;
        while self.clock.now() < until {
            self.clock.set((self.clock.now() + 10.0).min(until));
            self.turn();
        }
    }

    fn silent(&mut self, line: &str) {
        (0..20).for_each(|_| self.turn());
        for peer in self.houses.iter_mut().flat_map(|h| &mut h.conns) {
            assert_eq!(peer.line(), None, "{line}");
        }
        for client in self.clients.values_mut() {
            assert_eq!(client.message(), None, "{line}");
        }
    }

    fn ask(&mut self, client: &str, text: &str) {
        let address = self.node.address(Front::JsonRpc);
        let connect = || Peer::new(TcpStream::connect(address.expect("the front listens")).unwrap());
        let peer = self.clients.entry(client.to_owned()).or_insert_with(connect);
        let words: Vec<&str> = text.splitn(5, ' ').collect();
        let message = match words[..] {
            ["raw", ..] => {
                let bytes = text[4..].replace("\\r", "\r").into_bytes();
                let node = &mut self.node;
                return peer.push_while(&bytes, || node.turn(Duration::from_millis(1)).unwrap());
            }
            // A class may have a key behind it: `delivery-load@k1`.
            ["ask", id, class, budget, statement] => {
                let doc = BASE64_STANDARD.encode(statement);
                let (class, key) = class.split_once('@').unwrap_or((class, ""));
                let obj = if key.is_empty() { String::new() } else { format!(r#""obj":"{key}","#) };
                format!(
                    r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"rid":"{}",{obj}
                    "budget":{budget},"acct":"leinster","est":20.0,"memory":8,"doc":"{doc}"}}}}"#,
                    rid(&format!("{client}-{id}"))
                )
            }
            ["cancel", id] => {
                format!(r#"{{"jsonrpc":"2.0","method":"cancelRequest","params":{{"id":{id}}}}}"#)
            }
            _ => text.to_owned(),
        };
        peer.push(format!("Content-Length: {}\r\n\r\n{message}", message.len()).as_bytes());
    }

    /// Whether a client has another answer.
    pub fn answered(&mut self, client: &str) -> bool {
        self.clients.get_mut(client).is_some_and(|peer| peer.message().is_some())
    }

    fn heard_by_client(&mut self, client: &str, pattern: &str, line: &str) -> bool {
        let peer = self.clients.get_mut(client).expect("a client that has sent");
        if pattern == "closed" {
            return peer.closed;
        }
        let Some(message) = peer.message() else { return false };
        assert!(fits(pattern, &message), "{line}: got {message}");
        true
    }

    fn heard_by_warehouse(&mut self, pattern: &str, line: &str) -> bool {
        for (h, house) in self.houses.iter_mut().enumerate() {
            for (c, peer) in house.conns.iter_mut().enumerate() {
                if let Some(got) = peer.line().as_deref().map(named) {
                    assert!(fits(pattern, &got), "{line}: got {got}");
                    self.current = (h, c);
                    return true;
                }
            }
        }
        false
    }

    /// `ID WORD FIELDS BODY` from the warehouse that spoke last.
    fn reply(&mut self, text: &str) {
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        let body = words.get(3).unwrap_or(&"");
        let line = format!("{} {}\r\n{body}\r\n", words[1..3].join(" "), body.len());
        let (house, conn) = self.current;
        self.houses[house].conns[conn].push(format!("{} {line}", rid(words[0])).as_bytes());
    }

    /// Writes bytes of an answer to the request so named, spoilt or not, on a connection of the first warehouse.
    pub fn push(&mut self, conn: usize, name: &str, bytes: &[u8]) {
        self.houses[0].conns[conn].push(&[rid(name).as_bytes(), b" ", bytes].concat());
    }

    /// `NUMBER STATE [ADDRESS-OF]`: a change of the warehouse that spoke last, once the node has connected.
    fn tell(&mut self, text: &str) {
        self.expect("a connection to the bulletin", |stage| {
            stage.list.conns.last().is_some_and(|peer| peer.input.len() >= 8)
        });
        let words: Vec<&str> = text.split(' ').collect();
        let (number, state): (u64, u8) = (words[0].parse().unwrap(), words[1].parse().unwrap());
        let house = self.current.0;
        let SocketAddr::V4(at) = self.houses[house].address() else { panic!("loopback is v4") };
        // A third word gives the news another id: the address has passed on.
        let id = words.get(2).map_or(house as u32, |id| id.parse().unwrap());
        let mut record = id.to_be_bytes().to_vec();
        record.extend(at.ip().octets());
        record.extend(at.port().to_be_bytes());
        record.extend([state, 0, 0, 0, 0]);
        record.extend(1000u32.to_be_bytes());
        record.extend(0u64.to_be_bytes());
        let mut frame = (9 + record.len() as u32).to_be_bytes().to_vec();
        frame.extend(number.to_be_bytes());
        frame.push(2);
        frame.extend(record);
        self.list.conns.last_mut().unwrap().push(&frame);
        let told = format!("list: no={number} ");
        self.expect(&told, |stage| {
            stage.turn();
            stage.node.take_log().iter().any(|line| line.starts_with(&told))
        });
    }
}

impl Peer {
    pub fn address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

impl Stage {
    /// Tells of a change of this house, whoever spoke last.
    pub fn tell_of(&mut self, house: usize, text: &str) {
        self.current.0 = house;
        self.tell(text);
    }
}
