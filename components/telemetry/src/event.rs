//! Numbered events of the log.

use strum::{EnumIter, IntoStaticStr};

/// An event of the log. The number never changes; `docs/EVENTS.md` is the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A process is ready for work.
    Started = 100,
    /// A graceful shutdown began.
    DrainStarted = 101,
    /// A graceful shutdown ended.
    DrainEnded = 102,
    /// A process can't start.
    StartFailed = 103,
    /// An agent was heard for the first time or came back.
    AgentJoined = 200,
    /// An agent's heartbeats stopped.
    AgentLost = 201,
    /// An agent said that it leaves.
    AgentLeaving = 202,
    /// An agent fails everything and gets no work for a while.
    AgentEjected = 203,
    /// A backend server announced itself.
    BackendAnnounced = 210,
    /// A backend server left or its announcement expired.
    BackendLeft = 211,
    /// A request failed after it may have run.
    RequestUncertain = 300,
    /// A connection went silent and its answer was fetched on another.
    AnswerRecovered = 301,
    /// A request's key was used before.
    DuplicateRefused = 302,
    /// An answer was cut and shown to the caller as cut.
    AnswerCut = 303,
    /// A ticket was accepted.
    TicketAccepted = 400,
    /// A ticket was refused.
    TicketRefused = 401,
    /// A configuration number came into force.
    ConfigInForce = 402,
    /// The platform's table can't be reached.
    StoreDown = 500,
    /// The platform's table answers again.
    StoreUp = 501,
    /// The outcome of a commit was unknown and has been settled.
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
    /// A task's attempt was lost with its worker and will be placed again.
    TaskLost = 610,
    /// A task was evicted with a checkpoint.
    TaskEvicted = 611,
    /// Batch work was throttled to protect a service.
    BatchThrottled = 612,
    /// A throttle was lifted.
    ThrottleLifted = 613,
    /// A worker fails tasks of many jobs and is set aside.
    WorkerQuarantined = 620,
    /// A worker's quarantine ended.
    WorkerReleased = 621,
    /// An agent's row is in the table.
    AgentRegistered = 204,
    /// A worker began a life, or said that it drains.
    WorkerHeard = 220,
    /// A worker said that it ends.
    WorkerLeft = 221,
    /// A worker answers its agent again.
    WorkerUp = 222,
    /// A worker refuses connections of its agent.
    WorkerDown = 223,
    /// The scheduler read a worker's lists and may give it work.
    WorkerReached = 224,
    /// The scheduler can't reach a worker; its leases go on.
    WorkerUnreachable = 225,
    /// A worker runs nothing any more.
    WorkerGone = 226,
    /// The leases of a worker that can't be reached are over.
    WorkerLapsed = 227,
    /// A worker is set aside for its failures.
    WorkerPaused = 228,
    /// A process's settings file changed or was read again.
    SettingsSeen = 104,
    /// A row of the table can't be read.
    RowUnreadable = 503,
    /// The store refused a commit that it can never take.
    CommitRefused = 504,
    /// Another scheduler, or another epoch, was seen.
    SchedulerSeen = 520,
    /// This entry tries to become the scheduler.
    SchedulerClaimed = 521,
    /// This entry did not become the scheduler.
    SchedulerClaimFailed = 522,
    /// This entry became the scheduler.
    SchedulerTaken = 523,
    /// This entry read everything that a former scheduler left.
    SchedulerLoaded = 524,
    /// What a former scheduler left could not be read.
    SchedulerLoadFailed = 525,
    /// This entry is no longer the scheduler.
    SchedulerLost = 526,
    /// The scheduler could not be told of a flow; it will find it in the table.
    SchedulerNotTold = 527,
    /// A flow was submitted.
    FlowSubmitted = 700,
    /// A flow was cancelled.
    FlowCancelled = 701,
    /// A flow was asked for that is not known, or nobody could tell.
    FlowUnknown = 702,
    /// A flow is over.
    FlowEnded = 703,
    /// A flow failed for good.
    FlowFailed = 704,
    /// A caller's request was refused before anything was stored.
    CallerRefused = 705,
    /// A task was placed on a worker.
    TaskPlaced = 710,
    /// A run ended.
    RunEnded = 711,
    /// A run is surely gone without an end.
    RunGone = 712,
    /// A start was refused.
    StartRefused = 713,
    /// A run that is placed nowhere is stopped.
    RunStray = 714,
    /// A run stands still and is moved.
    RunStalled = 715,
    /// The pace of a run was changed.
    RunPaced = 716,
    /// An agent passed a start on to its worker.
    RunOrdered = 717,
    /// An agent passed a stop on to its worker.
    RunStopped = 718,
    /// A filler is moved away from tasks that it disturbs.
    RunMoved = 720,
    /// A filler's image was found to disturb the image of a task that serves, or not to.
    PairJudged = 721,
    /// An agent refused an order that is out of date.
    OrderRefused = 719,
    /// A span ended.
    Span = 900,
}

impl Event {
    /// The event's number.
    ///
    /// ```
    /// assert_eq!(telemetry::Event::Started.number(), 100);
    /// ```
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The event's name.
    ///
    /// ```
    /// assert_eq!(telemetry::Event::AgentLost.name(), "agent-lost");
    /// ```
    pub fn name(self) -> &'static str {
        self.into()
    }
}
