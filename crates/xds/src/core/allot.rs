//! Leases: the number of requests that each proxy may have open at a warming engine. The total stays within a bound
//! even if a response reaches a proxy late.
//!
//! **The bound.** A warming engine fails when it receives more than `M` times its present capacity `K` over a time span
//! `S`. A proxy limited to `c` open requests at the engine sends the following within any span `S`: the `c` requests
//! open at the start, one more for each request that times out (at most one per slot, as `request_ms >= S`), and one
//! more for each request that completes, where the completed work is at most `K·S`. If a request needs `w` of work and
//! the proxies may use a part `p` of the limit, then `2·c·w + K·S <= p·M·K·S`, so `c = (p·M - 1)·K·S / 2w` over all
//! proxies and instances. The bound depends on neither a request rate nor a point in time. `K` only grows while an
//! engine warms up, so a value that was safe when it was sent remains safe.
//!
//! **The leases.** A proxy may be using any lease value that was sent to it and not yet replaced. A lease therefore
//! counts as the largest of the ACKed value and the values still awaiting an ACK; a smaller value frees the difference
//! only after its ACK. The leases of a disconnected proxy count until their TTL has certainly expired at the proxy.

use super::picture::{ColdTerms, EngineName};
use std::collections::BTreeMap;

/// The proxy that holds a lease, identified by the number of its stream.
pub type Holder = u64;

/// The number of requests that all proxies of one instance may have open at a warming engine whose present capacity is
/// `cores`.
pub fn bound(terms: &ColdTerms, cores: f64) -> u32 {
    let over = terms.proxy_share * terms.fall_multiple - 1.0;
    let all = over * cores * terms.fall_span_ms / (2.0 * terms.request_work_ms.max(1.0));
    let own = all / f64::from(terms.instances.max(1));
    // Rounds down so that all instances together stay within the bound. The cast saturates and maps NaN to 0.
    (own + 1e-9).floor().max(0.0) as u32
}

/// The largest acceptable fraction of requests to a warming engine that the proxy rejects because its lease is used up.
const REJECTED_FRACTION: f64 = 0.02;

