//! Model of how fillers slow down the latency-critical tasks on their worker, and the paces at which
//! fillers work without pushing such a task over its target.
//!
//! The model works with the *margin* of a latency-critical task: its latency target divided by its
//! latency. At 1 the task is at its target; 2 means twice as fast. Queueing delay grows without limit
//! as load rises, but its inverse falls in a straight line, so that the contributions of the load and of
//! each filler to the margin add up. All functions are pure: times are arguments.

mod image_names;
mod margin_trend;
mod pace_damping;
mod pace_plan;
mod pressure_model;
mod stored_pairs;

pub use image_names::ImageId;
pub use margin_trend::MarginTrend;
pub use pace_damping::{CurrentPace, KeepReason, PaceDamping, PaceDecision, PaceReason};
pub use pace_plan::{PaceBudget, plan_paces};
pub use pressure_model::{ActiveFiller, PressureChange, PressureModel};
