//! Fake proxy: an xDS client that sends requests to engines according to its current resources, and reports its load.
//! A [`Script`] makes the proxy apply resources late, reconnect, reject responses, or never acknowledge them.

use crate::draw::Draw;
use beamgap_xds::client::held::Told;
use beamgap_xds::client::link::{connect, Link};
use beamgap_xds::client::session::{Got, Session};
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::{Ask, Variant};
use beamgap_xds::envoy::config::core::v3::Node;
use beamgap_xds::envoy::config::endpoint::v3::{ClusterStats, UpstreamLocalityStats};
use beamgap_xds::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use beamgap_xds::envoy::service::load_stats::v3::LoadStatsRequest;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Behavior of a proxy.
#[derive(Clone, Debug)]
pub struct Script {
    /// Node id of the proxy in xDS requests.
    pub node: String,
    /// Addresses of the xDS servers, used in turn.
    pub services: Vec<String>,
    /// Variant of the xDS protocol (state of the world or delta).
    pub variant: Variant,
    /// Mean number of requests per second.
    pub per_second: f64,
    /// Mean work of a request in milliseconds.
    pub work_ms: f64,
    /// Delay between the receipt of an xDS response and its application.
    pub late: Duration,
    /// Whether the proxy never answers a response, neither with an ACK nor with a NACK.
    pub never_acks: bool,
    /// With `Some(n)`, the proxy rejects every n-th response with a NACK; with `None`, no response is rejected.
    pub refuses: Option<u64>,
    /// Interval after which the proxy closes its xDS stream and connects to the next server.
    pub reconnects: Option<Duration>,
    /// Whether the proxy reports its load.
    pub reports: bool,
    /// Seed of the proxy's random choices.
    pub seed: u64,
}

/// Counters of a proxy.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of requests sent.
    pub sent: AtomicU64,
    /// Number of requests answered.
    pub answered: AtomicU64,
    /// Number of answers without an open request: the request was answered before or never sent.
    pub stray: AtomicU64,
    /// Number of requests refused at the proxy because the cluster's request limit was reached.
    pub full: AtomicU64,
    /// Number of requests refused at the proxy because no route, no cluster or no healthy endpoint was known.
    pub nowhere: AtomicU64,
    /// Number of requests refused at the proxy because the connection to the engine failed.
    pub closed: AtomicU64,
    /// Number of xDS responses received.
    pub responses: AtomicU64,
    /// Number of xDS streams opened.
    pub streams: AtomicU64,
}

/// Next request id, unique among all proxies of the process.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

struct ProxyState {
    script: Script,
    tally: Arc<Tally>,
    session: Session,
    start: Instant,
    draw: Draw,
    /// Senders to the connection tasks of engines, by address of the engine.
    connections: HashMap<SocketAddr, mpsc::UnboundedSender<String>>,
    /// Cluster of each open request, by request id.
    open_requests: HashMap<u64, String>,
    /// Number of open requests by cluster.
    by_cluster: HashMap<String, u32>,
    issued: u64,
    done: mpsc::UnboundedSender<u64>,
}

