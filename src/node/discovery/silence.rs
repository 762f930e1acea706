//! How long a watch may be silent before it is given up.
//!
//! The server sends an empty frame every second, so a watch that has received a frame is given up after two missing
//! ones. A watch that has received none may belong to a server that is slow to make its list, for example because all
//! front ends ask for it at once. Such a server must not be asked again and again without ever being heard, so each
//! watch that was given up without a frame doubles the limit for the next one (exponential backoff with jitter).

/// Limit for a watch that has received a frame, and for the first watch that has not, in milliseconds.
const BASE_LIMIT_MS: f64 = 2300.0;
/// Upper bound of the limit before jitter, in milliseconds.
const MAX_LIMIT_MS: f64 = 12_000.0;
/// Factor by which the limit grows with each watch that was given up without a frame.
const GROWTH: f64 = 2.0;
/// Relative jitter: a grown limit is multiplied by a random factor from 1 to `1 + JITTER`, so that front ends that were
/// given up on together do not ask again together.
const JITTER: f64 = 0.5;

/// The time without bytes after which the current watch is given up.
#[derive(Debug)]
pub(super) struct SilenceLimit {
    limit_ms: f64,
    /// Number of watches given up since the last frame, by which the limit grows.
    fruitless_watches: i32,
    /// Whether the current watch has received a frame.
    has_frame: bool,
}

impl Default for SilenceLimit {
    fn default() -> SilenceLimit {
        SilenceLimit { limit_ms: BASE_LIMIT_MS, fruitless_watches: 0, has_frame: false }
    }
}

impl SilenceLimit {
    /// Returns the limit of the current watch, in milliseconds.
    pub fn milliseconds(&self) -> f64 {
        self.limit_ms
    }

    /// Notes that the current watch has received a whole frame.
    pub fn frame_received(&mut self) {
        *self = SilenceLimit { has_frame: true, ..SilenceLimit::default() };
    }

    /// Notes that the current watch was given up after its limit. `random` is from 0 to 1.
    pub fn watch_given_up(&mut self, random: f64) {
        if std::mem::take(&mut self.has_frame) {
            return; // The next watch is the first one without a frame.
        }
        self.fruitless_watches += 1;
        let grown = (BASE_LIMIT_MS * GROWTH.powi(self.fruitless_watches)).min(MAX_LIMIT_MS);
        self.limit_ms = grown * (1.0 + JITTER * random);
    }
}
