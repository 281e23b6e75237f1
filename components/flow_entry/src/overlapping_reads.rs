//! Repeats a read beside attempts whose answers are late, so that a lost answer delays the next
//! attempt by a fixed time, however long a single call may take.

use backing::StoreError;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time after which an attempt that has to be answered at once counts as late, and the next one
/// starts.
pub(crate) const PATIENCE: Duration = Duration::from_millis(500);
/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Attempts until one is answered, and returns the first answer.
///
/// `attempt` gets the number of the attempt, from 0. The first one is late after
/// `first_patience`, as it may wait for a change; the others after [`PATIENCE`]. An attempt that is
/// late goes on beside the next one. `on_error` gets each failure.
pub(crate) async fn first_answer<T, F>(
    first_patience: Duration,
    attempt: impl Fn(u32) -> F,
    on_error: impl Fn(StoreError),
) -> T
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut in_flight = FuturesUnordered::new();
    in_flight.push(attempt(0));
    let mut started = 1;
    let mut next_at = Instant::now() + first_patience;
    loop {
        tokio::select! {
            Some(result) = in_flight.next() => match result {
                Ok(answer) => return answer,
                Err(error) => {
                    on_error(error);
                    next_at = next_at.min(Instant::now() + RETRY_PAUSE);
                }
            },
            () = sleep_until(next_at) => {
                in_flight.push(attempt(started));
                started += 1;
                next_at = Instant::now() + PATIENCE;
            }
        }
    }
}
