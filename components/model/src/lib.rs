//! Types shared by all processes: names, resources, configuration, jobs and tasks.

mod config;
mod job;
mod names;
mod resources;
mod service;
mod summary;
mod task;
mod team;
mod ticket;

pub use config::Config;
pub use job::{Job, JobPhase, JobSpec, JobStatus};
pub use names::{
    AgentId, DomainName, EntryId, JobId, KindName, RequestId, ServiceName, TaskId, TeamName,
};
pub use resources::Resources;
pub use service::ServiceSpec;
pub use summary::JobSummary;
pub use task::{Attempt, EndReason, TaskRecord, TaskState};
pub use team::TeamSpec;
pub use ticket::{Ticket, TicketError};
