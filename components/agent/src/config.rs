//! Applies configurations to the agent's state.

use crate::control::Control;
use fence::ServiceLimits;
use model::{Config, Resources, ServiceName};
use std::collections::BTreeMap;
use telemetry::{Event, log_event};

impl Control {
    /// Puts a configuration in force; does nothing unless it is newer than the current one.
    pub(crate) fn apply_config(&mut self, newer: &Config) {
        if !self.config.advance_to(newer) {
            return;
        }
        for service in self.config.services.values() {
            let limits = ServiceLimits {
                long_threshold_ms: service.long_threshold_ms,
                long_share_percent: service.long_share_percent,
            };
            self.requests.backends.set_limits(&service.name, limits);
        }
        self.update_reserved();
        self.metrics.config_number.set(self.config.number as i64);
        self.shared_config
            .store(std::sync::Arc::new(self.config.clone()));
        log_event!(info, Event::ConfigInForce, number = self.config.number);
    }

    /// Recomputes the resources reserved for services: the configured reserve of a service, once for
    /// each of its open backend servers on this VM.
    pub(crate) fn update_reserved(&mut self) {
        let now_ms = self.clock.now_ms();
        let backends = &self.requests.backends;
        let reserve = |(name, spec): (&ServiceName, &model::ServiceSpec)| {
            let servers = backends.open_count(now_ms, name);
            let per_server = spec.reserve;
            let total = (0..servers).fold(Resources::default(), |sum, _| sum.plus(&per_server));
            (servers > 0).then(|| (name.clone(), total))
        };
        let reserved: BTreeMap<ServiceName, Resources> =
            self.config.services.iter().filter_map(reserve).collect();
        self.ledger.set_reserved(reserved);
    }
}
