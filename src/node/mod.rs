//! The node: a front end on real sockets that runs the decision module in a single-threaded event loop.
//!
//! A front ([`front`]) reads a request from a client, the request dispatcher ([`dispatcher`]) has the decision module
//! choose an engine, and a backend ([`backend`]) sends the attempt to that engine. [`discovery`] delivers the engine
//! list, and [`timer_queue`] holds all deadlines.

mod event_loop;
mod start;

pub mod backend;
pub mod clock;
pub mod config;
pub mod control;
pub mod discovery;
pub mod dispatcher;
pub mod front;
pub mod json;
pub mod mysql_packets;
pub mod operator;
pub mod reactor;
pub mod section;
pub mod shutdown;
pub mod slab;
pub mod table_group;
pub mod timer_queue;
use crate::fleet::admission::{AdmissionControl, AdmissionRequest};
use crate::Repeat;
use backend::line_protocol::LineProtocolBackend;
use backend::mysql::MysqlBackend;
use backend::BackendContext;
use clock::Clock;
use config::{Config, ConfigError};
use control::xds::XdsPublisher;
use control::{ControlProtocol, ControlServer, NodeStatus};
use discovery::{AddressOwners, DiscoveryClient, ListEvent};
use dispatcher::{AttemptRef, DispatcherCommand, DispatcherEvent, Front, RequestDispatcher};
use front::closing::ClosingConnections;
use front::jsonrpc::JsonRpc;
use front::mysql::MysqlFront;
use json::OwnedValue;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Waker};
use reactor::SocketOwner;
use shutdown::{GracefulShutdown, Phase};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use timer_queue::{TimerEvent, TimerHandle, TimerQueue};

/// Delay before the next accept after an accept failed or clients reached their connection limit, in milliseconds.
const ACCEPT_PAUSE_MS: f64 = 5.0;
/// Least time between two log lines about a pause in accepting connections, in milliseconds.
const ACCEPT_PAUSE_LOG_MS: f64 = 1000.0;
/// Assumed network latency from a client to the node, in milliseconds. Clients are on the same local network. The
/// value must not exceed the platform's grace for late responses.
const TRANSIT_MS: f64 = 1.0;

/// Number of the JSON-RPC listener among the sockets with a fixed poll token.
const LISTENER: u32 = 1;
/// Number of the MySQL listener among the sockets with a fixed poll token.
const MYSQL_LISTENER: u32 = 2;
/// Number of the HTTP control listener among the sockets with a fixed poll token.
const HTTP_LISTENER: u32 = 3;
/// Number of the agent-check listener among the sockets with a fixed poll token.
const AGENT_LISTENER: u32 = 4;
/// Number of the signal pipe among the sockets with a fixed poll token.
const SIGNAL: u32 = 0;
/// Number of the waker for reloads and responses of the fleet's leader among the sockets with a fixed poll token.
const RELOAD: u32 = 5;

/// A node: the event loop with its fronts, backends and control listeners.
pub struct Node {
    clock: Clock,
    poll: Poll,
    events: Events,
    listeners: Vec<(Front, TcpListener)>,
    accept_paused: bool,
    /// When the log last told of a pause in accepting connections, in milliseconds.
    accept_pause_logged_at: f64,
    client_sockets: usize,
    timers: TimerQueue,
    dispatcher: RequestDispatcher,
    jsonrpc: JsonRpc,
    mysql: Option<(MysqlFront, MysqlBackend)>,
    /// Client connections of both fronts that are being closed.
    closing: ClosingConnections,
    line_protocol: LineProtocolBackend,
    discovery: Option<DiscoveryClient>,
    address_owners: AddressOwners,
    control: ControlServer,
    control_listeners: Vec<(ControlProtocol, TcpListener)>,
    /// Publisher to the xDS server, which runs in a thread of its own; `None` if xDS is off.
    xds: Option<XdsPublisher>,
    /// Admission control under the fleet's policy; `None` without a fleet.
    admission: Option<AdmissionControl>,
    /// Timer of the next poll of the fleet's leader.
    admission_due: Option<TimerHandle>,
    waker: Option<Arc<Waker>>,
    /// Settings that a reload does not apply, with their values at the start of the node.
    startup_only: BTreeMap<String, OwnedValue>,
    shutdown: Option<GracefulShutdown>,
    log: Vec<String>,
}

impl Node {
    /// Address on which a front listens for clients.
    pub fn address(&self, front: Front) -> Option<SocketAddr> {
        let (_, listener) = self.listeners.iter().find(|(listener_front, _)| *listener_front == front)?;
        listener.local_addr().ok()
    }

    /// Address of a control listener, which serves the health checks of load balancers and proxies.
    pub fn control_address(&self, kind: ControlProtocol) -> Option<SocketAddr> {
        let (_, listener) =
            self.control_listeners.iter().find(|(listener_kind, _)| *listener_kind == kind)?;
        listener.local_addr().ok()
    }

