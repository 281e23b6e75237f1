//! Runs the agent of a worker.

use crate::metrics::Metrics;
use crate::registration::{register, spread};
use crate::relay::{Heard, Left, Relay};
use crate::rpc::Rpc;
use crate::worker_client::WorkerClient;
use actix::{Actor, Addr};
use backing::TableStore;
use flow::WorkerInfo;
use settings::FlowAgentSettings;
use std::rc::Rc;
use telemetry::{Event, log_event};
use wire::serve_worker;

/// Time over which agents that start together spread their first write, in milliseconds.
const REGISTER_SPREAD_MS: u64 = 100;

/// A running agent, to which its worker's heartbeats are handed.
#[derive(Clone)]
pub struct AgentHandle {
    /// The control thread.
    relay: Addr<Relay>,
    /// Metrics of the process.
    metrics: Metrics,
}

impl AgentHandle {
    /// Takes a heartbeat of the worker.
    pub fn on_heartbeat(&self, info: WorkerInfo, sequence: u64) {
        self.relay.do_send(Heard { info, sequence });
    }

    /// Takes a worker's word that it ends now.
    pub fn on_leave(&self, worker: String) {
        self.relay.do_send(Left { worker });
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }
}

/// Starts the agent: it registers itself and answers the scheduler.
///
/// # Errors
/// The control address can't be bound.
pub async fn start(
    settings: &FlowAgentSettings,
    worker: Rc<dyn WorkerClient>,
    table: Rc<dyn TableStore>,
) -> std::io::Result<AgentHandle> {
    let metrics = Metrics::default();
    let relay = Relay::new(settings.id.clone(), worker, metrics.clone()).start();
    serve_worker(settings.control_listen, Rpc(relay.clone())).await?;
    let (agent, address) = (settings.id.clone(), settings.control_listen);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(spread(REGISTER_SPREAD_MS, &mut rand::rng())).await;
        register(table.as_ref(), &agent, address).await;
    });
    log_event!(info, Event::Started, role = "flow-agent", id = %settings.id,
        listen = %settings.local_listen, control = %settings.control_listen, worker = %settings.worker);
    Ok(AgentHandle { relay, metrics })
}
