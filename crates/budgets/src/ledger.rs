//! The books of one whole: what each life may still use by the worst case, and what is free for sure.
//!
//! For each life it knows what the life has *said* that it holds, and what it was *given* since and may have heard of or not.
//! The larger of the two, and what it has out, counts. A life that was not heard of under this leader is in `unknown`,
//! with all others like it. What is free is the whole less all that counts.

use crate::{Parts, Who};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
struct Held {
    said: Parts,
    given: Parts,
    used: Parts,
    over: f64,
}

impl Held {
    fn most(&self) -> Parts {
        self.said.max(self.given).max(self.used)
    }
}

/// The books of one whole under one leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    whole: Parts,
    unknown: Parts,
    /// By then all that is unknown has ended.
    known_at: f64,
    held: BTreeMap<Who, Held>,
    sum: u128,
}

impl Pool {
    /// A leader's books at its beginning: all may be held by somebody until `known_at`.
    pub fn new(whole: Parts, known_at: f64) -> Pool {
        Pool { whole, unknown: whole, known_at, held: BTreeMap::new(), sum: 0 }
    }

    /// What nobody holds, for sure.
    pub fn free(&self) -> Parts {
        let taken = u128::from(self.unknown) + self.sum;
        u128::from(self.whole).saturating_sub(taken) as Parts
    }

    /// What may be held by lives that were not heard of.
    pub fn unknown(&self) -> Parts {
        self.unknown
    }

    /// What a life may use at most.
    pub fn most(&self, who: &Who) -> Parts {
        self.held.get(who).map_or(0, Held::most)
    }

    /// Whether a life is in the books: if not, all that it held has surely ended.
    pub fn knows(&self, who: &Who) -> bool {
        self.held.contains_key(who)
    }

    /// What a life was given last.
    pub fn given(&self, who: &Who) -> Parts {
        self.held.get(who).map_or(0, |held| held.given)
    }

    /// Lives in the books, with what each was given last.
    pub fn held(&self) -> impl Iterator<Item = (&Who, Parts)> + '_ {
        self.held.iter().map(|(who, held)| (who, held.given))
    }

    fn change(&mut self, who: &Who, over: f64, act: impl FnOnce(&mut Held)) {
        let fresh = Held { said: 0, given: 0, used: 0, over };
        let held = self.held.entry(who.clone()).or_insert(fresh);
        let before = held.most();
        held.over = held.over.max(over);
        act(held);
        self.sum = self.sum + u128::from(held.most()) - u128::from(before);
    }

    /// A life states all that it holds of this whole. What it holds is unknown no more.
    pub fn state(&mut self, who: &Who, holds: Parts, over: f64) {
        if !self.held.contains_key(who) {
            self.unknown = self.unknown.saturating_sub(holds);
        }
        self.change(who, over, |held| (held.said, held.given) = (holds, holds));
    }

    /// A life has heard what it was given last: that is what it holds.
    pub fn accept(&mut self, who: &Who, over: f64) {
        self.change(who, over, |held| held.said = held.given);
    }

    /// A life has not heard what it was given last, and never will: it holds what it said before.
    pub fn keep(&mut self, who: &Who, over: f64) {
        self.change(who, over, |held| held.given = held.said);
    }

    /// What a life has out counts, whatever it holds.
    pub fn uses(&mut self, who: &Who, used: Parts) {
        if self.held.contains_key(who) {
            self.change(who, f64::NEG_INFINITY, |held| held.used = used);
        }
    }

    /// Gives a life as much of what it is to have as is free for sure; what it is to have less is told at once and free
    /// only when it has said so.
    pub fn give(&mut self, who: &Who, target: Parts) -> Parts {
        let Some(held) = self.held.get(who) else { return 0 };
        let (said, own) = (held.said, held.said.max(held.used));
        let others = self.sum - u128::from(held.most()) + u128::from(self.unknown);
        let room = u128::from(self.whole).saturating_sub(others) as Parts;
        let given = if target <= said { target } else { target.min(room.max(said)) };
        // Nothing beyond the whole, whatever was said.
        let given = if room < own { given.min(said) } else { given };
        self.change(who, f64::NEG_INFINITY, |held| held.given = given);
        given
    }

    /// Faulty on purpose: what was told counts as said.
    pub(crate) fn believe(&mut self, who: &Who) {
        self.change(who, f64::NEG_INFINITY, |held| held.said = held.given);
    }

    /// What has surely ended is free. `all` says whether every life that can hold something has stated what it holds.
    pub fn pass(&mut self, now: f64, all: bool) {
        if all || now >= self.known_at {
            self.unknown = 0;
        }
        let over: Vec<Who> =
            self.held.iter().filter(|(_, held)| now >= held.over).map(|(who, _)| who.clone()).collect();
        for who in over {
            if let Some(held) = self.held.remove(&who) {
                self.sum -= u128::from(held.most());
            }
        }
    }
}
