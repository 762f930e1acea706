//! The gRPC server (tonic) of the control plane. The server has its own thread with a single-threaded runtime, so that
//! the front end's event loop only publishes snapshots and never blocks. `docs/xds.md` compares this design with HTTP/2
//! polled by the event loop itself.

mod conn;
mod partial_messages;
mod service;

use crate::core::picture::{Picture, Terms};
use crate::core::plane::{Plane, Told};
use crate::core::stream::StreamError;
use conn::ConnectionLimiter;
use partial_messages::PartialMessages;
use service::{AdsService, LrsService};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch, Notify};
use tonic::body::Body;
use tower::util::MapRequestLayer;

use crate::envoy::service::discovery::v3::aggregated_discovery_service_server::AggregatedDiscoveryServiceServer;
use crate::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;

/// The interval of the control plane's periodic work.
const TICK: Duration = Duration::from_millis(100);
/// The number of ticks between two updates of the status report.
const STATUS_TICKS: u32 = 10;
/// The interval of HTTP/2 keepalive pings.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// The time without an answer to a keepalive ping after which the connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of concurrent HTTP/2 streams on one connection.
const STREAMS_PER_CONN: u32 = 16;
/// The maximum size of a request's header list, in bytes.
const HEADERS_MOST: u32 = 16 * 1024;
/// The HTTP/2 flow control window for data from a proxy, in bytes; applies to each stream and to each connection.
const WINDOW: u32 = 128 * 1024;

/// The listen address and the limits of the server.
#[derive(Clone, Debug)]
pub struct Service {
    /// The listen address.
    pub listen: SocketAddr,
    /// The operator's settings for the control plane.
    pub terms: Terms,
    /// The maximum number of connections.
    pub conns_most: usize,
    /// The maximum size of a request message, in bytes.
    pub message_most: usize,
    /// The maximum size of all request messages together that have arrived in part, in bytes.
    pub partial_most: usize,
    /// The time after which a connection without a stream is closed, in milliseconds.
    pub idle_ms: f64,
}

impl Service {
    /// Creates a server configuration with default limits.
    pub fn new(listen: SocketAddr, terms: Terms) -> Service {
        let conns_most = terms.streams_most + 64;
        Service {
            listen,
            terms,
            conns_most,
            message_most: 1 << 20,
            partial_most: 16 << 20,
            idle_ms: 30_000.0,
        }
    }
}

/// A callback that writes a line to the operator's log.
pub type Log = Arc<dyn Fn(Told) + Send + Sync>;

