//! A steady clock that goes on while the VM is suspended.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds of a steady clock that counts the time for which the VM is suspended.
///
/// ```
/// let first_ms = utils::boot_ms();
/// assert!(utils::boot_ms() >= first_ms);
/// ```
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec as u64) * 1_000 + (time.tv_nsec as u64) / 1_000_000
}