    /// Address of the xDS server.
    pub fn xds_address(&self) -> Option<SocketAddr> {
        self.xds.as_ref().map(XdsPublisher::address)
    }

    /// Registers the signal pipe: the first byte on it starts a graceful shutdown.
    pub fn watch_signal(&mut self, stream: &mut impl mio::event::Source) -> io::Result<()> {
        self.poll.registry().register(stream, SocketOwner::Fixed(SIGNAL).token(), Interest::READABLE)
    }

    /// Returns a waker by which another thread interrupts the event loop's poll, so that the loop applies a
    /// configuration that the thread has read without delay.
    pub fn waker(&mut self) -> io::Result<Arc<Waker>> {
        if let Some(waker) = &self.waker {
            return Ok(waker.clone());
        }
        let waker = Arc::new(Waker::new(self.poll.registry(), SocketOwner::Fixed(RELOAD).token())?);
        self.waker = Some(waker.clone());
        Ok(waker)
    }

    /// Applies a reloaded configuration: the address of service discovery and the initial engine list. Open requests
    /// and connections are not affected. An invalid configuration changes nothing. Changed settings that need a
    /// restart are named in the log.
    pub fn reload(&mut self, read: Result<Config, ConfigError>) {
        let config = match read {
            Ok(config) => config,
            Err(e) => return self.log.push(format!("reload: {e}; the old settings remain in use")),
        };
        self.log.push("reload: done".to_owned());
        let keys = self.startup_only.keys().chain(config.startup_only.keys()).collect::<BTreeSet<_>>();
        let changed =
            keys.into_iter().filter(|key| self.startup_only.get(*key) != config.startup_only.get(*key));
        self.log.extend(changed.map(|key| format!("reload: {key} has changed: needs a restart")));
        let now = self.clock.now();
        let list_events = match (&mut self.discovery, config.bulletin) {
            (Some(discovery), Some(address)) => {
                discovery.apply_reload(now, address, config.initial_events, &mut self.timers)
            }
            (None, None) => return,
            _ => return self.log.push("reload: bulletin was added or removed: needs a restart".to_owned()),
        };
        let mut events = Vec::new();
        self.apply_list_events(list_events, &mut events);
        self.run_dispatcher(events);
    }

