//! The real front end: the decision module on real sockets, in one thread.
//!
//! A request's stages: a front reads it ([`front`]), the core ([`exchange`]) asks the decision module and keeps the
//! promises, a backend ([`backend`]) carries the attempt. [`bulletin`] tells of engines, [`deadlines`] of time.

pub mod backend;
pub mod bulletin;
pub mod clock;
pub mod config;
pub mod deadlines;
pub mod exchange;
pub mod front;
pub mod json;
pub mod reactor;
pub mod slots;
pub mod tables;

use backend::warehouse::Warehouses;
use backend::Cx;
use bulletin::{Bulletin, News};
use clock::Clock;
use config::Config;
use deadlines::{Deadlines, Wake};
use exchange::{AttemptRef, Exchange, Front, Heard, Order};
use front::jsonrpc::JsonRpc;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll};
use reactor::Owner;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

const ACCEPT_PAUSE_MS: f64 = 5.0; // before accepting again where descriptors are short
const TRANSIT_MS: f64 = 1.0; // a message's way from its client: within a room, and no more than the grace
const SETTLE_MS: f64 = 1000.0; // after SIGTERM new connections and requests come for up to 0.6 s
const END_LOOK_MS: f64 = 50.0; // between looks whether all is answered
const LISTENER: u32 = 1;
const SIGNAL: u32 = 0;

/// The node with all its parts.
pub struct Node {
    clock: Clock,
    poll: Poll,
    events: Events,
    listener: Option<TcpListener>,
    accept_paused: bool,
    client_sockets: usize,
    deadlines: Deadlines,
    exchange: Exchange,
    jsonrpc: JsonRpc,
    warehouses: Warehouses,
    bulletin: Option<Bulletin>,
    ending: Option<f64>,
    ended: bool,
    log: Vec<String>,
}

impl Node {
    /// Builds the node and listens; it serves as soon as it is turned.
    pub fn new(config: Config, clock: Clock) -> io::Result<Node> {
        let poll = Poll::new()?;
        let listener = match config.listen {
            Some(address) => {
                let mut listener = TcpListener::bind(address)?;
                poll.registry().register(
                    &mut listener,
                    Owner::Fixed(LISTENER).token(),
                    Interest::READABLE,
                )?;
                Some(listener)
            }
            None => None,
        };
        let names = config.settings.classes.iter().map(|c| c.name.clone()).collect();
        let client_sockets = config.client_sockets();
        let backend_sockets = config.sockets.saturating_sub(client_sockets + 32).max(4);
        let warehouses =
            Warehouses::new(names, config.dial_ms, config.idle_ms, config.streams, backend_sockets);
        let kinds = config.settings.kinds.iter().map(|k| k.name.clone()).collect();
        let last = config.known.iter().map(|news| news.number).max().unwrap_or(0);
        let out_most = (config.memory_mb * 1048576.0 / 4.0) as usize;
        let jsonrpc = JsonRpc::new(&config.settings, out_most);
        let exchange = Exchange::new(config.settings, config.seed, config.open_most, out_most)
            .map_err(io::Error::other)?;
        let bulletin = config.bulletin.map(|address| Bulletin::new(address, config.zones, kinds, last));
        let mut node = Node {
            clock,
            poll,
            events: Events::with_capacity(256),
            listener,
            accept_paused: false,
            client_sockets,
            deadlines: Deadlines::default(),
            exchange,
            jsonrpc,
            warehouses,
            bulletin,
            ending: None,
            ended: false,
            log: Vec::new(),
        };
        let mut heard = Vec::new();
        node.news(config.known, &mut heard);
        if node.bulletin.is_some() {
            node.deadlines.set(node.clock.now(), Wake::Bulletin);
        }
        node.settle(heard);
        Ok(node)
    }

    /// Where the platform's clients may connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Watches a stream whose first byte asks for a planned end.
    pub fn watch_signal(&mut self, stream: &mut impl mio::event::Source) -> io::Result<()> {
        self.poll.registry().register(stream, Owner::Fixed(SIGNAL).token(), Interest::READABLE)
    }

