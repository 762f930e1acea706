//! Test harness that runs a node on real sockets under a simulated clock, driven by scripted scenarios.
//!
//! A scenario has one step per line, `PARTY VERB TEXT`. The parties are JSON-RPC clients (`c1`, `c2`, ...), engines
//! (`w`), service discovery (`list`) and the `clock`. `w expect` reads from any engine; other steps of `w` use the
//! connection of the last `w expect`. The verbs are `send`, `expect` (the pattern may contain the wildcard `*`),
//! `close` and `wait`. `clock wait` advances the clock by milliseconds; `wait silent` checks that no message arrives.
#![allow(dead_code)]

pub mod peer;

use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::node::clock::Clock;
use beamgap::node::config::Config;
use beamgap::node::dispatcher::Front;
use beamgap::node::json::{self, *};
use beamgap::node::Node;
pub use peer::*;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub const START: f64 = 1_700_000_000_000.0;
const EXPECT_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with one class whose requests may be retried (`lookup`) and one with side effects (`delivery-load`).
pub const SETTINGS: &str = r#"{"Azs":["a"],"Balancers":1,"Me":0,"Zone":"a","MachineTypes":["std"],
 "Classes":[{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1},
  {"Name":"delivery-load","OnTime":3000,"HardLimit":25000,"Repeat":"side_effect","Value":30}],
 "Parties":[{"Name":"leinster","QuotaPerS":100}],
 "Domain":{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1,2],"Grants":true,"Priorities":true,
  "TellsCost":true,"TellsEvery":500},
 "Contract":{"DrainGrace":250},"Limits":{"Cancel":true,"DialTimeout":250,"ConnIdle":15000,"SendCap":6},
 "Report":{"How":"inline","Fields":["outstanding"]}}"#;

pub const LIMITS: &str = r#"{"cores":1,"memory_mb":192,"sockets":1024}"#;

pub struct Stage {
    pub node: Node,
    pub clock: Clock,
    pub houses: Vec<House>,
    list: House,
    clients: BTreeMap<String, Peer>,
    current: (usize, usize),
}

/// Returns a node's configuration with a cached list of these engines and the address of service discovery.
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

fn config_of(houses: &[House], list: &House, more: &str) -> String {
    let engines: Vec<SocketAddr> = houses.iter().map(House::address).collect();
    config(&engines, list.address(), more)
}

impl Stage {
    /// Returns the configuration of this stage's node, with `more` as further JSON members.
    pub fn config(&self, more: &str) -> String {
        config_of(&self.houses, &self.list, more)
    }

    /// Starts a node with this number of engines. `more` is inserted into the configuration as further JSON members.
    pub fn new(warehouses: usize, more: &str) -> Stage {
        Stage::with_default_settings(warehouses, more, LIMITS)
    }

