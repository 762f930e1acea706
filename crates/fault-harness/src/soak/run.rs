//! Runs the soak for one seed: starts engines, front ends and clients, injects the planned faults, and collects the
//! observations.

use super::at_rest::{check_rest, footprint};
use super::book::Book;
use super::client::{Kind, SoakClient};
use super::discovery::Discovery;
use super::engine::SoakEngine;
use super::front_end::FrontEnd;
use super::lateness::Lateness;
use super::load::{end_process, start_busy_processes};
use super::plan::{DiscoveryFault, EngineFault, Fault, Plan};
use super::summary::{summary, Summary};
use super::verdict::{violations, Change, Seen};
use super::{crowd, CORES, WORK_MS};
use crate::{lock, now};
use beamgap_fakes::bulletin::{Entry, State};
use beamgap_fakes::draw::Draw;
use beamgap_fakes::warehouse::{Dialect, Reports};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Fraction of the capacity of all engines that the clients request.
const TARGET_LOAD: f64 = 0.65;
/// Maximum number of requests per second that clients send to one front end.
const MAX_RATE: f64 = 140.0;
/// Mean interval between two load requests with the same ordering key, in milliseconds.
const LOAD_INTERVAL_MS: f64 = 160.0;
/// Mean interval between two requests that each use a new connection, in milliseconds.
const VISIT_INTERVAL_MS: f64 = 60.0;
/// Number of clients per front end that send queries on long-lived connections.
const QUERY_CLIENTS: u64 = 3;
/// Number of ordering keys of load requests per front end; each key has a client of its own.
const KEYS: u64 = 2;
/// Time for which new connections to an engine are delayed when its connections are reset before its drain, in
/// milliseconds.
const LATE_DIALS_MS: f64 = 900.0;
/// Time between the reset of an engine's connections and its drain, in milliseconds.
const DRAIN_AFTER_RESET_MS: f64 = 120.0;
/// Maximum number of refused client connections that are reported as violations.
const REFUSALS_SHOWN: usize = 5;

/// Runs the soak for one seed with `length` milliseconds of traffic. Returns an error if the run could not be set up.
pub fn play(binary: &Path, folder: &Path, seed: u64, length: f64) -> Result<Summary, String> {
    let plan = Arc::new(Plan::draw(seed, length));
    let discovery = Discovery::default();
    let engines: Vec<SoakEngine> = (0..plan.engines)
        .map(|number| SoakEngine::start(number as u32, dialect(), seed << 8 | number as u64))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let entries: Vec<Entry> = engines.iter().map(|engine| entry(engine, State::Ready, 0)).collect();
    discovery.tell(&entries, true);
    let front_ends: Vec<Mutex<FrontEnd>> = (0..plan.front_ends)
        .map(|number| FrontEnd::start(number, &plan, &discovery, binary, folder).map(Mutex::new))
        .collect::<Result<_, _>>()?;
    // The footprint of an idle process must include its watch connection to service discovery.
    std::thread::sleep(Duration::from_millis(300));
    let at_rest = footprint(&front_ends[0]);
    let lateness = Lateness::start();
    let busy_processes = if plan.has_load { start_busy_processes() } else { Vec::new() };
    let (book, is_over) = (Book::default(), Arc::new(AtomicBool::new(false)));
    let (drains, starts) = (Mutex::default(), Mutex::default());
    std::thread::scope(|scope| {
        let clients = start_clients(scope, &plan, &front_ends, &book, &is_over);
        let injector = FaultInjector {
            plan: &plan,
            discovery: &discovery,
            engines: &engines,
            drains: &drains,
            starts: &starts,
        };
        injector.inject_faults(scope, &front_ends);
        is_over.store(true, Relaxed);
        // The result of a client thread is ignored: all its observations are in the shared record.
        clients.into_iter().for_each(|client| drop(client.join()));
    });
    busy_processes.into_iter().for_each(end_process);
    let mut broken = Vec::new();
    check_rest(&front_ends, at_rest, &mut broken);
    let signals = front_ends.iter().map(|front_end| lock(front_end).signals).sum();
    for front_end in &front_ends {
        broken.append(&mut lock(front_end).violations);
    }
    drop(front_ends);
    discovery.stop();
    lateness.stop();
    let (mut acts, mut errors) = (Vec::new(), Vec::new());
    for engine in engines {
        let (engine_acts, mut engine_errors) = engine.stop();
        acts.push(engine_acts);
        errors.append(&mut engine_errors);
    }
    broken
        .extend(errors.into_iter().map(|line| format!("an engine was sent what is not of its wire: {line}")));
    broken.extend(book.refused_connections().into_iter().take(REFUSALS_SHOWN).map(|(process, at)| {
        format!(
            "n{}: refused a new connection at {at:.0}, in its process {}",
            process.front_end, process.number
        )
    }));
    let (records, said) = book.all();
    let (drains, starts) = (drains.into_inner().unwrap_or_default(), starts.into_inner().unwrap_or_default());
    let seen = Seen { records, said, acts, drains, starts, discovery, lateness };
    broken.extend(violations(&seen));
    Ok(summary(&plan, &seen, signals, broken))
}

