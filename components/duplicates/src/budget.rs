//! How many duplicates may run at once.

/// Share of the capacity without other runs that duplicates may take, in percent. The rest is left to
/// tasks that arrive while the duplicates run.
const FREE_SHARE_PERCENT: u64 = 25;
/// Greatest share of a pool's capacity that duplicates may take, in percent. With 3 of 100 tasks slow,
/// more would only be spent on tasks that are not.
const TOTAL_SHARE_PERCENT: u64 = 10;

/// Room in the pool of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Processors that no run reserves, in thousandths.
    pub free_milli: u64,
    /// All processors, in thousandths.
    pub total_milli: u64,
    /// Processors that queued tasks of the same or a more urgent priority need, in thousandths.
    pub queued_milli: u64,
    /// Number of duplicates that run now.
    pub duplicates: u32,
}

impl Room {
    /// Share of the pool that is reserved, from 0 to 1; 1 for a pool without processors.
    ///
    /// ```
    /// let room = duplicates::Room { free_milli: 250, total_milli: 1_000, ..Default::default() };
    /// assert_eq!(room.used_share(), 0.75);
    /// ```
    pub fn used_share(&self) -> f64 {
        if self.total_milli == 0 {
            return 1.0;
        }
        let free_milli = self.free_milli.min(self.total_milli);
        1.0 - free_milli as f64 / self.total_milli as f64
    }
}

/// How many duplicates of tasks that need `need_milli` may run at once, those that run now included. It
/// shrinks as the pool fills, and is 0 while tasks of the same or a more urgent priority are queued.
///
/// ```
/// use duplicates::{Room, budget};
/// let room = Room { free_milli: 20_000, total_milli: 100_000, ..Default::default() };
/// assert_eq!(budget(&room, 1_000), 5);
/// assert_eq!(budget(&Room { queued_milli: 1_000, ..room }, 1_000), 0);
/// ```
pub fn budget(room: &Room, need_milli: u32) -> u32 {
    if room.queued_milli > 0 {
        return 0;
    }
    let need_milli = u64::from(need_milli.max(1));
    // Duplicates must not use up the room by which their own number is measured.
    let own_milli = u64::from(room.duplicates).saturating_mul(need_milli);
    let free_milli = room.free_milli.saturating_add(own_milli);
    let of_free = free_milli
        .min(room.total_milli)
        .saturating_mul(FREE_SHARE_PERCENT);
    let of_total = room.total_milli.saturating_mul(TOTAL_SHARE_PERCENT);
    let count = of_free.min(of_total) / 100 / need_milli;
    u32::try_from(count).unwrap_or(u32::MAX)
}
