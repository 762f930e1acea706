//! Tests of the backends without a node: requests not yet written to an engine are returned when the engine drains,
//! and are sent on another connection when their connection breaks.

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

enum AnyBackend {
    Lines(LineProtocolBackend),
    Mysql(Box<MysqlBackend>),
}

impl AnyBackend {
    fn update_engines(&mut self, listing: ListedEngine, context: &mut BackendContext) {
        match self {
            AnyBackend::Lines(backend) => backend.update_engines(ListKind::Changes, &[listing], context),
            AnyBackend::Mysql(backend) => backend.update_engines(ListKind::Changes, &[listing], context),
        }
    }
    fn start(&mut self, start: AttemptStart, context: &mut BackendContext) {
        match self {
            AnyBackend::Lines(backend) => backend.start(start, context),
            AnyBackend::Mysql(backend) => backend.start(start, context),
        }
    }
}

fn backends() -> [AnyBackend; 2] {
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
    [
        AnyBackend::Lines(lines),
        AnyBackend::Mysql(Box::new(MysqlBackend::new(mysql, 250.0, 15_000.0, 100, 1 << 20))),
    ]
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

fn outcomes(dispatcher_events: &mut Vec<DispatcherEvent>) -> Vec<(u32, Outcome)> {
    let outcome = |event| match event {
        DispatcherEvent::AttemptEnded(ended) => Some((ended.attempt.request.slot, ended.outcome)),
        _ => None,
    };
    dispatcher_events.drain(..).filter_map(outcome).collect()
}

#[test]
fn what_waits_behind_a_dial_is_taken_back_when_the_box_drains() {
    // Guards against new work on a draining engine: a connection may be established long after the engine started
    // draining, and requests queued for that connection must not be sent then.
    for mut backend in backends() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let poll = mio::Poll::new().unwrap();
        let (mut timers, mut dispatcher_events, mut log) = (TimerQueue::default(), Vec::new(), Vec::new());
        let mut closing = ClosingConnections::default();
        let mut context = BackendContext {
            now: 0.0,
            registry: poll.registry(),
            timers: &mut timers,
            closing: &mut closing,
            events: &mut dispatcher_events,
            log: &mut log,
        };
        backend.update_engines(listing(address, EngineState::Serving), &mut context);
        backend.start(start(1), &mut context);
        assert_eq!(outcomes(context.events), []);
        backend.update_engines(listing(address, EngineState::Draining), &mut context);
        backend.start(start(2), &mut context);
        assert_eq!(outcomes(context.events), [(1, Outcome::Overloaded), (2, Outcome::Overloaded)]);
        let mut got = Vec::new();
        listener.accept().unwrap().0.read_to_end(&mut got).unwrap();
        assert_eq!(got, b"", "bytes of a returned request were written to the engine");
    }
}

#[test]
fn what_is_unsent_when_its_connection_breaks_goes_by_another() {
    // Guards against a request that fails because its connection is reset right after it was established. Such a reset
    // does not show that the engine has failed, so the request must be sent on a new connection.
    let [mut backend, _] = backends();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut poll = mio::Poll::new().unwrap();
    let (mut timers, mut dispatcher_events, mut log) = (TimerQueue::default(), Vec::new(), Vec::new());
    let registry = poll.registry().try_clone().unwrap();
    let mut closing = ClosingConnections::default();
    let mut context = BackendContext {
        now: 0.0,
        registry: &registry,
        timers: &mut timers,
        closing: &mut closing,
        events: &mut dispatcher_events,
        log: &mut log,
    };
    backend.update_engines(listing(listener.local_addr().unwrap(), EngineState::Serving), &mut context);
    backend.start(start(1), &mut context);
    drop(listener.accept().unwrap());
    let AnyBackend::Lines(backend) = &mut backend else { unreachable!() };
    let mut events = mio::Events::with_capacity(8);
    listener.set_nonblocking(true).unwrap();
    let mut next_connection = None;
    let mut got = [0; 5];
    while !next_connection
        .iter_mut()
        .any(|(stream, _): &mut (std::net::TcpStream, _)| stream.read(&mut got).is_ok())
    {
        poll.poll(&mut events, Some(std::time::Duration::from_millis(5))).unwrap();
        for owner in events.iter().filter_map(|event| SocketOwner::from_token(event.token())) {
            let SocketOwner::LineProtocol(key) = owner else { panic!("{owner:?}") };
            backend.ready(key, &mut context);
        }
        next_connection = next_connection.or_else(|| listener.accept().ok());
        next_connection.iter().for_each(|(stream, _)| stream.set_nonblocking(true).unwrap());
    }
    assert_eq!((&got, outcomes(context.events)), (b"want ", vec![]));
}
