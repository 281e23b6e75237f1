//! Messages to the control thread of an entry.

use crate::config_origin::ConfigOrigin;
use crate::config_source::EvacuationUpdate;
use crate::handle::PhaseAnswer;
use crate::overload::Overloaded;
use crate::room::Taken;
use crate::status::FlowEntryStatus;
use actix::Message;
use backing::{Row, StoreError};
use flow::{
    AwayWorker, ColdTime, Delivery, FlowConfig, FlowJob, OfferId, PollReply, QueueKey, RecordRows,
    StartOutcome, TaskKey,
};
use model::{AgentId, JobId};
use wire::{
    BacklogReply, CancelOutcome, ExplainReply, LinkError, PhaseReply, QueuedCountReply, RoomReply,
    SchedulerProbe, SchedulerProbeReply, SubmitOutcome,
};

/// Submission of a flow, by a caller of this entry or forwarded by another entry.
#[derive(Message)]
#[rtype(result = "SubmitOutcome")]
pub(crate) struct Submit {
    /// Flow to store.
    pub job: FlowJob,
    /// Deadline of the caller.
    pub until_ms: u64,
}

/// Cancellation of a flow, by a caller of this entry or forwarded by another entry.
#[derive(Message)]
#[rtype(result = "CancelOutcome")]
pub(crate) struct Cancel {
    /// Flow to cancel.
    pub job: JobId,
    /// Deadline of the caller.
    pub until_ms: u64,
}

/// Query of a caller for the state of a flow.
#[derive(Message)]
#[rtype(result = "PhaseAnswer")]
pub(crate) struct GetPhase {
    /// Flow to look up.
    pub job: JobId,
    /// Deadline of the caller.
    pub until_ms: u64,
}

/// Query of a caller for the number of queued flows; `None` if no scheduler answers.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub(crate) struct CountQueued(pub QueueKey);

/// Readiness check: true if callers may be routed to this entry.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct GetReadiness;

/// Starts the drain of this entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// Probe of another entry, which takes this one for the scheduler.
#[derive(Message)]
#[rtype(result = "SchedulerProbeReply")]
pub(crate) struct PeerProbe(pub SchedulerProbe);

/// A flow was accepted and stored. Returns true if this entry is the scheduler and has added it.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct NotifyAccepted {
    /// Accepted flow.
    pub job: FlowJob,
    /// Whether another entry sent this, in which case it is not forwarded again.
    pub from_peer: bool,
}

/// A cancellation was stored. Returns true if this entry is the scheduler and knows the flow.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct NotifyCancelled {
    /// Cancelled flow.
    pub job: JobId,
    /// Whether another entry sent this, in which case it is not forwarded again.
    pub from_peer: bool,
}

/// Query of another entry to the scheduler for the state of a flow.
#[derive(Message)]
#[rtype(result = "PhaseReply")]
pub(crate) struct PeerGetPhase(pub JobId);

/// Query of another entry to the scheduler for the number of queued flows.
#[derive(Message)]
#[rtype(result = "QueuedCountReply")]
pub(crate) struct PeerCountQueued(pub QueueKey);

/// Takes room for a flow that this entry accepts.
#[derive(Message)]
#[rtype(result = "Taken")]
pub(crate) struct TakeRoom {
    /// Memory that the flow takes in the scheduler, in bytes.
    pub bytes: usize,
}

/// Answer to this entry's request for room for flows.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RoomGranted {
    /// Granted room, in bytes; `None` if no scheduler answered.
    pub bytes: Option<usize>,
}

/// Request of another entry to the scheduler for room for flows.
#[derive(Message)]
#[rtype(result = "RoomReply")]
pub(crate) struct PeerGrantRoom;

/// Asks whether a flow of a caller of this entry is accepted. Returns the flow, or when to retry.
#[derive(Message)]
#[rtype(result = "Result<FlowJob, Overloaded>")]
pub(crate) struct Admit {
    /// The flow.
    pub job: FlowJob,
    /// Deadline of the caller.
    pub until_ms: u64,
}

/// Answer to this entry's request for the scheduler's backlog.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct BacklogFetched {
    /// When the request was sent.
    pub requested_ms: u64,
    /// The answer; `None` if there was none.
    pub reply: Option<BacklogReply>,
}

/// Request of another entry to the scheduler for its backlog.
#[derive(Message)]
#[rtype(result = "BacklogReply")]
pub(crate) struct PeerGetBacklog;

/// Query of an operator for where a job would be placed now.
#[derive(Message)]
#[rtype(result = "ExplainReply")]
pub(crate) struct Explain(pub FlowJob);

/// Query of another entry to the scheduler for where a job would be placed now.
#[derive(Message)]
#[rtype(result = "ExplainReply")]
pub(crate) struct PeerExplain(pub FlowJob);

/// Configuration read from its source or received from the scheduler, new or not.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct NewConfig {
    /// The configuration.
    pub config: FlowConfig,
    /// How it was obtained.
    pub origin: ConfigOrigin,
    /// Time from the request for it to its arrival, in milliseconds.
    pub spent_ms: u64,
}

/// Requested evacuations, read with the configuration.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct EvacuationsRead {
    /// What was read.
    pub update: EvacuationUpdate,
    /// When the read was sent.
    pub at_ms: u64,
}

/// A read of the configuration was answered; a change that it found was sent before.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfigConfirmed {
    /// When the read was sent.
    pub at_ms: u64,
}

