//! Fake engine behind a TCP listener: a thread drives the protocol state machine from the fakes crate and injects
//! faults.

use super::plan::EngineFault;
use crate::{lock, now};
use beamgap_fakes::warehouse::{Act, Dialect, Engine as EngineMachine};
use rustix::net::sockopt::set_socket_linger;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which the engine's thread polls its sockets.
const STEP: Duration = Duration::from_millis(1);
/// Length of the listen queue of an engine that accepts connections normally.
const LONG_QUEUE: i32 = 128;
/// Connect timeout of the engine's connection to its own listener, which fills the listen queue.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Durations of the working phase and of the following pause of an engine with the stutter fault, in milliseconds.
const STUTTER_MS: (f64, f64) = (80.0, 320.0);

/// Faults that are active on an engine, set by the test and read by the engine's thread.
#[derive(Debug, Default)]
struct FaultState {
    hangs_until: f64,
    stutters_until: f64,
    delays_connects_until: f64,
    resets: bool,
    down_until: Option<f64>,
    is_stopped: bool,
}

impl FaultState {
    fn is_paused(&self, now: f64) -> bool {
        let (work_ms, pause_ms) = STUTTER_MS;
        now < self.hangs_until || (now < self.stutters_until && now % (work_ms + pause_ms) > work_ms)
    }
}

struct Connection {
    number: u64,
    stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// A fake engine that runs on its own thread.
pub struct SoakEngine {
    /// Number of the engine in the engine list.
    pub number: u32,
    /// Listening address, which stays the same after a restart.
    pub address: SocketAddr,
    faults: Arc<Mutex<FaultState>>,
    acts: Arc<Mutex<Vec<Act>>>,
    /// Errors for input that violates the engine protocol.
    errors: Arc<Mutex<Vec<String>>>,
    is_down: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SoakEngine {
    /// Starts an engine on a free loopback port.
    pub fn start(number: u32, dialect: Dialect, seed: u64) -> std::io::Result<SoakEngine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let faults: Arc<Mutex<FaultState>> = Arc::default();
        let acts: Arc<Mutex<Vec<Act>>> = Arc::default();
        let errors: Arc<Mutex<Vec<String>>> = Arc::default();
        let is_down = Arc::new(AtomicBool::new(false));
        let mut driver = Driver {
            address,
            listener: Some(listener),
            machine: EngineMachine::new(dialect, seed, now()),
            connections: Vec::new(),
            connected: 0,
            short_queue: false,
            queue_filler: None,
            faults: faults.clone(),
            acts: acts.clone(),
            errors: errors.clone(),
            is_down: is_down.clone(),
        };
        let thread =
            std::thread::Builder::new().name(format!("engine-{number}")).spawn(move || driver.run())?;
        Ok(SoakEngine { number, address, faults, acts, errors, is_down, thread: Some(thread) })
    }

    /// Injects a fault. The caller updates the engine's entry in service discovery.
    pub fn begin(&self, fault: EngineFault) {
        let now = now();
        let mut faults = lock(&self.faults);
        match fault {
            EngineFault::Drain { .. } => {}
            EngineFault::Hang { ms } => faults.hangs_until = now + ms,
            EngineFault::Reset => faults.resets = true,
            EngineFault::Stutter { ms } => faults.stutters_until = now + ms,
            EngineFault::RestartCold { down } => {
                faults.down_until = Some(now + down);
                self.is_down.store(true, Relaxed);
            }
            EngineFault::LateDials { ms } => faults.delays_connects_until = now + ms,
        }
    }

    /// Returns whether the engine is down because of a restart fault.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Relaxed)
    }

    /// Stops the engine. Returns the history of all received attempts and the protocol errors.
    pub fn stop(mut self) -> (Vec<Act>, Vec<String>) {
        lock(&self.faults).is_stopped = true;
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, the history recorded until then is still returned.
            let _ = thread.join();
        }
        (lock(&self.acts).clone(), lock(&self.errors).clone())
    }
}

struct Driver {
    address: SocketAddr,
    listener: Option<TcpListener>,
    machine: EngineMachine,
    connections: Vec<Connection>,
    connected: u64,
    short_queue: bool,
    /// Connection that occupies the only slot of the shortened listen queue.
    queue_filler: Option<TcpStream>,
    faults: Arc<Mutex<FaultState>>,
    acts: Arc<Mutex<Vec<Act>>>,
    errors: Arc<Mutex<Vec<String>>>,
    is_down: Arc<AtomicBool>,
}

