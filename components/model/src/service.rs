//! Specifications of latency-critical services.

use crate::{Resources, ServiceName, TeamName};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// Specification of a latency-critical service, as an operator writes it in a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, unique among services.
    #[garde(custom(crate::ticket::is_name))]
    pub name: ServiceName,
    /// Team that owns the service.
    #[garde(custom(crate::ticket::is_name))]
    pub team: TeamName,
    /// Deadline of a request that doesn't state one, in milliseconds.
    #[serde(default = "defaults::deadline_ms")]
    #[garde(range(min = 1, max = 86_400_000))]
    pub deadline_ms: u64,
    /// Longest pause without data within an answer, in milliseconds.
    #[serde(default = "defaults::idle_timeout_ms")]
    #[garde(range(min = 100, max = 86_400_000))]
    pub idle_timeout_ms: u64,
    /// Run time from which a request is classified as long, in milliseconds.
    #[serde(default = "defaults::long_threshold_ms")]
    #[garde(range(min = 1, max = 86_400_000))]
    pub long_threshold_ms: u64,
    /// Share of a backend server's slots that long requests may occupy, in percent.
    #[serde(default = "defaults::long_share_percent")]
    #[garde(range(min = 1, max = 100))]
    pub long_share_percent: u32,
    /// Whether requests of every method are idempotent and may be retried; those of GET, HEAD, PUT,
    /// DELETE and OPTIONS always are.
    #[serde(default)]
    #[garde(skip)]
    pub idempotent: bool,
    /// Largest request body, in bytes.
    #[serde(default = "defaults::max_body_bytes")]
    #[garde(range(min = 1))]
    pub max_body_bytes: u64,
    /// Resources of its VM that are reserved for one backend server of the service.
    #[serde(default)]
    #[garde(skip)]
    pub reserve: Resources,
    /// Latency target: run time above which batch work is considered to disturb the service, in
    /// milliseconds.
    #[serde(default = "defaults::target_ms")]
    #[garde(range(min = 1))]
    pub target_ms: u64,
}

/// Defaults of optional fields of [`ServiceSpec`].
mod defaults {
    pub fn deadline_ms() -> u64 {
        10_000
    }
    pub fn idle_timeout_ms() -> u64 {
        15_000
    }
    pub fn long_threshold_ms() -> u64 {
        500
    }
    pub fn long_share_percent() -> u32 {
        50
    }
    pub fn max_body_bytes() -> u64 {
        64 << 20
    }
    pub fn target_ms() -> u64 {
        200
    }
}