fn dialect() -> Dialect {
    Dialect {
        reports: Reports::InAnswers,
        notes_ms: Some(300.0),
        tells_cost: true,
        cores: CORES,
        slots: None,
        work_ms: WORK_MS,
        crashes: 0.01,
        overloads: 0.01,
        hangs: 0.012,
    }
}

fn entry(engine: &SoakEngine, state: State, started: u64) -> Entry {
    Entry { id: engine.number, address: engine.address, state, started }
}

struct FaultInjector<'a> {
    plan: &'a Arc<Plan>,
    discovery: &'a Discovery,
    engines: &'a [SoakEngine],
    drains: &'a Mutex<Vec<Change>>,
    starts: &'a Mutex<Vec<Change>>,
}

impl<'a> FaultInjector<'a> {
    /// Injects the plan's faults at their times, and waits for the end of the traffic.
    fn inject_faults<'s>(&self, scope: &'s Scope<'s, '_>, front_ends: &'s [Mutex<FrontEnd>])
    where
        'a: 's,
    {
        let traffic_start = now();
        let mut restarts = Vec::new();
        for (number, (at, fault)) in self.plan.faults.iter().enumerate() {
            sleep_until(traffic_start + at);
            match fault.clone() {
                Fault::Engine(engine, fault) => self.engine_fault(scope, engine, fault),
                Fault::Discovery(DiscoveryFault::Silent(ms)) => self.discovery.silence(ms),
                Fault::Discovery(DiscoveryFault::Late(ms)) => self.discovery.delay(ms),
                Fault::Discovery(DiscoveryFault::WholeList) => drop(self.discovery.tell(&[], true)),
                Fault::Kill(front_end) => {
                    restarts.push(scope.spawn(move || lock(&front_ends[front_end]).kill()));
                }
                Fault::Signals(front_end, series) => {
                    let mut draw = Draw::new(self.plan.seed << 8 ^ number as u64);
                    restarts
                        .push(scope.spawn(move || lock(&front_ends[front_end]).signal(&series, &mut draw)));
                }
            }
        }
        sleep_until(traffic_start + self.plan.length);
        // The result of a restart thread is ignored: its errors are in the front end's violations.
        restarts.into_iter().for_each(|restart| drop(restart.join()));
    }

    fn engine_fault<'s>(&self, scope: &'s Scope<'s, '_>, number: usize, fault: EngineFault)
    where
        'a: 's,
    {
        let engine = &self.engines[number];
        let (discovery, drains, starts) = (self.discovery, self.drains, self.starts);
        let announce_removal = move |state: State| {
            let at = now();
            let event = discovery.tell(&[entry(engine, state, 0)], false);
            lock(drains).push(Change { engine: number, event, at });
        };
        engine.begin(fault);
        match fault {
            EngineFault::Drain { gone_after, without_connections } => {
                scope.spawn(move || {
                    if without_connections {
                        engine.begin(EngineFault::LateDials { ms: LATE_DIALS_MS });
                        engine.begin(EngineFault::Reset);
                        sleep_until(now() + DRAIN_AFTER_RESET_MS);
                    }
                    announce_removal(State::Draining);
                    sleep_until(now() + gone_after);
                    discovery.tell(&[entry(engine, State::Gone, 0)], false);
                });
            }
            EngineFault::RestartCold { .. } => {
                announce_removal(State::Gone);
                scope.spawn(move || {
                    while engine.is_down() {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    let at = now();
                    let event = discovery.tell(&[entry(engine, State::Ready, unix_ms())], false);
                    lock(starts).push(Change { engine: number, event, at });
                });
            }
            _ => {}
        }
    }
}

fn start_clients<'s>(
    scope: &'s Scope<'s, '_>,
    plan: &Arc<Plan>,
    front_ends: &[Mutex<FrontEnd>],
    book: &Book,
    is_over: &Arc<AtomicBool>,
) -> Vec<ScopedJoinHandle<'s, ()>> {
    let capacity = plan.engines as f64 * CORES * 1000.0 / WORK_MS;
    let rate = (TARGET_LOAD * capacity / plan.front_ends as f64).min(MAX_RATE);
    let loads = KEYS as f64 * 1000.0 / LOAD_INTERVAL_MS;
    let query_interval = QUERY_CLIENTS as f64 * 1000.0 / (rate - loads).max(5.0);
    let mut threads = Vec::new();
    for (index, front_end) in front_ends.iter().enumerate() {
        let door = lock(front_end).door.clone();
        for client in 0..QUERY_CLIENTS + KEYS + 1 {
            let (kind, interval) = match client {
                0 => (Kind::Visits, VISIT_INTERVAL_MS),
                client if client <= QUERY_CLIENTS => (Kind::Queries, query_interval),
                _ => (Kind::Loads, LOAD_INTERVAL_MS),
            };
            let client = SoakClient {
                number: index as u64 * 64 + client,
                kind,
                interval,
                door: door.clone(),
                plan: plan.clone(),
                book: book.clone(),
                is_over: is_over.clone(),
            };
            threads.push(scope.spawn(move || client.run()));
        }
        if plan.has_crowd {
            let is_over = is_over.clone();
            threads.push(scope.spawn(move || crowd::run(&door, &is_over)));
        }
    }
    threads
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn sleep_until(at: f64) {
    std::thread::sleep(Duration::from_secs_f64((at - now()).max(0.0) / 1000.0));
}
