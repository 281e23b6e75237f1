//! Messages to the control thread.

use crate::handle::PhaseAnswer;
use actix::Message;
use backing::{Row, StoreError};
use flow::{FlowConfig, FlowJob, PollReply, QueueKey, RecordRow, StartOutcome, TaskKey};
use model::{AgentId, JobId};
use wire::{CancelOutcome, Hello, HelloReply, LinkError, PhaseReply, SubmitOutcome, WaitingReply};

/// Accepts a flow.
#[derive(Message)]
#[rtype(result = "SubmitOutcome")]
pub(crate) struct Submit {
    /// The flow.
    pub job: FlowJob,
    /// When the caller stops waiting.
    pub until_ms: u64,
}

/// Cancels a flow.
#[derive(Message)]
#[rtype(result = "CancelOutcome")]
pub(crate) struct Cancel {
    /// The flow.
    pub job: JobId,
    /// When the caller stops waiting.
    pub until_ms: u64,
}

/// Asks for the state of a flow.
#[derive(Message)]
#[rtype(result = "PhaseAnswer")]
pub(crate) struct AskPhase {
    /// The flow.
    pub job: JobId,
    /// When the caller stops waiting.
    pub until_ms: u64,
}

/// Asks how many flows of a queue wait.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub(crate) struct AskWaiting(pub QueueKey);

/// Asks whether the entry takes callers.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct AskReady;

/// Begins a graceful end.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain;

/// A sign of life of another entry.
#[derive(Message)]
#[rtype(result = "HelloReply")]
pub(crate) struct HearHello(pub Hello);

/// A flow was accepted; answers whether the scheduler has it.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct Accepted {
    /// The flow.
    pub job: FlowJob,
    /// Whether another entry tells of it, so that it is not passed on again.
    pub from_peer: bool,
}

/// A flow was cancelled; answers whether the scheduler knows.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct Cancelled {
    /// The flow.
    pub job: JobId,
    /// Whether another entry tells of it, so that it is not passed on again.
    pub from_peer: bool,
}

/// Another entry asks the scheduler for the state of a flow.
#[derive(Message)]
#[rtype(result = "PhaseReply")]
pub(crate) struct PeerPhase(pub JobId);

/// Another entry asks the scheduler how many flows wait.
#[derive(Message)]
#[rtype(result = "WaitingReply")]
pub(crate) struct PeerWaiting(pub QueueKey);

/// A configuration, from the table or from the scheduler.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct NewConfig(pub FlowConfig);

/// What came of a call to the table that changes nothing here.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StoreSeen(pub Result<(), StoreError>);

/// The row of the lease, as read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LeaseSeen {
    /// When it was asked for.
    pub asked_ms: u64,
    /// The row, if there is one.
    pub row: Result<Option<Row>, StoreError>,
}

/// The scheduler's answer to a sign of life.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct HelloDone {
    /// Epoch of the lease when the sign was sent.
    pub epoch: u64,
    /// The answer.
    pub reply: Result<HelloReply, LinkError>,
}

/// What came of taking the lease over.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ClaimDone {
    /// When the claim was sent.
    pub sent_ms: u64,
    /// Epoch that was claimed.
    pub epoch: u64,
    /// Version of the row.
    pub result: Result<u64, StoreError>,
}

/// Rows that a former scheduler left, read in this order.
pub(crate) struct LeftRows {
    /// What it learnt.
    pub learnt: Option<Row>,
    /// Records of progress.
    pub records: Vec<Row>,
    /// Flows and cancellations.
    pub flows: Vec<Row>,
}

/// Everything that a former scheduler left.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Loaded {
    /// Epoch for which it was read.
    pub epoch: u64,
    /// The rows.
    pub rows: Result<LeftRows, StoreError>,
}

/// Rows of flows that changed; answers whether to go on watching.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct FlowsSeen {
    /// Epoch for which they were read.
    pub epoch: u64,
    /// Key and content; no content for rows that were deleted.
    pub rows: Vec<(String, Option<String>)>,
}

/// Agents that were read anew.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct AgentsSeen {
    /// Epoch for which they were read.
    pub epoch: u64,
    /// The rows.
    pub rows: Result<Vec<Row>, StoreError>,
}

/// Looks at what can be placed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Pump;

/// What came of a group commit.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct CommitDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Number of the commit.
    pub sequence: u64,
    /// When it was sent.
    pub sent_ms: u64,
    /// Version of its rows.
    pub result: Result<u64, StoreError>,
}

/// The row of the lease, read to settle a commit whose condition failed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SettleCommit {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Number of the commit.
    pub sequence: u64,
    /// When the row was asked for.
    pub sent_ms: u64,
    /// The row.
    pub row: Result<Option<Row>, StoreError>,
}

/// Sends the commit in flight again.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct CommitAgain {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// Number of the commit.
    pub sequence: u64,
}

/// An agent's answer to a poll.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct PollDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// The agent.
    pub agent: AgentId,
    /// When the poll was sent.
    pub asked_ms: u64,
    /// The answer.
    pub reply: Result<PollReply, LinkError>,
}

/// What came of a start.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StartDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// The agent.
    pub agent: AgentId,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// What came of it.
    pub outcome: StartOutcome,
}

/// A worker confirmed a stop.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopDone {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// The agent.
    pub agent: AgentId,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// Rows of ended flows were tidied, or not.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Tidied {
    /// Epoch of the scheduler.
    pub epoch: u64,
    /// The flows whose rows became small.
    pub jobs: Vec<JobId>,
    /// The flows whose rows are gone.
    pub forgotten: Vec<JobId>,
    /// Whether it worked.
    pub result: Result<u64, StoreError>,
}

/// A group commit that is on its way.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    /// The transaction.
    pub txn: backing::Transaction,
    /// Records that it carries.
    pub rows: Vec<RecordRow>,
    /// Its number.
    pub sequence: u64,
    /// Whether it gives the lease up.
    pub released: bool,
    /// When it was first sent.
    pub first_sent_ms: u64,
    /// How often it was sent.
    pub tries: u32,
}
