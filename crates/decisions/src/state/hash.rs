//! Deterministic hashes and random numbers. Every gateway must compute the same hashes in every
//! version, because gateways agree on the placement of table groups without communication.

/// Mixes the bits of a number with the finalizer of SplitMix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a text: 64-bit FNV-1a over its bytes, followed by [`mix`].
pub fn hash_text(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    }))
}

/// Maps a hash to a fraction from 0 to 1.
pub fn unit_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Pseudorandom number generator: SplitMix64.
#[derive(Default)]
pub struct RandomSource {
    state: u64,
}

impl RandomSource {
    /// Creates a generator from a seed.
    pub fn from_seed(seed: u64) -> RandomSource {
        RandomSource {
            state: mix(seed ^ 0x9e37_79b9_7f4a_7c15),
        }
    }

    /// Returns the next pseudorandom number.
    pub fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }
}
