//! Messages to the entry's control thread.

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

/// Asks for an agent to send a request to.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    /// The waiting try.
    pub pending: PendingRequest,
    /// Whether the request was sent before and provably did not run.
    pub retry: Option<RetryKind>,
    /// Told what came of it.
    pub reply: oneshot::Sender<Result<Dispatch, Failure>>,
}

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// The agent had no slot; costs nothing.
    NoSlot,
    /// Something failed; costs a token of the retry budget.
    Failure,
}

/// Gives up a request that may still wait.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Abandon {
    /// The service.
    pub service: ServiceName,
    /// Number of the request.
    pub id: RequestId,
}

/// Ends a dispatched request.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Ended {
    /// Number of the request.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The agent.
    pub agent: AgentId,
    /// How it ended.
    pub outcome: TargetOutcome,
    /// Free slots, if they were told.
    pub load: Option<BackendLoad>,
    /// Route and run time of a whole answer.
    pub ran: Option<(Route, u64)>,
    /// Whether the request may have run without a whole answer.
    pub uncertain: bool,
}

/// Asks an agent, on another connection, what became of a request.
#[derive(Message)]
#[rtype(result = "FenceOutcome")]
pub(crate) struct AskFence {
    /// The agent.
    pub agent: AgentId,
    /// The control thread, or its address.
    pub control: std::net::SocketAddr,
    /// The request.
    pub request: wire::FenceRequest,
}

/// What asking an agent about a request gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FenceOutcome {
    /// The agent's answer.
    Known(FenceAnswer),
    /// The agent did not answer, but still counts as alive.
    NoAnswer,
    /// The agent is gone.
    Gone,
}

/// Claims an idempotency key for a request.
#[derive(Message)]
#[rtype(result = "Result<(), ClaimRefusal>")]
pub(crate) struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The request.
    pub request: RequestId,
}

/// Why a key was not claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimRefusal {
    /// An earlier request holds it; its whole answer may be fetched from an agent.
    Held {
        holder: RequestId,
        /// Where to ask for the answer.
        state: Option<HolderState>,
    },
    /// The agents that hold claims can't be asked.
    Unavailable,
}

/// Where the answer to an earlier request with the same key may be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HolderState {
    /// Whether its entry still works on it.
    pub active: bool,
    /// Try that was sent to the agent.
    pub sent_as: RequestId,
    /// The agent.
    pub agent: AgentId,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// What the traffic thread has.
    pub traffic: std::net::SocketAddr,
    /// The control thread, or its address.
    pub control: std::net::SocketAddr,
}

/// Gives a key back, for a request that provably did not run.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ReleaseKey {
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The request.
    pub request: RequestId,
}

/// Marks the end of a keyed request's work in this entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct KeyedEnded(pub RequestId);

/// A heartbeat of an agent.
#[derive(Message)]
#[rtype(result = "HeartbeatAck")]
pub(crate) struct Beat(pub Heartbeat);

/// A pulse of an agent.
#[derive(Message)]
#[rtype(result = "PulseAck")]
pub(crate) struct Beating(pub Pulse);

/// A sign of life of another entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HearDigest(pub Digest);

/// State of another entry and of the agents that it hears.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HearView(pub PeerView);

/// Loads of the agents that another entry hears.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HearLoads {
    /// Control address of that entry.
    pub home: std::net::SocketAddr,
    /// The loads.
    pub loads: Vec<Pulse>,
}

/// Asks for the state of this entry and of the agents that it hears.
#[derive(Message)]
#[rtype(result = "PeerView")]
pub(crate) struct AskView;

/// Asks for the loads of the agents that this entry hears.
#[derive(Message)]
#[rtype(result = "Vec<Pulse>")]
pub(crate) struct AskLoads;

/// Asks for the configuration if it is newer.
#[derive(Message)]
#[rtype(result = "Option<Config>")]
pub(crate) struct AskConfig {
    /// Number that the asker has.
    pub after: u64,
}

/// A configuration from the table or a peer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct NewConfig(pub Config);

/// Whether the table answered.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StoreHealth {
    /// Whether it answers.
    pub up: bool,
}

/// Ends of attempts, from an agent.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Ends {
    /// The agent.
    pub agent: AgentId,
    /// Ends of attempts.
    pub ends: Vec<AttemptEnd>,
}

/// A job's rows changed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct JobChanged(pub JobId);

/// A job was accepted here.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct JobAccepted(pub Job);

/// Asks for the state of a job of an own shard.
#[derive(Message)]
#[rtype(result = "Option<JobStatus>")]
pub(crate) struct AskJob(pub JobId);

/// Asks for the control address of the owner of a job's shard, if it is another entry.
#[derive(Message)]
#[rtype(result = "Option<std::net::SocketAddr>")]
pub(crate) struct AskOwner(pub JobId);

/// Asks whether a task of this size can ever run.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct AskFits(pub model::Resources);

/// Asks what became of a request that this entry acted for.
#[derive(Message)]
#[rtype(result = "Option<RequestState>")]
pub(crate) struct AskRequest(pub RequestId);

/// Asks for the state of the whole cluster as this entry sees it.
#[derive(Message)]
#[rtype(result = "ClusterStatus")]
pub(crate) struct AskStatus;

/// Begins a graceful shutdown.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// Refuses new requests and releases shards.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Close;

/// Asks how much is left before the entry may go: requests and shards.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct AskLeft;
