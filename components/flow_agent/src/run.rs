//! Start of the agent, and the handle to a running one.

use crate::metrics::Metrics;
use crate::registration::{random_delay, register};
use crate::relay::{Heartbeat, Leave, Relay};
use crate::rpc::Rpc;
use crate::worker_client::WorkerClient;
use actix::{Actor, Addr};
use backing::TableStore;
use flow::WorkerInfo;
use settings::FlowAgentSettings;
use std::rc::Rc;
use telemetry::{Event, log_event};
use wire::serve_worker;

/// Longest random delay of the registration, in milliseconds. It spreads the writes of agents that
/// start together.
const REGISTER_SPREAD_MS: u64 = 100;

/// Handle to a running agent, for the server that receives the worker's heartbeats.
#[derive(Clone)]
pub struct AgentHandle {
    /// Address of the control thread.
    relay: Addr<Relay>,
    /// Metrics that the agent exports.
    metrics: Metrics,
}

impl AgentHandle {
    /// Records a heartbeat of the worker. `sequence` grows within one incarnation of the worker;
    /// `cold_remaining_ms` is how much longer it is slow after its start, in milliseconds.
    pub fn on_heartbeat(&self, info: WorkerInfo, sequence: u64, cold_remaining_ms: u64) {
        self.relay.do_send(Heartbeat {
            info,
            sequence,
            cold_remaining_ms,
        });
    }

    /// Records that the worker is shutting down, so that no more runs are started there. `born_ms` is the
    /// start of the incarnation that does, in milliseconds since the Unix epoch, if it states it.
    pub fn on_leave(&self, worker: String, born_ms: Option<u64>) {
        self.relay.do_send(Leave { worker, born_ms });
    }

    /// The metrics in the text format of Prometheus.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }
}

/// Starts the agent: it serves the scheduler's calls, and registers itself in the background.
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
        actix_rt::time::sleep(random_delay(REGISTER_SPREAD_MS, &mut rand::rng())).await;
        register(table.as_ref(), &agent, address).await;
    });
    log_event!(info, Event::Started, role = "flow-agent", id = %settings.id,
        listen = %settings.local_listen, control = %settings.control_listen,
        worker = %settings.worker);
    Ok(AgentHandle { relay, metrics })
}
