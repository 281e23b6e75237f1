//! Messages that other threads and tasks send to the control thread.

use crate::status::ClusterStatus;
use actix::Message;
use errors::Failure;
use model::{AgentId, Config, Job, JobId, JobStatus, RequestId, ServiceName};
use routing::{Dispatch, PendingRequest, Route, TargetOutcome};
use tokio::sync::oneshot;
use wire::{
    AttemptEnd, BackendLoad, Digest, FenceAnswer, Heartbeat, HeartbeatAck, PeerView, Pulse,
    PulseAck, RequestState,
};

/// Queues a try until there is an agent to send it to.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SubmitTry {
    /// The try to queue.
    pub pending: PendingRequest,
    /// Why the request is sent again; `None` for its first try.
    pub retry: Option<RetryKind>,
    /// Receives the agent to send to, or the reason for a refusal.
    pub reply: oneshot::Sender<Result<Dispatch, Failure>>,
}

/// Reason for a retry, which determines its cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// The agent had no free slot; the retry is free.
    NoSlot,
    /// The try failed; the retry costs a token of the retry budget.
    Failure,
}

/// Removes a try from the queue, if it is still there.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AbandonTry {
    /// Service of the request.
    pub service: ServiceName,
    /// Id of the queued try.
    pub id: RequestId,
}

/// Reports the end of a dispatched try.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TryEnded {
    /// Id of the try.
    pub id: RequestId,
    /// Service of the request.
    pub service: ServiceName,
    /// Agent to which it was sent.
    pub agent: AgentId,
    /// Outcome, by which the agent's health is evaluated.
    pub outcome: TargetOutcome,
    /// Free slots, if the agent reported them with the answer.
    pub load: Option<BackendLoad>,
    /// Route and run time in milliseconds of a complete answer.
    pub completed: Option<(Route, u64)>,
    /// Whether the request may have run although there is no complete answer.
    pub uncertain: bool,
}

/// Queries an agent for the state of a request, on its control connection.
#[derive(Message)]
#[rtype(result = "FenceOutcome")]
pub(crate) struct QueryFence {
    /// Agent to which the request was sent.
    pub agent: AgentId,
    /// Control address of the agent, used if it is no longer live.
    pub control: std::net::SocketAddr,
    /// Id of the try, and whether to fence it off if it has not started.
    pub request: wire::FenceRequest,
}

/// Result of querying an agent for the state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FenceOutcome {
    /// The agent answered.
    Known(FenceAnswer),
    /// The agent did not answer but its heartbeats have not expired.
    NoAnswer,
    /// The agent did not answer and is no longer a member.
    AgentLost,
}

/// Claims an idempotency key for a request.
#[derive(Message)]
#[rtype(result = "Result<(), ClaimRefusal>")]
pub(crate) struct ClaimKey {
    /// Service that the key belongs to.
    pub service: ServiceName,
    /// Idempotency key of the caller.
    pub key: String,
    /// Request that claims the key.
    pub request: RequestId,
}

/// Reason why a key could not be claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimRefusal {
    /// An earlier request holds it; its answer may be available at an agent.
    Held {
        holder: RequestId,
        /// Where the answer may be; `None` if that is not known.
        state: Option<HolderState>,
    },
    /// The agents that would hold the claim refused it or did not answer.
    Unavailable,
}

/// Location of the answer to an earlier request with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HolderState {
    /// Whether its entry is still handling it.
    pub active: bool,
    /// Id of the last try sent to the agent.
    pub sent_as: RequestId,
    /// Agent to which it was sent.
    pub agent: AgentId,
    /// Incarnation of the agent when the try was sent.
    pub incarnation: u64,
    /// Address at which the agent receives requests.
    pub traffic: std::net::SocketAddr,
    /// Control address of the agent.
    pub control: std::net::SocketAddr,
}

/// Releases the claim on a key for a request that is guaranteed not to have run.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ReleaseKey {
    /// Service that the key belongs to.
    pub service: ServiceName,
    /// Idempotency key of the caller.
    pub key: String,
    /// Request that holds the claim.
    pub request: RequestId,
}

/// Reports that this entry no longer handles a keyed request.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct KeyedRequestEnded(pub RequestId);

/// A full heartbeat from an agent.
#[derive(Message)]
#[rtype(result = "HeartbeatAck")]
pub(crate) struct HeartbeatReceived(pub Heartbeat);

/// A pulse, the short heartbeat in a datagram, from an agent.
#[derive(Message)]
#[rtype(result = "PulseAck")]
pub(crate) struct PulseReceived(pub Pulse);

/// A digest from another entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct DigestReceived(pub Digest);

/// Full state of another entry and of the agents that send heartbeats to it.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ViewReceived(pub PeerView);

/// Loads of the agents that send heartbeats to another entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LoadsReceived {
    /// Control address of that entry.
    pub entry: std::net::SocketAddr,
    /// One pulse per agent.
    pub loads: Vec<Pulse>,
}

/// Queries the state of this entry and of the agents that send heartbeats to it.
#[derive(Message)]
#[rtype(result = "PeerView")]
pub(crate) struct QueryView;

/// Queries the loads of the agents that send heartbeats to this entry.
#[derive(Message)]
#[rtype(result = "Vec<Pulse>")]
pub(crate) struct QueryLoads;

/// Queries the configuration; `None` if there is none newer than `after`.
#[derive(Message)]
#[rtype(result = "Option<Config>")]
pub(crate) struct QueryConfig {
    /// Configuration number that the peer has.
    pub after: u64,
}

/// A configuration read from the table or fetched from a peer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfigReceived(pub Config);

/// Result of the last call to the table.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StoreHealth {
    /// Whether the table answered.
    pub up: bool,
}

/// Ends of task attempts, reported by an agent or recovered through the platform.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AttemptsEnded {
    /// Agent on which the attempts ran.
    pub agent: AgentId,
    /// The ends, in the order of the report.
    pub ends: Vec<AttemptEnd>,
}

/// The rows of a job have changed and must be read again by its shard's owner.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct JobChanged(pub JobId);

/// A job whose row this entry has written.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct JobAccepted(pub Job);

/// Queries the status of a job; `None` if its shard is not owned here or the job is not known.
#[derive(Message)]
#[rtype(result = "Option<JobStatus>")]
pub(crate) struct QueryJobStatus(pub JobId);

/// Queries the control address of the owner of a job's shard; `None` if it is this entry or
/// unknown.
#[derive(Message)]
#[rtype(result = "Option<std::net::SocketAddr>")]
pub(crate) struct QueryShardOwner(pub JobId);

/// Queries whether any worker is large enough for a task with this need.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct QueryFits(pub model::Resources);

/// Queries the state of a keyed request that this entry received; `None` if it is not retained.
#[derive(Message)]
#[rtype(result = "Option<RequestState>")]
pub(crate) struct QueryRequestState(pub RequestId);

/// Queries the state of the cluster as this entry sees it.
#[derive(Message)]
#[rtype(result = "ClusterStatus")]
pub(crate) struct QueryClusterStatus;

/// Starts a graceful shutdown: readiness is turned off and shards are released.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// Makes the entry refuse new requests; sent once the drain notice has passed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RefuseRequests;

/// Queries how many requests and shards must end before the entry may stop. Shards are not counted
/// while the table is unavailable, because they can't be released then.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct QueryRemaining;
