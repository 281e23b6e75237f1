//! Monotonic clock that keeps counting while the VM is suspended.

use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since boot on a monotonic clock, including the time for which the VM
/// was suspended.
///
/// ```
/// let first_ms = utils::boot_ms();
/// assert!(utils::boot_ms() >= first_ms);
/// ```
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64) * 1_000 + (time.tv_nsec as u64) / 1_000_000
}
