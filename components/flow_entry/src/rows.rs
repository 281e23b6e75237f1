//! Keys of the rows that last. A key is table, part and name; rows of one part change together.

use model::JobId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use utils::hash64;

/// Row of the scheduler's lease.
pub(crate) const LEASE_KEY: &str = "lease/scheduler/owner";
/// Key before the records of progress; they stand in the part of the lease.
pub(crate) const RECORD_PREFIX: &str = "progress/scheduler/";
/// Row of what the scheduler learnt; it stands in the part of the lease.
pub(crate) const LEARNT_KEY: &str = "learnt/scheduler/pairs";
/// Key before all flows, whatever their part.
pub(crate) const FLOW_PREFIX: &str = "flows/";
/// Parts over which flows are spread, so that submissions do not wait for each other.
pub(crate) const FLOW_PARTS: u64 = 4;
/// End of the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// The scheduler's lease as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRow {
    /// Name of the entry that is the scheduler.
    pub owner: String,
    /// Which start of that entry.
    pub incarnation: u64,
    /// Its address for other entries.
    pub control: SocketAddr,
    /// Grows with each change of the owner; the fencing token of all orders.
    pub epoch: u64,
    /// Number of the owner's last commit.
    pub sequence: u64,
    /// Whether the owner gave the lease up.
    pub released: bool,
}

/// What a key under [`FLOW_PREFIX`] names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FlowKey {
    /// A flow.
    Flow(JobId),
    /// The cancellation of a flow.
    Cancel(JobId),
}

impl FlowKey {
    /// Reads a key.
    pub fn parse(key: &str) -> Option<Self> {
        let name = key.strip_prefix(FLOW_PREFIX)?.split_once('/')?.1;
        Some(match name.strip_suffix(CANCEL_SUFFIX) {
            Some(job) => Self::Cancel(job.into()),
            None => Self::Flow(name.into()),
        })
    }
}

/// Key before the flows of one part.
pub(crate) fn flow_part_prefix(part: u64) -> String {
    format!("{FLOW_PREFIX}{part}/")
}

/// Key of a flow.
pub(crate) fn flow_key(job: &JobId) -> String {
    let part = hash64(job.as_str()) % FLOW_PARTS;
    format!("{FLOW_PREFIX}{part}/{job}")
}

/// Key of a flow's cancellation.
pub(crate) fn cancel_key(job: &JobId) -> String {
    format!("{}{CANCEL_SUFFIX}", flow_key(job))
}

/// Key of a flow's record of progress.
pub(crate) fn record_key(job: &JobId) -> String {
    format!("{RECORD_PREFIX}{job}")
}
