//! Registration of the agent: the row in the table from which the scheduler reads its address.

use backing::{TableStore, Transaction};
use model::AgentId;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::Backoff;
use wire::AGENT_ROW_PREFIX;

/// Shortest and longest pause before a failed registration is retried, in milliseconds.
const RETRY_PAUSE_MS: (u64, u64) = (100, 1_000);

/// Writes the agent's row, retrying with backoff until the table confirms it.
pub(crate) async fn register(table: &dyn TableStore, agent: &AgentId, address: SocketAddr) {
    let mut backoff = Backoff::new(RETRY_PAUSE_MS.0, RETRY_PAUSE_MS.1);
    let row = Transaction::default().put(format!("{AGENT_ROW_PREFIX}{agent}"), address.to_string());
    loop {
        match table.commit(&row).await {
            Ok(version) => {
                log_event!(info, Event::AgentRegistered, agent = %agent, address = %address,
                    version);
                return;
            }
            Err(error) => {
                log_event!(warn, Event::StoreDown, agent = %agent, reason = %error);
            }
        }
        let pause_ms = backoff.next_delay_ms(&mut rand::rng());
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Random delay of up to `limit_ms`, so that agents that start together don't write together.
pub(crate) fn random_delay(limit_ms: u64, rng: &mut impl RngExt) -> Duration {
    Duration::from_millis(rng.random_range(0..=limit_ms))
}
