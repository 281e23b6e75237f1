//! Waiting for what is in flight.

use std::time::{Duration, Instant};

/// Time between two looks at what is left.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits until nothing is left, or `limit` is over.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let mut left = 2;
/// utils::wait_until_drained(None, async || { left -= 1; left }).await;
/// assert_eq!(left, 0);
/// # });
/// ```
pub async fn wait_until_drained(limit: Option<Duration>, mut left: impl AsyncFnMut() -> usize) {
    let started = Instant::now();
    while left().await > 0 {
        if limit.is_some_and(|limit| started.elapsed() >= limit) {
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
