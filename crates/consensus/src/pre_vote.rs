//! When to stand for election: only after a majority has said that it hears no leader either. So one that was cut off
//! and comes back unseats nobody. Pure: events in, what to do out.

const LEAST_MS: f64 = 700.0; // without a word from a leader, before one stands; several heartbeats
const SPREAD_MS: f64 = 600.0; // more, by lot, so that two rarely stand at once
const ROUND_MS: f64 = 250.0; // for the others to answer

/// Heartbeats of a leader, in milliseconds.
pub const HEARTBEAT_MS: u64 = 120;
/// Who heard a leader within this gives no word for another: as long as any waits before it asks.
pub const QUIET_MS: f64 = LEAST_MS;

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Ask all other deciders for their word, in this round.
    Ask(u64),
    /// Stand for election.
    Stand,
}

/// One decider's part.
#[derive(Clone, Debug)]
pub struct Elector {
    others: usize,
    random: u64,
    heard: f64,
    due: f64,
    round: u64,
    yes: usize,
}

impl Elector {
    /// One among so many others; `seed` feeds its draws.
    pub fn new(now: f64, others: usize, seed: u64) -> Elector {
        let mut elector = Elector { others, random: seed, heard: now - QUIET_MS, due: 0.0, round: 0, yes: 0 };
        elector.wait(now);
        elector
    }

    fn wait(&mut self, now: f64) {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let lot = (self.random >> 33) as f64 / (1u64 << 31) as f64;
        self.due = now + LEAST_MS + SPREAD_MS * lot;
    }

    /// A leader was heard, or this one leads and a majority follows it.
    pub fn heard(&mut self, now: f64) {
        self.heard = now;
        self.yes = 0;
        self.wait(now);
    }

    /// Whether a leader was heard lately.
    pub fn hears(&self, now: f64) -> bool {
        now - self.heard < QUIET_MS
    }

    /// Time passes.
    pub fn tick(&mut self, now: f64) -> Option<Act> {
        if now < self.due {
            return None;
        }
        (self.round, self.yes) = (self.round + 1, 0);
        self.wait(now);
        self.due = self.due.max(now + ROUND_MS);
        Some(if self.others == 0 { Act::Stand } else { Act::Ask(self.round) })
    }

    /// Another one's word in a round.
    pub fn word(&mut self, now: f64, round: u64, yes: bool) -> Option<Act> {
        if round != self.round || !yes || self.hears(now) {
            return None;
        }
        self.yes += 1;
        // With its own, a majority of all; once.
        (self.yes == self.others.div_ceil(2)).then_some(Act::Stand)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_that_comes_back_unseats_nobody_and_a_majority_without_a_leader_finds_one() {
        let mut cut_off = Elector::new(0.0, 2, 1);
        let Some(Act::Ask(round)) = cut_off.tick(5000.0) else { panic!("it asks after its time") };
        assert_eq!(cut_off.word(5010.0, round, false), None);
        assert_eq!(cut_off.word(5010.0, round, false), None, "both hear a leader");
        let Some(Act::Ask(next)) = cut_off.tick(9000.0) else { panic!("and asks again") };
        assert_eq!(cut_off.word(9001.0, round, true), None, "a word of an earlier round");
        assert_eq!(cut_off.word(9001.0, next, true), Some(Act::Stand), "two of three");
        assert_eq!(cut_off.word(9001.0, next, true), None, "once");
        cut_off.heard(9100.0);
        assert!(cut_off.hears(9700.0) && !cut_off.hears(9801.0));
        assert_eq!(cut_off.tick(9600.0), None);
    }

    #[test]
    fn of_five_two_words_are_needed_and_one_alone_stands_at_once() {
        let mut one = Elector::new(0.0, 4, 1);
        let Some(Act::Ask(round)) = one.tick(2000.0) else { panic!() };
        assert_eq!(one.word(2001.0, round, true), None);
        assert_eq!(one.word(2001.0, round, true), Some(Act::Stand));
        assert_eq!(Elector::new(0.0, 0, 1).tick(2000.0), Some(Act::Stand));
    }
}
