//! A small seeded generator (SplitMix64): the same numbers on every machine.

/// A source of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    /// A source that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 to `bound`, without `bound` itself.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// An index into a list of this length.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// True in so many of a hundred draws.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// A number of whole milliseconds between two bounds.
    pub fn millis(&mut self, least: u64, most: u64) -> f64 {
        (least + self.below(most - least + 1)) as f64
    }
}
