//! Waiting for work in flight during a shutdown.

use std::time::{Duration, Instant};

/// Time between two polls of the remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls `count_remaining` until it returns zero or `limit` has passed; without a limit it waits as
/// long as any work remains.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let mut remaining = 2;
/// utils::wait_until_drained(None, async || { remaining -= 1; remaining }).await;
/// assert_eq!(remaining, 0);
/// # });
/// ```
pub async fn wait_until_drained(
    limit: Option<Duration>,
    mut count_remaining: impl AsyncFnMut() -> usize,
) {
    let started = Instant::now();
    while count_remaining().await > 0 {
        if limit.is_some_and(|limit| started.elapsed() >= limit) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
