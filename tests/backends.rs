//! Backends by themselves: what has not been written when a box drains is taken back.

use beamgap::node::backend::line_protocol::LineProtocolBackend;
use beamgap::node::backend::mysql::MysqlBackend;
use beamgap::node::backend::BackendContext;
use beamgap::node::config::MysqlSettings;
use beamgap::node::discovery::ListedEngine;
use beamgap::node::dispatcher::{AttemptRef, AttemptStart, DispatcherEvent, Front, Payload};
use beamgap::node::front::closing::ClosingConnections;
use beamgap::node::reactor::SocketOwner;
use beamgap::node::slab::SlotKey;
use beamgap::node::timer_queue::TimerQueue;
use beamgap::{Attempt, ClassId, EngineEntry, EngineId, EngineState, ListKind, Outcome};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

enum Pool {
    Lines(LineProtocolBackend),
    Mysql(Box<MysqlBackend>),
}

impl Pool {
    fn members(&mut self, listing: ListedEngine, context: &mut BackendContext) {
        match self {
            Pool::Lines(pool) => pool.update_engines(ListKind::Changes, &[listing], context),
            Pool::Mysql(pool) => pool.update_engines(ListKind::Changes, &[listing], context),
        }
    }
    fn start(&mut self, start: AttemptStart, context: &mut BackendContext) {
        match self {
            Pool::Lines(pool) => pool.start(start, context),
            Pool::Mysql(pool) => pool.start(start, context),
        }
    }
}

fn pools() -> [Pool; 2] {
    let mysql = MysqlSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        accounts: Vec::new(),
        default_class: ClassId(0),
        rules: Vec::new(),
        engine_user: "node".to_owned(),
        engine_password: String::new(),
        max_engine_connections: 4,
    };
    let lines = LineProtocolBackend::new(vec![("load".to_owned(), true)], 250.0, 15_000.0, 100, 100);
    [Pool::Lines(lines), Pool::Mysql(Box::new(MysqlBackend::new(mysql, 250.0, 15_000.0, 100, 1 << 20)))]
}

fn listing(address: SocketAddr, state: EngineState) -> ListedEngine {
    let engine = EngineId(Arc::from("s-00000001"));
    ListedEngine { address, entry: EngineEntry { engine, state, ..EngineEntry::default() } }
}

fn start(number: u32) -> AttemptStart {
    AttemptStart {
        attempt: AttemptRef { request: SlotKey { slot: number, generation: 0 }, attempt: Attempt(0) },
        front: Front::JsonRpc,
        name: Arc::from(format!("r{number}")),
        class: ClassId(0),
        engine: EngineId(Arc::from("s-00000001")),
        max_ms: 1000.0,
        memory_mb: 0,
        priority: 1,
        payload: Rc::new(Payload { statement: b"insert".to_vec(), ..Payload::default() }),
    }
}

fn outcomes(heard: &mut Vec<DispatcherEvent>) -> Vec<(u32, Outcome)> {
    let outcome = |heard| match heard {
        DispatcherEvent::AttemptEnded(ended) => Some((ended.attempt.request.slot, ended.outcome)),
        _ => None,
    };
    heard.drain(..).filter_map(outcome).collect()
}

#[test]
fn what_waits_behind_a_dial_is_taken_back_when_the_box_drains() {
    // Guards the rule on drains: a dial may come up long after the news.
    for mut pool in pools() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let poll = mio::Poll::new().unwrap();
        let (mut timers, mut heard, mut log) = (TimerQueue::default(), Vec::new(), Vec::new());
        let mut closing = ClosingConnections::default();
        let mut context = BackendContext {
            now: 0.0,
            registry: poll.registry(),
            timers: &mut timers,
            closing: &mut closing,
            events: &mut heard,
            log: &mut log,
        };
        pool.members(listing(address, EngineState::Serving), &mut context);
        pool.start(start(1), &mut context);
        assert_eq!(outcomes(context.events), []);
        pool.members(listing(address, EngineState::Draining), &mut context);
        pool.start(start(2), &mut context);
        assert_eq!(outcomes(context.events), [(1, Outcome::Overloaded), (2, Outcome::Overloaded)]);
        let mut got = Vec::new();
        listener.accept().unwrap().0.read_to_end(&mut got).unwrap();
        assert_eq!(got, b"", "not a byte of it was written");
    }
}

#[test]
fn what_is_unsent_when_its_connection_breaks_goes_by_another() {
    // Guards against connections that are reset as soon as they stand: that says nothing of the warehouse.
    let [mut pool, _] = pools();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut poll = mio::Poll::new().unwrap();
    let (mut timers, mut heard, mut log) = (TimerQueue::default(), Vec::new(), Vec::new());
    let registry = poll.registry().try_clone().unwrap();
    let mut closing = ClosingConnections::default();
    let mut context = BackendContext {
        now: 0.0,
        registry: &registry,
        timers: &mut timers,
        closing: &mut closing,
        events: &mut heard,
        log: &mut log,
    };
    pool.members(listing(listener.local_addr().unwrap(), EngineState::Serving), &mut context);
    pool.start(start(1), &mut context);
    drop(listener.accept().unwrap());
    let Pool::Lines(pool) = &mut pool else { unreachable!() };
    let mut events = mio::Events::with_capacity(8);
    listener.set_nonblocking(true).unwrap();
    let mut next = None;
    let mut got = [0; 5];
    while !next.iter_mut().any(|(stream, _): &mut (std::net::TcpStream, _)| stream.read(&mut got).is_ok()) {
        poll.poll(&mut events, Some(std::time::Duration::from_millis(5))).unwrap();
        for owner in events.iter().filter_map(|event| SocketOwner::from_token(event.token())) {
            let SocketOwner::LineProtocol(key) = owner else { panic!("{owner:?}") };
            pool.ready(key, &mut context);
        }
        next = next.or_else(|| listener.accept().ok());
        next.iter().for_each(|(stream, _)| stream.set_nonblocking(true).unwrap());
    }
    assert_eq!((&got, outcomes(context.events)), (b"want ", vec![]));
}
