//! Numbered log events.

use strum::{EnumIter, IntoStaticStr};

/// A log event. Its number never changes; `docs/EVENTS.md` is the catalogue of all events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A process is ready for work.
    Started = 100,
    /// A graceful shutdown started.
    DrainStarted = 101,
    /// A graceful shutdown ended.
    DrainEnded = 102,
    /// A process can't start.
    StartFailed = 103,
    /// An agent was seen for the first time or came back.
    AgentJoined = 200,
    /// An agent's heartbeats stopped.
    AgentLost = 201,
    /// An agent announced that it leaves.
    AgentLeaving = 202,
    /// An agent failed several requests in a row and gets none for a while.
    AgentEjected = 203,
    /// A backend server announced itself.
    BackendAnnounced = 210,
    /// A backend server left or its announcement expired.
    BackendLeft = 211,
    /// A request failed and may have run.
    RequestUncertain = 300,
    /// A connection went silent and its answer was fetched over another.
    AnswerRecovered = 301,
    /// A request was refused because its idempotency key was used before.
    DuplicateRefused = 302,
    /// An answer ended early and was shown to the caller as incomplete.
    AnswerCut = 303,
    /// A ticket was accepted.
    TicketAccepted = 400,
    /// A ticket was refused.
    TicketRefused = 401,
    /// A configuration number came into force.
    ConfigInForce = 402,
    /// A read of the configuration failed or was not answered in time.
    ConfigReadFailed = 403,
    /// The configuration can't be decoded; the one in force stays.
    ConfigUnreadable = 404,
    /// The platform's table can't be reached.
    StoreDown = 500,
    /// The platform's table answers again.
    StoreUp = 501,
    /// The outcome of a commit was unknown and has been determined.
    CommitSettled = 502,
    /// This entry took over a shard.
    ShardTaken = 510,
    /// This entry lost or released a shard.
    ShardLost = 511,
    /// A job was accepted.
    JobAccepted = 600,
    /// A job's tasks have all ended.
    JobEnded = 601,
    /// A job can never run.
    JobUnplaceable = 602,
    /// An attempt was lost with its worker; its task will be placed again.
    TaskLost = 610,
    /// A task was evicted with a checkpoint.
    TaskEvicted = 611,
    /// Batch work was throttled to protect a service.
    BatchThrottled = 612,
    /// A throttle was lifted.
    ThrottleLifted = 613,
    /// A worker failed tasks of many jobs and was quarantined.
    WorkerQuarantined = 620,
    /// A worker's quarantine ended.
    WorkerReleased = 621,
    /// An agent's row is in the table.
    AgentRegistered = 204,
    /// A worker reported a new incarnation or a change of its draining state.
    WorkerHeard = 220,
    /// A worker announced that it is terminating.
    WorkerLeft = 221,
    /// A worker answers its agent again.
    WorkerUp = 222,
    /// A worker refuses connections of its agent.
    WorkerDown = 223,
    /// The scheduler has synchronised with a worker and may place tasks on it.
    WorkerReached = 224,
    /// The scheduler can't reach a worker; its leases keep running.
    WorkerUnreachable = 225,
    /// A worker is absent and no longer runs anything.
    WorkerGone = 226,
    /// The leases of an unreachable worker have expired.
    WorkerLapsed = 227,
    /// A worker was paused because of its failures.
    WorkerPaused = 228,
    /// Another incarnation of a worker answers its agent.
    WorkerIdentified = 229,
    /// An agent did not pass on a call that was meant for another incarnation of its worker.
    CallWithheld = 230,
    /// A process checked its settings file again.
    SettingsSeen = 104,
    /// A row of the table, a row of a worker's report or a heartbeat can't be read; it is left out.
    RowUnreadable = 503,
    /// The store refused a commit as invalid; a retry can't succeed.
    CommitRefused = 504,
    /// Another scheduler, or another epoch, was seen.
    SchedulerSeen = 520,
    /// This entry tries to become the scheduler.
    SchedulerClaimed = 521,
    /// This entry did not become the scheduler.
    SchedulerClaimFailed = 522,
    /// This entry became the scheduler.
    SchedulerTaken = 523,
    /// This entry loaded the state of the previous scheduler.
    SchedulerLoaded = 524,
    /// The state of the previous scheduler could not be loaded.
    SchedulerLoadFailed = 525,
    /// This entry is no longer the scheduler.
    SchedulerLost = 526,
    /// The scheduler could not be notified of a flow; it will find the flow in the table.
    SchedulerNotTold = 527,
    /// A flow was submitted.
    FlowSubmitted = 700,
    /// A flow was cancelled.
    FlowCancelled = 701,
    /// The state of a flow was requested; the flow is unknown or its state could not be determined.
    FlowUnknown = 702,
    /// A flow ended.
    FlowEnded = 703,
    /// A flow failed permanently.
    FlowFailed = 704,
    /// A caller's request was refused before anything was stored.
    CallerRefused = 705,
    /// The progress of a flow can't be recorded; it fails, and the others go on.
    FlowSetAside = 707,
    /// A task was placed on a worker.
    TaskPlaced = 710,
    /// A run ended.
    RunEnded = 711,
    /// A run is guaranteed to have ended, but its end was never reported.
    RunGone = 712,
    /// A start was refused.
    StartRefused = 713,
    /// An orphaned run, one without a placement, is stopped.
    RunStray = 714,
    /// A run makes no progress and is moved.
    RunStalled = 715,
    /// The pace of a run was changed.
    RunPaced = 716,
    /// An agent forwarded a start order to its worker.
    RunOrdered = 717,
    /// An agent forwarded a stop order to its worker.
    RunStopped = 718,
    /// A run is moved: a filler away from tasks that it interferes with, or a run out of an evacuated
    /// failure domain.
    /// A task is moved to a worker where it ends earlier.
    RunMoved = 720,
    /// The learned pressure of a filler's image on a latency-critical image changed.
    PairJudged = 721,
    /// A worker crashed soon after the start of a run, whose task is now isolated.
    RunSuspected = 722,
    /// Nothing of a flow has run for a while although a task of it could.
    FlowWaiting = 723,
    /// The order of flows begins to defer some so that others end in time.
    OverloadBegan = 726,
    /// No flow has been deferred for a while.
    OverloadEnded = 727,
    /// This entry starts to refuse flows that can't end in time to be worth anything.
    RefusingStarted = 728,
    /// This entry has refused no such flow for a while.
    RefusingEnded = 729,
    /// A slow run gets a duplicate on another worker.
    RunDuplicated = 731,
    /// A task that waited for a worker near its data or its gang is placed elsewhere.
    NearWaitGivenUp = 730,
    /// Runs of several jobs show that a worker is slow.
    WorkerSlow = 724,
    /// A slow worker has recovered, or is tried again.
    WorkerRecovered = 725,
    /// An agent refused a start order: its worker is draining or has another incarnation.
    OrderRefused = 719,
    /// The evacuation of a failure domain was requested.
    EvacuationRequested = 740,
    /// The evacuation of a failure domain was ended by the operator.
    EvacuationEnded = 741,
    /// An evacuated failure domain has no runs left.
    DomainEmptied = 742,
    /// An evacuated failure domain has runs left.
    DomainNotEmpty = 743,
    /// A placement was taken back before its start was sent, as its failure domain is evacuated.
    StartRevoked = 744,
    /// A queue has used a whole share more than its own while others waited.
    QueueInDebt = 750,
    /// Such a queue has no debt any more.
    QueueDebtPaid = 751,
    /// A run is stopped to make room for a more urgent task, and resumes later.
    RunPreempted = 753,
    /// A preempted run has not ended a while after its stop was ordered.
    PreemptionLate = 754,
    /// The damping of paces ordered the pace of a filler.
    DampedPaceOrdered = 755,
    /// A span ended.
    Span = 900,
}

impl Event {
    /// Returns the number that log lines carry as `event`.
    ///
    /// ```
    /// assert_eq!(telemetry::Event::Started.number(), 100);
    /// ```
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the kebab-case name that log lines carry as `kind`.
    ///
    /// ```
    /// assert_eq!(telemetry::Event::AgentLost.name(), "agent-lost");
    /// ```
    pub fn name(self) -> &'static str {
        self.into()
    }
}
