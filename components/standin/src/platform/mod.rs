//! Stand-in for the platform's table, object store and worker runtime.

mod http;
mod runtime;
mod state;
mod table;

pub use http::{StandInPlatform, serve_platform};
pub use runtime::RunRecord;
pub use state::PlatformState;
pub(crate) use table::Table;