/// Result of a call to the table, of which only the availability of the table matters.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StoreObserved(pub Result<(), StoreError>);

/// Result of a read of the lease.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LeaseRead {
    /// Row of the lease; `None` if no entry ever claimed it.
    pub row: Result<Option<Row>, StoreError>,
}

/// Result of a probe of the scheduler.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ProbeDone {
    /// Epoch of the lease when the probe was sent.
    pub epoch: u64,
    /// Reply of the process at the scheduler's address.
    pub reply: Result<SchedulerProbeReply, LinkError>,
}

/// Result of a claim of the lease.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimDone {
    /// When the claim was sent.
    pub sent_ms: u64,
    /// Claimed epoch.
    pub epoch: u64,
    /// Version of the lease's row after the claim.
    pub result: Result<u64, StoreError>,
}

/// Rows of what former schedulers have learned; `None` before they are first written.
pub(crate) struct LearnedRows {
    /// Pressures of pairs of images.
    pub pressures: Option<Row>,
    /// Run times of tasks; `None` also if they are not to be learned.
    pub run_times: Option<Row>,
}

/// Rows that earlier schedulers wrote, read in the order of the fields.
pub(crate) struct StoredRows {
    /// What former schedulers have learned.
    pub learned: LearnedRows,
    /// Progress records of flows.
    pub records: Vec<Row>,
    /// Number of rows of flows and of cancellations, which were sent as [`FlowsLoaded`].
    pub flows: usize,
}

/// A page of the rows of flows and of cancellations, while a scheduler loads them. Returns false once
/// the load has to end.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct FlowsLoaded {
    /// Epoch of the scheduler that loads them.
    pub epoch: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// Result of loading the state that earlier schedulers wrote.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StateLoaded {
    /// Epoch of the scheduler that loads it.
    pub epoch: u64,
    /// Loaded rows.
    pub rows: Result<StoredRows, StoreError>,
}

/// Key and value of a changed row; the value is `None` for a deleted row.
pub(crate) type ChangedFlow = (String, Option<String>);

/// Changed rows of flows. Returns false once the watch has to end.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct FlowsChanged {
    /// Epoch of the scheduler that watches them.
    pub epoch: u64,
    /// The changed rows, oldest change first.
    pub rows: Vec<ChangedFlow>,
}

/// Result of a read of the registered agents.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AgentsRead {
    /// Epoch of the scheduler that reads them.
    pub epoch: u64,
    /// Rows of agents, each with the agent's address.
    pub rows: Result<Vec<Row>, StoreError>,
}

/// Runs the requested scheduling pass.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RunSchedulingPass;

/// Result of one attempt of a group commit.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct CommitDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Sequence number of the commit.
    pub sequence: u64,
    /// When this attempt was sent.
    pub sent_ms: u64,
    /// Version of the written rows.
    pub result: Result<u64, StoreError>,
}

/// Row of the lease, read after a conflict to find out whether an earlier attempt of the commit
/// took effect.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ResolveConflict {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Sequence number of the commit.
    pub sequence: u64,
    /// Row of the lease.
    pub row: Result<Option<Row>, StoreError>,
}

/// Retries the commit in flight after a backoff.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RetryCommit {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Sequence number of the commit.
    pub sequence: u64,
}

/// Result of a poll of an agent.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PollDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Polled agent.
    pub agent: AgentId,
    /// When the poll was sent.
    pub requested_ms: u64,
    /// Offer of a lease that the poll carried; `None` if it carried none.
    pub offer: Option<OfferId>,
    /// Reply of the agent.
    pub reply: Result<PollReply, LinkError>,
}

/// Result of an order to start a run.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Agent of the worker.
    pub agent: AgentId,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Offer of a lease that the order carried, and whether it may have arrived; `None` without a
    /// call.
    pub settled: Option<(OfferId, Delivery)>,
    /// Outcome that the agent reported, or that follows from the failed call.
    pub outcome: StartOutcome,
}

/// A worker confirmed that it stopped a run.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Agent of the worker.
    pub agent: AgentId,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// An agent told how much longer its worker is slow after its start.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ColdKnown {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Agent of the worker.
    pub agent: AgentId,
    /// For how long the worker is slow.
    pub cold: ColdTime,
}

/// Query for the status of the entry.
#[derive(Message)]
#[rtype(result = "FlowEntryStatus")]
pub(crate) struct QueryStatus;

/// An order of a pace was not confirmed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PaceLost {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// Result of a transaction that shrinks or deletes rows of ended flows.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RowsCollected {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Flows whose rows were replaced by one small row.
    pub compacted: Vec<JobId>,
    /// Flows whose last row was deleted.
    pub deleted: Vec<JobId>,
    /// Version of the written rows.
    pub result: Result<u64, StoreError>,
}

/// Group commit that was sent and whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(crate) struct InFlightCommit {
    /// Transaction, sent unchanged with each retry.
    pub txn: backing::Transaction,
    /// Progress records that the transaction writes.
    pub records: Vec<RecordRows>,
    /// Workers that the lease's row in it names as away.
    pub away: Vec<AwayWorker>,
    /// Whether the transaction writes a learned row.
    pub has_learned: bool,
    /// Sequence number of the commit.
    pub sequence: u64,
    /// Whether the commit releases the lease.
    pub released: bool,
    /// When the first attempt was sent.
    pub first_sent_ms: u64,
    /// Number of attempts so far.
    pub tries: u32,
}
