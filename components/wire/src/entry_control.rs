//! Control calls that an entry answers.

use crate::{AttemptEnd, Heartbeat, HeartbeatAck, PeerView, Pulse, RequestState};
use model::{AgentId, Config, JobId, JobStatus, RequestId};

/// Control calls that an entry answers.
#[tarpc::service]
pub trait EntryControl {
    /// State of an agent.
    async fn heartbeat(beat: Heartbeat) -> HeartbeatAck;
    /// State of the entry and of the agents that it hears itself.
    async fn view() -> PeerView;
    /// Loads of the agents that the entry hears itself.
    async fn loads() -> Vec<Pulse>;
    /// The configuration in force, if it is newer than `number`.
    async fn config_after(number: u64) -> Option<Config>;
    /// Ends of attempts, for the owner of their shards.
    async fn report_ends(agent: AgentId, ends: Vec<AttemptEnd>);
    /// Tells the owner of a job's shard that its rows changed.
    async fn job_changed(job: JobId);
    /// State of a job, from the owner of its shard.
    async fn job_status(job: JobId) -> Option<JobStatus>;
    /// What became of a request that this entry acted for; absent when it is not known here.
    async fn request_state(id: RequestId) -> Option<RequestState>;
}
