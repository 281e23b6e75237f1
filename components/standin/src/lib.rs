//! In-process test doubles: the platform's table, object store and worker runtime, backend
//! servers, and a relay that injects network faults.

mod backend;
mod backend_record;
mod faults;
mod memory_table;
mod platform;
mod relay;
mod script;

pub use backend::{BackendOptions, StandInBackend, serve_backend};
pub use backend_record::{BackendRecord, Execution};
pub use faults::Faults;
pub use memory_table::{MemoryTable, ScriptedOutcome};
pub use platform::{PlatformState, RunRecord, StandInPlatform, serve_platform};
pub use relay::{Relay, RelayMode};
pub use script::TaskScript;
