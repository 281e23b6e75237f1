//! Start and drain of an entry for flows.

use crate::config_view::ConfigView;
use crate::coordinator::{Coordinator, Dependencies};
use crate::handle::EntryHandle;
use crate::memory::MemoryShares;
use crate::messages::Drain;
use crate::metrics::Metrics;
use crate::rpc::Rpc;
use actix::Actor;
use flow::FlowLimits;
use rand::RngExt;
use settings::{FlowEntrySettings, FlowLimitSettings};
use std::time::Duration;
use telemetry::{Event, log_event};
use wire::serve_scheduler;

/// Share of the grace period for which a draining entry still answers, in percent.
const LINGER_PERCENT: u64 = 40;

/// Starts an entry: its control thread and the server for calls of other entries.
///
/// # Errors
/// The control address can't be bound.
pub async fn start(
    settings: &FlowEntrySettings,
    dependencies: Dependencies,
) -> std::io::Result<EntryHandle> {
    let incarnation = rand::rng().random();
    let metrics = Metrics::default();
    let config = ConfigView::default();
    let control = Coordinator::new(
        settings.clone(),
        incarnation,
        dependencies,
        config.clone(),
        metrics.clone(),
    )
    .start();
    serve_scheduler(settings.control_listen, Rpc(control.clone())).await?;
    log_event!(info, Event::Started, role = "flow-entry", id = %settings.id, incarnation,
        listen = %settings.listen, control = %settings.control_listen);
    Ok(EntryHandle {
        control,
        config,
        limits: limits(&settings.limits),
        metrics,
        row_bytes: settings.store.row_bytes,
        memory: MemoryShares::new(settings.memory_mb),
        has_admission: settings.policies.admission,
    })
}

/// Limits of the settings.
fn limits(settings: &FlowLimitSettings) -> FlowLimits {
    FlowLimits {
        steps: settings.steps,
        tasks: settings.tasks,
        occurrences: settings.occurrences,
        job_bytes: settings.job_bytes,
    }
}

impl EntryHandle {
    /// Turns readiness off, releases the lease, and returns after a share of `grace_ms`, in which
    /// the entry still answers.
    pub async fn drain(&self, grace_ms: u64) {
        self.control.do_send(Drain);
        let linger_ms = grace_ms * LINGER_PERCENT / 100;
        actix_rt::time::sleep(Duration::from_millis(linger_ms)).await;
    }
}
