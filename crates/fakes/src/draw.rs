//! Seeded pseudo-random generator (SplitMix64), so that the seed alone determines all random choices of a run.

/// A stream of pseudo-random numbers.
#[derive(Clone, Debug)]
pub struct Draw(u64);

impl Draw {
    /// Creates the stream of a seed.
    pub fn new(seed: u64) -> Draw {
        Draw(seed)
    }

    /// Returns the next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a uniform random number from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniform random integer below `most`; 0 if `most` is 0.
    pub fn below(&mut self, most: u64) -> u64 {
        (self.unit() * most as f64) as u64
    }

    /// Returns an exponentially distributed random number with the given mean.
    pub fn waits(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
