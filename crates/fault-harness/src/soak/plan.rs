//! Parameters and faults of a soak run, drawn from its seed without I/O.

use beamgap_fakes::draw::Draw;

/// Time without faults at the start of the traffic, in which front ends learn about their engines, in milliseconds.
const QUIET_START_MS: f64 = 1500.0;
/// Time at the end of the traffic in which no fault is injected, in milliseconds.
const QUIET_END_MS: f64 = 1000.0;
/// Upper limit of the deadline that the platform waits for before it kills a draining process, in milliseconds.
const MAX_KILL_DELAY_MS: f64 = 3000.0;
/// Time that the platform adds to the longest deadline before it kills a draining process, in milliseconds.
const KILL_GRACE_MS: f64 = 700.0;
/// Maximum time between the first and the last signal of a series, in milliseconds.
const SERIES_MS: f64 = 300.0;

/// Earliest and latest start of an engine hang that spans a restart, relative to the first signal, in milliseconds.
const HANG_START_MS: (f64, f64) = (-200.0, 500.0);

/// A signal that the soak sends to a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedSignal {
    /// SIGHUP: the front end reads its configuration again.
    Reload,
    /// SIGTERM: the front end drains and exits.
    Terminate,
}

/// A fault injected into one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineFault {
    /// Service discovery lists the engine as draining, and as gone some time later.
    Drain {
        /// Time between the drain and the removal of the engine, in milliseconds.
        gone_after: f64,
        /// Whether the engine's connections are reset shortly before the drain, and new connections are delayed.
        without_connections: bool,
    },
    /// The engine sends nothing for some time.
    Hang {
        /// Length of the hang, in milliseconds.
        ms: f64,
    },
    /// The engine resets all its connections.
    Reset,
    /// The engine answers late, because it pauses for most of the time.
    Stutter {
        /// Length of the fault, in milliseconds.
        ms: f64,
    },
    /// The engine crashes and restarts with reduced initial capacity.
    RestartCold {
        /// Time between the crash and the restart, in milliseconds.
        down: f64,
    },
    /// New connections to the engine are established late.
    LateDials {
        /// Length of the fault, in milliseconds.
        ms: f64,
    },
}

/// A fault injected into service discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryFault {
    /// All watches send neither events nor heartbeats for the given number of milliseconds.
    Silent(f64),
    /// Events published in the given number of milliseconds are delayed by one second.
    Late(f64),
    /// The whole engine list is sent again.
    WholeList,
}

/// A fault of a soak run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Fault of the engine with the given index.
    Engine(usize, EngineFault),
    /// Fault of service discovery.
    Discovery(DiscoveryFault),
    /// The front end with the given index is killed without a drain and restarted.
    Kill(usize),
    /// The front end with the given index receives signals, each at an offset in milliseconds from the first. If
    /// SIGTERM is among the signals, the process is killed at the earliest time that the platform allows, and
    /// restarted.
    Signals(usize, Vec<(f64, PlannedSignal)>),
}

/// Parameters and faults of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed from which all other fields except `length` are drawn.
    pub seed: u64,
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of engines.
    pub engines: usize,
    /// Duration of the traffic, in milliseconds.
    pub length: f64,
    /// Deadline of report requests, in milliseconds.
    pub report_deadline: f64,
    /// Deadline of load requests, in milliseconds.
    pub load_deadline: f64,
    /// Timeout of a front end's connection attempt to an engine, in milliseconds.
    pub dial_timeout: f64,
    /// Whether idle connections and incomplete messages use up the front ends' descriptors for clients.
    pub has_crowd: bool,
    /// Whether clients write some of their messages in pieces with pauses.
    pub has_slow_writers: bool,
    /// Whether two processes that each keep a core busy run during the traffic.
    pub has_load: bool,
    /// Faults sorted by time, in milliseconds from the start of the traffic.
    pub faults: Vec<(f64, Fault)>,
}

impl Plan {
    /// Draws a run with `length` milliseconds of traffic from a seed.
    pub fn draw(seed: u64, length: f64) -> Plan {
        let mut draw = Draw::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let front_ends = 2 + draw.below(5) as usize;
        let engines = 4 + draw.below(7) as usize;
        let one_in_four = |draw: &mut Draw| draw.below(4) == 0;
        let mut plan = Plan {
            seed,
            front_ends,
            engines,
            length,
            report_deadline: if draw.below(2) == 0 { 1800.0 } else { 4500.0 },
            load_deadline: if draw.below(2) == 0 { 1500.0 } else { 4200.0 },
            dial_timeout: if draw.below(2) == 0 { 250.0 } else { 1500.0 },
            has_crowd: one_in_four(&mut draw),
            has_slow_writers: one_in_four(&mut draw),
            has_load: one_in_four(&mut draw),
            faults: Vec::new(),
        };
        plan.draw_front_end_faults(&mut draw);
        plan.draw_engine_faults(&mut draw);
        plan.draw_discovery_faults(&mut draw);
        plan.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        plan
    }

