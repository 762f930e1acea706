//! Any deployment by its settings alone: whole settings drawn at random within what the known sites span and beyond, the
//! node's own parts on sockets over stand-in engines on a set clock, and the platform's rules judged from outside.
//!
//! One seed again: `DEPLOYMENT_SEED=17 cargo test --test deployments`; more of them: `DEPLOYMENT_SEEDS=500`.

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

const STEP: f64 = 5.0;
const CLIENTS: usize = 4;

/// A deployment as its settings say, and the rules that follow from them.
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

struct World {
    node: Node,
    clock: Clock,
    houses: Vec<House>,
    engines: Vec<Engine>,
    conns: BTreeMap<(usize, SocketAddr), u64>,
    clients: Vec<Peer>,
    asked: Vec<Asked>,
    said: Vec<(f64, String, Said)>,
    ids: BTreeMap<(usize, u64), String>,
}

impl World {
    fn new(d: &Deployment, seed: u64) -> World {
        let houses: Vec<House> = (0..d.engines).map(|_| House::new()).collect();
        let addresses: Vec<SocketAddr> = houses.iter().map(House::address).collect();
        let text = stage::config(&addresses, addresses[0], r#""listen":"127.0.0.1:0","#);
        let text =
            text.replace(SETTINGS, &d.settings).replace(&format!(r#""bulletin":"{}","#, addresses[0]), "");
        let config = Config::read(text.into_bytes(), &|_| None);
        let config = config.unwrap_or_else(|e| panic!("seed {seed}: {e}: {}", d.settings));
        assert!(config.fit.iter().any(|line| line.contains("Unheard")), "what is unknown is told");
        let clock = Clock::manual(START);
        let node = Node::new(config, clock.clone()).expect("the node starts");
        let engine = |i: usize| Engine::new(d.dialect.clone(), seed ^ (i as u64) << 40, START);
        let address = node.address(Front::JsonRpc).expect("it listens");
        let clients =
            (0..CLIENTS).map(|_| Peer::new(TcpStream::connect(address).expect("a client connects")));
        World {
            engines: (0..d.engines).map(engine).collect(),
            clients: clients.collect(),
            conns: BTreeMap::new(),
            asked: Vec::new(),
            said: Vec::new(),
            ids: BTreeMap::new(),
            node,
            clock,
            houses,
        }
    }

    fn ask(&mut self, d: &Deployment, draw: &mut Draw) {
        let (n, now) = (self.asked.len() as u64 + 1, self.clock.now());
        let (client, class) =
            (draw.below(CLIENTS as u64) as usize, draw.below(d.names.len() as u64) as usize);
        let key = d.rules.ordered[class].then(|| format!("k{}", draw.below(3)));
        // Clients keep requests of one key apart, as the platform promises.
        if key.is_some() && self.asked.iter().any(|a| a.key == key && now - a.at < 60.0) {
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
        self.asked.push(Asked { at: now, id, class, key, until: now + budget, gone: None });
    }

    /// A client gives one of its requests up.
    fn leave(&mut self, draw: &mut Draw) {
        let now = self.clock.now();
        let Some(n) = self.asked.len().checked_sub(1 + draw.below(4) as usize) else { return };
        let open =
            self.asked[n].gone.is_none() && !self.said.iter().any(|(_, id, _)| *id == self.asked[n].id);
        let Some(((client, id), _)) = self.ids.iter().find(|(_, id)| **id == self.asked[n].id) else {
            return;
        };
        if open {
            let body = format!(r#"{{"jsonrpc":"2.0","method":"cancelRequest","params":{{"id":{id}}}}}"#);
            self.clients[*client].push(format!("Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
            self.asked[n].gone = Some(now);
        }
    }

    fn step(&mut self, draw: &mut Draw, resets: f64) {
        let now = self.clock.now();
        // What happens within a step has an order too: the judge sorts by time.
        let mut tick = 0.0;
        let mut at = || {
            tick += 0.001;
            now + tick
        };
        for _ in 0..3 {
            self.node.poll_once(Duration::ZERO).expect("the loop goes on");
            for (h, house) in self.houses.iter_mut().enumerate() {
                house.pull();
                let engine = &mut self.engines[h];
                house.conns.retain_mut(|peer| {
                    let next = self.conns.len() as u64;
                    let conn = *self.conns.entry((h, peer.address())).or_insert(next);
                    let out = engine.take(at(), conn, &mut peer.input).expect("it speaks the wire");
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
                    let number =
                        words.next().and_then(|n| n.parse().ok()).expect("the answer has its number");
                    let said = match (words.next(), words.next()) {
                        (Some("served"), _) => Said::Served,
                        (Some("error"), Some("-32011")) => Said::Refused,
                        _ => Said::Failed,
                    };
                    self.said.push((now, self.ids[&(c, number)].clone(), said));
                }
                assert!(!client.closed, "a good client is not let go");
            }
        }
        self.clock.set(now + STEP);
    }
}

/// Plays one deployment; the breaks of its rules, and how many requests were served.
fn play(seed: u64) -> (Vec<String>, usize, String) {
    let mut draw = Draw::new(seed);
    let d = deployment(&mut draw);
    let mut world = World::new(&d, seed);
    let resets = [0.0, 0.0, 0.0005][draw.below(3) as usize];
    let (leaves, pause) = ([0.0, 0.05][draw.below(2) as usize], [10.0, 40.0][draw.below(2) as usize]);
    let mut next = START;
    while world.clock.now() < START + 3000.0 {
        if world.clock.now() >= next {
            next = world.clock.now() + draw.waits(pause);
            world.ask(&d, &mut draw);
            if chance(&mut draw, leaves) {
                world.leave(&mut draw);
            }
        }
        world.step(&mut draw, resets);
    }
    let last = world.asked.iter().map(|a| a.until).fold(START, f64::max) + 200.0;
    while world.clock.now() < last {
        world.step(&mut draw, resets);
    }
    let acts: Vec<Act> =
        world.engines.iter_mut().flat_map(|engine| std::mem::take(&mut engine.acts)).collect();
    let served = world.said.iter().filter(|(.., said)| *said == Said::Served).count();
    (judge(&world.asked, &world.said, &acts, &d.rules), served, d.settings)
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
        let (breaks, more, settings) = play(seed);
        served += more;
        if !breaks.is_empty() {
            let first: Vec<&String> = breaks.iter().take(3).collect();
            broken
                .push(format!("DEPLOYMENT_SEED={seed} cargo test --test deployments: {first:?}\n{settings}"));
        }
    }
    assert!(broken.is_empty(), "{} of them: {}", broken.len(), broken.join("\n"));
    assert!(served > 0, "something is served");
}
