//! Randomized test of a whole node: each seed draws the settings of a deployment, from a range wider than that of the
//! known deployments. The node serves clients over real sockets, with simulated engines and a simulated clock. Then a
//! checker that sees only the traffic of clients and engines verifies the platform's rules.
//!
//! To repeat one seed: `DEPLOYMENT_SEED=17 cargo test --test deployments`. To run more seeds: `DEPLOYMENT_SEEDS=500`.

#[path = "common/stage.rs"]
mod stage;

use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::node::clock::Clock;
use beamgap::node::config::Config;
use beamgap::node::dispatcher::Front;
use beamgap::node::Node;
use beamgap_fakes::draw::Draw;
use beamgap_fakes::rules::{judge, Asked, Rules, Said};
use beamgap_fakes::warehouse::{Act, Dialect, Engine, Reports};
use stage::{House, Peer, SETTINGS, START};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Step of the simulated clock, in milliseconds.
const STEP_MS: f64 = 5.0;
const CLIENTS: usize = 4;

/// A randomly drawn deployment: its settings, the rules that follow from the settings, and how its engines behave.
struct Deployment {
    settings: String,
    rules: Rules,
    dialect: Dialect,
    engines: usize,
    names: Vec<String>,
    deadlines: Vec<f64>,
    tenants: Vec<String>,
}

fn chance(draw: &mut Draw, share: f64) -> bool {
    draw.unit() < share
}

