//! The simulation: engines that serve, fail, drain and restart, and clients that send requests and may abandon them.

use crate::host::Host;
use crate::sites::Site;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;

/// Simulated time between two batches of events, in milliseconds.
const ROUND_MS: f64 = 5.0;
/// Number of front ends in the simulation.
const INSTANCES: u32 = 2;
/// Simulated clock at the start of the recording, in milliseconds.
const START_MS: f64 = 8000.0;
/// Mean time between two injected faults, in milliseconds; the actual interval varies by up to half of this value.
const FAULT_INTERVAL_MS: f64 = 900.0;

struct Engine {
    address: String,
    zone: String,
    kind: String,
    started_ms: Option<f64>,
    state: &'static str,
    /// Simulated time until which most requests to the engine fail or time out, in milliseconds.
    faulty_until: f64,
    in_flight: u32,
}

#[derive(Clone)]
struct Request {
    instance: u32,
    class: usize,
    attempts: u32,
    deadline_ms: f64,
    answered: bool,
}

enum Due {
    Timer { instance: u32, handle: u64 },
    Close { instance: u32, request: String, attempt: u32, engine: usize, sent_ms: f64, outcome: u16 },
    Note { instance: u32, request: String, attempt: u32, engine: usize, topic: u8, value: f64 },
    Abandon { instance: u32, request: String },
    ListArrives { instance: u32, kind: &'static str },
}

/// The simulation of one deployment, with randomness from the deployment's seed.
pub struct World<'a> {
    site: &'a Site,
    random: ChaCha8Rng,
    now_ms: f64,
    engines: Vec<Engine>,
    requests: BTreeMap<String, Request>,
    due: BTreeMap<(u64, u64), Due>,
    scheduled: u64,
    version: u64,
    subscribed: [bool; INSTANCES as usize],
    batch: Vec<String>,
}

