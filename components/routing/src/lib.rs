//! Request routing of an entry: queueing, choice of an agent, retries and early refusals.

mod budget;
mod chooser;
mod claim_holders;
mod class;
mod decision;
mod dispatcher;
mod drain_rate;
mod ejection;
mod options;
mod pending;
mod queue;
mod route;
mod run_times;
mod target;
mod targets;

pub use budget::RetryBudget;
pub use claim_holders::claim_holders;
pub use class::Class;
pub use decision::{Decision, Dispatch};
pub use dispatcher::Dispatcher;
pub use drain_rate::DrainRate;
pub use ejection::Ejection;
pub use options::{Policy, RoutingOptions};
pub use pending::PendingRequest;
pub use queue::WaitQueue;
pub use route::Route;
pub use run_times::RunTimes;
pub use target::{Target, TargetOutcome};
pub use targets::Targets;