fn deployment(draw: &mut Draw) -> Deployment {
    let classes = 1 + draw.below(4) as usize;
    let (mut parts, mut rules) = (Vec::new(), (Vec::new(), Vec::new()));
    let (mut names, mut deadlines) = (Vec::new(), Vec::new());
    for i in 0..classes {
        let (safe, ordered) = (chance(draw, 0.6), chance(draw, 0.4));
        let deadline = [400.0, 1500.0, 3000.0, 5000.0][draw.below(4) as usize];
        let aim = deadline * [0.0, 0.3, 1.0][draw.below(3) as usize];
        let name = format!("kind{i}{}", draw.below(1000));
        let mut part = format!(r#"{{"Name":"{name}","HardLimit":{deadline}"#);
        part += if safe { r#","Repeat":"pure""# } else { r#","Repeat":"side_effect""# };
        if ordered {
            part += r#","ByArrival":true"#;
        }
        if chance(draw, 0.7) {
            part += &format!(r#","OnTime":{aim},"Value":{},"LateWorth":{:.2}"#, draw.below(30), draw.unit());
        }
        parts.push(part + "}");
        rules.0.push(safe);
        rules.1.push(ordered);
        names.push(name);
        deadlines.push(deadline);
    }
    let tenants: Vec<String> = (0..draw.below(3)).map(|i| format!("party{i}")).collect();
    let rest_ms = [0.0, 300.0, 700.0][draw.below(3) as usize];
    let budget = chance(draw, 0.5)
        .then(|| (draw.below(4) as f64, draw.unit() * 0.3, 1000.0 * (1.0 + draw.below(10) as f64)));
    let most = chance(draw, 0.7).then(|| 1 + draw.below(6) as usize);
    let cores = [1.0, 2.0, 8.0, 64.0][draw.below(4) as usize];
    let reports = [Reports::Off, Reports::InAnswers, Reports::WhenAsked][draw.below(3) as usize];
    let notes_ms = chance(draw, 0.6).then(|| 100.0 + 400.0 * draw.unit());
    let tells_cost = chance(draw, 0.7);
    let flag = |draw: &mut Draw| chance(draw, 0.5);
    let mut s = format!(r#""Classes":[{}],"Me":0"#, parts.join(","));
    if chance(draw, 0.7) {
        s += &format!(r#","Balancers":{},"Azs":["a"],"Zone":"a""#, [1, 2, 300][draw.below(3) as usize]);
    }
    if chance(draw, 0.7) {
        let memory = [0.0, 512.0, 16384.0, 1e12][draw.below(4) as usize];
        s += &format!(
            r#","MachineTypes":["std"],"Domain":{{"CoresByKind":[{cores}],"RamOfKindMb":[{memory}]"#
        );
        s += &format!(r#","Grants":{},"Priorities":{},"TellsCost":{tells_cost}"#, flag(draw), flag(draw));
        s += &format!(
            r#","TellsEvery":{},"OutOfMemory":"{}""#,
            notes_ms.unwrap_or(0.0),
            ["line_up", "cut", "overcommit"][draw.below(3) as usize]
        );
        s += "}";
    }
    if chance(draw, 0.8) {
        s += &format!(r#","Report":{{"How":"{}"}}"#, ["off", "inline", "on_probe"][reports as usize]);
    }
    let mut contract = vec![format!(r#""TurnGap":{rest_ms}"#)];
    if chance(draw, 0.7) {
        contract.push(format!(r#""DrainGrace":{}"#, draw.below(1000)));
    }
    if let Some((free, each, span)) = budget {
        contract.push(format!(r#""MinExtra":{free},"ExtraRatio":{each},"RatioSpan":{span}"#));
    }
    if chance(draw, 0.5) {
        contract.push(format!(
            r#""FallMultiple":{},"Fall":1500,"StartCapacity":0.3,"WarmWithin":8000"#,
            1 + draw.below(4)
        ));
    }
    s += &format!(r#","Contract":{{{}}}"#, contract.join(","));
    let mut limits = vec![format!(r#""Cancel":{},"Probes":{},"SecondCopies":false"#, flag(draw), flag(draw))];
    limits.extend(most.map(|most| format!(r#""SendCap":{most}"#)));
    if flag(draw) {
        limits.push(format!(
            r#""DialTimeout":250,"ConnIdle":{},"StreamsPerConn":{}"#,
            500 + draw.below(30_000),
            1 + draw.below(100)
        ));
    }
    s += &format!(r#","Limits":{{{}}},"Unheard":{{"Of":[1,2],"Key":"x"}}"#, limits.join(","));
    if !tenants.is_empty() {
        let quota = |t: &String| {
            format!(r#"{{"Name":"{t}","QuotaPerS":{}}}"#, [0, 5, 1_000_000][draw.below(3) as usize])
        };
        let quotas: Vec<String> = tenants.iter().map(quota).collect();
        s += &format!(r#","Parties":[{}],"OverShareWorth":0.05"#, quotas.join(","));
    }
    let dialect = Dialect {
        reports,
        notes_ms,
        tells_cost,
        cores,
        slots: chance(draw, 0.4).then(|| 1 + draw.below(8) as usize),
        work_ms: [5.0, 60.0, 400.0][draw.below(3) as usize],
        crashes: [0.0, 0.05, 0.4][draw.below(3) as usize],
        overloads: [0.0, 0.1, 0.5][draw.below(3) as usize],
        hangs: [0.0, 0.0, 0.1][draw.below(3) as usize],
    };
    let (safe, ordered) = rules;
    let rules = Rules { safe, ordered, rest_ms, ration: budget, most, grace_ms: 50.0 };
    let engines = 1 + draw.below(5) as usize;
    Deployment { settings: format!("{{{s}}}"), rules, dialect, engines, names, deadlines, tenants }
}

struct Simulation {
    node: Node,
    clock: Clock,
    houses: Vec<House>,
    engines: Vec<Engine>,
    conns: BTreeMap<(usize, SocketAddr), u64>,
    clients: Vec<Peer>,
    requests: Vec<Asked>,
    answers: Vec<(f64, String, Said)>,
    ids: BTreeMap<(usize, u64), String>,
}

impl Simulation {
    fn new(d: &Deployment, seed: u64) -> Simulation {
        let houses: Vec<House> = (0..d.engines).map(|_| House::new()).collect();
        let addresses: Vec<SocketAddr> = houses.iter().map(House::address).collect();
        let text = stage::config(&addresses, addresses[0], r#""listen":"127.0.0.1:0","#);
        let text =
            text.replace(SETTINGS, &d.settings).replace(&format!(r#""bulletin":"{}","#, addresses[0]), "");
        let config = Config::read(text.into_bytes(), &|_| None);
        let config = config.unwrap_or_else(|e| panic!("seed {seed}: {e}: {}", d.settings));
        assert!(config.fit.iter().any(|line| line.contains("Unheard")), "an unknown setting is reported");
        let clock = Clock::manual(START);
        let node = Node::new(config, clock.clone()).expect("the node starts");
        let engine = |i: usize| Engine::new(d.dialect.clone(), seed ^ (i as u64) << 40, START);
        let address = node.address(Front::JsonRpc).expect("the JSON-RPC front end listens");
        let clients =
            (0..CLIENTS).map(|_| Peer::new(TcpStream::connect(address).expect("a client connects")));
        Simulation {
            engines: (0..d.engines).map(engine).collect(),
            clients: clients.collect(),
            conns: BTreeMap::new(),
            requests: Vec::new(),
            answers: Vec::new(),
            ids: BTreeMap::new(),
            node,
            clock,
            houses,
        }
    }

    fn send_request(&mut self, d: &Deployment, draw: &mut Draw) {
        let (n, now) = (self.requests.len() as u64 + 1, self.clock.now());
        let (client, class) =
            (draw.below(CLIENTS as u64) as usize, draw.below(d.names.len() as u64) as usize);
        let key = d.rules.ordered[class].then(|| format!("k{}", draw.below(3)));
        // The platform guarantees that requests of one ordering key are at least 60 ms apart, so the client does not send
        // a request that follows another one of its key sooner.
        if key.is_some() && self.requests.iter().any(|a| a.key == key && now - a.at < 60.0) {
            return;
        }
        let budget = d.deadlines[class] * (0.3 + 0.7 * draw.unit());
        let id = format!("{n:016x}");
        let mut params = format!(r#""rid":"{id}","budget":{budget:.1}"#);
        if let Some(key) = &key {
            params += &format!(r#","obj":"{key}""#);
        }
        if !d.tenants.is_empty() && chance(draw, 0.8) {
            params += &format!(r#","acct":"{}""#, d.tenants[draw.below(d.tenants.len() as u64) as usize]);
        }
        if chance(draw, 0.7) {
            params +=
                &format!(r#","est":{:.1},"memory":{}"#, draw.waits(d.dialect.work_ms), draw.below(2000));
        }
        let doc = BASE64_STANDARD.encode(format!("select 1 from s_{}.t", draw.below(9)));
        let method = &d.names[class];
        let body = format!(
            r#"{{"jsonrpc":"2.0","id":{n},"method":"{method}","params":{{{params},"doc":"{doc}"}}}}"#
        );
        self.clients[client].push(format!("Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
        self.ids.insert((client, n), id.clone());
        self.requests.push(Asked { at: now, id, class, key, until: now + budget, gone: None });
    }

    /// Lets a client cancel one of its last four requests, if that request has no answer yet.
    fn cancel_request(&mut self, draw: &mut Draw) {
        let now = self.clock.now();
        let Some(n) = self.requests.len().checked_sub(1 + draw.below(4) as usize) else { return };
        let open = self.requests[n].gone.is_none()
            && !self.answers.iter().any(|(_, id, _)| *id == self.requests[n].id);
        let Some(((client, id), _)) = self.ids.iter().find(|(_, id)| **id == self.requests[n].id) else {
            return;
        };
        if open {
            let body = format!(r#"{{"jsonrpc":"2.0","method":"cancelRequest","params":{{"id":{id}}}}}"#);
            self.clients[*client].push(format!("Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
            self.requests[n].gone = Some(now);
        }
    }

    fn step(&mut self, draw: &mut Draw, resets: f64) {
        let now = self.clock.now();
        // Events within one step of the clock get increasing times, because the checker of the rules sorts the events by
        // time.
        let mut tick = 0.0;
        let mut at = || {
            tick += 0.001;
            now + tick
        };
        for _ in 0..3 {
            self.node.poll_once(Duration::ZERO).expect("the event loop runs without an error");
            for (h, house) in self.houses.iter_mut().enumerate() {
                house.pull();
                let engine = &mut self.engines[h];
                house.conns.retain_mut(|peer| {
                    let next = self.conns.len() as u64;
                    let conn = *self.conns.entry((h, peer.address())).or_insert(next);
                    let out = engine
                        .take(at(), conn, &mut peer.input)
                        .expect("the node follows the engine protocol");
                    peer.push(&out);
                    let ends = peer.closed || draw.unit() < resets;
                    if ends {
                        engine.closed(at(), conn);
                        self.conns.remove(&(h, peer.address()));
                    }
                    !ends
                });
                for (conn, bytes) in engine.pass(at()) {
                    let to = |p: &&mut Peer| self.conns.get(&(h, p.address())) == Some(&conn);
                    house.conns.iter_mut().find(to).into_iter().for_each(|peer| peer.push(&bytes));
                }
            }
            for (c, client) in self.clients.iter_mut().enumerate() {
                client.pull();
                while let Some(message) = client.message() {
                    let mut words = message.split(' ');
                    let number = words
                        .next()
                        .and_then(|n| n.parse().ok())
                        .expect("the answer contains the request id");
                    let said = match (words.next(), words.next()) {
                        (Some("served"), _) => Said::Served,
                        (Some("error"), Some("-32011")) => Said::Refused,
                        _ => Said::Failed,
                    };
                    self.answers.push((now, self.ids[&(c, number)].clone(), said));
                }
                assert!(
                    !client.closed,
                    "the node closed the connection of a client that follows the protocol"
                );
            }
        }
        self.clock.set(now + STEP_MS);
    }
}

/// Runs the deployment of one seed. Returns the rule violations, the number of served requests, and the settings.
fn run_deployment(seed: u64) -> (Vec<String>, usize, String) {
    let mut draw = Draw::new(seed);
    let d = deployment(&mut draw);
    let mut simulation = Simulation::new(&d, seed);
    let resets = [0.0, 0.0, 0.0005][draw.below(3) as usize];
    let (cancel_share, pause) = ([0.0, 0.05][draw.below(2) as usize], [10.0, 40.0][draw.below(2) as usize]);
    let mut next = START;
    while simulation.clock.now() < START + 3000.0 {
        if simulation.clock.now() >= next {
            next = simulation.clock.now() + draw.waits(pause);
            simulation.send_request(&d, &mut draw);
            if chance(&mut draw, cancel_share) {
                simulation.cancel_request(&mut draw);
            }
        }
        simulation.step(&mut draw, resets);
    }
    let last = simulation.requests.iter().map(|a| a.until).fold(START, f64::max) + 200.0;
    while simulation.clock.now() < last {
        simulation.step(&mut draw, resets);
    }
    let acts: Vec<Act> =
        simulation.engines.iter_mut().flat_map(|engine| std::mem::take(&mut engine.acts)).collect();
    let served = simulation.answers.iter().filter(|(.., said)| *said == Said::Served).count();
    (judge(&simulation.requests, &simulation.answers, &acts, &d.rules), served, d.settings)
}

#[test]
fn no_rule_is_broken_by_whatever_the_settings_say() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match number("DEPLOYMENT_SEED") {
        Some(one) => one..one + 1,
        None => 1..1 + number("DEPLOYMENT_SEEDS").unwrap_or(24),
    };
    let (mut served, mut broken) = (0, Vec::new());
    for seed in seeds {
        let (violations, more, settings) = run_deployment(seed);
        served += more;
        if !violations.is_empty() {
            let first: Vec<&String> = violations.iter().take(3).collect();
            broken
                .push(format!("DEPLOYMENT_SEED={seed} cargo test --test deployments: {first:?}\n{settings}"));
        }
    }
    assert!(broken.is_empty(), "{} deployments violate a rule: {}", broken.len(), broken.join("\n"));
    assert!(served > 0, "at least one request is served");
}
