//! What each proxy may have out at a warming engine, as leases that are safe however late a push arrives.
//!
//! **The bound.** An engine that warms falls over when it is sent more than `M` times its present capacity `K` over a
//! span `S`. A proxy that holds at most `c` requests open there sends, within any `S`, no more than the `c` that it
//! starts with, one more for each that a time-out frees (a slot at most once, as `request_ms >= S`), and one more for
//! each that ends; what ends is at most `K·S` of work. With `w` work a request and a share `p` of the rule for all
//! proxies, `2·c·w + K·S <= p·M·K·S`, so `c = (p·M - 1)·K·S / 2w` over all proxies and instances. The bound names no
//! rate and no moment: `K` only grows while an engine warms, so what was safe when it was told stays safe.
//!
//! **The leases.** A proxy may be in force of any value that it was told and has not replaced. So a lease counts as
//! the largest of what was confirmed and what is under way; a smaller value frees the difference only once it is
//! confirmed. A proxy that left keeps its leases until they must have ended by their time to live.

use super::picture::{ColdTerms, EngineName};
use std::collections::BTreeMap;

/// Who holds a lease: a stream's number.
pub type Holder = u64;

/// Requests that all proxies of one instance may have out at a warming engine of so many cores at present.
pub fn bound(terms: &ColdTerms, cores: f64) -> u32 {
    let over = terms.proxy_share * terms.fall_multiple - 1.0;
    let all = over * cores * terms.fall_span_ms / (2.0 * terms.request_work_ms.max(1.0));
    let own = all / f64::from(terms.instances.max(1));
    // Floors, so that all instances together stay within; the cast saturates, and NaN gives 0.
    (own + 1e-9).floor().max(0.0) as u32
}

/// Of the requests sent to a cold engine, so many at most should find the lease used up.
const REFUSED: f64 = 0.02;