    /// Begins a planned end: goes on accepting and answering for a while, then finishes what is open.
    pub fn end(&mut self) {
        if self.ending.is_none() {
            let now = self.clock.now();
            self.ending = Some(now);
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
        let due = self.deadlines.first().map_or(f64::INFINITY, |at| (at - from).max(0.0));
        let wait = if self.clock.is_set() && due > 0.0 { most } else { most.min(millis(due)) };
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let now = self.clock.now();
        // What a poll finds at once may have come while the turn before was at work; what it waited for is fresh.
        let sent = if now - from < 0.2 { from } else { now } - TRANSIT_MS;
        let owners: Vec<Owner> = self.events.iter().filter_map(|event| Owner::of(event.token())).collect();
        for owner in owners {
            let now = self.clock.now();
            self.ready(owner, now, sent);
        }
        let now = self.clock.now();
        while let Some(wake) = self.deadlines.pop(now) {
            self.wake(wake, self.clock.now());
        }
        Ok(())
    }

    fn ready(&mut self, owner: Owner, now: f64, sent: f64) {
        let mut heard = Vec::new();
        let Node { poll, deadlines, log, jsonrpc, warehouses, bulletin, .. } = self;
        let mut cx = Cx { now, registry: poll.registry(), deadlines, heard: &mut heard, log };
        match owner {
            Owner::Fixed(SIGNAL) => self.end(),
            Owner::Fixed(_) => self.accept(now, &mut heard),
            Owner::JsonRpc(key) => jsonrpc.ready(key, sent, &mut cx),
            Owner::Warehouse(key) => warehouses.ready(key, &mut cx),
            Owner::Bulletin(generation) => {
                let news = bulletin.as_mut().map(|b| b.ready(now, generation)).unwrap_or_default();
                self.news(news, &mut heard);
            }
            Owner::Mysql(_) | Owner::MysqlBox(_) | Owner::Control(_) => {}
        }
        self.settle(heard);
    }

    fn wake(&mut self, wake: Wake, now: f64) {
        let mut heard = Vec::new();
        let Node { poll, deadlines, log, warehouses, bulletin, exchange, .. } = self;
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
                self.accept(now, &mut heard);
            }
            Wake::Ending => self.look_at_end(now, &mut heard),
            Wake::MysqlBox(_) | Wake::MysqlLogin(_) | Wake::Control(_) => {}
        }
        self.settle(heard);
    }

    /// After the platform's windows: stops accepting, closes what is idle, and ends when nothing is open.
    fn look_at_end(&mut self, now: f64, heard: &mut Vec<Heard>) {
        self.listener = None;
        let Node { poll, deadlines, log, jsonrpc, .. } = self;
        jsonrpc.close_idle(&mut Cx { now, registry: poll.registry(), deadlines, heard, log });
        self.ended = self.exchange.open_requests() == 0 && self.jsonrpc.all_written();
        if !self.ended {
            self.deadlines.set(now + END_LOOK_MS, Wake::Ending);
        }
    }

    fn accept(&mut self, now: f64, heard: &mut Vec<Heard>) {
        while let Some(listener) = self.listener.as_ref().filter(|_| !self.accept_paused) {
            let full = self.jsonrpc.len() >= self.client_sockets;
            let accepted = if full { Err(ErrorKind::QuotaExceeded.into()) } else { listener.accept() };
            match accepted {
                Ok((stream, _)) => {
                    let Node { poll, deadlines, log, jsonrpc, .. } = self;
                    jsonrpc.accept(stream, &mut Cx { now, registry: poll.registry(), deadlines, heard, log });
                }
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
        for News { number, kind, listings } in news {
            let Node { poll, deadlines, log, warehouses, .. } = self;
            let mut cx = Cx { now, registry: poll.registry(), deadlines, heard, log };
            warehouses.members(kind, &listings, &mut cx);
            for listing in &listings {
                let m = &listing.member;
                let (engine, address, state) = (&m.engine.0, listing.address, m.state);
                self.log.push(format!("list: no={number} engine={engine} address={address} state={state:?}"));
            }
            let members = listings.into_iter().map(|listing| listing.member).collect();
            heard.push(Heard::Members(kind, number, members));
        }
    }

    /// Lets the core hear what came, and carries its orders out, until nothing is left.
    fn settle(&mut self, mut heard: Vec<Heard>) {
        loop {
            let now = self.clock.now();
            for heard in heard.drain(..) {
                self.exchange.hear(now, heard, &mut self.deadlines);
            }
            self.log.append(&mut self.exchange.take_logs());
            let orders = self.exchange.take_orders();
            if orders.is_empty() {
                return;
            }
            let Node { poll, deadlines, log, jsonrpc, warehouses, .. } = self;
            let mut cx = Cx { now, registry: poll.registry(), deadlines, heard: &mut heard, log };
            for order in orders {
                match order {
                    Order::Answer(asker, answer) => match asker.front {
                        Front::JsonRpc => jsonrpc.answer(asker, &answer, &mut cx),
                        Front::Mysql => {}
                    },
                    Order::Start(start) => warehouses.start(start, &mut cx),
                    Order::GiveUp(attempt) => warehouses.give_up(attempt, &mut cx),
                    Order::Hurry(attempt, priority) => warehouses.hurry(attempt, priority, &mut cx),
                    Order::CloseIdle(engine) => warehouses.close_idle(&engine, &mut cx),
                }
            }
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 3600.0))
}
