//! Flows: batch work of several steps that depend on each other, placed on workers by one
//! scheduler. Everything here decides by its arguments alone; nothing reads a clock or a network.

mod config;
mod effect;
mod ends;
mod gang;
mod health;
mod job;
mod lease;
mod lookup;
mod messages;
mod orders;
mod pairs;
mod place;
mod progress;
mod protect;
mod record;
mod reports;
mod scheduler;
mod spec;
mod state;
mod suit;
mod task_key;
mod view;
mod worker;

pub use config::{FlowConfig, Pool, Queue};
pub use effect::{Decision, DecisionKind, Effect, RunRef, StartInput, VerdictChange};
pub use health::Health;
pub use job::{FlowEnd, FlowJob, FlowPhase, FlowRow, QueueKey};
pub use lease::{ClockSample, LeaseTerms};
pub use messages::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder};
pub use pairs::{PairVerdict, Pairs};
pub use protect::LatencyTrace;
pub use record::FlowRecord;
pub use reports::ReportTimes;
pub use scheduler::{RecordRow, Scheduler};
pub use spec::{FlowSpec, Schedule, SpecFault, StepSpec};
pub use state::{FlowState, OccurrenceState, Placement, Stage, StepState, TaskState};
pub use task_key::TaskKey;
pub use view::{Allocation, Fleet, PendingAck, Stray, WorkerView};
pub use worker::{EndedRun, Incarnation, RunEnd, RunningTask, WorkerInfo, WorkerReport};
