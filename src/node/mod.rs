//! The real front end: the decision module on real sockets, in one thread.
//!
//! A request's stages: a front reads it ([`front`]), the core ([`exchange`]) asks the decision module and keeps the
//! promises, a backend ([`backend`]) carries the attempt. [`bulletin`] tells of engines, [`deadlines`] of time.

pub mod backend;
pub mod bulletin;
pub mod clock;
pub mod config;
pub mod control;
pub mod deadlines;
pub mod exchange;
pub mod front;
pub mod json;
pub mod operator;
pub mod packets;
pub mod reactor;
pub mod slots;
pub mod tables;

use crate::fleet::gate::Gate;
use crate::Repeat;
use backend::mysql::MysqlBoxes;
use backend::warehouse::Warehouses;
use backend::Cx;
use bulletin::{Bulletin, News};
use clock::Clock;
use config::{Config, ConfigError};
use control::xds::Feed;
use control::{Control, Kind, View};
use deadlines::{Deadlines, Handle, Wake};
use exchange::{AttemptRef, Exchange, Front, Heard, Order};
use front::jsonrpc::JsonRpc;
use front::mysql::MysqlFront;
use json::OwnedValue;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Waker};
use reactor::Owner;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_PAUSE_MS: f64 = 5.0; // before accepting again where descriptors are short
const TRANSIT_MS: f64 = 1.0; // a message's way from its client: within a room, and no more than the grace
const SETTLE_MS: f64 = 1000.0; // after SIGTERM new connections and requests come for up to 0.6 s
const END_LOOK_MS: f64 = 50.0; // between looks whether all is answered
const LISTENER: u32 = 1;
const MYSQL_LISTENER: u32 = 2;
const HTTP_LISTENER: u32 = 3;
const AGENT_LISTENER: u32 = 4;
const SIGNAL: u32 = 0;
const RELOAD: u32 = 5;

/// The node with all its parts.
pub struct Node {
    clock: Clock,
    poll: Poll,
    events: Events,
    listeners: Vec<(Front, TcpListener)>,
    accept_paused: bool,
    client_sockets: usize,
    deadlines: Deadlines,
    exchange: Exchange,
    jsonrpc: JsonRpc,
    mysql: Option<(MysqlFront, MysqlBoxes)>,
    warehouses: Warehouses,
    bulletin: Option<Bulletin>,
    control: Control,
    control_listeners: Vec<(Kind, TcpListener)>,
    /// The service for proxies, which has a thread of its own; none if it is off.
    xds: Option<Feed>,
    /// The gate of a fleet with a policy, and when the council is next to be asked; none if it is off.
    gate: Option<Gate>,
    gate_due: Option<Handle>,
    waker: Option<Arc<Waker>>,
    /// What the file said at the start of all that a reload does not apply.
    at_start: BTreeMap<String, OwnedValue>,
    ending: Option<f64>,
    ended: bool,
    log: Vec<String>,
}

