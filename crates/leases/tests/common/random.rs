//! A seeded pseudo-random number generator (SplitMix64) that gives the same numbers on every
//! machine.

/// A SplitMix64 generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    /// Creates a generator that returns the same sequence of numbers for the same seed.
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

    /// Returns a random number from 0 up to, but not including, `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns a random index into a list of this length.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// Returns true with a probability of `chance` percent.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// Returns a random whole number of milliseconds from `least` to `most`, both included.
    pub fn millis(&mut self, least: u64, most: u64) -> f64 {
        (least + self.below(most - least + 1)) as f64
    }
}
