//! Fake engines with service discovery, and proxies that send requests to the engines: performs rolling deploys of
//! the engines and reports which requests the engines received.

use crate::boxes::{Box, Power};
use crate::bulletin::{Bulletin, Entry, State};
use crate::proxy::{self, Script, Tally};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Parameters of a rolling deploy of engines.
#[derive(Clone, Copy, Debug)]
pub struct Roll {
    /// Number of engines that are replaced one after the other.
    pub drains: usize,
    /// Interval between the starts of two drains.
    pub every: Duration,
    /// Minimum time between the start of a drain and the stop of the engine. The stop is delayed further while
    /// requests are running.
    pub gone_after: Duration,
}

/// Observations of the engines and the proxies.
#[derive(Debug, Default)]
pub struct Report {
    /// For each drain, the time from its announcement until the engine received its last new request; zero if no
    /// request arrived.
    pub drains: Vec<Duration>,
    /// Maximum load of a warming engine, as a fraction of the load at which the engine fails.
    pub worst: f64,
    /// Number of requests that engines received while warming up.
    pub while_warming: u64,
    /// Number of engines that were overloaded while warming up.
    pub fell: usize,
    /// Number of requests that proxies sent.
    pub sent: u64,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of requests refused at proxies, by reason: the cluster's request limit was reached, no healthy endpoint
    /// was known, the engine refused the connection.
    pub refused: [u64; 3],
    /// Number of answers without a matching open request.
    pub stray: u64,
    /// Number of requests that reached the engines more than once.
    pub doubled: u64,
    /// Number of xDS streams that the proxies opened.
    pub streams: u64,
}

impl Report {
    /// Returns the number of requests without an answer.
    pub fn lost(&self) -> u64 {
        self.sent - self.answered
    }

    /// Returns the drain times in ascending order.
    pub fn sorted(&self) -> Vec<Duration> {
        let mut drains = self.drains.clone();
        drains.sort();
        drains
    }
}

struct Member {
    id: u32,
    running: Box,
}

/// A set of fake engines with service discovery and proxies.
pub struct Fleet {
    /// Service discovery, which announces the engines.
    pub bulletin: Bulletin,
    power: Power,
    members: Vec<Member>,
    past: Vec<Box>,
    drains: Vec<(usize, Instant)>,
    next: u32,
    tallies: Vec<Arc<Tally>>,
    proxies: Vec<tokio::task::JoinHandle<()>>,
}

impl Fleet {
    /// Starts warm engines and announces them through service discovery.
    pub async fn start(boxes: usize, power: Power) -> std::io::Result<Fleet> {
        let bulletin = Bulletin::start().await?;
        let mut members = Vec::new();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        for id in 1..=boxes as u32 {
            members.push(Member { id, running: Box::start(any, Power { warm_ms: 0.0, ..power }).await? });
        }
        let entry =
            |m: &Member| Entry { id: m.id, address: m.running.address, state: State::Ready, started: 0 };
        bulletin.tell(true, &members.iter().map(entry).collect::<Vec<_>>());
        let next = boxes as u32 + 1;
        let (past, drains, tallies, proxies) = Default::default();
        Ok(Fleet { bulletin, power, members, past, drains, next, tallies, proxies })
    }

    /// Starts a proxy that sends requests until `until`.
    pub fn proxy(&mut self, script: Script, until: Instant) -> Arc<Tally> {
        let tally = Arc::new(Tally::default());
        self.tallies.push(tally.clone());
        self.proxies.push(tokio::spawn(proxy::run(script, tally.clone(), until)));
        tally
    }

    /// Replaces engines one after the other. Every second new engine listens on the address of the engine that it
    /// replaces.
    pub async fn roll(&mut self, roll: Roll) -> std::io::Result<()> {
        for i in 0..roll.drains {
            let start = Instant::now();
            self.replace(i % self.members.len(), i % 2 == 0, roll.gone_after).await?;
            tokio::time::sleep(roll.every.saturating_sub(start.elapsed())).await;
        }
        Ok(())
    }

    /// Drains and stops one engine and starts a new one, on the same address if `same` is set.
    pub async fn replace(&mut self, place: usize, same: bool, gone_after: Duration) -> std::io::Result<()> {
        let member = &self.members[place];
        let entry =
            Entry { id: member.id, address: member.running.address, state: State::Draining, started: 0 };
        let told = self.bulletin.tell(false, &[entry]);
        tokio::time::sleep(gone_after).await;
        let patience = Instant::now() + Duration::from_secs(3);
        while member.running.running() > 0 && Instant::now() < patience {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.bulletin.tell(false, &[Entry { state: State::Gone, ..entry }]);
        member.running.stop();
        let at = if same { entry.address } else { SocketAddr::from(([127, 0, 0, 1], 0)) };
        let running = loop {
            match Box::start(at, self.power).await {
                Ok(running) => break running,
                // The address may stay in use while connections of the stopped engine are closing.
                Err(_) if Instant::now() < patience + Duration::from_secs(2) => {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                Err(e) => return Err(e),
            }
        };
        let id = self.next;
        self.next += 1;
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.bulletin.tell(false, &[Entry { id, address: running.address, state: State::Ready, started }]);
        let before = std::mem::replace(&mut self.members[place], Member { id, running });
        self.drains.push((self.past.len(), told));
        self.past.push(before.running);
        Ok(())
    }

    /// Waits until all proxies have stopped, and returns the observations.
    pub async fn finish(mut self) -> Report {
        for proxy in self.proxies.drain(..) {
            // The error of a panicked proxy is ignored: the counters show its missing answers.
            let _ = proxy.await;
        }
        let mut report = Report::default();
        let mut ids: HashMap<u64, u32> = HashMap::new();
        for (place, told) in &self.drains {
            let last = self.past[*place].came().last().map(|c| c.at.saturating_duration_since(*told));
            report.drains.push(last.unwrap_or_default());
        }
        let warm = Duration::from_secs_f64(self.power.warm_ms / 1000.0);
        for running in self.past.iter().chain(self.members.iter().map(|m| &m.running)) {
            report.worst = report.worst.max(running.worst());
            report.fell += usize::from(running.fell());
            for came in running.came() {
                *ids.entry(came.id).or_default() += 1;
                report.while_warming += u64::from(running.worst() > 0.0 && came.at - running.started < warm);
            }
        }
        report.doubled = ids.values().filter(|n| **n > 1).count() as u64;
        for tally in &self.tallies {
            let of = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
            report.sent += of(&tally.sent);
            report.answered += of(&tally.answered);
            let refused = [of(&tally.full), of(&tally.nowhere), of(&tally.closed)];
            report.refused.iter_mut().zip(refused).for_each(|(sum, n)| *sum += n);
            report.stray += of(&tally.stray);
            report.streams += of(&tally.streams);
        }
        report
    }
}