impl Driver {
    fn run(&mut self) {
        loop {
            std::thread::sleep(STEP);
            let now = now();
            let (resets, goes_down, delays_connects, is_paused) = {
                let mut faults = lock(&self.faults);
                if faults.is_stopped {
                    return;
                }
                let resets = std::mem::take(&mut faults.resets);
                let goes_down = faults.down_until.is_some_and(|until| now < until);
                (resets, goes_down, now < faults.delays_connects_until, faults.is_paused(now))
            };
            // The queue is shortened before the resets, so that a client that reconnects at once after a reset does
            // not enter the queue.
            self.limit_queue(delays_connects);
            if resets || goes_down {
                self.reset_all(now);
            }
            if goes_down {
                self.listener = None;
            } else if self.listener.is_none() && !self.listen_again() {
                continue;
            }
            if !delays_connects {
                self.accept();
            }
            // Work runs before the read, because the read advances the engine's clock without doing work. A paused
            // engine skips the work, so its queries make no progress for the time of the pause.
            if !is_paused {
                self.work(now);
            }
            self.read();
            lock(&self.acts).append(&mut self.machine.acts);
        }
    }

    /// Binds the same address again after a restart. Returns false while the system still refuses the address.
    fn listen_again(&mut self) -> bool {
        let Ok(listener) = TcpListener::bind(self.address) else { return false };
        if listener.set_nonblocking(true).is_err() {
            return false;
        }
        self.listener = Some(listener);
        self.short_queue = false;
        lock(&self.faults).down_until = None;
        self.is_down.store(false, Relaxed);
        true
    }

    /// Delays new connections, or ends the delay. With the shortest listen queue, filled by the engine's own
    /// connection, a client's connect does not succeed until the client's system sends its SYN again.
    fn limit_queue(&mut self, short: bool) {
        if self.short_queue == short {
            return;
        }
        let Some(listener) = &self.listener else { return };
        let length = if short { 0 } else { LONG_QUEUE };
        // An error is ignored: the queue length of a closed listener does not matter.
        let _ = rustix::net::listen(listener, length);
        self.short_queue = short;
        self.queue_filler = None;
        // A client that connected just now is accepted, so that its data is read and the queue slot becomes free.
        while short && self.queue_filler.is_none() {
            self.accept();
            self.queue_filler = TcpStream::connect_timeout(&self.address, FILL_TIMEOUT).ok();
        }
    }

    fn accept(&mut self) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if stream.set_nonblocking(true).is_ok() && stream.set_nodelay(true).is_ok() {
                self.connected += 1;
                let (input, output) = (Vec::new(), Vec::new());
                self.connections.push(Connection { number: self.connected, stream, input, output });
            }
        }
    }

    fn reset_all(&mut self, now: f64) {
        for connection in std::mem::take(&mut self.connections) {
            // With a zero linger time, closing the socket sends RST instead of FIN.
            let _ = set_socket_linger(&connection.stream, Some(Duration::ZERO));
            self.machine.closed(now, connection.number);
        }
    }

    /// Reads and processes the input of all connections. A hung or stuttering engine reads too: only its work stops,
    /// as on a machine whose network stack still runs.
    fn read(&mut self) {
        let mut buffer = [0; 16 * 1024];
        let mut ended = Vec::new();
        for connection in &mut self.connections {
            loop {
                match connection.stream.read(&mut buffer) {
                    Ok(0) => ended.push(connection.number),
                    Ok(count) => {
                        connection.input.extend_from_slice(&buffer[..count]);
                        continue;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => ended.push(connection.number),
                }
                break;
            }
            // The clock is read after the input. Otherwise an attempt could be recorded with a time before the event
            // that caused the attempt, such as the end of an earlier attempt.
            let now = now();
            match self.machine.take(now, connection.number, &mut connection.input) {
                Ok(answer) => connection.output.extend(answer),
                Err(e) => lock(&self.errors).push(e),
            }
        }
        for number in ended {
            self.machine.closed(now(), number);
            self.connections.retain(|connection| connection.number != number);
        }
    }

    fn work(&mut self, now: f64) {
        for (number, bytes) in self.machine.pass(now) {
            if let Some(connection) = self.connections.iter_mut().find(|c| c.number == number) {
                connection.output.extend(bytes);
            }
        }
        for connection in &mut self.connections {
            if connection.output.is_empty() {
                continue;
            }
            if let Ok(written) = connection.stream.write(&connection.output) {
                connection.output.drain(..written);
            }
        }
    }
}
