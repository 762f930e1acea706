//! The leader's record of the largest amount of one total that each member may be using.
//!
//! For each member the ledger records the confirmed amount, the amount granted since, and the amount in use. The member
//! may or may not have received the latest grant, so the largest of the three amounts counts against the total. An
//! upper bound on the holdings of all incarnations that have stated nothing to this leader is recorded as one unknown
//! amount. The free amount is the total less the unknown amount and all members' worst cases, so that no part is
//! granted twice. Amounts are in parts of the total; times are in milliseconds of the leader's clock.

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
    /// The largest amount that the member may be using now.
    fn worst_case(&self) -> u64 {
        self.confirmed.max(self.granted).max(self.in_use)
    }
}

/// The ledger of one total during one leadership.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareLedger {
    total: u64,
    unknown: u64,
    /// Time by which every grant that is counted as unknown has expired.
    unknown_expires_at: f64,
    entries: BTreeMap<MemberId, Entry>,
    /// Sum of [`Entry::worst_case`] over all entries.
    entries_sum: u128,
}

impl ShareLedger {
    /// Creates the ledger of a new leader. The whole total counts as unknown until
    /// `unknown_expires_at`, because members may hold grants of earlier leaders.
    pub fn new(total: u64, unknown_expires_at: f64) -> ShareLedger {
        ShareLedger {
            total,
            unknown: total,
            unknown_expires_at,
            entries: BTreeMap::new(),
            entries_sum: 0,
        }
    }

    /// The amount that no member can be using, and that can therefore be granted.
    pub fn free(&self) -> u64 {
        let reserved = u128::from(self.unknown) + self.entries_sum;
        u128::from(self.total).saturating_sub(reserved) as u64
    }

    /// The amount that may be held by incarnations that have not stated their holdings.
    pub fn unknown(&self) -> u64 {
        self.unknown
    }

    /// The largest amount that a member may be using now: the maximum of confirmed, granted and in use.
    pub fn worst_case(&self, member: &MemberId) -> u64 {
        self.entries.get(member).map_or(0, Entry::worst_case)
    }

    /// Whether the ledger has an entry for the member. A member without an
    /// entry has stated nothing to this leader, or its holdings have expired.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.entries.contains_key(member)
    }

    /// The amount of the latest grant to a member; 0 without an entry.
    pub fn granted(&self, member: &MemberId) -> u64 {
        self.entries.get(member).map_or(0, |entry| entry.granted)
    }

    /// All members that have an entry, each with the amount of its latest grant.
    pub fn grants(&self) -> impl Iterator<Item = (&MemberId, u64)> + '_ {
        self.entries
            .iter()
            .map(|(member, entry)| (member, entry.granted))
    }

    /// Records the holdings in a member's full statement. If the member had
    /// no entry, the stated amount is deducted from the unknown amount.
    pub fn record_statement(&mut self, member: &MemberId, holds: u64, expires_at: f64) {
        if !self.entries.contains_key(member) {
            self.unknown = self.unknown.saturating_sub(holds);
        }
        self.update(member, expires_at, |entry| {
            entry.confirmed = holds;
            entry.granted = holds;
        });
    }

    /// Records that a member has applied its latest grant.
    pub fn confirm(&mut self, member: &MemberId, expires_at: f64) {
        self.update(member, expires_at, |entry| entry.confirmed = entry.granted);
    }

    /// Records that a member will never apply its latest grant, because the response
    /// was lost. The member still holds the amount that it confirmed before.
    pub fn revert(&mut self, member: &MemberId, expires_at: f64) {
        self.update(member, expires_at, |entry| entry.granted = entry.confirmed);
    }

    /// Records the amount that a member has in use. Units in use
    /// count against the total even if the member's share is smaller.
    pub fn set_in_use(&mut self, member: &MemberId, in_use: u64) {
        if self.entries.contains_key(member) {
            self.update(member, f64::NEG_INFINITY, |entry| entry.in_use = in_use);
        }
    }

    /// Grants a member as much of `target` as no other member can be using, and returns the amount granted.
    ///
    /// A reduction is granted at once, but the released amount becomes
    /// free only after the member has confirmed the reduction.
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
            // The amounts that members have stated exceed the total, so no member is granted an increase.
            granted = granted.min(confirmed);
        }
        self.update(member, f64::NEG_INFINITY, |entry| entry.granted = granted);
        granted
    }

    /// Injected bug: treats the latest grant as confirmed before the member has applied it.
    pub(crate) fn confirm_without_response(&mut self, member: &MemberId) {
        self.update(member, f64::NEG_INFINITY, |entry| {
            entry.confirmed = entry.granted;
        });
    }

    /// Frees the amounts of all entries that have expired. If `all_have_stated` is true, every incarnation that can
    /// hold a part of the total has an entry, so that the unknown amount is freed, too.
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

    /// Changes a member's entry, creates the entry if it is missing, and updates
    /// `entries_sum`. The expiry of an entry is never moved to an earlier time.
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
