//! Batch work: shards of jobs owned under leases, placement, quotas and group commit.

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
pub use job_state::{JobState, TaskView};
pub use kinds::{KindStats, Kinds};
pub use lease::{LeaseWatch, ShardRow, claim_transaction};
pub use place::{PlaceLimits, PlacementOrder, Placer};
pub use rows::{cancel_key, done_key, done_prefix, job_key, shard_key, task_key};
pub use shard::Shard;
pub use teams::TeamUsage;
pub use workers::{Worker, Workers};
