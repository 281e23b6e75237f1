//! Deciding where a request goes, when, and whether it is worth sending at all.

mod budget;
mod choose;
mod class;
mod decision;
mod dispatcher;
mod drain_rate;
mod ejection;
mod key_home;
mod pending;
mod queue;
mod route;
mod run_times;
mod target;
mod targets;
mod tuning;

pub use budget::RetryBudget;
pub use class::Class;
pub use decision::{Decision, Dispatch};
pub use dispatcher::Dispatcher;
pub use drain_rate::DrainRate;
pub use ejection::Ejection;
pub use key_home::claim_holders;
pub use pending::PendingRequest;
pub use queue::WaitQueue;
pub use route::Route;
pub use run_times::RunTimes;
pub use target::{Target, TargetOutcome};
pub use targets::Targets;
pub use tuning::{Policy, RoutingOptions};
