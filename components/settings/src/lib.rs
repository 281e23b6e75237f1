//! Settings files in JSON with comments. A file is validated completely before a process starts,
//! and all errors are reported at once.

mod agent;
mod batch;
mod drain;
mod entry;
mod error;
mod flow;
mod load;
mod locate;
mod platform;
mod routing;

pub use agent::AgentSettings;
pub use batch::BatchSettings;
pub use drain::DrainSettings;
pub use entry::EntrySettings;
pub use error::{FieldError, SettingsErrors};
pub use flow::{
    FairShareSettings, FlowAgentSettings, FlowEntrySettings, FlowLimitSettings, LeaseSettings,
    PolicySettings,
};
pub use load::{Settings, load, parse};
pub use platform::PlatformSettings;
pub use routing::{RoutingPolicy, RoutingSettings};