/// A handle to the running server; dropping the handle stops the server.
pub struct Handle {
    /// The address at which the server listens.
    pub address: SocketAddr,
    pictures: watch::Sender<Arc<Picture>>,
    status: Arc<Mutex<Arc<str>>>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Handle {
    /// Publishes a snapshot. A newer snapshot replaces one that is not yet processed.
    pub fn publish(&self, picture: Picture) {
        self.pictures.send_replace(Arc::new(picture));
    }

    /// Returns the status report as JSON: connected proxies, subscriptions and leases. The report is at most about one
    /// second old.
    pub fn status(&self) -> Arc<str> {
        lock(&self.status).clone()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end.take();
        // Joining fails only if the thread panicked, and the panic has already been reported.
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The channels by which the server wakes or closes a stream's task.
struct StreamControl {
    wake: Arc<Notify>,
    end: Option<oneshot::Sender<StreamError>>,
}

/// The state shared by all tasks of the server's thread.
struct Shared {
    start: Instant,
    plane: Mutex<Plane>,
    controls: Mutex<HashMap<u64, StreamControl>>,
    log: Log,
    message_most: usize,
}

/// Locks a mutex and ignores poisoning: no task panics while it holds a lock, so the protected state is consistent.
fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Runs `work` on the control plane. Afterwards wakes the streams with due responses, closes the streams that the
    /// control plane reports as ended, and writes its log lines.
    fn with<T>(&self, work: impl FnOnce(&mut Plane, f64) -> T) -> T {
        let mut plane = lock(&self.plane);
        let done = work(&mut plane, self.now());
        let mut controls = lock(&self.controls);
        for holder in plane.dirty() {
            controls.get(&holder).into_iter().for_each(|control| control.wake.notify_one());
        }
        for (holder, error) in plane.take_ended() {
            if let Some(end) = controls.get_mut(&holder).and_then(|control| control.end.take()) {
                // Sending fails only if the stream has already ended.
                let _ = end.send(error);
            }
        }
        let told = plane.take_told();
        drop((plane, controls));
        told.into_iter().for_each(|line| (self.log)(line));
        done
    }
}

/// Starts the server on a new thread.
pub fn start(service: Service, log: Log) -> std::io::Result<Handle> {
    let listener = std::net::TcpListener::bind(service.listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (pictures, seen) = watch::channel(Arc::new(Picture::default()));
    let (end, ended) = oneshot::channel();
    let status: Arc<Mutex<Arc<str>>> = Arc::new(Mutex::new("{}".into()));
    let shown = status.clone();
    let work = move || {
        if let Err(e) = runtime.block_on(run(service, listener, seen, ended, shown, log.clone())) {
            log(Told::Warning(format!("stopped: {e}")));
        }
    };
    let thread = std::thread::Builder::new().name("xds".into()).spawn(work)?;
    Ok(Handle { address, pictures, status, end: Some(end), thread: Some(thread) })
}

async fn run(
    service: Service,
    listener: std::net::TcpListener,
    seen: watch::Receiver<Arc<Picture>>,
    ended: oneshot::Receiver<()>,
    status: Arc<Mutex<Arc<str>>>,
    log: Log,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let shared = Arc::new(Shared {
        start: Instant::now(),
        plane: Mutex::new(Plane::new(0.0, service.terms)),
        controls: Mutex::new(HashMap::new()),
        log,
        message_most: service.message_most,
    });
    let limiter =
        ConnectionLimiter::new(service.conns_most, Duration::from_secs_f64(service.idle_ms / 1000.0));
    let incoming = limiter.clone().accept(tokio::net::TcpListener::from_std(listener)?);
    let ads = AggregatedDiscoveryServiceServer::new(AdsService(shared.clone()));
    let lrs = LoadReportingServiceServer::new(LrsService(shared.clone()));
    let partial = PartialMessages::new(service.partial_most);
    let limit_partial = move |request: http::Request<Body>| request.map(|body| partial.limit(body));
    let server = tonic::transport::Server::builder()
        .layer(MapRequestLayer::new(limit_partial))
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .max_concurrent_streams(Some(STREAMS_PER_CONN))
        .http2_max_header_list_size(Some(HEADERS_MOST))
        .initial_stream_window_size(Some(WINDOW))
        .initial_connection_window_size(Some(WINDOW))
        .add_service(ads.max_decoding_message_size(shared.message_most))
        .add_service(lrs.max_decoding_message_size(shared.message_most));
    tokio::select! {
        served = server.serve_with_incoming(incoming) => served?,
        () = run_control_loop(seen, shared, limiter, status) => {}
        _ = ended => {}
    }
    Ok(())
}

/// Passes published snapshots to the control plane and runs the periodic work.
async fn run_control_loop(
    mut seen: watch::Receiver<Arc<Picture>>,
    shared: Arc<Shared>,
    limiter: ConnectionLimiter,
    status: Arc<Mutex<Arc<str>>>,
) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0u32;
    loop {
        tokio::select! {
            biased;
            changed = seen.changed() => {
                if changed.is_err() {
                    // The handle was dropped.
                    return;
                }
                let picture = seen.borrow_and_update().clone();
                shared.with(|plane, now| plane.picture(now, (*picture).clone()));
            }
            _ = ticks.tick() => {
                shared.with(|plane, now| plane.tick(now));
                limiter.close_idle();
                if count.is_multiple_of(STATUS_TICKS) {
                    let text = { lock(&shared.plane).status(shared.now()) };
                    *lock(&status) = text.into();
                }
                count = count.wrapping_add(1);
            }
        }
    }
}
