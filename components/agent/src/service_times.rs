//! Run times of services on this VM, for the control of batch work.

use ledger::Measurement;
use model::{Config, ServiceName};
use utils::{Ewma, Map};

/// Samples that a mean run time remembers.
const SPAN: f64 = 32.0;

/// Run times of services on this VM.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Mean run time of each service.
    by_service: Map<ServiceName, Ewma>,
}

impl ServiceTimes {
    /// Takes the run time of an ended request.
    pub fn add(&mut self, service: &ServiceName, run_ms: u64) {
        let times = self
            .by_service
            .entry(service.clone())
            .or_insert(Ewma::new(SPAN));
        times.add(run_ms as f64);
    }

    /// The worst slowdown of any service, against its target.
    pub fn measurement(&self, now_ms: u64, config: &Config) -> Option<Measurement> {
        let slowdowns = self.by_service.iter().filter_map(|(service, times)| {
            let target_ms = config.services.get(service)?.target_ms;
            Some(times.get()? / target_ms as f64)
        });
        let slowdown = slowdowns.max_by(f64::total_cmp)?;
        Some(Measurement {
            taken_ms: now_ms,
            slowdown,
        })
    }
}
