//! Settings of the connection to the platform's services.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Address of the platform's services and the timeout of calls to them.
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the table service, the object store and the worker runtime.
    #[garde(custom(is_http))]
    pub url: String,
    /// Time after which a call is treated as lost, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[garde(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
    /// Most bytes of a value that the table service accepts. Values that can be larger are stored in
    /// several rows.
    #[serde(default = "default_row_bytes")]
    #[garde(range(min = 1_024, max = 262_144))]
    pub row_bytes: usize,
}

fn default_timeout_ms() -> u64 {
    3_000
}

fn default_row_bytes() -> usize {
    65_536
}

#[allow(clippy::ptr_arg)]
fn is_http(url: &String, _context: &()) -> garde::Result {
    if url.starts_with("http://") && !url.ends_with('/') {
        return Ok(());
    }
    Err(garde::Error::new(
        "must be an http:// address without a trailing slash, such as http://10.0.0.5:9000",
    ))
}