    /// Returns the shortest time between SIGTERM and SIGKILL that the platform allows, in milliseconds.
    pub fn kill_after(&self) -> f64 {
        self.longest_deadline().min(MAX_KILL_DELAY_MS) + KILL_GRACE_MS
    }

    /// Returns the longest deadline of all request classes, in milliseconds.
    pub fn longest_deadline(&self) -> f64 {
        self.report_deadline.max(self.load_deadline)
    }

    fn draw_fault_time(&self, draw: &mut Draw) -> f64 {
        QUIET_START_MS + draw.unit() * (self.length - QUIET_START_MS - QUIET_END_MS)
    }

    /// Draws the faults of front ends: at least one is a restart, each front end has at most one fault, and at least
    /// one front end has none.
    fn draw_front_end_faults(&mut self, draw: &mut Draw) {
        let mut unused: Vec<usize> = (0..self.front_ends).collect();
        let count = 1 + draw.below(self.front_ends as u64 - 1) as usize;
        for number in 0..count {
            let front_end = unused.remove(draw.below(unused.len() as u64) as usize);
            let at = self.draw_fault_time(draw);
            let fault = match draw.below(6) {
                0 if number > 0 => Fault::Kill(front_end),
                1 if number > 0 => Fault::Signals(front_end, draw_reloads(draw)),
                _ => {
                    self.draw_hangs_during_restart(at, draw);
                    Fault::Signals(front_end, draw_restart(draw))
                }
            };
            self.faults.push((at, fault));
        }
    }

    /// With probability 1/2, lets a quarter to a half of the engines hang during a whole restart.
    fn draw_hangs_during_restart(&mut self, at: f64, draw: &mut Draw) {
        if draw.below(2) == 0 {
            return;
        }
        let quarter = self.engines / 4;
        let count = quarter + draw.below((self.engines / 2 - quarter + 1) as u64) as usize;
        let first = draw.below(self.engines as u64) as usize;
        let from = at + HANG_START_MS.0 + (HANG_START_MS.1 - HANG_START_MS.0) * draw.unit();
        let hang = EngineFault::Hang { ms: self.kill_after() };
        for number in 0..count {
            self.faults.push((from, Fault::Engine((first + number) % self.engines, hang)));
        }
    }

    /// Draws the faults of engines. Fewer than half of the engines are drained or restarted.
    fn draw_engine_faults(&mut self, draw: &mut Draw) {
        let mut unused: Vec<usize> = (0..self.engines).collect();
        let mut removable = (self.engines - 1) / 2;
        let count = 2 + draw.below(self.engines as u64 - 2);
        for _ in 0..count {
            let engine = unused.remove(draw.below(unused.len() as u64) as usize);
            let at = self.draw_fault_time(draw);
            let kind = if removable > 0 { draw.below(9) } else { 2 + draw.below(4) };
            let fault = match kind {
                0 | 8 => EngineFault::Drain {
                    gone_after: 800.0 + 2500.0 * draw.unit(),
                    without_connections: draw.below(2) == 0,
                },
                1 | 6 | 7 => EngineFault::RestartCold { down: 200.0 + 1500.0 * draw.unit() },
                2 => EngineFault::Hang { ms: 500.0 + 5000.0 * draw.unit() },
                3 => EngineFault::Reset,
                4 => EngineFault::Stutter { ms: 500.0 + 3000.0 * draw.unit() },
                _ => EngineFault::LateDials { ms: 300.0 + 1500.0 * draw.unit() },
            };
            removable -= usize::from(matches!(kind, 0 | 1 | 6..=8));
            self.faults.push((at, Fault::Engine(engine, fault)));
        }
    }

    fn draw_discovery_faults(&mut self, draw: &mut Draw) {
        for _ in 0..draw.below(3) {
            let at = self.draw_fault_time(draw);
            let fault = match draw.below(3) {
                0 => DiscoveryFault::Silent(1000.0 + 3000.0 * draw.unit()),
                1 => DiscoveryFault::Late(1000.0 + 3000.0 * draw.unit()),
                _ => DiscoveryFault::WholeList,
            };
            self.faults.push((at, Fault::Discovery(fault)));
        }
    }
}

fn draw_reloads(draw: &mut Draw) -> Vec<(f64, PlannedSignal)> {
    (0..1 + draw.below(3))
        .map(|number| (number as f64 * 0.4 * SERIES_MS * draw.unit(), PlannedSignal::Reload))
        .collect()
}

/// Draws the signals of a restart: SIGTERM alone, or a series of two or three signals that contains SIGTERM.
fn draw_restart(draw: &mut Draw) -> Vec<(f64, PlannedSignal)> {
    use PlannedSignal::{Reload, Terminate};
    let series: &[PlannedSignal] = match draw.below(7) {
        0 | 1 => &[Terminate],
        2 => &[Reload, Terminate],
        3 => &[Terminate, Terminate],
        4 => &[Terminate, Reload],
        5 => &[Reload, Terminate, Reload],
        _ => &[Terminate, Reload, Terminate],
    };
    let step = SERIES_MS / 2.0 * draw.unit();
    series.iter().enumerate().map(|(number, signal)| (number as f64 * step, *signal)).collect()
}
