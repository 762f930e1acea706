//! The real front end: the decision module on real sockets, in one thread.
//!
//! A request's stages: a front reads it ([`front`]), the core ([`dispatcher`]) asks the decision module and keeps the
//! promises, a backend ([`backend`]) carries the attempt. [`discovery`] tells of engines, [`timer_queue`] of time.

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
use control::xds::Feed;
use control::{Control, Kind, View};
use discovery::{DiscoveryClient, ListEvent};
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

const ACCEPT_PAUSE_MS: f64 = 5.0; // before accepting again where descriptors are short
const TRANSIT_MS: f64 = 1.0; // a message's way from its client: within a room, and no more than the grace
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
    timers: TimerQueue,
    exchange: RequestDispatcher,
    jsonrpc: JsonRpc,
    mysql: Option<(MysqlFront, MysqlBackend)>,
    /// Client connections that are being closed, of both fronts.
    closing: ClosingConnections,
    warehouses: LineProtocolBackend,
    bulletin: Option<DiscoveryClient>,
    control: Control,
    control_listeners: Vec<(Kind, TcpListener)>,
    /// The service for proxies, which has a thread of its own; none if it is off.
    xds: Option<Feed>,
    /// Admission control of a fleet with a policy, and when its leader is next to be polled; none if it is off.
    admission: Option<AdmissionControl>,
    admission_due: Option<TimerHandle>,
    waker: Option<Arc<Waker>>,
    /// What the file said at the start of all that a reload does not apply.
    at_start: BTreeMap<String, OwnedValue>,
    shutdown: Option<GracefulShutdown>,
    log: Vec<String>,
}

impl Node {
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

    /// Watches a stream whose first byte asks for a graceful shutdown.
    pub fn watch_signal(&mut self, stream: &mut impl mio::event::Source) -> io::Result<()> {
        self.poll.registry().register(stream, SocketOwner::Fixed(SIGNAL).token(), Interest::READABLE)
    }

