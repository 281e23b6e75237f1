//! Scheduling of batch jobs, as done by the entries.
//!
//! Jobs are spread over shards. One entry owns a shard at a time under a lease ([`LeaseWatch`]),
//! keeps its jobs in a [`Shard`], places their tasks with a [`Placer`] and writes changes to the
//! table in group commits ([`CommitPlan`]). An [`Effect`] that depends on a change is carried out
//! only once the change is durable.

mod commit;
mod effect;
mod job_state;
mod kinds;
mod lease;
mod place;
mod rows;
mod shard;
mod shard_commit;
mod shard_ends;
mod shard_orders;
mod teams;
mod workers;

pub use commit::{CommitOutcome, CommitPlan};
pub use effect::Effect;
pub use job_state::{JobState, TrackedTask};
pub use kinds::{KindStats, Kinds};
pub use lease::{LeaseWatch, ShardRow, claim_transaction};
pub use place::{PlaceLimits, PlacementOrder, Placer};
pub use rows::{cancel_key, done_key, done_prefix, job_key, shard_key, task_key};
pub use shard::Shard;
pub use teams::TeamUsage;
pub use workers::{Worker, Workers};
