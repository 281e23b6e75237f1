//! Changes of configuration and table health, and the steps of a shutdown.

use crate::control::Control;
use crate::messages::{
    ConfigReceived, Drain, QueryConfig, QueryRemaining, RefuseRequests, StoreHealth,
};
use actix::{Handler, MessageResult};
use telemetry::{Event, log_event};

impl Handler<QueryConfig> for Control {
    type Result = MessageResult<QueryConfig>;

    fn handle(&mut self, query: QueryConfig, _: &mut Self::Context) -> Self::Result {
        let is_newer = self.has_config && self.config.number > query.after;
        MessageResult(is_newer.then(|| self.config.clone()))
    }
}

impl Handler<ConfigReceived> for Control {
    type Result = ();

    fn handle(&mut self, ConfigReceived(config): ConfigReceived, _: &mut Self::Context) {
        self.has_config = true;
        if self.config.advance_to(&config) {
            log_event!(info, Event::ConfigInForce, number = self.config.number);
        }
        self.metrics.config_number.set(self.config.number as i64);
        self.publish_snapshot();
    }
}

impl Handler<StoreHealth> for Control {
    type Result = ();

    fn handle(&mut self, health: StoreHealth, _: &mut Self::Context) {
        if health.up {
            self.last_contact_ms = self.clock.now_ms();
        }
        if health.up != self.store_up {
            let event = if health.up {
                Event::StoreUp
            } else {
                Event::StoreDown
            };
            log_event!(warn, event, entry = %self.settings.id);
        }
        self.store_up = health.up;
        self.metrics.store_up.set(i64::from(health.up));
    }
}

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, _: Drain, _: &mut Self::Context) {
        log_event!(info, Event::DrainStarted, entry = %self.settings.id);
        self.is_draining = true;
        self.publish_snapshot();
        for shard in self.batch.shards.values_mut() {
            shard.release();
        }
    }
}

impl Handler<RefuseRequests> for Control {
    type Result = ();

    fn handle(&mut self, _: RefuseRequests, _: &mut Self::Context) {
        self.refuses_requests = true;
        self.publish_snapshot();
    }
}

impl Handler<QueryRemaining> for Control {
    type Result = usize;

    fn handle(&mut self, _: QueryRemaining, _: &mut Self::Context) -> usize {
        let shards = if self.store_up {
            self.batch.shards.len()
        } else {
            0
        };
        self.in_flight + self.queued_tries.len() + shards
    }
}