/// The mean of requests out that so many slots carry with few refused, for requests that come by chance: Erlang's loss
/// formula, turned round.
pub fn offered(slots: u32) -> f64 {
    let blocked = |load: f64| (1..=slots).fold(1.0, |b, n| load * b / (f64::from(n) + load * b));
    let (mut low, mut high) = (0.0, f64::from(slots));
    for _ in 0..30 {
        let middle = (low + high) / 2.0;
        if blocked(middle) <= REFUSED {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Lease {
    /// Values that may be in force with the push that told them, oldest first.
    told: Vec<(u64, u32)>,
    /// Ends at this time, as its holder has left.
    until: Option<f64>,
}

impl Lease {
    fn most(&self) -> u32 {
        self.told.iter().map(|(_, value)| *value).max().unwrap_or(0)
    }
}

/// All leases on warming engines.
#[derive(Clone, Debug, Default)]
pub struct Leases(BTreeMap<EngineName, BTreeMap<Holder, Lease>>);

impl Leases {
    /// What may be in force of an engine, over all holders.
    pub fn held(&self, engine: &str) -> u32 {
        self.0.get(engine).map_or(0, |of| of.values().fold(0, |sum, lease| sum.saturating_add(lease.most())))
    }

    /// What was told a holder last.
    pub fn last(&self, engine: &str, holder: Holder) -> u32 {
        let lease = self.0.get(engine).and_then(|of| of.get(&holder));
        lease.and_then(|lease| lease.told.last()).map_or(0, |(_, value)| *value)
    }

    /// The most that a holder may be told of an engine, up to what is wanted, with all others' leases in force.
    pub fn grant(&self, engine: &str, holder: Holder, wanted: u32, bound: u32) -> u32 {
        let own = self.0.get(engine).and_then(|of| of.get(&holder)).map_or(0, Lease::most);
        let others = self.held(engine) - own;
        wanted.min(bound.saturating_sub(others))
    }

    /// A push tells a holder a value; 0 takes the lease back.
    pub fn told(&mut self, engine: &EngineName, holder: Holder, push: u64, value: u32) {
        // Also what it was told before: if that push is refused, this one is not.
        let of = self.0.entry(engine.clone()).or_default();
        of.entry(holder).or_default().told.push((push, value));
        self.tidy();
    }

    /// A holder has accepted a push: what was told before it is no more in force.
    pub fn confirmed(&mut self, holder: Holder, push: u64) {
        for lease in self.0.values_mut().filter_map(|of| of.get_mut(&holder)) {
            if let Some(last) = lease.told.iter().rposition(|(at, _)| *at <= push) {
                lease.told.drain(..last);
            }
        }
        self.tidy();
    }

    /// A holder has refused a push: what it told never came into force.
    pub fn refused(&mut self, holder: Holder, push: u64) {
        for lease in self.0.values_mut().filter_map(|of| of.get_mut(&holder)) {
            lease.told.retain(|(at, _)| *at != push);
        }
        self.tidy();
    }

    /// A holder has left; what it holds ends by itself at `until`.
    pub fn left(&mut self, holder: Holder, until: f64) {
        for lease in self.0.values_mut().filter_map(|of| of.get_mut(&holder)) {
            lease.until = Some(until);
        }
    }

    /// A holder is back under another number, with what it held: gives that.
    pub fn adopt(&mut self, from: Holder, to: Holder) -> Vec<(EngineName, u32)> {
        let mut held = Vec::new();
        for (engine, of) in &mut self.0 {
            if let Some(lease) = of.remove(&from) {
                // The new stream counts its pushes anew; what is in force now comes before all of them.
                let most = lease.most();
                held.push((engine.clone(), lease.told.last().map_or(0, |(_, value)| *value)));
                of.insert(to, Lease { told: vec![(0, most)], until: None });
            }
        }
        held
    }

    /// Drops leases that have ended, and those on engines that are no longer warming.
    pub fn expire(&mut self, now: f64, warming: &dyn Fn(&str) -> bool) {
        self.0.retain(|engine, _| warming(engine));
        for of in self.0.values_mut() {
            of.retain(|_, lease| lease.until.is_none_or(|until| now < until));
        }
        self.tidy();
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn tidy(&mut self) {
        for of in self.0.values_mut() {
            of.retain(|_, lease| lease.told.len() > 1 || lease.most() > 0);
        }
        self.0.retain(|_, of| !of.is_empty());
    }
}

const DEADBAND: f64 = 0.25; // of its share that a proxy's part must be off before it is moved
const REBALANCE_MS: f64 = 2_000.0;
const KEPT: u32 = 8; // one part in so many of a cold engine's bound is for proxies that have not settled
const LINGER_MS: f64 = 10_000.0; // how long the part of one that left is kept for it

#[derive(Clone, Debug)]
struct Member {
    node: String,
    since: f64,
    left: Option<f64>,
    share: f64,
}

/// The proxies and their parts. One that comes and goes never settles, so it moves nobody's part.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    members: BTreeMap<Holder, Member>,
    balanced: f64,
}

impl Shares {
    /// A proxy has come. If one under the same name has left, and nobody else goes by that name, it is the same:
    /// gives the number that it had, and whether the name is in use by another.
    pub fn joined(&mut self, now: f64, holder: Holder, node: &str) -> (Option<Holder>, bool) {
        let taken = self.members.values().any(|m| m.node == node && m.left.is_none());
        let before = self.members.iter().filter(|(_, m)| m.node == node && m.left.is_some());
        let before = before.map(|(of, _)| *of).max().filter(|_| !taken);
        let member = match before.and_then(|of| self.members.remove(&of)) {
            // What had settled is settled; what had not begins anew, so that flapping never settles.
            Some(was) if was.share > 0.0 => Member { left: None, ..was },
            _ => Member { node: node.to_owned(), since: now, left: None, share: 0.0 },
        };
        // A name in use twice may be two proxies: the second gets no part, so that no lease is doubled.
        if !taken {
            self.members.insert(holder, member);
        }
        (before, taken)
    }

    /// A proxy has left.
    pub fn left(&mut self, now: f64, holder: Holder) {
        if let Some(member) = self.members.get_mut(&holder) {
            member.left = Some(now);
        }
    }

    /// Moves the parts towards the loads: rarely, and only those that are off by much. Whether any has moved.
    pub fn balance(&mut self, now: f64, settle_ms: f64, load: &dyn Fn(&str) -> f64) -> bool {
        let before = self.members.len();
        self.members.retain(|_, m| m.left.is_none_or(|at| now - at < LINGER_MS));
        let settled = |m: &Member| m.share > 0.0 || (m.left.is_none() && now - m.since >= settle_ms);
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
            if (aim - member.share).abs() > DEADBAND * member.share {
                member.share = aim;
                moved = true;
            }
        }
        moved
    }

    /// A proxy's part, from 0 to 1; 0 before it has settled.
    pub fn share(&self, holder: Holder) -> f64 {
        self.members.get(&holder).filter(|m| m.left.is_none()).map_or(0.0, |m| m.share)
    }

    /// What each proxy that is here should have of so many requests. What does not divide goes one by one to some.
    pub fn divide(&self, engine: &str, bound: u32) -> BTreeMap<Holder, u32> {
        // A little is always kept for those that have not settled, one request each: where all engines are cold they
        // would have nothing else, and they must not take from the others when they come.
        let kept = bound / KEPT;
        let waits = |m: &Member| m.share == 0.0 && m.left.is_none();
        let newcomers = self.in_order(engine, &waits).into_iter().take(kept as usize);
        let newcomers: Vec<(Holder, u32)> = newcomers.map(|holder| (holder, 1)).collect();
        let bound = bound - kept;
        // Those that left of late are counted, so that nobody's part moves when one goes and comes back.
        let sum: f64 = self.members.values().map(|m| m.share).sum();
        let with_part = || self.members.iter().filter(|(_, m)| m.share > 0.0);
        let part = |m: &Member| (f64::from(bound) * m.share / sum + 1e-9).floor() as u32;
        let mut parts: BTreeMap<Holder, u32> = with_part().map(|(holder, m)| (*holder, part(m))).collect();
        let rest = bound.saturating_sub(parts.values().sum()) as usize;
        for holder in self.in_order(engine, &|m| m.share > 0.0).into_iter().take(rest) {
            parts.entry(holder).and_modify(|n| *n += 1);
        }
        parts.retain(|holder, _| self.members.get(holder).is_some_and(|m| m.left.is_none()));
        parts.extend(newcomers);
        parts
    }

    /// Members in an order that differs by engine, so that what does not divide falls to others at each.
    fn in_order(&self, engine: &str, of: &dyn Fn(&Member) -> bool) -> Vec<Holder> {
        let members = self.members.iter().filter(|(_, m)| of(m));
        let mut order: Vec<(u64, Holder)> =
            members.map(|(holder, m)| (hash(&[engine.as_bytes(), m.node.as_bytes()]), *holder)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, holder)| holder).collect()
    }
}

/// FNV-1a over the parts: the same on every machine and in every release.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    parts.iter().fold(0xcbf2_9ce4_8422_2325, |sum, part| mix(part.iter().fold(sum, |s, b| mix(s, *b)), 0xff))
}
