//! Settings of the platform's services.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Where the platform's services are and how long to wait for them.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address of the table service, the object store and the worker runtime.
    #[garde(custom(is_http))]
    pub url: String,
    /// Time after which a call counts as lost, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[garde(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    3_000
}

#[allow(clippy::ptr_arg)]
fn is_http(url: &String, _context: &()) -> garde::Result {
    if url.starts_with("http://") && !url.ends_with('/') {
        return Ok(());
    }
    Err(garde::Error::new(
        "is an address such as http://10.0.0.5:9000, without a slash at its end",
    ))
}
