//! Fake engine: accepts `run ID WORK` lines, shares its cores among the running requests, and answers `done ID`.
//! After its start the engine's capacity rises gradually. The engine records the requests that it received, so that
//! tests check rules at the engine and do not depend on the sender's own records.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Interval at which the engine advances its running requests.
const STEP: Duration = Duration::from_millis(4);

/// Capacity of a fake engine, and the overload at which a warming engine fails.
#[derive(Clone, Copy, Debug)]
pub struct Power {
    /// Number of cores when warm.
    pub cores: f64,
    /// Fraction of the cores that is available at the start.
    pub start_share: f64,
    /// Time from the start until all cores are available, in milliseconds; 0 means from the start.
    pub warm_ms: f64,
    /// A warming engine fails if the work sent to it within `fall_span_ms` exceeds its current capacity times this
    /// factor.
    pub fall_multiple: f64,
    /// Window over which the work sent to a warming engine is summed, in milliseconds.
    pub fall_span_ms: f64,
}

/// A request that an engine received.
#[derive(Clone, Debug, PartialEq)]
pub struct Came {
    /// Request id.
    pub id: u64,
    /// Time at which the engine received the request.
    pub at: Instant,
}

#[derive(Default)]
struct Observations {
    came: Vec<Came>,
    recent: VecDeque<(Instant, f64)>,
    worst: f64,
    running: usize,
    fell: bool,
}

/// A running fake engine.
pub struct Box {
    /// Listening address.
    pub address: SocketAddr,
    /// Time at which the engine started.
    pub started: Instant,
    observations: Arc<Mutex<Observations>>,
    task: tokio::task::JoinHandle<()>,
}

struct Job {
    id: u64,
    remaining_work: f64,
    answer: mpsc::UnboundedSender<String>,
}

impl Box {
    /// Starts an engine at an address; port 0 selects a free port.
    pub async fn start(address: SocketAddr, power: Power) -> std::io::Result<Box> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (started, observations) = (Instant::now(), Arc::new(Mutex::new(Observations::default())));
        let task = tokio::spawn(serve(listener, power, started, observations.clone()));
        Ok(Box { address, started, observations, task })
    }

    fn observations(&self) -> std::sync::MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the received requests in order of arrival.
    pub fn came(&self) -> Vec<Came> {
        self.observations().came.clone()
    }

    /// Returns the maximum load within the window while the engine warmed up, as a fraction of the load at which the
    /// engine fails.
    pub fn worst(&self) -> f64 {
        self.observations().worst
    }

    /// Returns whether the engine was overloaded while warming up.
    pub fn fell(&self) -> bool {
        self.observations().fell
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.observations().running
    }

    /// Stops the engine and closes all its connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for Box {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Power {
    fn available_fraction(&self, age: Duration) -> f64 {
        let warm = age.as_secs_f64() * 1000.0 / self.warm_ms.max(1e-9);
        self.start_share + (1.0 - self.start_share) * warm.min(1.0)
    }
}

async fn serve(
    listener: TcpListener,
    power: Power,
    started: Instant,
    observations: Arc<Mutex<Observations>>,
) {
    let (jobs, mut new_jobs) = mpsc::unbounded_channel::<Job>();
    let mut connections = tokio::task::JoinSet::new();
    let mut running: HashMap<u64, Job> = HashMap::new();
    let mut step = tokio::time::interval(STEP);
    let mut last = Instant::now();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, jobs.clone(), power, started, observations.clone()));
                }
            }
            Some(job) = new_jobs.recv() => {
                running.insert(job.id, job);
            }
            _ = step.tick() => {
                let now = Instant::now();
                let passed = (now - last).as_secs_f64() * 1000.0;
                last = now;
                let cores = power.cores * power.available_fraction(now - started);
                let progress = passed * (cores / running.len().max(1) as f64).min(1.0);
                running.retain(|id, job| {
                    job.remaining_work -= progress;
                    if job.remaining_work <= 0.0 {
                        // The send fails if the client has disconnected; the result is then discarded.
                        let _ = job.answer.send(format!("done {id}\n"));
                    }
                    job.remaining_work > 0.0
                });
                observations.lock().unwrap_or_else(PoisonError::into_inner).running = running.len();
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    jobs: mpsc::UnboundedSender<Job>,
    power: Power,
    started: Instant,
    observations: Arc<Mutex<Observations>>,
) {
    // Without TCP_NODELAY answers are only delayed, so an error is ignored.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (answer, mut answers) = mpsc::unbounded_channel::<String>();
    let mut lines = BufReader::new(read).lines();
    loop {
        tokio::select! {
            line = lines.next_line() => {
                let Ok(Some(line)) = line else { return };
                let mut words = line.split(' ').skip(1);
                let (Some(Ok(id)), Some(Ok(work))) = (words.next().map(str::parse), words.next().map(str::parse)) else { return };
                {
                    let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
                    observations.record_request(id, work, power, started);
                    observations.running += 1;
                }
                if jobs.send(Job { id, remaining_work: work, answer: answer.clone() }).is_err() {
                    return;
                }
            }
            Some(text) = answers.recv() => {
                if write.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

impl Observations {
    fn record_request(&mut self, id: u64, work: f64, power: Power, started: Instant) {
        let now = Instant::now();
        self.came.push(Came { id, at: now });
        self.recent.push_back((now, work));
        let span = Duration::from_secs_f64(power.fall_span_ms / 1000.0);
        while self.recent.front().is_some_and(|(at, _)| now - *at >= span) {
            self.recent.pop_front();
        }
        let age = now - started;
        if age.as_secs_f64() * 1000.0 < power.warm_ms {
            let sent: f64 = self.recent.iter().map(|(_, work)| work).sum();
            let limit =
                power.fall_multiple * power.cores * power.available_fraction(age) * power.fall_span_ms;
            self.worst = self.worst.max(sent / limit);
            self.fell |= sent > limit;
        }
    }
}
