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

/// Channel for the outcome of a queued request: a slot, or the reason why it gets none.
pub(crate) type GrantSender = oneshot::Sender<Result<Grant, Failure>>;

/// Requests a slot on a backend server.
#[derive(Message)]
#[rtype(result = "Admitted")]
pub(crate) struct RequestSlot {
    /// Request to admit, queue or refuse.
    pub request: AdmissionRequest,
    /// Used only if the request is queued, once it is granted or refused.
    pub reply: GrantSender,
}

/// Removes a request from the queue if it is still there.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AbandonRequest(pub RequestId);

/// Records how much of an answer was passed on to the entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RecordProgress {
    /// Request that is being answered.
    pub id: RequestId,
    /// Bytes of the body passed on so far.
    pub total_bytes: u64,
}

/// Ends a request that had a slot; returns the slots of its service that are free afterwards.
#[derive(Message)]
#[rtype(result = "BackendLoad")]
pub(crate) struct FinishRequest {
    /// Request that ended.
    pub id: RequestId,
    /// Service that the request was sent to.
    pub service: ServiceName,
    /// Whether the answer was complete, the answer was cut off, or the request never ran.
    pub outcome: Outcome,
    /// Answer to cache for a replay; `None` if it is not to be cached.
    pub answer: Option<CachedAnswer>,
    /// Time since the call to the backend server started, in milliseconds.
    pub run_ms: u64,
}

/// Queries the free slots of a service.
#[derive(Message)]
#[rtype(result = "BackendLoad")]
pub(crate) struct GetLoad(pub ServiceName);

/// Queries a request's cached answer; `None` if it isn't cached.
#[derive(Message)]
#[rtype(result = "Option<CachedAnswer>")]
pub(crate) struct GetCachedAnswer(pub RequestId);

/// Registers a backend server or renews its registration; returns the number of requests that run
/// on it or are on their way there.
#[derive(Message)]
#[rtype(result = "u32")]
pub(crate) struct AnnounceBackend(pub Announcement);

/// Fences off a request on behalf of an entry; returns what is known of that request.
#[derive(Message)]
#[rtype(result = "FenceAnswer")]
pub(crate) struct Fence(pub FenceRequest);

/// Claims an idempotency key for an entry's request.
#[derive(Message)]
#[rtype(result = "ClaimAnswer")]
pub(crate) struct ClaimKey(pub Claim);

/// Releases a claim on an idempotency key.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ReleaseClaim(pub Claim);

/// Start orders from a shard's owner; returns one result per order.
#[derive(Message)]
#[rtype(result = "Vec<StartResult>")]
pub(crate) struct StartOrders {
    /// Entry that owns the shard, with its epoch; orders of a stale owner are refused.
    pub owner: ShardOwner,
    /// Attempts to start.
    pub orders: Vec<StartOrder>,
}

/// Stop orders from a shard's owner.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopOrders {
    /// Entry that owns the shard, with its epoch; orders of a stale owner are ignored.
    pub owner: ShardOwner,
    /// Attempts to stop.
    pub orders: Vec<StopOrder>,
}

/// Records new owners of shards; returns for each whether it was accepted.
#[derive(Message)]
#[rtype(result = "Vec<bool>")]
pub(crate) struct AdoptShards(pub Vec<ShardOwner>);

/// Confirms that the ends of these attempts are durable, so that they needn't be reported again.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfirmEnds(pub Vec<AttemptRef>);

/// Result of a start call to the worker runtime.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartDone {
    /// Attempt that was to start.
    pub attempt: AttemptRef,
    /// What the runtime replied.
    pub outcome: StartOutcome,
}

/// Outcome of a start call to the worker runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// The attempt is running.
    Running,
    /// The runtime refused the attempt, which now has this final status.
    Final(AttemptStatus),
    /// The runtime gave no usable reply; the call has to be repeated.
    Unknown,
}

/// Result of a stop call to the worker runtime.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopDone {
    /// Attempt that was to stop.
    pub attempt: AttemptRef,
    /// Mode of the call, with which it is repeated if needed.
    pub mode: StopMode,
    /// Status after the call; `None` if the runtime gave no reply.
    pub status: Option<AttemptStatus>,
}

/// The runtime's report on all attempts that the worker knows.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RuntimeReports(pub Vec<AttemptReport>);

/// Queries the attempts whose leases are to be renewed.
#[derive(Message)]
#[rtype(result = "Vec<AttemptRef>")]
pub(crate) struct GetLeasedAttempts;

/// Builds the next heartbeat, with a sequence number of its own.
#[derive(Message)]
#[rtype(result = "Heartbeat")]
pub(crate) struct BuildHeartbeat;

/// Applies an entry's answer to a full heartbeat; returns whether the entry has a newer
/// configuration.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct HeartbeatAcked {
    /// Answer of the entry.
    pub ack: HeartbeatAck,
}

/// Queries whether the configuration with this number is newer than the one in force here.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsConfigBehind(pub u64);

/// Queries the control addresses of the entries that heartbeats may be sent to.
#[derive(Message)]
#[rtype(result = "BTreeSet<SocketAddr>")]
pub(crate) struct GetEntries;

/// Puts a configuration in force if it is newer than the current one.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ApplyConfig(pub Config);

/// Starts a graceful shutdown: admits no new attempts and announces the drain to entries.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartDrain;

/// Refuses new requests from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopAdmitting;

/// Queries how much work is left before the agent may stop: requests in flight and, if the drain
/// evicts batch work, attempts and ends that are not yet confirmed as durable.
#[derive(Message)]
#[rtype(result = "usize")]
pub(crate) struct CountInFlight;

/// Queries whether the agent accepts work.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReady;
