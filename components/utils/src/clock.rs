//! Clocks, read only at the edges of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock counted in milliseconds from its creation.
///
/// ```
/// let clock = utils::Clock::start();
/// let first_ms = clock.now_ms();
/// assert!(clock.now_ms() >= first_ms);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The instant that counts as zero.
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    ///
    /// ```
    /// assert!(utils::Clock::start().now_ms() < 1_000);
    /// ```
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    ///
    /// ```
    /// assert!(utils::Clock::start().now_ms() < 1_000);
    /// ```
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

/// Milliseconds since the Unix epoch, for records that people read; never for deciding.
///
/// ```
/// assert!(utils::wall_ms() > 1_700_000_000_000);
/// ```
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
