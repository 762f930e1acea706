//! The random number generator of the simulation. Any change to its sequence invalidates the recordings.

/// The SplitMix64 generator (Steele, Lea and Flood, 2014).
pub struct Random {
    state: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a pseudorandom number from 0 to `bound - 1`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// Returns true with probability 1 / `times`.
    pub fn one_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }
}
