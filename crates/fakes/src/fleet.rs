//! A fleet of stand-in boxes behind a bulletin, with proxies that send them work: rolling deploys, and what the boxes
//! saw of them.

use crate::boxes::{Box, Power};
use crate::bulletin::{Bulletin, Entry, State};
use crate::proxy::{self, Script, Tally};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How a box is replaced.
#[derive(Clone, Copy, Debug)]
pub struct Roll {
    /// Boxes replaced one after the other.
    pub drains: usize,
    /// From one drain to the next.
    pub every: Duration,
    /// From a drain to the box's end, if it has nothing to do by then.
    pub gone_after: Duration,
}

/// What was seen at the boxes and the proxies.
#[derive(Debug, Default)]
pub struct Report {
    /// For each drain, how long after the front end was told the last new request came; zero where none did.
    pub drains: Vec<Duration>,
    /// The most that a warming box was sent, as a share of what brings it down.
    pub worst: f64,
    /// Requests that came to boxes while they warmed.
    pub while_warming: u64,
    /// Boxes that fell over.
    pub fell: usize,
    /// Requests sent by proxies.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused at proxies: a bound was reached, nothing was held to send to, the box took no connection.
    pub refused: [u64; 3],
    /// Answers that nobody waited for.
    pub stray: u64,
    /// Requests that came to more than one box, or twice to one.
    pub doubled: u64,
    /// Streams that the proxies opened.
    pub streams: u64,
}

impl Report {
    /// Requests that got no answer.
    pub fn lost(&self) -> u64 {
        self.sent - self.answered
    }

    /// The drain times from the least to the most.
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

/// The fleet.
pub struct Fleet {
    /// Which boxes there are.
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
    /// So many warm boxes, told by a bulletin.
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

    /// Starts a proxy that works until `until`.
    pub fn proxy(&mut self, script: Script, until: Instant) -> Arc<Tally> {
        let tally = Arc::new(Tally::default());
        self.tallies.push(tally.clone());
        self.proxies.push(tokio::spawn(proxy::run(script, tally.clone(), until)));
        tally
    }

    /// Replaces boxes one after the other; every second successor takes the address of the one before.
    pub async fn roll(&mut self, roll: Roll) -> std::io::Result<()> {
        for i in 0..roll.drains {
            let start = Instant::now();
            self.replace(i % self.members.len(), i % 2 == 0, roll.gone_after).await?;
            tokio::time::sleep(roll.every.saturating_sub(start.elapsed())).await;
        }
        Ok(())
    }

    /// Replaces one box.
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
                // The connections of the one before are on their way out.
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

    /// Waits for the proxies' ends and tells what was seen.
    pub async fn finish(mut self) -> Report {
        for proxy in self.proxies.drain(..) {
            let _ = proxy.await; // A proxy that panicked shows in the tallies.
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
