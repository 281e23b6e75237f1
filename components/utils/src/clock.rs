//! Clocks. Only the outer layers of a process read them; functions that decide are passed `now`.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds from its creation.
///
/// ```
/// let clock = utils::Clock::start();
/// let first_ms = clock.now_ms();
/// assert!(clock.now_ms() >= first_ms);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Instant at which the clock reads zero.
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    ///
    /// ```
    /// assert!(utils::Clock::start().now_ms() < 1_000);
    /// ```
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was created.
    ///
    /// ```
    /// assert!(utils::Clock::start().now_ms() < 1_000);
    /// ```
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

/// Returns the milliseconds since the Unix epoch. For records that people read only, never for
/// decisions.
///
/// ```
/// assert!(utils::wall_ms() > 1_700_000_000_000);
/// ```
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
