//! The subcommands, one file each.

mod admin;
mod agent;
mod check;
mod completions;
mod demo;
mod demo_load;
mod entry;
mod explain;
mod job;
mod process;
mod standin;
mod status;
mod ticket;

pub use agent::agent;
pub use check::check;
pub use completions::completions;
pub use demo::demo;
pub use entry::entry;
pub use explain::explain;
pub use job::job;
pub use standin::standin;
pub use status::status;
pub use ticket::ticket;