/// Runs a proxy that sends requests until `until`, then waits at most five seconds for outstanding answers.
pub async fn run(script: Script, tally: Arc<Tally>, until: Instant) {
    let (done, mut answers) = mpsc::unbounded_channel();
    let (asks, mut responses) = mpsc::unbounded_channel::<Got>();
    let (answer, to_send) = mpsc::unbounded_channel::<Ask>();
    let (opened, mut fresh) = mpsc::unbounded_channel::<mpsc::Sender<Vec<Ask>>>();
    let stream_task = tokio::spawn(run_xds_stream(script.clone(), tally.clone(), asks, to_send, opened));
    let (loads, reported) = tokio::sync::watch::channel((0u64, 0u64, Vec::new()));
    let report = script.reports.then(|| tokio::spawn(report_load(script.clone(), reported)));
    let mut run = ProxyState {
        session: Session::new(script.variant),
        start: Instant::now(),
        draw: Draw::new(script.seed),
        connections: HashMap::new(),
        open_requests: HashMap::new(),
        by_cluster: HashMap::new(),
        issued: 0,
        done,
        script,
        tally,
    };
    let mut next = Instant::now();
    let mut waiting: VecDeque<(Instant, Got)> = VecDeque::new();
    let mut tell_loads = tokio::time::interval(Duration::from_millis(250));
    let last = until + Duration::from_secs(5);
    loop {
        let now = Instant::now();
        if now >= last || (now >= until && run.open_requests.is_empty()) {
            break;
        }
        let due = waiting.front().map_or(last, |(at, _)| *at);
        let send = if now < until { next } else { last };
        tokio::select! {
            Some(reply) = fresh.recv() => {
                // Responses of the previous stream that were not applied yet are discarded when a new stream opens.
                waiting.clear();
                // The send can't block: the stream task waits for this single message.
                let _ = reply.try_send(run.session.opened());
            }
            Some(got) = responses.recv() => {
                run.tally.responses.fetch_add(1, Ordering::Relaxed);
                waiting.push_back((Instant::now() + run.script.late, got));
            }
            Some(id) = answers.recv() => run.answered(id),
            () = tokio::time::sleep_until(due.into()), if !waiting.is_empty() => {
                if let Some((_, got)) = waiting.pop_front() {
                    let count = run.tally.responses.load(Ordering::Relaxed);
                    let refuse = run.script.refuses.is_some_and(|every| count % every == every - 1);
                    let now = run.now();
                    let (_, asks) = run.session.got(now, &got, refuse.then_some("by script"));
                    // Requests without a nonce are subscriptions, which a proxy that never acknowledges sends too.
                    let answers = |ask: &Ask| !run.script.never_acks || ask.nonce.is_empty();
                    for ask in asks.into_iter().filter(answers) {
                        // The send fails if the stream task has ended; the answer is then not needed.
                        let _ = answer.send(ask);
                    }
                }
            }
            () = tokio::time::sleep_until(send.into()) => {
                if Instant::now() < until {
                    run.send_request().await;
                    next += Duration::from_secs_f64(run.draw.waits(1.0 / run.script.per_second.max(1e-3)));
                }
            }
            _ = tell_loads.tick() => {
                let clusters = run.by_cluster.keys().cloned().collect();
                loads.send_replace((run.open_requests.len() as u64, run.issued, clusters));
            }
        }
    }
    stream_task.abort();
    report.into_iter().for_each(|report| report.abort());
}

