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