    /// Starts a node with the JSON-RPC front and these resource limits.
    pub fn with_limits(warehouses: usize, limits: &str) -> Stage {
        Stage::with_default_settings(warehouses, r#""listen":"127.0.0.1:0","#, limits)
    }

    fn with_default_settings(warehouses: usize, more: &str, limits: &str) -> Stage {
        Stage::with(warehouses, more, limits, SETTINGS)
    }

    /// Starts a node with a chosen number of engines, configuration sections, resource limits and settings.
    pub fn with(warehouses: usize, more: &str, limits: &str, settings: &str) -> Stage {
        let houses: Vec<House> = (0..warehouses).map(|_| House::new()).collect();
        let list = House::new();
        let text = config_of(&houses, &list, more).replace(LIMITS, limits).replace(SETTINGS, settings);
        let secret = |name: &str| (name == "SECRET").then(|| "frost".to_owned());
        let config = Config::read(text.into_bytes(), &secret).expect("the configuration is valid");
        let clock = Clock::manual(START);
        let node = Node::new(config, clock.clone()).expect("the node failed to start");
        Stage { node, clock, houses, list, clients: BTreeMap::new(), current: (0, 0) }
    }

    /// Starts a node that runs loads with the same ordering key in order of arrival, with a key pause (`TurnGap`) of
    /// 300 ms.
    pub fn in_order(warehouses: usize) -> Stage {
        Stage::in_order_with(warehouses, r#""listen":"127.0.0.1:0","#)
    }

    /// Starts a node as `in_order` does, with `more` as further JSON members of the configuration.
    pub fn in_order_with(warehouses: usize, more: &str) -> Stage {
        let order = r#""Repeat":"side_effect","ByArrival":true,"#;
        let settings = SETTINGS.replace(r#""Repeat":"side_effect","#, order);
        let settings = settings.replace(r#""Contract":{"#, r#""Contract":{"TurnGap":300,"#);
        Stage::with(warehouses, more, LIMITS, &settings)
    }

    /// Starts a node with the JSON-RPC front and runs a scenario on it.
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
                ("list", "send") => self.send_state_change(&text),
                ("w", "send") => self.reply(&text),
                ("w", "close") => drop(self.houses[self.current.0].conns.remove(self.current.1)),
                ("w", "expect") => self.expect(line, |stage| stage.engine_received(&text, line)),
                (client, "send") => self.send_from_client(client, &text),
                (client, "close") => drop(self.clients.remove(client).unwrap()),
                (client, "expect") => self.expect(line, |stage| stage.client_received(client, &text, line)),
                (_, "wait") => self.expect_silence(line),
                _ => panic!("invalid scenario step: {line}"),
            }
        }
    }

    /// Runs the node's event loop once, then reads all bytes that arrived at engines, service discovery and clients.
    pub fn turn(&mut self) {
        self.node.poll_once(Duration::from_millis(1)).unwrap();
        self.houses.iter_mut().for_each(House::pull);
        self.list.pull();
        self.clients.values_mut().for_each(Peer::pull);
    }

    pub fn expect(&mut self, what: &str, mut done: impl FnMut(&mut Stage) -> bool) {
        let until = Instant::now() + EXPECT_TIMEOUT;
        while !done(self) {
            assert!(Instant::now() < until, "timed out waiting for: {what}");
            self.turn();
        }
    }

    /// Advances the simulated clock in steps of 10 ms and runs the event loop after each step, so that timers fire.
    fn pass(&mut self, ms: f64) {
        let until = self.clock.now() + ms;
        while self.clock.now() < until {
            self.clock.set((self.clock.now() + 10.0).min(until));
            self.turn();
        }
    }

    fn expect_silence(&mut self, line: &str) {
        (0..20).for_each(|_| self.turn());
        for peer in self.houses.iter_mut().flat_map(|h| &mut h.conns) {
            assert_eq!(peer.line(), None, "{line}");
        }
        for client in self.clients.values_mut() {
            assert_eq!(client.message(), None, "{line}");
        }
    }

    fn send_from_client(&mut self, client: &str, text: &str) {
        let address = self.node.address(Front::JsonRpc);
        let connect =
            || Peer::new(TcpStream::connect(address.expect("the JSON-RPC front is listening")).unwrap());
        let peer = self.clients.entry(client.to_owned()).or_insert_with(connect);
        let words: Vec<&str> = text.splitn(5, ' ').collect();
        let message = match words[..] {
            ["raw", ..] => {
                let bytes = text[4..].replace("\\r", "\r").into_bytes();
                let node = &mut self.node;
                return peer.push_while(&bytes, || node.poll_once(Duration::from_millis(1)).unwrap());
            }
            // An ordering key may follow the class name after `@`, as in `delivery-load@k1`.
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

    /// Starts a node with one engine, which has served request 1 of client `c1`, so that the node has an idle
    /// connection to the engine.
    pub fn served_once() -> Stage {
        Stage::play(
            1,
            "c1 send ask 1 lookup 2500 select 1 from s_1.t
            w expect want c1-1 *
            w send c1-1 served pages=1 x\\t\\t\\n
            c1 expect 1 served x\\t\\t\\n",
        )
    }

    /// The test's end of the connection of the client with this name.
    pub fn client(&mut self, name: &str) -> &mut Peer {
        self.clients.get_mut(name).expect("the client has sent a request")
    }

    /// The engine connection on which the last `w expect` read a line: the index of the engine and of its connection.
    pub fn current_connection(&self) -> (usize, usize) {
        self.current
    }

    /// The node's connections to service discovery, oldest first.
    pub fn watches(&mut self) -> &mut Vec<Peer> {
        &mut self.list.conns
    }

    /// Runs the node's event loop once. Clients, engines and service discovery read nothing meanwhile.
    pub fn one_turn(&mut self) {
        self.node.poll_once(Duration::from_millis(20)).expect("the event loop failed");
    }

    /// Returns all lines that the engines received, with request ids replaced by the scenarios' request names.
    pub fn sent_to_engines(&mut self) -> Vec<String> {
        (0..10).for_each(|_| self.turn());
        let peers = self.houses.iter_mut().flat_map(|house| &mut house.conns);
        peers.flat_map(|peer| std::iter::from_fn(|| peer.line())).map(|line| named(&line)).collect()
    }

    /// Sends requests of a client that reads no answers, with ids from `first`, until the front stops reading requests
    /// because too many bytes are queued for that client. Returns the number of requests sent.
    pub fn fill_with_results(&mut self, client: &str, first: usize) -> usize {
        const ROUND: usize = 20;
        let page = format!("{}\t\t\n", "y".repeat(2985)).repeat(2);
        for round in 0..10 {
            let from = first + round * ROUND;
            for id in from..from + ROUND {
                self.go(&format!("{client} send ask {id} lookup 2500 select 1 from s_1.t"));
            }
            if self.serve_results(&page) < ROUND {
                return (round + 1) * ROUND;
            }
        }
        panic!("the socket buffers held all results; the front never stopped reading requests");
    }

    /// Answers each request that the engines received with eight copies of `page`. Returns the number of requests.
    fn serve_results(&mut self, page: &str) -> usize {
        let mut served = 0;
        for _ in 0..10 {
            self.node_turns(1);
            self.houses.iter_mut().for_each(House::pull);
            for peer in self.houses.iter_mut().flat_map(|house| &mut house.conns) {
                let lines: Vec<String> = std::iter::from_fn(|| peer.line()).collect();
                for want in lines.iter().filter(|line| line.starts_with("want ")) {
                    let name = want.split(' ').nth(1).expect("a want line has a request id");
                    let line = |word: &str| format!("{name} {word} {}\r\n{page}\r\n", page.len());
                    let further: String = (1..8).map(|number| line(&format!("rows page={number}"))).collect();
                    peer.push(format!("{}{further}", line("served pages=8")).as_bytes());
                    served += 1;
                }
            }
        }
        served
    }

    /// Runs the node's event loop this many times. The engines accept no connections meanwhile.
    pub fn node_turns(&mut self, turns: usize) {
        (0..turns)
            .for_each(|_| self.node.poll_once(Duration::from_millis(1)).expect("the event loop failed"));
        self.houses.iter_mut().flat_map(|house| &mut house.conns).for_each(Peer::pull);
    }

    /// Advances the clock in steps of 10 ms and runs the node only. The engines accept no connections meanwhile.
    pub fn pass_node(&mut self, ms: f64) {
        let until = self.clock.now() + ms;
        while self.clock.now() < until {
            self.clock.set((self.clock.now() + 10.0).min(until));
            self.node_turns(1);
        }
    }

    /// Runs one turn and returns the client's next message, if a complete one has arrived.
    pub fn message(&mut self, client: &str) -> Option<String> {
        self.turn();
        self.clients.get_mut(client).and_then(Peer::message)
    }

    /// Whether a further message has arrived at the client. The message is consumed.
    pub fn answered(&mut self, client: &str) -> bool {
        self.clients.get_mut(client).is_some_and(|peer| peer.message().is_some())
    }

    fn client_received(&mut self, client: &str, pattern: &str, line: &str) -> bool {
        let peer = self.clients.get_mut(client).expect("the client has sent a request");
        if pattern == "closed" {
            return peer.closed;
        }
        let Some(message) = peer.message() else { return false };
        assert!(fits(pattern, &message), "{line}: got {message}");
        true
    }

    fn engine_received(&mut self, pattern: &str, line: &str) -> bool {
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

    /// Sends the answer `ID WORD FIELDS BODY` from the engine of the last `w expect`, on the same connection.
    fn reply(&mut self, text: &str) {
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        let body = words.get(3).unwrap_or(&"");
        let line = format!("{} {}\r\n{body}\r\n", words[1..3].join(" "), body.len());
        let (house, conn) = self.current;
        self.houses[house].conns[conn].push(format!("{} {line}", rid(words[0])).as_bytes());
    }

    /// Writes raw bytes, valid or malformed, as an answer to the named request on a connection of the first engine.
    pub fn push(&mut self, conn: usize, name: &str, bytes: &[u8]) {
        self.houses[0].conns[conn].push(&[rid(name).as_bytes(), b" ", bytes].concat());
    }

    /// Sends the state change `NUMBER STATE [ID]` for the engine of the last `w expect` through service discovery, once
    /// the node has connected to it.
    fn send_state_change(&mut self, text: &str) {
        self.expect("a connection to service discovery", |stage| {
            stage.list.conns.last().is_some_and(|peer| peer.input.len() >= 8)
        });
        let words: Vec<&str> = text.split(' ').collect();
        let (number, state): (u64, u8) = (words[0].parse().unwrap(), words[1].parse().unwrap());
        let house = self.current.0;
        let SocketAddr::V4(at) = self.houses[house].address() else {
            panic!("the engine has no IPv4 address")
        };
        // An optional third word replaces the engine's id, for an address that now belongs to another engine.
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
        let log_line = format!("list: no={number} ");
        self.expect(&log_line, |stage| {
            stage.turn();
            stage.node.take_log().iter().any(|line| line.starts_with(&log_line))
        });
    }
}

impl Stage {
    /// Sends a state change for the engine with this index, regardless of the last `w expect`.
    pub fn tell_of(&mut self, house: usize, text: &str) {
        self.current.0 = house;
        self.send_state_change(text);
    }
}
