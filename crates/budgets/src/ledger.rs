//! The leader's account of who may use how much of one total.
//!
//! For each member the ledger keeps what the member has confirmed that it holds, and what it was granted since and may have
//! learned of or not. The larger of the two counts, and no less than what the member has in use. All incarnations that
//! have stated nothing to this leader are counted together as unknown. What is free is the total less all that counts,
//! so that nothing is granted twice. Amounts are in parts of the total; times are milliseconds of the leader's clock.

use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    confirmed: u64,
    granted: u64,
    in_use: u64,
    expires_at: f64,
}

impl Entry {
    /// The most that the member may use.
    fn worst_case(&self) -> u64 {
        self.confirmed.max(self.granted).max(self.in_use)
    }
}

/// The ledger of one total under one leader.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareLedger {
    total: u64,
    unknown: u64,
    /// By then all that is unknown has expired.
    unknown_expires_at: f64,
    entries: BTreeMap<MemberId, Entry>,
    /// Sum of the entries' worst cases.
    entries_sum: u128,
}

impl ShareLedger {
    /// A new leader's ledger: everything may be held by somebody until `unknown_expires_at`.
    pub fn new(total: u64, unknown_expires_at: f64) -> ShareLedger {
        ShareLedger {
            total,
            unknown: total,
            unknown_expires_at,
            entries: BTreeMap::new(),
            entries_sum: 0,
        }
    }

    /// What nobody can hold.
    pub fn free(&self) -> u64 {
        let taken = u128::from(self.unknown) + self.entries_sum;
        u128::from(self.total).saturating_sub(taken) as u64
    }

    /// What may be held by incarnations that have stated nothing.
    pub fn unknown(&self) -> u64 {
        self.unknown
    }

    /// The most that a member may use.
    pub fn worst_case(&self, member: &MemberId) -> u64 {
        self.entries.get(member).map_or(0, Entry::worst_case)
    }

    /// Whether a member has an entry. If not, all that it held has expired.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.entries.contains_key(member)
    }

    /// What a member was granted last.
    pub fn granted(&self, member: &MemberId) -> u64 {
        self.entries.get(member).map_or(0, |entry| entry.granted)
    }

    /// All members with an entry, and what each was granted last.
    pub fn grants(&self) -> impl Iterator<Item = (&MemberId, u64)> + '_ {
        self.entries
            .iter()
            .map(|(member, entry)| (member, entry.granted))
    }

    /// Records all that a member holds. This amount is unknown no more.
    pub fn state(&mut self, member: &MemberId, holds: u64, expires_at: f64) {
        if !self.entries.contains_key(member) {
            self.unknown = self.unknown.saturating_sub(holds);
        }
        self.update(member, expires_at, |entry| {
            entry.confirmed = holds;
            entry.granted = holds;
        });
    }

    /// Records that a member has applied its last grant.
    pub fn confirm(&mut self, member: &MemberId, expires_at: f64) {
        self.update(member, expires_at, |entry| entry.confirmed = entry.granted);
    }

    /// Records that a member never learns of its last grant: it holds what it confirmed before.
    pub fn revert(&mut self, member: &MemberId, expires_at: f64) {
        self.update(member, expires_at, |entry| entry.granted = entry.confirmed);
    }

    /// Records what a member has in use, which counts whatever it holds.
    pub fn set_in_use(&mut self, member: &MemberId, in_use: u64) {
        if self.entries.contains_key(member) {
            self.update(member, f64::NEG_INFINITY, |entry| entry.in_use = in_use);
        }
    }

    /// Grants a member as much of `target` as nobody else can hold, and gives the amount granted.
    ///
    /// A reduction is granted at once, but what it frees is free only when the member has confirmed it.
    pub fn grant(&mut self, member: &MemberId, target: u64) -> u64 {
        let Some(entry) = self.entries.get(member) else {
            return 0;
        };
        let confirmed = entry.confirmed;
        let own = entry.confirmed.max(entry.in_use);
        let others = self.entries_sum - u128::from(entry.worst_case()) + u128::from(self.unknown);
        let available = u128::from(self.total).saturating_sub(others) as u64;
        let mut granted = target;
        if target > confirmed {
            granted = target.min(available.max(confirmed));
        }
        if available < own {
            // Members have stated more than the total: nobody is granted anything on top.
            granted = granted.min(confirmed);
        }
        self.update(member, f64::NEG_INFINITY, |entry| entry.granted = granted);
        granted
    }

    /// Wrong on purpose: takes a grant for confirmed.
    pub(crate) fn confirm_without_response(&mut self, member: &MemberId) {
        self.update(member, f64::NEG_INFINITY, |entry| {
            entry.confirmed = entry.granted;
        });
    }

    /// Frees what has expired. With `all_have_stated`, every incarnation that can hold something has an entry.
    pub fn expire(&mut self, now: f64, all_have_stated: bool) {
        if all_have_stated || now >= self.unknown_expires_at {
            self.unknown = 0;
        }
        let expired = |entry: &Entry| now >= entry.expires_at;
        let freed: u128 = self
            .entries
            .values()
            .filter(|entry| expired(entry))
            .map(|entry| u128::from(entry.worst_case()))
            .sum();
        self.entries_sum -= freed;
        self.entries.retain(|_, entry| !expired(entry));
    }

    /// Changes a member's entry, creates it if need be, and keeps the sum. An expiry is never moved to an earlier time.
    fn update(&mut self, member: &MemberId, expires_at: f64, change: impl FnOnce(&mut Entry)) {
        let new_entry = Entry {
            confirmed: 0,
            granted: 0,
            in_use: 0,
            expires_at,
        };
        let entry = self.entries.entry(member.clone()).or_insert(new_entry);
        let before = entry.worst_case();
        entry.expires_at = entry.expires_at.max(expires_at);
        change(entry);
        self.entries_sum = self.entries_sum + u128::from(entry.worst_case()) - u128::from(before);
    }
}
