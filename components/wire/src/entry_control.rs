//! RPC interface of an entry, called by agents and other entries.

use crate::{AttemptEnd, Heartbeat, HeartbeatAck, PeerView, Pulse, RequestState};
use model::{AgentId, Config, JobId, JobStatus, RequestId};

/// RPC interface of an entry.
///
/// Calls are encoded by position: the order of methods and of their arguments must not change.
#[tarpc::service]
pub trait EntryControl {
    /// Records the state of an agent.
    async fn heartbeat(beat: Heartbeat) -> HeartbeatAck;
    /// Returns the state of the entry and of the agents that send their heartbeats to it.
    async fn view() -> PeerView;
    /// Returns the loads of the agents that send their heartbeats to the entry.
    async fn loads() -> Vec<Pulse>;
    /// Returns the configuration in force; `None` if it is not newer than `number`.
    async fn config_after(number: u64) -> Option<Config>;
    /// Reports ends of attempts to the owner of their shards.
    async fn report_ends(agent: AgentId, ends: Vec<AttemptEnd>);
    /// Notifies the owner of a job's shard that the job's rows in the table changed.
    async fn job_changed(job: JobId);
    /// Returns the state of a job; `None` unless the entry owns its shard and knows the job.
    async fn job_status(job: JobId) -> Option<JobStatus>;
    /// Returns what became of a request; `None` if this entry doesn't know it.
    async fn request_state(id: RequestId) -> Option<RequestState>;
}