impl Node {
    /// Builds the node and listens; it serves as soon as it is turned.
    pub fn new(config: Config, clock: Clock) -> io::Result<Node> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        let mysql_listen = config.mysql.as_ref().map(|mysql| mysql.listen);
        for (front, address) in [(Front::JsonRpc, config.listen), (Front::Mysql, mysql_listen)] {
            if let Some(address) = address {
                let mut listener = TcpListener::bind(address)?;
                poll.registry().register(&mut listener, listener_token(front), Interest::READABLE)?;
                listeners.push((front, listener));
            }
        }
        let mut control_listeners = Vec::new();
        for (kind, address) in [(Kind::Http, config.control.http), (Kind::Agent, config.control.agent)] {
            if let Some(address) = address {
                let mut listener = TcpListener::bind(address)?;
                poll.registry().register(&mut listener, control_token(kind), Interest::READABLE)?;
                control_listeners.push((kind, listener));
            }
        }
        let classes = config.settings.classes.iter();
        let names = classes.map(|c| (c.name.clone(), c.repeat == Repeat::Unsafe)).collect();
        let client_sockets = config.client_sockets();
        let backend_sockets = config.sockets.saturating_sub(client_sockets + 32).max(4);
        let warehouses =
            Warehouses::new(names, config.dial_ms, config.idle_ms, config.streams, backend_sockets);
        let kinds = config.settings.kinds.iter().map(|k| k.name.clone()).collect();
        let out_most = (config.memory_mb * 1048576.0 / 4.0) as usize;
        let jsonrpc = JsonRpc::new(&config.settings, out_most);
        let mysql = config.mysql.map(|mysql| {
            let boxes =
                MysqlBoxes::new(mysql.clone(), config.dial_ms, config.idle_ms, backend_sockets, out_most);
            (MysqlFront::new(mysql, &config.settings, out_most), boxes)
        });
        // Where no seed is given, front ends still differ by their number.
        let lots = config.seed ^ u64::from(config.settings.me).rotate_left(32);
        let zones = config.zones.clone();
        let mut exchange = Exchange::new(config.settings, config.seed, config.open_most, out_most)
            .map_err(io::Error::other)?;
        let bulletin =
            config.bulletin.map(|address| Bulletin::new(address, config.zones, kinds, config.last, lots));
        let xds = config.xds.map(Feed::start).transpose()?;
        let mut waker = None;
        let gate = match &config.fleet {
            Some(fleet) => {
                let wakes = Arc::new(Waker::new(poll.registry(), Owner::Fixed(RELOAD).token())?);
                waker = Some(wakes.clone());
                // Where the loop can't be woken, it looks by itself when the next question is due.
                let wake = move || drop(wakes.wake());
                exchange.keep_zones();
                Some(Gate::start(fleet, exchange.settings(), &zones, lots, wake)?)
            }
            None => None,
        };
        let mut node = Node {
            clock,
            poll,
            events: Events::with_capacity(256),
            listeners,
            accept_paused: false,
            client_sockets,
            deadlines: Deadlines::default(),
            exchange,
            jsonrpc,
            mysql,
            warehouses,
            bulletin,
            control: Control::new(config.control.cluster),
            control_listeners,
            xds,
            gate,
            gate_due: None,
            waker,
            at_start: config.at_start,
            ending: None,
            ended: false,
            log: config.fit,
        };
        for (front, listener) in &node.listeners {
            node.log.push(format!("listen: front={front:?} address={}", listener.local_addr()?));
        }
        for (kind, listener) in &node.control_listeners {
            node.log.push(format!("listen: control={kind:?} address={}", listener.local_addr()?));
        }
        if let Some(xds) = &node.xds {
            node.log.push(format!("listen: xds address={}", xds.address()));
            node.deadlines.set(node.clock.now(), Wake::Xds);
        }
        if let Some(address) = node.gate.as_ref().and_then(Gate::address) {
            node.log.push(format!("listen: fleet address={address}"));
        }
        let mut heard = Vec::new();
        node.news(config.known, &mut heard);
        if node.bulletin.is_some() {
            node.deadlines.set(node.clock.now(), Wake::Bulletin);
        }
        node.settle(heard);
        node.fleet();
        Ok(node)
    }

    /// Where a front's clients may connect.
    pub fn address(&self, front: Front) -> Option<SocketAddr> {
        let (_, listener) = self.listeners.iter().find(|(of, _)| *of == front)?;
        listener.local_addr().ok()
    }

    /// Where balancers and proxies may ask.
    pub fn control_address(&self, kind: Kind) -> Option<SocketAddr> {
        let (_, listener) = self.control_listeners.iter().find(|(of, _)| *of == kind)?;
        listener.local_addr().ok()
    }

    /// Where proxies connect over xDS.
    pub fn xds_address(&self) -> Option<SocketAddr> {
        self.xds.as_ref().map(Feed::address)
    }

    /// Watches a stream whose first byte asks for a planned end.
    pub fn watch_signal(&mut self, stream: &mut impl mio::event::Source) -> io::Result<()> {
        self.poll.registry().register(stream, Owner::Fixed(SIGNAL).token(), Interest::READABLE)
    }

    /// Ends a wait for sockets from another thread, so that a configuration read there is taken in at once.
    pub fn waker(&mut self) -> io::Result<Arc<Waker>> {
        if let Some(waker) = &self.waker {
            return Ok(waker.clone());
        }
        let waker = Arc::new(Waker::new(self.poll.registry(), Owner::Fixed(RELOAD).token())?);
        self.waker = Some(waker.clone());
        Ok(waker)
    }

    /// Takes in a configuration that was read anew: the bulletin's address and events. What is open goes on as it
    /// is. Of a file that can't be used nothing is taken, and what counts at the start only is named.
    pub fn reload(&mut self, read: Result<Config, ConfigError>) {
        let config = match read {
            Ok(config) => config,
            Err(e) => return self.log.push(format!("reload: {e}; the old settings stay")),
        };
        self.log.push("reload: done".to_owned());
        let keys = self.at_start.keys().chain(config.at_start.keys()).collect::<BTreeSet<_>>();
        let changed = keys.into_iter().filter(|key| self.at_start.get(*key) != config.at_start.get(*key));
        self.log.extend(changed.map(|key| format!("reload: {key} has changed: needs a restart")));
        let now = self.clock.now();
        let news = match (&mut self.bulletin, config.bulletin) {
            (Some(bulletin), Some(address)) => {
                bulletin.moved(now, address, config.known, &mut self.deadlines)
            }
            (None, None) => return,
            _ => return self.log.push("reload: bulletin has come or gone: needs a restart".to_owned()),
        };
        let mut heard = Vec::new();
        self.news(news, &mut heard);
        self.settle(heard);
    }

    /// Begins a planned end: goes on accepting and answering for a while, then finishes what is open.
    pub fn end(&mut self) {
        if self.ending.is_none() {
            let now = self.clock.now();
            self.ending = Some(now);
            self.gate.iter_mut().for_each(Gate::drain);
            self.log.push(format!("ending: open={}", self.exchange.open_requests()));
            self.deadlines.set(now + SETTLE_MS, Wake::Ending);
        }
    }

    /// Whether a planned end has been reached.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Lines for the log since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Requests that are owed an answer, or still have an attempt out.
    pub fn open_requests(&self) -> usize {
        self.exchange.open_requests()
    }

    /// One turn: waits for sockets or a deadline, handles all that there is. Under a set clock it waits for sockets
    /// no longer than `most`, and for deadlines not at all.
    pub fn turn(&mut self, most: Duration) -> io::Result<()> {
        let from = self.clock.now();
        let again = self.jsonrpc.take_again();
        let due = self.deadlines.first().map_or(f64::INFINITY, |at| (at - from).max(0.0));
        let most = if again.is_empty() { most } else { Duration::ZERO };
        let wait = if self.clock.is_set() && due > 0.0 { most } else { most.min(millis(due)) };
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let now = self.clock.now();
        // What a poll finds at once may have come while the turn before was at work; what it waited for is fresh.
        let sent = if now - from < 0.2 { from } else { now } - TRANSIT_MS;
        let owners: Vec<Owner> = self.events.iter().filter_map(|event| Owner::of(event.token())).collect();
        // Those that flood come last: whoever has something new to say is heard first.
        for owner in owners.into_iter().chain(again.into_iter().map(Owner::JsonRpc)) {
            let now = self.clock.now();
            self.ready(owner, now, sent);
        }
        let now = self.clock.now();
        while let Some(wake) = self.deadlines.pop(now) {
            self.wake(wake, self.clock.now());
        }
        self.fleet();
        self.feed();
        Ok(())
    }

    /// Takes in what the council has answered, and asks it for the right to admit when that is due.
    fn fleet(&mut self) {
        let Some(gate) = &mut self.gate else { return };
        let (changed, mut lines) = gate.turn(self.exchange.open_requests());
        let due = self.clock.now() + gate.due_in();
        self.log.append(&mut lines);
        self.gate_due.take().into_iter().for_each(|before| self.deadlines.clear(before));
        self.gate_due = Some(self.deadlines.set(due, Wake::Fleet));
        if !changed.is_empty() {
            self.xds.iter_mut().for_each(Feed::hurry);
            self.settle(vec![Heard::Members(crate::ListKind::Changes, 0, changed)]);
        }
    }

    /// Lets a request in under the policy in force, or turns it away.
    fn admit(&mut self, heard: Heard) -> Option<Heard> {
        let mut ask = match heard {
            Heard::Asked(ask) => ask,
            other => return Some(other),
        };
        let Some(gate) = &mut self.gate else { return Some(Heard::Asked(ask)) };
        let (class, account, open) = (ask.class.0, ask.tenant.as_deref(), self.exchange.open_requests());
        match gate.admit(&ask.name, class, account, open) {
            Ok(admitted) => {
                ask.budget = admitted.terms.deadline_ms.map_or(ask.budget, |most| ask.budget.min(most));
                ask.admitted = Some(admitted);
                Some(Heard::Asked(ask))
            }
            Err(backoff) => {
                self.exchange.turn_away(ask.asker, backoff);
                None
            }
        }
    }

    /// Hands the module's view to the service for proxies: at once when engines came, drained or went, else rarely.
    fn feed(&mut self) {
        let now = self.clock.now();
        if self.xds.as_ref().is_some_and(|xds| xds.due(now)) {
            let view = self.view();
            self.xds.iter_mut().for_each(|xds| xds.publish(now, &view));
        }
    }

    fn ready(&mut self, owner: Owner, now: f64, sent: f64) {
        let mut heard = Vec::new();
        if let Owner::Control(_) | Owner::Fixed(HTTP_LISTENER | AGENT_LISTENER) = owner {
            return self.control_ready(owner, now);
        }
        let Node { poll, deadlines, log, jsonrpc, mysql, warehouses, bulletin, .. } = self;
        let mut cx = Cx { now, registry: poll.registry(), deadlines, heard: &mut heard, log };
        match owner {
            Owner::Fixed(SIGNAL) => self.end(),
            Owner::Fixed(RELOAD) => {} // Only ends the wait.
            Owner::Fixed(LISTENER) => self.accept(Front::JsonRpc, now, sent, &mut heard),
            Owner::Fixed(_) => self.accept(Front::Mysql, now, sent, &mut heard),
            Owner::JsonRpc(key) => jsonrpc.ready(key, sent, &mut cx),
            Owner::Warehouse(key) => warehouses.ready(key, &mut cx),
            Owner::Bulletin(generation) => {
                let news = bulletin.as_mut().map(|b| b.ready(now, generation)).unwrap_or_default();
                self.news(news, &mut heard);
            }
            Owner::Mysql(key) => mysql.iter_mut().for_each(|(front, _)| front.ready(key, &mut cx)),
            Owner::MysqlBox(key) => mysql.iter_mut().for_each(|(_, boxes)| boxes.ready(key, &mut cx)),
            Owner::Control(_) => {} // Handled above.
        }
        self.settle(heard);
    }

    fn wake(&mut self, wake: Wake, now: f64) {
        let mut heard = Vec::new();
        let Node { poll, deadlines, log, jsonrpc, mysql, warehouses, bulletin, exchange, control, .. } = self;
        let registry = poll.registry();
        let mut cx = Cx { now, registry, deadlines, heard: &mut heard, log };
        match wake {
            Wake::Module(timer) => exchange.timer(now, timer, deadlines),
            Wake::RequestOver(key) => exchange.request_over(now, key, deadlines),
            Wake::AttemptOver(request, attempt) => {
                exchange.attempt_over(now, AttemptRef { request, attempt }, deadlines);
            }
            Wake::Backend(key) => warehouses.look(key, &mut cx),
            Wake::Bulletin => bulletin.iter_mut().for_each(|b| b.look(now, registry, deadlines)),
            Wake::AcceptAgain => {
                self.accept_paused = false;
                self.accept(Front::JsonRpc, now, now - ACCEPT_PAUSE_MS, &mut heard);
                self.accept(Front::Mysql, now, now, &mut heard);
            }
            Wake::Client(key) => jsonrpc.due(key, &mut cx),
            Wake::Ending => self.look_at_end(now, &mut heard),
            Wake::MysqlBox(key) => mysql.iter_mut().for_each(|(_, boxes)| boxes.look(key, &mut cx)),
            Wake::MysqlLogin(key) => {
                mysql.iter_mut().for_each(|(front, _)| front.login_over(key, &mut cx));
            }
            Wake::Control(key) => control.look(key, &mut cx),
            // Health and warmth change without any socket saying so; `feed` looks at them after each turn.
            Wake::Xds => {
                deadlines.set(now + control::xds::FEED_MS, Wake::Xds);
            }
            // `fleet` looks after each turn.
            Wake::Fleet => self.gate_due = None,
        }
        self.settle(heard);
    }

    fn view(&self) -> View {
        let gateway = self.exchange.gateway();
        let with_address = |s: crate::Standing| Some((s.clone(), self.warehouses.address(&s.engine)?));
        View {
            ending: self.ending.is_some(),
            why_not: self.gate.as_ref().and_then(Gate::why_not),
            admitted: gateway.admitted_share(),
            engines: gateway.standings().into_iter().filter_map(with_address).collect(),
            clients: self.xds.as_ref().map(Feed::status),
        }
    }

    fn control_ready(&mut self, owner: Owner, now: f64) {
        let view = self.view();
        let Node { poll, deadlines, log, control, control_listeners, .. } = self;
        let mut cx = Cx { now, registry: poll.registry(), deadlines, heard: &mut Vec::new(), log };
        if let Owner::Control(key) = owner {
            return control.ready(key, &view, &mut cx);
        }
        let listener = control_listeners.iter().find(|(kind, _)| control_token(*kind) == owner.token());
        let Some((kind, listener)) = listener else { return };
        // Any error ends this round: where descriptors are short, those who ask come back by themselves.
        while let Ok((stream, _)) = listener.accept() {
            control.accept(stream, *kind, &view, &mut cx);
        }
    }

    /// After the platform's windows: stops accepting, closes what is idle, and ends when nothing is open.
    fn look_at_end(&mut self, now: f64, heard: &mut Vec<Heard>) {
        self.listeners.clear();
        let Node { poll, deadlines, log, jsonrpc, mysql, exchange, .. } = self;
        let mut cx = Cx { now, registry: poll.registry(), deadlines, heard, log };
        jsonrpc.close_idle(&mut cx);
        mysql.iter_mut().for_each(|(front, _)| front.close_idle(&mut cx));
        let written = jsonrpc.all_written() && mysql.iter().all(|(front, _)| front.all_written());
        self.ended = exchange.open_requests() == 0 && written;
        if !self.ended {
            self.deadlines.set(now + END_LOOK_MS, Wake::Ending);
        }
    }

    fn accept(&mut self, front: Front, now: f64, sent: f64, heard: &mut Vec<Heard>) {
        while !self.accept_paused {
            let Node { poll, deadlines, log, jsonrpc, mysql, listeners, .. } = self;
            let Some((_, listener)) = listeners.iter().find(|(of, _)| *of == front) else { return };
            let clients = jsonrpc.len() + mysql.as_ref().map_or(0, |(front, _)| front.len());
            let mut cx = Cx { now, registry: poll.registry(), deadlines, heard, log };
            // Guards against clients that ask once and stay, or never ask: they make room for those that come.
            let full = clients >= self.client_sockets && !jsonrpc.make_room(&mut cx);
            let accepted = if full { Err(ErrorKind::QuotaExceeded.into()) } else { listener.accept() };
            match accepted {
                Ok((stream, _)) => match (front, mysql) {
                    (Front::Mysql, Some((mysql, _))) => mysql.accept(stream, &mut cx),
                    _ => jsonrpc.accept(stream, sent, &mut cx),
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    // Out of descriptors, or at the clients' part: those that wait stay in the system's line.
                    self.accept_paused = true;
                    self.deadlines.set(now + ACCEPT_PAUSE_MS, Wake::AcceptAgain);
                }
            }
        }
    }

    fn news(&mut self, news: Vec<News>, heard: &mut Vec<Heard>) {
        let now = self.clock.now();
        if !news.is_empty() {
            self.xds.iter_mut().for_each(Feed::hurry);
        }
        for News { number, kind, listings } in news {
            let Node { poll, deadlines, log, mysql, warehouses, .. } = self;
            let mut cx = Cx { now, registry: poll.registry(), deadlines, heard, log };
            warehouses.members(kind, &listings, &mut cx);
            mysql.iter_mut().for_each(|(_, boxes)| boxes.members(kind, &listings, &mut cx));
            for listing in &listings {
                let m = &listing.member;
                let (engine, address, state) = (&m.engine.0, listing.address, m.state);
                self.log.push(format!("list: no={number} engine={engine} address={address} state={state:?}"));
            }
            let members: Vec<_> = listings.into_iter().map(|listing| listing.member).collect();
            let members = match &mut self.gate {
                Some(gate) => gate.offer(kind != crate::ListKind::Changes, members),
                None => members,
            };
            heard.push(Heard::Members(kind, number, members));
        }
    }

    /// Lets the core hear what came, and carries its orders out, until nothing is left.
    fn settle(&mut self, mut heard: Vec<Heard>) {
        loop {
            let now = self.clock.now();
            for heard in heard.drain(..) {
                let heard = if self.gate.is_some() { self.admit(heard) } else { Some(heard) };
                let heard = heard.into_iter();
                heard.for_each(|heard| self.exchange.hear(now, heard, &mut self.deadlines));
            }
            self.log.append(&mut self.exchange.take_logs());
            let orders = self.exchange.take_orders();
            if orders.is_empty() {
                return;
            }
            let Node { poll, deadlines, log, jsonrpc, mysql, warehouses, .. } = self;
            let mut cx = Cx { now, registry: poll.registry(), deadlines, heard: &mut heard, log };
            for order in orders {
                match (order, mysql.as_mut()) {
                    (Order::Answer(asker, answer), Some((front, _))) if asker.front == Front::Mysql => {
                        front.answer(asker, answer, &mut cx);
                    }
                    (Order::Answer(asker, answer), _) => jsonrpc.answer(asker, &answer, &mut cx),
                    (Order::Start(start), Some((_, boxes))) if start.front == Front::Mysql => {
                        boxes.start(start, &mut cx);
                    }
                    (Order::Start(start), _) => warehouses.start(start, &mut cx),
                    // A pool passes over attempts and engines that are not its own.
                    (Order::GiveUp(attempt, again), boxes) => {
                        let boxes = boxes.filter(|(_, boxes)| boxes.carries(attempt));
                        match boxes {
                            Some((_, boxes)) => boxes.give_up(attempt, again, &mut cx),
                            None => warehouses.give_up(attempt, again, &mut cx),
                        }
                    }
                    (Order::Hurry(attempt, priority), _) => warehouses.hurry(attempt, priority, &mut cx),
                    (Order::CloseIdle(engine), boxes) => {
                        warehouses.close_idle(&engine, &mut cx);
                        boxes.into_iter().for_each(|(_, boxes)| boxes.close_idle(&engine, &mut cx));
                    }
                }
            }
        }
    }
}

fn listener_token(front: Front) -> mio::Token {
    let number = match front {
        Front::JsonRpc => LISTENER,
        Front::Mysql => MYSQL_LISTENER,
    };
    Owner::Fixed(number).token()
}

fn control_token(kind: Kind) -> mio::Token {
    let number = match kind {
        Kind::Http => HTTP_LISTENER,
        Kind::Agent => AGENT_LISTENER,
    };
    Owner::Fixed(number).token()
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 3600.0))
}
