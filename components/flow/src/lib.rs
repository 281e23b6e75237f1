//! Scheduling of flows: batch work in several steps that depend on each other, placed on workers by
//! a single scheduler. All decisions depend on arguments alone; nothing here reads a clock or uses
//! the network.

mod candidate;
mod config;
mod effect;
mod ends;
mod gang;
mod health;
mod interference;
mod job;
mod lease;
mod limits;
mod lookup;
mod messages;
mod orders;
mod pacing;
mod placement;
mod progress;
mod record;
mod reports;
mod scheduler;
mod slack;
mod spec;
mod starved;
mod state;
mod step_state;
mod suspects;
mod task_key;
mod view;
mod worker;

pub use self::interference::LatencyTrace;
pub use config::{FlowConfig, Pool, Queue};
pub use effect::{Decision, DecisionKind, Effect, RunRef, StartInput};
pub use health::Health;
pub use job::{FlowEnd, FlowJob, FlowPhase, FlowRow, QueueKey};
pub use lease::{ClockSample, LeaseTerms};
pub use limits::{FlowLimits, LimitExceeded, LimitedField};
pub use messages::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder};
pub use record::FlowRecord;
pub use reports::ReportTimes;
pub use scheduler::{RecordRow, Scheduler};
pub use spec::{FlowSpec, Schedule, SpecFault, StepSpec};
pub use state::{FlowState, Placement, RunStage};
pub use step_state::{OccurrenceState, StepState, TaskState};
pub use suspects::CrashCount;
pub use task_key::TaskKey;
pub use view::{Allocation, Fleet, Hold, OrphanedRun, PendingAck, WorkerView};
pub use worker::{EndedRun, Incarnation, RunEnd, RunningTask, WorkerInfo, WorkerReport};
