//! Conversion of routing settings into the dispatcher's options.

use routing::{Policy, RoutingOptions};
use settings::{EntrySettings, RoutingPolicy};

/// Converts the entry's routing settings into options of the dispatcher.
pub(crate) fn routing_options(settings: &EntrySettings) -> RoutingOptions {
    let routing = &settings.routing;
    RoutingOptions {
        policy: match routing.policy {
            RoutingPolicy::LateBinding => Policy::LateBinding,
            RoutingPolicy::Random => Policy::Random,
            RoutingPolicy::RoundRobin => Policy::RoundRobin,
            RoutingPolicy::LeastOutstanding => Policy::LeastOutstanding,
            RoutingPolicy::TwoChoices => Policy::TwoChoices,
        },
        queue_limit: routing.queue_limit,
        retry_percent: routing.retry_percent,
        max_tries: routing.max_tries,
        eject_failures: routing.eject_failures,
        eject_ms: routing.eject_ms,
        slow_start_ms: routing.slow_start_ms,
        heartbeat_ttl_ms: routing.heartbeat_ttl_ms,
    }
}