impl ProxyState {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn answered(&mut self, id: u64) {
        match self.open_requests.remove(&id) {
            Some(cluster) => {
                self.tally.answered.fetch_add(1, Ordering::Relaxed);
                self.by_cluster.entry(cluster).and_modify(|n| *n = n.saturating_sub(1));
            }
            None => {
                self.tally.stray.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Picks a random item with a probability proportional to its weight; `None` if all weights are 0.
    fn pick<T>(&mut self, of: Vec<(T, u32)>) -> Option<T> {
        let sum: u64 = of.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut at = self.draw.below(sum.max(1));
        for (item, weight) in of {
            match at.checked_sub(u64::from(weight)) {
                None => return Some(item),
                Some(rest) => at = rest,
            }
        }
        None
    }

    /// Sends one request to an engine chosen by route and endpoint weights, unless the cluster's request limit is
    /// reached.
    async fn send_request(&mut self) {
        let now = self.now();
        self.session.expire(now);
        let route =
            self.session.held().route().into_iter().map(|(name, weight)| (name.to_owned(), weight)).collect();
        let cluster = self.pick::<String>(route);
        let Some(cluster) = cluster else { return count(&self.tally.nowhere) };
        let out = self.by_cluster.get(&cluster).copied().unwrap_or(0);
        let held = self.session.held();
        let healthy = held.endpoints(&cluster).iter().filter(|e| e.health == Told::Healthy);
        let healthy: Vec<(SocketAddr, u32)> = healthy.map(|e| (e.address, e.weight)).collect();
        if held.item(Kind::Cds, &cluster).is_some() && out >= held.most(&cluster) {
            return count(&self.tally.full);
        }
        let Some(address) = self.pick(healthy) else { return count(&self.tally.nowhere) };
        let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        let work = self.draw.waits(self.script.work_ms).clamp(1.0, 4.0 * self.script.work_ms);
        let line = format!("run {id} {work:.1}\n");
        let open = self.connections.get(&address).filter(|sender| !sender.is_closed()).cloned();
        let sender = match open {
            Some(sender) => sender,
            None => {
                let Ok(stream) = TcpStream::connect(address).await else { return count(&self.tally.closed) };
                let (sender, lines) = mpsc::unbounded_channel();
                tokio::spawn(forward_requests(stream, lines, self.done.clone()));
                self.connections.insert(address, sender.clone());
                sender
            }
        };
        if sender.send(line).is_err() {
            return count(&self.tally.closed);
        }
        self.tally.sent.fetch_add(1, Ordering::Relaxed);
        self.issued += 1;
        *self.by_cluster.entry(cluster.clone()).or_default() += 1;
        self.open_requests.insert(id, cluster);
    }
}

fn count(of: &AtomicU64) {
    of.fetch_add(1, Ordering::Relaxed);
}

/// Forwards request lines to an engine, and reports the id of each answered request.
async fn forward_requests(
    stream: TcpStream,
    mut lines: mpsc::UnboundedReceiver<String>,
    done: mpsc::UnboundedSender<u64>,
) {
    // Without TCP_NODELAY requests are only delayed, so an error is ignored.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut answers = BufReader::new(read).lines();
    loop {
        tokio::select! {
            line = lines.recv() => {
                let Some(line) = line else { return };
                if write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
            answer = answers.next_line() => {
                let Ok(Some(answer)) = answer else { return };
                let id = answer.strip_prefix("done ").and_then(|id| id.parse().ok());
                if id.is_none_or(|id| done.send(id).is_err()) {
                    return;
                }
            }
        }
    }
}

/// Maintains an xDS stream and reopens the stream when it ends. Each new stream starts with the initial requests of
/// the session; received responses are passed to the proxy, and the proxy's answers are sent.
async fn run_xds_stream(
    script: Script,
    tally: Arc<Tally>,
    got: mpsc::UnboundedSender<Got>,
    mut to_send: mpsc::UnboundedReceiver<Ask>,
    opened: mpsc::UnboundedSender<mpsc::Sender<Vec<Ask>>>,
) {
    for turn in 0.. {
        if turn > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let service = &script.services[turn % script.services.len()];
        let Ok(channel) = connect(service).await else { continue };
        let (reply, mut first) = mpsc::channel(1);
        if opened.send(reply).is_err() {
            return;
        }
        let Some(first) = first.recv().await else { return };
        // Answers to responses of the previous stream are invalid on the new stream and are discarded.
        while to_send.try_recv().is_ok() {}
        let Ok(mut link) = Link::open(channel, &script.node, script.variant, first).await else { continue };
        tally.streams.fetch_add(1, Ordering::Relaxed);
        let over = tokio::time::sleep(script.reconnects.unwrap_or(Duration::from_secs(3600)));
        tokio::pin!(over);
        loop {
            tokio::select! {
                () = &mut over => break,
                next = link.next() => match next {
                    Ok(Some(response)) => if got.send(response).is_err() { return },
                    _ => break,
                },
                ask = to_send.recv() => match ask {
                    Some(ask) => if !link.send(ask).await { break },
                    None => return,
                },
            }
        }
    }
}

/// Sends periodic load reports to the first xDS server, and reconnects when the stream ends.
async fn report_load(script: Script, loads: tokio::sync::watch::Receiver<(u64, u64, Vec<String>)>) {
    let node = Node { id: script.node.clone(), ..Default::default() };
    let mut before = 0;
    loop {
        let Ok(channel) = connect(&script.services[0]).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let (sender, requests) = mpsc::channel(4);
        let first = LoadStatsRequest { node: Some(node.clone()), ..Default::default() };
        if sender.send(first).await.is_err() {
            continue;
        }
        let requests = tokio_stream::wrappers::ReceiverStream::new(requests);
        let Ok(answer) = LoadReportingServiceClient::new(channel).stream_load_stats(requests).await else {
            continue;
        };
        let mut settings = answer.into_inner();
        let mut every = Duration::from_secs(1);
        loop {
            tokio::select! {
                setting = settings.message() => match setting {
                    Ok(Some(setting)) => {
                        let requested = setting.load_reporting_interval.map(|d| Duration::from_secs(d.seconds.max(0) as u64));
                        every = requested.unwrap_or(every).max(Duration::from_millis(100));
                    }
                    _ => break,
                },
                () = tokio::time::sleep(every) => {
                    let (out, issued, clusters) = loads.borrow().clone();
                    let one = |(i, cluster): (usize, &String)| ClusterStats {
                        cluster_name: cluster.clone(),
                        load_report_interval: Some(beamgap_xds::duration(every.as_secs_f64() * 1000.0)),
                        upstream_locality_stats: vec![UpstreamLocalityStats {
                            total_requests_in_progress: if i == 0 { out } else { 0 },
                            total_issued_requests: if i == 0 { issued - before } else { 0 },
                            ..Default::default()
                        }],
                        ..Default::default()
                    };
                    let cluster_stats = clusters.iter().enumerate().map(one).collect();
                    before = issued;
                    if sender.send(LoadStatsRequest { cluster_stats, ..Default::default() }).await.is_err() {
                        break;
                    }
                }
            }
        }
    }
}