    /// Ends a wait for sockets from another thread, so that a configuration read there is taken in at once.
    pub fn waker(&mut self) -> io::Result<Arc<Waker>> {
        if let Some(waker) = &self.waker {
            return Ok(waker.clone());
        }
        let waker = Arc::new(Waker::new(self.poll.registry(), SocketOwner::Fixed(RELOAD).token())?);
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
            (Some(bulletin), Some(address)) => bulletin.moved(now, address, config.known, &mut self.timers),
            (None, None) => return,
            _ => return self.log.push("reload: bulletin has come or gone: needs a restart".to_owned()),
        };
        let mut heard = Vec::new();
        self.news(news, &mut heard);
        self.settle(heard);
    }

    /// Begins a graceful shutdown: goes on accepting and answering for a while, then finishes what is open.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown.is_none() {
            let now = self.clock.now();
            let deadlines = self.exchange.settings().classes.iter().map(|c| c.deadline.as_millis());
            let shutdown = GracefulShutdown::new(now, deadlines.fold(0.0, f64::max));
            self.exchange.shut_down_by(now, shutdown.response_deadline(), &mut self.timers);
            self.shutdown = Some(shutdown);
            if let Some(admission) = &mut self.admission {
                admission.start_draining();
            }
            self.log.push(format!("ending: open={}", self.exchange.open_requests()));
            self.timers.set(now, TimerEvent::Shutdown);
        }
    }

    /// Whether a graceful shutdown has ended.
    pub fn is_shut_down(&self) -> bool {
        self.shutdown.as_ref().is_some_and(|shutdown| shutdown.phase() == Phase::Ended)
    }

    /// Lines for the log since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Requests that are owed an answer, or still have an attempt out.
    pub fn open_requests(&self) -> usize {
        self.exchange.open_requests()
    }

    /// Takes in what the fleet's leader has answered, and polls it for the lease to admit requests when that is due.
    fn fleet(&mut self) {
        let Some(admission) = &mut self.admission else { return };
        self.exchange.let_go(self.clock.now());
        let changed = admission.process(self.exchange.open_requests());
        let now = self.clock.now();
        let (used, vain) = self.warehouses.links_used();
        let most = admission.max_connections_per_engine(used, vain);
        self.exchange.cold_among(admission.warm_up_share());
        let due = now + admission.next_poll_in();
        if let Some(before) = self.admission_due.take() {
            self.timers.clear(before);
        }
        self.admission_due = Some(self.timers.set(due, TimerEvent::Fleet));
        let mut heard = Vec::new();
        let Node { poll, timers, log, warehouses, closing, .. } = self;
        warehouses.keep_links(
            most,
            &mut BackendContext { now, registry: poll.registry(), timers, closing, heard: &mut heard, log },
        );
        if !changed.is_empty() {
            self.xds.iter_mut().for_each(Feed::hurry);
            heard.push(DispatcherEvent::Members(crate::ListKind::Changes, 0, changed));
        }
        if !heard.is_empty() {
            self.settle(heard);
        }
    }

    /// Admits a request under the active policy, or rejects it.
    fn admit(&mut self, heard: DispatcherEvent) -> Option<DispatcherEvent> {
        let mut ask = match heard {
            DispatcherEvent::Asked(ask) => ask,
            other => return Some(other),
        };
        let Some(admission) = &mut self.admission else { return Some(DispatcherEvent::Asked(ask)) };
        let request = AdmissionRequest {
            id: &ask.name,
            class: ask.class.0,
            account: ask.tenant.as_deref(),
            in_flight: self.exchange.open_requests(),
        };
        match admission.admit(request) {
            Ok(admitted) => {
                ask.budget = admitted.limits.deadline_ms.map_or(ask.budget, |most| ask.budget.min(most));
                ask.admitted = Some(admitted);
                Some(DispatcherEvent::Asked(ask))
            }
            Err(reason) => {
                self.exchange.turn_away(ask.asker, reason.retry_after_ms());
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

    fn view(&self) -> View {
        let gateway = self.exchange.gateway();
        let with_address = |s: crate::EngineStatus| Some((s.clone(), self.warehouses.address(&s.engine)?));
        View {
            shutting_down: self.shutdown.is_some(),
            why_not: self.admission.as_ref().and_then(AdmissionControl::blocked_reason),
            admitted: gateway.admitted_share(),
            engines: gateway.engine_statuses().into_iter().filter_map(with_address).collect(),
            clients: self.xds.as_ref().map(Feed::status),
        }
    }

    fn control_ready(&mut self, owner: SocketOwner, now: f64) {
        let view = self.view();
        let Node { poll, timers, log, control, control_listeners, closing, .. } = self;
        let mut context =
            BackendContext { now, registry: poll.registry(), timers, closing, heard: &mut Vec::new(), log };
        if let SocketOwner::Control(key) = owner {
            return control.ready(key, &view, &mut context);
        }
        let listener = control_listeners.iter().find(|(kind, _)| control_token(*kind) == owner.token());
        let Some((kind, listener)) = listener else { return };
        // Any error ends this round: where descriptors are short, those who ask come back by themselves.
        while let Ok((stream, _)) = listener.accept() {
            control.accept(stream, *kind, &view, &mut context);
        }
    }

    /// Takes a graceful shutdown further, as its state machine says.
    fn advance_shutdown(&mut self, now: f64, heard: &mut Vec<DispatcherEvent>) {
        let Node { poll, timers, log, jsonrpc, mysql, exchange, shutdown, closing, .. } = self;
        let Some(shutdown) = shutdown else { return };
        exchange.refuse_unfinishable(now, timers);
        let connections = jsonrpc.len() + mysql.as_ref().map_or(0, |(front, _)| front.len()) + closing.len();
        let step = shutdown.advance(now, exchange.open_requests(), connections);
        let mut context = BackendContext { now, registry: poll.registry(), timers, closing, heard, log };
        if step.close_idle_clients {
            exchange.refuse_new();
            jsonrpc.close_quiet(&mut context);
            mysql.iter_mut().for_each(|(front, _)| front.close_quiet(&mut context));
        }
        if let Some(next) = step.next {
            timers.set(next, TimerEvent::Shutdown);
        }
        if step.close_listeners {
            self.close_listeners(now, heard);
        }
    }

    /// Takes the connections that the system has accepted already, which would be reset, and closes the listeners.
    fn close_listeners(&mut self, now: f64, heard: &mut Vec<DispatcherEvent>) {
        self.accept_paused = false;
        self.accept(Front::JsonRpc, now, now, heard);
        self.accept(Front::Mysql, now, now, heard);
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

fn control_token(kind: Kind) -> mio::Token {
    let number = match kind {
        Kind::Http => HTTP_LISTENER,
        Kind::Agent => AGENT_LISTENER,
    };
    SocketOwner::Fixed(number).token()
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 3600.0))
}
