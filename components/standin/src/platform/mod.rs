//! Stand-in for the platform: table service, object store and worker runtime behind one HTTP
//! interface.

mod http;
mod runtime;
mod state;
mod table;

pub use http::{StandInPlatform, serve_platform};
pub use runtime::RunRecord;
pub use state::PlatformState;
pub(crate) use table::Table;