impl<'a> World<'a> {
    /// Creates the simulation in its state before the first batch of events.
    pub fn new(site: &'a Site) -> World<'a> {
        let engines = (0..site.engines)
            .map(|i| Engine {
                address: format!("10.3.0.{}:7000", i + 1),
                zone: site.zones[i % site.zones.len()].to_owned(),
                kind: site.kinds[i % site.kinds.len()].to_owned(),
                started_ms: None,
                state: "SERVING",
                faulty_until: 0.0,
                in_flight: 0,
            })
            .collect();
        World {
            site,
            random: ChaCha8Rng::seed_from_u64(site.seed),
            now_ms: START_MS,
            engines,
            requests: BTreeMap::new(),
            due: BTreeMap::new(),
            scheduled: 0,
            version: 1,
            subscribed: [!site.subscribes; INSTANCES as usize],
            batch: Vec::new(),
        }
    }

    /// Runs the simulation against the program for `length_ms` of simulated time.
    pub fn play(&mut self, host: &mut Host, length_ms: f64) -> io::Result<()> {
        for instance in 0..INSTANCES {
            self.start_instance(instance);
        }
        let mut next_fault = START_MS + 2000.0;
        while self.now_ms < START_MS + length_ms {
            self.arrivals();
            if self.now_ms >= next_fault {
                next_fault += FAULT_INTERVAL_MS * self.random.random_range(0.5..1.5);
                self.fault();
            }
            self.fire_due();
            if !self.batch.is_empty() {
                let batch = std::mem::take(&mut self.batch);
                for action in host.exchange(self.now_ms, &batch)? {
                    self.act(&action);
                }
            }
            self.now_ms += ROUND_MS;
        }
        Ok(())
    }

    fn schedule(&mut self, after_ms: f64, due: Due) {
        let at = ((self.now_ms + after_ms.max(0.0)) * 1000.0) as u64;
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), due);
    }

    fn start_instance(&mut self, instance: u32) {
        let salt: u32 = self.random.random();
        let zone = self.site.zones[instance as usize % self.site.zones.len()];
        self.batch.push(format!("start {instance} {salt} {} Me={instance} Zone={zone}", self.site.settings));
        self.subscribed[instance as usize] = !self.site.subscribes;
        self.list(instance, "cached");
    }

    fn list(&mut self, instance: u32, kind: &str) {
        let listed: Vec<&Engine> =
            self.engines.iter().filter(|e| e.state != "DELETED" || kind == "delta").collect();
        self.batch.push(format!("directory 0 {}", listed.len()));
        for e in listed {
            let started = e.started_ms.map_or("-".to_owned(), |at| format!("{at:.1}"));
            self.batch.push(format!("engine {} {} {} 1 0 {started} {}", e.zone, e.address, e.kind, e.state));
        }
        self.batch.push(format!("registry {instance} {kind} {} 0", self.version));
    }

    fn arrivals(&mut self) {
        // A burst multiplies the arrival rate by 1.8 during the middle 5 seconds of every 15 seconds.
        let phase = (self.now_ms / 5000.0) as u64 % 3;
        let rate = self.site.arrivals_per_s * if phase == 1 { 1.8 } else { 1.0 };
        let mut left = rate * ROUND_MS / 1000.0;
        while left > 0.0 {
            if self.random.random_bool(left.min(1.0)) {
                self.arrive();
            }
            left -= 1.0;
        }
    }

    fn arrive(&mut self) {
        let mut pick: f64 = self.random.random();
        let mut class = 0;
        for (i, candidate) in self.site.classes.iter().enumerate() {
            class = i;
            pick -= candidate.share;
            if pick < 0.0 {
                break;
            }
        }
        let spec = &self.site.classes[class];
        let instance = self.random.random_range(0..INSTANCES);
        let id: u128 = self.random.random();
        let hex = format!("{id:032x}");
        let id = format!("{}-{}-{}-{}-{}", &hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]);
        let spread: f64 = self.random.random_range(0.3..2.5);
        let hint = spec.work_ms * spread;
        let memory = (f64::from(spec.memory_mb) * spread) as u32;
        let tables = self.random.random_range(1..9);
        let key = if spec.keyed { format!("k{}", self.random.random_range(0..12)) } else { "-".to_owned() };
        let tenants = self.site.tenants;
        let tenant =
            if tenants.is_empty() { "-" } else { tenants[self.random.random_range(0..tenants.len())] };
        let options = if self.random.random_bool(0.9) { 1 } else { 0 }
            + if self.random.random_bool(0.05) { 2 } else { 0 };
        let left = spec.deadline_ms;
        self.batch.push(format!(
            "order {instance} {id} {hint:.1} {options} {tables} {key} {left:.1} {} {tenant} {memory}",
            spec.name
        ));
        let request =
            Request { instance, class, attempts: 0, deadline_ms: self.now_ms + left, answered: false };
        self.requests.insert(id.clone(), request);
        if self.random.random_bool(0.03) {
            let after = self.random.random_range(5.0..left);
            self.schedule(after, Due::Abandon { instance, request: id });
        }
    }

    fn fault(&mut self) {
        let e = self.random.random_range(0..self.engines.len());
        match self.random.random_range(0..9) {
            0 | 1 => self.engines[e].faulty_until = self.now_ms + 2500.0,
            2 => self.set_state(e, "DRAINING"),
            3 => self.set_state(e, "DELETED"),
            4 | 5 => {
                self.engines[e].started_ms = Some(self.now_ms);
                self.set_state(e, "SERVING");
            }
            6 => {
                let instance = self.random.random_range(0..INSTANCES);
                self.batch.push(format!("registry {instance} failed - -"));
                self.subscribed[instance as usize] = !self.site.subscribes;
            }
            7 => {
                let instance = self.random.random_range(0..INSTANCES);
                let address = &self.engines[e].address;
                self.batch
                    .push(format!("sampled {instance} {address} 200 4.0 utilization:0.4,outstanding:2"));
            }
            _ => self.restart_instance(),
        }
    }

    fn set_state(&mut self, engine: usize, state: &'static str) {
        self.engines[engine].state = state;
        self.version += 1;
        for instance in 0..INSTANCES {
            if self.subscribed[instance as usize] {
                self.list(instance, if self.version.is_multiple_of(3) { "full" } else { "delta" });
            }
        }
    }

    fn restart_instance(&mut self) {
        let instance = self.random.random_range(0..INSTANCES);
        self.batch.push(format!("shutdown {instance}"));
        self.requests.retain(|_, request| request.instance != instance);
        self.due.retain(|_, due| match due {
            Due::Timer { instance: of, .. }
            | Due::Close { instance: of, .. }
            | Due::Note { instance: of, .. }
            | Due::Abandon { instance: of, .. }
            | Due::ListArrives { instance: of, .. } => *of != instance,
        });
        self.start_instance(instance);
    }

    fn fire_due(&mut self) {
        let until = (self.now_ms * 1000.0) as u64;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= until) {
            match entry.remove() {
                Due::Timer { instance, handle } => {
                    self.batch.push(format!("timeout_fired {instance} {handle}"))
                }
                Due::Abandon { instance, request } => {
                    if self
                        .requests
                        .get_mut(&request)
                        .is_some_and(|r| !std::mem::replace(&mut r.answered, true))
                    {
                        self.batch.push(format!("abandoned {instance} {request}"));
                    }
                }
                Due::ListArrives { instance, kind } => self.list(instance, kind),
                Due::Note { instance, request, attempt, engine, topic, value } => {
                    let address = &self.engines[engine].address;
                    self.batch
                        .push(format!("notice {instance} {request} {value:.2} {topic} {attempt} {address}"));
                }
                Due::Close { instance, request, attempt, engine, sent_ms, outcome } => {
                    self.close(instance, &request, attempt, engine, sent_ms, outcome);
                }
            }
        }
    }

    fn close(&mut self, instance: u32, id: &str, attempt: u32, engine: usize, sent_ms: f64, outcome: u16) {
        self.engines[engine].in_flight = self.engines[engine].in_flight.saturating_sub(1);
        let Some(request) = self.requests.get_mut(id) else { return };
        if outcome == 200 {
            request.answered = true;
        }
        let over = u8::from(request.answered);
        let class = &self.site.classes[request.class];
        let delay = self.now_ms - sent_ms;
        let cost = (class.work_ms as u64) * 4096 + u64::from(class.memory_mb / 4);
        let cost = if outcome == 200 { cost.to_string() } else { "-".to_owned() };
        let server = &self.engines[engine];
        let in_flight = server.in_flight;
        let load = f64::from(in_flight) / 12.0;
        let report = if matches!(outcome, 200 | 429 | 502) {
            format!("outstanding:{in_flight},backlog:{},x0:{load:.2},utilization:{load:.2}", in_flight / 4)
        } else {
            "-".to_owned()
        };
        self.batch.push(format!(
            "closed_attempt {instance} {id} {outcome} {attempt} {delay:.1} {} {over} {cost} {report}",
            server.address
        ));
    }

    fn act(&mut self, action: &str) {
        let words: Vec<&str> = action.split(' ').collect();
        let instance: u32 = words[1].parse().unwrap_or_default();
        match words[0] {
            "assign" => self.assigned(instance, words[2], words[3], words[4].parse().unwrap_or_default()),
            "not_now" | "finish_error" => {
                if let Some(request) = self.requests.get_mut(words[2]) {
                    request.answered = true;
                }
            }
            "abandon" => self.cancelled(words[2], words[3].parse().unwrap_or_default()),
            "defer" => {
                let (after, handle) =
                    (words[2].parse().unwrap_or(25.0), words[3].parse().unwrap_or_default());
                self.schedule(after, Due::Timer { instance, handle });
            }
            "tail" if words[2] == "1" => {
                self.subscribed[instance as usize] = true;
                self.schedule(40.0, Due::ListArrives { instance, kind: "full" });
            }
            "get_list" => self.schedule(40.0, Due::ListArrives { instance, kind: "full" }),
            _ => {}
        }
    }

    fn assigned(&mut self, instance: u32, id: &str, address: &str, give_up_after: f64) {
        let engine = self.engines.iter().position(|e| e.address == address).unwrap_or_default();
        let Some(request) = self.requests.get_mut(id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        let class = &self.site.classes[request.class];
        let until_deadline = request.deadline_ms - self.now_ms;
        let server = &mut self.engines[engine];
        server.in_flight += 1;
        let faulty = server.faulty_until > self.now_ms;
        let crowd = 1.0 + f64::from(server.in_flight) / 6.0;
        let cold = server.started_ms.is_some_and(|at| self.now_ms - at < 6000.0);
        let spread: f64 = self.random.random_range(0.4..2.2);
        let service = class.work_ms * spread * crowd * if cold { 2.0 } else { 1.0 };
        let draw: f64 = self.random.random();
        let (after, outcome) = match draw {
            d if faulty && d < 0.3 => (6.0, 502),
            d if faulty && d < 0.5 => (251.0, 521),
            d if faulty && d < 0.6 => (30.0, 520),
            d if faulty && d < 0.8 => (until_deadline, 408),
            d if d < 0.01 => (10.0, 502),
            d if d < 0.015 => (3.0, 521),
            _ if server.in_flight > 30 => (4.0, 429),
            _ => (service, 200),
        };
        let limit = if give_up_after > 0.0 { give_up_after.min(until_deadline) } else { until_deadline };
        let (after, outcome) = if after > limit { (limit, 408) } else { (after, outcome) };
        let request = id.to_owned();
        if outcome == 200 && service > 400.0 {
            let topic = self.random.random_range(1..4);
            let value = if topic == 2 { 300.0 } else { self.random.random_range(0.1..2.0) };
            self.schedule(
                after / 2.0,
                Due::Note { instance, request: request.clone(), attempt, engine, topic, value },
            );
        }
        self.schedule(
            after,
            Due::Close { instance, request, attempt, engine, sent_ms: self.now_ms, outcome },
        );
    }

    /// Closes an attempt that the program cancelled, 3 ms after the cancel.
    fn cancelled(&mut self, id: &str, of: u32) {
        let found = self.due.iter().find_map(|(key, due)| match due {
            Due::Close { request, attempt, .. } if request == id && *attempt == of => Some(*key),
            _ => None,
        });
        if let Some(Due::Close { instance, request, attempt, engine, sent_ms, .. }) =
            found.and_then(|key| self.due.remove(&key))
        {
            self.schedule(3.0, Due::Close { instance, request, attempt, engine, sent_ms, outcome: 444 });
        }
    }
}