    /// Starts a graceful shutdown: the node accepts connections and requests for a short time, then finishes the
    /// requests in flight.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown.is_none() {
            let now = self.clock.now();
            let deadlines = self.dispatcher.settings().classes.iter().map(|c| c.deadline.as_millis());
            let shutdown = GracefulShutdown::new(now, deadlines.fold(0.0, f64::max));
            self.dispatcher.start_shutdown(now, shutdown.response_deadline(), &mut self.timers);
            self.shutdown = Some(shutdown);
            if let Some(admission) = &mut self.admission {
                admission.start_draining();
            }
            self.log.push(format!("ending: open={}", self.dispatcher.open_requests()));
            self.timers.set(now, TimerEvent::Shutdown);
        }
    }

    /// Whether a graceful shutdown is complete.
    pub fn is_shut_down(&self) -> bool {
        self.shutdown.as_ref().is_some_and(|shutdown| shutdown.phase() == Phase::Ended)
    }

    /// Removes and returns the log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Number of requests that are owed a response or have an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.dispatcher.open_requests()
    }

    /// Processes the responses of the fleet's leader and polls the leader when a poll is due: the leader grants the
    /// lease to admit requests and this node's shares of the fleet's budgets.
    fn update_admission(&mut self) {
        let Some(admission) = &mut self.admission else { return };
        self.dispatcher.release_expired_units(self.clock.now());
        let changed = admission.process(self.dispatcher.open_requests());
        let now = self.clock.now();
        let (used, more_wanted) = self.line_protocol.connection_usage();
        let max_connections = admission.max_connections_per_engine(used, more_wanted);
        self.dispatcher.set_warm_up_share(admission.warming_split());
        let next_poll_at = now + admission.next_poll_in();
        if let Some(previous) = self.admission_due.take() {
            self.timers.cancel(previous);
        }
        self.admission_due = Some(self.timers.set(next_poll_at, TimerEvent::Fleet));
        let mut events = Vec::new();
        let Node { poll, timers, log, line_protocol, closing, .. } = self;
        line_protocol.set_connection_limit(
            max_connections,
            &mut BackendContext { now, registry: poll.registry(), timers, closing, events: &mut events, log },
        );
        if !changed.is_empty() {
            self.xds.iter_mut().for_each(XdsPublisher::publish_soon);
            events.push(DispatcherEvent::EngineList(crate::ListKind::Changes, 0, changed));
        }
        if !events.is_empty() {
            self.run_dispatcher(events);
        }
    }

    /// Applies admission control to a new request: returns the request with its limits, or rejects it and returns
    /// `None`. Other events are returned unchanged.
    fn admit(&mut self, event: DispatcherEvent) -> Option<DispatcherEvent> {
        let mut request = match event {
            DispatcherEvent::RequestReceived(request) => request,
            other => return Some(other),
        };
        let Some(admission) = &mut self.admission else {
            return Some(DispatcherEvent::RequestReceived(request));
        };
        let admission_request = AdmissionRequest {
            id: &request.name,
            class: request.class.0,
            account: request.tenant.as_deref(),
            in_flight: self.dispatcher.open_requests(),
        };
        match admission.admit(admission_request) {
            Ok(admitted) => {
                request.budget_ms = admitted
                    .limits
                    .deadline_ms
                    .map_or(request.budget_ms, |deadline| request.budget_ms.min(deadline));
                request.admitted = Some(admitted);
                Some(DispatcherEvent::RequestReceived(request))
            }
            Err(reason) => {
                self.dispatcher.reject(self.clock.now(), &request, reason.retry_after_ms());
                None
            }
        }
    }

    /// Publishes the node's state to the xDS server: without delay after a change of the engine list, and otherwise
    /// at a fixed interval.
    fn publish_view(&mut self) {
        let now = self.clock.now();
        if self.xds.as_ref().is_some_and(|xds| xds.is_due(now)) {
            let view = self.view();
            self.xds.iter_mut().for_each(|xds| xds.publish(now, &view));
        }
    }

    /// Snapshot of the node's state for health checks and xDS.
    fn view(&self) -> NodeStatus {
        let gateway = self.dispatcher.gateway();
        let with_address = |s: crate::EngineStatus| Some((s.clone(), self.line_protocol.address(&s.engine)?));
        NodeStatus {
            shutting_down: self.shutdown.is_some(),
            blocked_reason: self.admission.as_ref().and_then(AdmissionControl::blocked_reason),
            admitted: gateway.admitted_share(),
            engines: gateway.engine_statuses().into_iter().filter_map(with_address).collect(),
            clients: self.xds.as_ref().map(XdsPublisher::status),
        }
    }

    /// Handles readiness of a control listener or of one of its connections.
    fn control_ready(&mut self, owner: SocketOwner, now: f64) {
        let view = self.view();
        let Node { poll, timers, log, control, control_listeners, closing, .. } = self;
        let mut context =
            BackendContext { now, registry: poll.registry(), timers, closing, events: &mut Vec::new(), log };
        if let SocketOwner::Control(key) = owner {
            return control.ready(key, &view, &mut context);
        }
        let listener = control_listeners.iter().find(|(kind, _)| control_token(*kind) == owner.token());
        let Some((kind, listener)) = listener else { return };
        // An error ends the loop without a pause: if file descriptors run out, health checkers connect again later.
        while let Ok((stream, _)) = listener.accept() {
            control.accept(stream, *kind, &view, &mut context);
        }
    }

    /// Advances the state machine of a graceful shutdown and carries out the step that it returns.
    fn advance_shutdown(&mut self, now: f64, events: &mut Vec<DispatcherEvent>) {
        let Node { poll, timers, log, jsonrpc, mysql, dispatcher, shutdown, closing, .. } = self;
        let Some(shutdown) = shutdown else { return };
        dispatcher.reject_unfinishable(now, timers);
        let connections = jsonrpc.len() + mysql.as_ref().map_or(0, |(front, _)| front.len()) + closing.len();
        let step = shutdown.advance(now, dispatcher.open_requests(), connections);
        let mut context = BackendContext { now, registry: poll.registry(), timers, closing, events, log };
        if step.close_idle_clients {
            dispatcher.reject_new();
            jsonrpc.close_idle(&mut context);
            mysql.iter_mut().for_each(|(front, _)| front.close_idle(&mut context));
        }
        if let Some(next_step_at) = step.next {
            timers.set(next_step_at, TimerEvent::Shutdown);
        }
        if step.close_listeners {
            self.close_listeners(now, events);
        }
    }

    /// Accepts the connections in the listen backlog, which a close would reset, and then closes the listeners.
    fn close_listeners(&mut self, now: f64, events: &mut Vec<DispatcherEvent>) {
        self.accept_paused = false;
        self.accept(Front::JsonRpc, now, now, events);
        self.accept(Front::Mysql, now, now, events);
        self.listeners.clear();
    }
}

fn listener_token(front: Front) -> mio::Token {
    let number = match front {
        Front::JsonRpc => LISTENER,
        Front::Mysql => MYSQL_LISTENER,
    };
    SocketOwner::Fixed(number).token()
}

fn control_token(kind: ControlProtocol) -> mio::Token {
    let number = match kind {
        ControlProtocol::Http => HTTP_LISTENER,
        ControlProtocol::Agent => AGENT_LISTENER,
    };
    SocketOwner::Fixed(number).token()
}

/// Converts milliseconds to a `Duration` between zero and one hour, which is within the range of every poll timeout.
fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 3600.0))
}
