//! Draws from a seed: SplitMix64, so that a run's choices are told by its seed alone.

/// A row of draws.
#[derive(Clone, Debug)]
pub struct Draw(u64);

impl Draw {
    /// From a seed.
    pub fn new(seed: u64) -> Draw {
        Draw(seed)
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// From 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        (self.unit() * most as f64) as u64
    }

    /// Exponential, with this mean.
    pub fn waits(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