/// The mean number of open requests that `slots` slots can carry with at most the fraction `REJECTED_FRACTION`
/// rejected, for randomly arriving requests. The value is the inverse of the Erlang B (loss) formula, found by
/// bisection.
pub fn offered(slots: u32) -> f64 {
    let blocked = |load: f64| (1..=slots).fold(1.0, |b, n| load * b / (f64::from(n) + load * b));
    let (mut low, mut high) = (0.0, f64::from(slots));
    for _ in 0..30 {
        let middle = (low + high) / 2.0;
        if blocked(middle) <= REJECTED_FRACTION {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Lease {
    /// Lease values that the proxy may be using, each with the nonce of its response, oldest first.
    sent: Vec<(u64, u32)>,
    /// The time at which the lease ends because its holder has disconnected; `None` while the holder is connected.
    until: Option<f64>,
}

impl Lease {
    fn max_value(&self) -> u32 {
        self.sent.iter().map(|(_, value)| *value).max().unwrap_or(0)
    }
}

/// All leases on warming engines.
#[derive(Clone, Debug, Default)]
pub struct Leases(BTreeMap<EngineName, BTreeMap<Holder, Lease>>);

impl Leases {
    /// The largest number of requests that all holders' leases together may allow at an engine.
    pub fn total(&self, engine: &str) -> u32 {
        self.0
            .get(engine)
            .map_or(0, |of| of.values().fold(0, |sum, lease| sum.saturating_add(lease.max_value())))
    }

    /// The lease value sent last to a holder; 0 if there is none.
    pub fn last(&self, engine: &str, holder: Holder) -> u32 {
        let lease = self.0.get(engine).and_then(|of| of.get(&holder));
        lease.and_then(|lease| lease.sent.last()).map_or(0, |(_, value)| *value)
    }

    /// The largest lease value up to `wanted` that may be sent to a holder without exceeding `bound`, given the leases
    /// of all other holders.
    pub fn grant(&self, engine: &str, holder: Holder, wanted: u32, bound: u32) -> u32 {
        let own = self.0.get(engine).and_then(|of| of.get(&holder)).map_or(0, Lease::max_value);
        let others = self.total(engine) - own;
        wanted.min(bound.saturating_sub(others))
    }

    /// Records that the response `push` sends a lease value to a holder; 0 revokes the lease.
    pub fn record_sent(&mut self, engine: &EngineName, holder: Holder, push: u64, value: u32) {
        // A value is recorded even if it repeats the previous one: the proxy may NACK the previous response and ACK
        // this one.
        let of = self.0.entry(engine.clone()).or_default();
        of.entry(holder).or_default().sent.push((push, value));
        self.remove_empty();
    }

    /// Records that a holder ACKed the response `push`; the values sent before that response no longer apply.
    pub fn record_ack(&mut self, holder: Holder, push: u64) {
        for lease in self.0.values_mut().filter_map(|of| of.get_mut(&holder)) {
            if let Some(last) = lease.sent.iter().rposition(|(at, _)| *at <= push) {
                lease.sent.drain(..last);
            }
        }
        self.remove_empty();
    }

    /// Records that a holder NACKed the response `push`; the value in that response never took effect.
    pub fn record_nack(&mut self, holder: Holder, push: u64) {
        for lease in self.0.values_mut().filter_map(|of| of.get_mut(&holder)) {
            lease.sent.retain(|(at, _)| *at != push);
        }
        self.remove_empty();
    }

    /// Records that a holder disconnected; its leases expire at `until`.
    pub fn record_disconnect(&mut self, holder: Holder, until: f64) {
        for lease in self.0.values_mut().filter_map(|of| of.get_mut(&holder)) {
            lease.until = Some(until);
        }
    }

    /// Moves the leases of a proxy that reconnected from its old stream `from` to its new stream `to`, and returns the
    /// value sent last for each engine.
    pub fn adopt(&mut self, from: Holder, to: Holder) -> Vec<(EngineName, u32)> {
        let mut adopted = Vec::new();
        for (engine, of) in &mut self.0 {
            if let Some(lease) = of.remove(&from) {
                // Nonces restart at 1 on the new stream, so 0 sorts the adopted value before all its responses.
                let most = lease.max_value();
                adopted.push((engine.clone(), lease.sent.last().map_or(0, |(_, value)| *value)));
                of.insert(to, Lease { sent: vec![(0, most)], until: None });
            }
        }
        adopted
    }

    /// Removes leases that have expired and leases on engines that are no longer warming up.
    pub fn expire(&mut self, now: f64, warming: &dyn Fn(&str) -> bool) {
        self.0.retain(|engine, _| warming(engine));
        for of in self.0.values_mut() {
            of.retain(|_, lease| lease.until.is_none_or(|until| now < until));
        }
        self.remove_empty();
    }

    /// Whether no engine has a lease.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn remove_empty(&mut self) {
        for of in self.0.values_mut() {
            of.retain(|_, lease| lease.sent.len() > 1 || lease.max_value() > 0);
        }
        self.0.retain(|_, of| !of.is_empty());
    }
}

/// The relative difference between a proxy's share and its target above which the share is changed.
const SHARE_DEADBAND: f64 = 0.25;
/// The minimum time between two rebalancings of the shares, in milliseconds, unless a new proxy has become eligible.
const REBALANCE_MS: f64 = 2_000.0;
/// The divisor of the reserve: `1 / RESERVE_DIVISOR` of a warming engine's bound is reserved for proxies without a
/// share.
const RESERVE_DIVISOR: u32 = 8;
/// How long the share of a disconnected proxy stays reserved for its reconnection, in milliseconds.
const RECONNECT_GRACE_MS: f64 = 10_000.0;

#[derive(Clone, Debug)]
struct Member {
    node: String,
    since: f64,
    disconnected_at: Option<f64>,
    share: f64,
}

/// The proxies and their shares of the bound. A proxy gets its first share only after a continuous connection of the
/// settling time, so a proxy that keeps reconnecting does not change the shares of others.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    members: BTreeMap<Holder, Member>,
    balanced: f64,
}

impl Shares {
    /// Registers the proxy of a new stream. If a proxy with the same node id disconnected and no other stream uses that
    /// id, the new stream belongs to the same proxy. Returns the number of its earlier stream in that case, and whether
    /// another stream uses the node id.
    pub fn register(&mut self, now: f64, holder: Holder, node: &str) -> (Option<Holder>, bool) {
        let taken = self.members.values().any(|m| m.node == node && m.disconnected_at.is_none());
        let before = self.members.iter().filter(|(_, m)| m.node == node && m.disconnected_at.is_some());
        let before = before.map(|(of, _)| *of).max().filter(|_| !taken);
        let member = match before.and_then(|of| self.members.remove(&of)) {
            // A proxy that already had a share resumes with that share. Any other proxy restarts its settling time, so
            // that a proxy that keeps reconnecting never gets a share.
            Some(was) if was.share > 0.0 => Member { disconnected_at: None, ..was },
            _ => Member { node: node.to_owned(), since: now, disconnected_at: None, share: 0.0 },
        };
        // Two streams with one node id may be two proxies. The second stream gets no share, so that no lease is granted
        // twice.
        if !taken {
            self.members.insert(holder, member);
        }
        (before, taken)
    }

    /// Records that a proxy disconnected.
    pub fn record_disconnect(&mut self, now: f64, holder: Holder) {
        if let Some(member) = self.members.get_mut(&holder) {
            member.disconnected_at = Some(now);
        }
    }

    /// Adjusts the shares to the proxies' loads, at most every `REBALANCE_MS` unless a new proxy has become eligible,
    /// and only the shares that differ from their target by more than `SHARE_DEADBAND`. Returns whether any share
    /// changed.
    pub fn balance(&mut self, now: f64, settle_ms: f64, load: &dyn Fn(&str) -> f64) -> bool {
        let before = self.members.len();
        self.members.retain(|_, m| m.disconnected_at.is_none_or(|at| now - at < RECONNECT_GRACE_MS));
        let settled =
            |m: &Member| m.share > 0.0 || (m.disconnected_at.is_none() && now - m.since >= settle_ms);
        let fresh = self.members.values().any(|m| m.share == 0.0 && settled(m));
        if !fresh && now - self.balanced < REBALANCE_MS {
            return self.members.len() != before;
        }
        self.balanced = now;
        let weights: Vec<(Holder, f64)> =
            self.members.iter().filter(|(_, m)| settled(m)).map(|(h, m)| (*h, 1.0 + load(&m.node))).collect();
        let sum: f64 = weights.iter().map(|(_, w)| w).sum();
        let mut moved = self.members.len() != before;
        for (holder, weight) in weights {
            let Some(member) = self.members.get_mut(&holder) else { continue };
            let aim = weight / sum;
            if (aim - member.share).abs() > SHARE_DEADBAND * member.share {
                member.share = aim;
                moved = true;
            }
        }
        moved
    }

    /// A proxy's share, from 0 to 1; 0 until the proxy has been connected for the settling time.
    pub fn share(&self, holder: Holder) -> f64 {
        self.members.get(&holder).filter(|m| m.disconnected_at.is_none()).map_or(0.0, |m| m.share)
    }

    /// Divides `bound` requests among the connected proxies by their shares. Each request of the remainder goes to a
    /// different proxy.
    pub fn divide(&self, engine: &str, bound: u32) -> BTreeMap<Holder, u32> {
        // A small reserve gives each proxy without a share one request. If all engines are warming up, such a proxy
        // could send nothing otherwise, and its arrival must not reduce the leases of other proxies.
        let reserve = bound / RESERVE_DIVISOR;
        let waits = |m: &Member| m.share == 0.0 && m.disconnected_at.is_none();
        let newcomers = self.in_order(engine, &waits).into_iter().take(reserve as usize);
        let newcomers: Vec<(Holder, u32)> = newcomers.map(|holder| (holder, 1)).collect();
        let bound = bound - reserve;
        // Recently disconnected proxies count in the sum, so that a reconnection does not change the other shares.
        let sum: f64 = self.members.values().map(|m| m.share).sum();
        let with_part = || self.members.iter().filter(|(_, m)| m.share > 0.0);
        let part = |m: &Member| (f64::from(bound) * m.share / sum + 1e-9).floor() as u32;
        let mut parts: BTreeMap<Holder, u32> = with_part().map(|(holder, m)| (*holder, part(m))).collect();
        let rest = bound.saturating_sub(parts.values().sum()) as usize;
        for holder in self.in_order(engine, &|m| m.share > 0.0).into_iter().take(rest) {
            parts.entry(holder).and_modify(|n| *n += 1);
        }
        parts.retain(|holder, _| self.members.get(holder).is_some_and(|m| m.disconnected_at.is_none()));
        parts.extend(newcomers);
        parts
    }

    /// The members that match `of`, in an order that differs by engine, so that each engine's remainder goes to
    /// different proxies.
    fn in_order(&self, engine: &str, of: &dyn Fn(&Member) -> bool) -> Vec<Holder> {
        let members = self.members.iter().filter(|(_, m)| of(m));
        let mut order: Vec<(u64, Holder)> =
            members.map(|(holder, m)| (hash(&[engine.as_bytes(), m.node.as_bytes()]), *holder)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, holder)| holder).collect()
    }
}

/// An FNV-1a hash over the parts, each followed by the byte 0xff. The result is the same on all machines and in all
/// releases.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    parts.iter().fold(0xcbf2_9ce4_8422_2325, |sum, part| mix(part.iter().fold(sum, |s, b| mix(s, *b)), 0xff))
}
