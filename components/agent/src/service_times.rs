//! Mean run times of services on this VM, by which batch work is throttled.

use ledger::Measurement;
use model::{Config, ServiceName};
use utils::{Ewma, Map};

/// Number of samples that a mean run time covers.
const AVERAGE_SPAN: f64 = 32.0;

/// Moving averages of the run times of services on this VM.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Mean run time of each service, in milliseconds.
    by_service: Map<ServiceName, Ewma>,
}

impl ServiceTimes {
    /// Adds the run time of a completed request.
    pub fn add(&mut self, service: &ServiceName, run_ms: u64) {
        let average = self
            .by_service
            .entry(service.clone())
            .or_insert(Ewma::new(AVERAGE_SPAN));
        average.add(run_ms as f64);
    }

    /// Returns the slowdown: the largest ratio of a service's mean run time to its `target_ms`.
    /// `None` before the first completed request of a configured service.
    pub fn measurement(&self, now_ms: u64, config: &Config) -> Option<Measurement> {
        let slowdowns = self.by_service.iter().filter_map(|(service, average)| {
            let target_ms = config.services.get(service)?.target_ms;
            Some(average.get()? / target_ms as f64)
        });
        let slowdown = slowdowns.max_by(f64::total_cmp)?;
        Some(Measurement {
            taken_ms: now_ms,
            slowdown,
        })
    }
}
