//! Scheduling of flows: batch work in several steps that depend on each other, placed on workers by
//! a single scheduler. All decisions depend on arguments alone; nothing here reads a clock or uses
//! the network.

mod candidate;
mod commit;
mod config;
mod contact;
mod effect;
mod ends;
mod gang;
mod health;
mod holds;
mod interference;
mod job;
mod lease;
mod lookup;
mod messages;
mod orders;
mod pacing;
mod placement;
mod progress;
mod ranges;
mod record;
mod record_former;
pub mod record_rows;
mod reports;
mod scheduler;
mod set_aside;
mod slack;
mod spec;
mod starved;
mod state;
mod suspects;
mod task_key;
mod view;
mod waiting;
mod worker;

pub use self::interference::LatencyTrace;
pub use config::{FlowConfig, Pool, Queue};
pub use contact::{LapsedWorker, LeaseOffer, PollPlan};
pub use effect::{Decision, DecisionKind, Effect, RunRef, StartInput};
pub use health::Health;
pub use job::{FlowEnd, FlowJob, FlowPhase, FlowRow, QueueKey};
pub use lease::{ClockSample, Delivery, LeaseLimit, LeaseTerms, Leases, OfferId};
pub use messages::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder};
pub use record::FlowRecord;
pub use record_rows::{CommitLimits, RecordRows};
pub use reports::ReportTimes;
pub use scheduler::Scheduler;
pub use set_aside::RecordFault;
pub use spec::{FlowSpec, Schedule, SpecFault, StepSpec};
pub use state::{FlowState, OccurrenceState, Placement, RunStage, StepState, TaskState};
pub use suspects::CrashCount;
pub use task_key::TaskKey;
pub use view::{Allocation, Contact, Fleet, Hold, OrphanedRun, PendingAck, WorkerView};
pub use waiting::{WaitCause, WaitWatch, WaitingFlow};
pub use worker::{EndedRun, Incarnation, RunEnd, RunningTask, WorkerInfo, WorkerReport};
