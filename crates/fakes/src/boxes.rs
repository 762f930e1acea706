//! A stand-in box: takes `run ID WORK` lines, shares its cores among what it runs, and answers `done ID`. It warms up
//! after its start, and notes what it was sent, so that rules are checked at the box and not by anybody's book.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const STEP: Duration = Duration::from_millis(4);

/// What a box can do.
#[derive(Clone, Copy, Debug)]
pub struct Power {
    /// Its cores when warm.
    pub cores: f64,
    /// The share of them at its start.
    pub start_share: f64,
    /// Warm after this, in milliseconds; 0: from the start.
    pub warm_ms: f64,
    /// Sent more than this many times what it can do ...
    pub fall_multiple: f64,
    /// ... within this many milliseconds, it falls over.
    pub fall_span_ms: f64,
}

/// A request that came to a box.
#[derive(Clone, Debug, PartialEq)]
pub struct Came {
    /// Its id.
    pub id: u64,
    /// When.
    pub at: Instant,
}

#[derive(Default)]
struct Notes {
    came: Vec<Came>,
    recent: VecDeque<(Instant, f64)>,
    worst: f64,
    running: usize,
    fell: bool,
}

/// A running box.
pub struct Box {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started.
    pub started: Instant,
    notes: Arc<Mutex<Notes>>,
    task: tokio::task::JoinHandle<()>,
}

struct Job {
    id: u64,
    left: f64,
    answer: mpsc::UnboundedSender<String>,
}

impl Box {
    /// Starts a box at an address; port 0 takes any.
    pub async fn start(address: SocketAddr, power: Power) -> std::io::Result<Box> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (started, notes) = (Instant::now(), Arc::new(Mutex::new(Notes::default())));
        let task = tokio::spawn(serve(listener, power, started, notes.clone()));
        Ok(Box { address, started, notes, task })
    }

    fn notes(&self) -> std::sync::MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What came, in order.
    pub fn came(&self) -> Vec<Came> {
        self.notes().came.clone()
    }

    /// The most that it was sent within the span while it warmed, as a share of what brings it down.
    pub fn worst(&self) -> f64 {
        self.notes().worst
    }

    /// Whether it has fallen over.
    pub fn fell(&self) -> bool {
        self.notes().fell
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.notes().running
    }

    /// Ends it, with all its connections.
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
    fn warmth(&self, age: Duration) -> f64 {
        let warm = age.as_secs_f64() * 1000.0 / self.warm_ms.max(1e-9);
        self.start_share + (1.0 - self.start_share) * warm.min(1.0)
    }
}

async fn serve(listener: TcpListener, power: Power, started: Instant, notes: Arc<Mutex<Notes>>) {
    let (jobs, mut wanted) = mpsc::unbounded_channel::<Job>();
    let mut conns = tokio::task::JoinSet::new();
    let mut running: HashMap<u64, Job> = HashMap::new();
    let mut step = tokio::time::interval(STEP);
    let mut last = Instant::now();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    conns.spawn(converse(stream, jobs.clone(), power, started, notes.clone()));
                }
            }
            Some(job) = wanted.recv() => {
                running.insert(job.id, job);
            }
            _ = step.tick() => {
                let now = Instant::now();
                let passed = (now - last).as_secs_f64() * 1000.0;
                last = now;
                let cores = power.cores * power.warmth(now - started);
                let each = passed * (cores / running.len().max(1) as f64).min(1.0);
                running.retain(|id, job| {
                    job.left -= each;
                    if job.left <= 0.0 {
                        // Whoever asked may be gone; then nobody is to be told.
                        let _ = job.answer.send(format!("done {id}\n"));
                    }
                    job.left > 0.0
                });
                notes.lock().unwrap_or_else(PoisonError::into_inner).running = running.len();
            }
        }
    }
}

async fn converse(
    stream: TcpStream,
    jobs: mpsc::UnboundedSender<Job>,
    power: Power,
    started: Instant,
    notes: Arc<Mutex<Notes>>,
) {
    let _ = stream.set_nodelay(true); // Where it can't be set, answers only come later.
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
                    let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
                    notes.take(id, work, power, started);
                    notes.running += 1;
                }
                if jobs.send(Job { id, left: work, answer: answer.clone() }).is_err() {
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

impl Notes {
    fn take(&mut self, id: u64, work: f64, power: Power, started: Instant) {
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
            let bears = power.fall_multiple * power.cores * power.warmth(age) * power.fall_span_ms;
            self.worst = self.worst.max(sent / bears);
            self.fell |= sent > bears;
        }
    }
}
