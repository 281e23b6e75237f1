//! The agent's row in the table, by which the scheduler finds it.

use backing::{TableStore, Transaction};
use model::AgentId;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::Backoff;
use wire::AGENT_ROW_PREFIX;

/// Shortest and longest pause between two tries, in milliseconds.
const PAUSE_MS: (u64, u64) = (100, 1_000);

/// Writes the agent's row; tries until the table has it.
pub(crate) async fn register(table: &dyn TableStore, agent: &AgentId, address: SocketAddr) {
    let mut backoff = Backoff::new(PAUSE_MS.0, PAUSE_MS.1);
    let row = Transaction::default().put(format!("{AGENT_ROW_PREFIX}{agent}"), address.to_string());
    loop {
        match table.commit(&row).await {
            Ok(version) => {
                log_event!(info, Event::AgentRegistered, agent = %agent, address = %address, version);
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

/// A pause of a random part of `limit_ms`, so that agents that start together do not write together.
pub(crate) fn spread(limit_ms: u64, rng: &mut impl RngExt) -> Duration {
    Duration::from_millis(rng.random_range(0..=limit_ms))
}
