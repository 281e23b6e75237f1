//! Messages to the agent's control thread.

use actix::Message;
use backing::{AttemptRef, AttemptReport, AttemptStatus, StopMode};
use errors::Failure;
use fence::{AdmissionRequest, Admitted, Announcement, CachedAnswer, Grant, Outcome};
use model::{Config, RequestId, ServiceName};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use wire::{
    BackendLoad, Claim, ClaimAnswer, FenceAnswer, FenceRequest, Heartbeat, HeartbeatAck,
    ShardOwner, StartOrder, StartResult, StopOrder,
};

/// What a queued request is told in the end.
pub(crate) type GrantReply = oneshot::Sender<Result<Grant, Failure>>;

/// Asks for a slot.
#[derive(Message)]
#[rtype(result = "Admitted")]
pub(crate) struct AskSlot {
    /// The request that asks.
    pub admit: AdmissionRequest,
    /// Told when the request was queued and is settled later.
    pub reply: GrantReply,
}

/// Gives up a request that may still wait.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Abandon(pub RequestId);

/// Notes how much of an answer was passed on.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Progress {
    /// Number of the request.
    pub id: RequestId,
    /// Bytes passed on so far.
    pub total_bytes: u64,
}

/// Ends a request that had a slot; answers with the slots that are free then.
#[derive(Message)]
#[rtype(result = "BackendLoad")]
pub(crate) struct Finish {
    /// Number of the request.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// How it ended.
    pub outcome: Outcome,
    /// The answer.
    pub answer: Option<CachedAnswer>,
    /// Run time, in milliseconds.
    pub run_ms: u64,
}

/// Asks for free slots.
#[derive(Message)]
#[rtype(result = "BackendLoad")]
pub(crate) struct AskLoad(pub ServiceName);

/// Asks for a kept answer.
#[derive(Message)]
#[rtype(result = "Option<CachedAnswer>")]
pub(crate) struct AskAnswer(pub RequestId);

/// A backend server announces itself; answered with the number of requests on their way there.
#[derive(Message)]
#[rtype(result = "u32")]
pub(crate) struct Announce(pub Announcement);

/// A fence from an entry.
#[derive(Message)]
#[rtype(result = "FenceAnswer")]
pub(crate) struct Fence(pub FenceRequest);

/// A claim from an entry.
#[derive(Message)]
#[rtype(result = "ClaimAnswer")]
pub(crate) struct MakeClaim(pub Claim);

/// The end of a claim.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ReleaseClaim(pub Claim);

/// Start orders from a shard's owner.
#[derive(Message)]
#[rtype(result = "Vec<StartResult>")]
pub(crate) struct StartOrders {
    /// The owner.
    pub owner: ShardOwner,
    /// The orders.
    pub orders: Vec<StartOrder>,
}

/// Stop orders from a shard's owner.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopOrders {
    /// The owner.
    pub owner: ShardOwner,
    /// The orders.
    pub orders: Vec<StopOrder>,
}

/// New owners of shards.
#[derive(Message)]
#[rtype(result = "Vec<bool>")]
pub(crate) struct Adopt(pub Vec<ShardOwner>);

/// Ends that are durable.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfirmEnds(pub Vec<AttemptRef>);

/// Outcome of asking the runtime to start an attempt.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartDone {
    /// The attempt.
    pub attempt: AttemptRef,
    /// How it ended.
    pub outcome: StartOutcome,
}

/// Outcome of asking the runtime to start an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// It runs.
    Running,
    /// It does not run, and its status is final.
    Final(AttemptStatus),
    /// The runtime gave no answer; ask again.
    Unknown,
}

/// Outcome of asking the runtime to stop an attempt.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopDone {
    /// The attempt.
    pub attempt: AttemptRef,
    /// What it does with connections.
    pub mode: StopMode,
    /// Final status; absent if the runtime gave no answer.
    pub status: Option<AttemptStatus>,
}

/// The runtime's own account of the worker.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Reports(pub Vec<AttemptReport>);

/// Asks for the next heartbeat.
#[derive(Message)]
#[rtype(result = "Heartbeat")]
pub(crate) struct NextHeartbeat;

/// An entry's answer to a heartbeat.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct HeartbeatAnswered {
    /// The entry's answer.
    pub ack: HeartbeatAck,
}

/// Asks whether an entry's configuration is newer than the one in force here.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsBehind(pub u64);

/// Asks where heartbeats go.
#[derive(Message)]
#[rtype(result = "BTreeSet<SocketAddr>")]
pub(crate) struct AskEntries;

/// A newer configuration.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct NewConfig(pub Config);

/// Begins a graceful shutdown.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// Refuses new requests from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopAdmitting;

/// Asks how much is left before the agent may go: requests in flight, and ends of attempts that
/// are not durable.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct AskInFlight;

/// Asks whether the agent may take work.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct AskReady;
