//! Keys of durable rows, and the row of the lease. A key consists of table, part and name; a
//! transaction changes the rows of one part together.

use flow::AwayWorker;
use model::{AgentId, JobId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use utils::hash64;
use wire::AGENT_ROW_PREFIX;

/// Key of the scheduler's lease.
pub(crate) const LEASE_KEY: &str = "lease/scheduler/owner";
/// Prefix of the keys of progress records, which are in the same part as the lease.
pub(crate) const RECORD_PREFIX: &str = "progress/scheduler/";
/// Key of the learned statistics of pairs of images, in the same part as the lease.
pub(crate) const LEARNED_KEY: &str = "learnt/scheduler/pairs";
/// Key of the learned run times of tasks, in the same part as the lease.
pub(crate) const RUN_TIMES_KEY: &str = "learnt/scheduler/run-times";
/// Prefix of the keys of flows in all parts.
pub(crate) const FLOW_PREFIX: &str = "flows/";
/// Number of parts over which flows are spread, so that submissions do not wait for each other.
pub(crate) const FLOW_PARTS: u64 = 4;
/// Epochs from this one on are of no scheduler; a claim of the next one could not count further.
const EPOCH_LIMIT: u64 = 1 << 53;
/// Suffix that turns the key of a flow into the key of its cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Separates a flow's identifier from the number of a further row of its record.
const ROW_SEPARATOR: char = '.';

/// The scheduler's lease, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRow {
    /// Name of the entry that is the scheduler.
    pub owner: String,
    /// Random number that identifies the start of that entry.
    pub incarnation: u64,
    /// Address at which that entry serves calls of other entries.
    pub control: SocketAddr,
    /// Grows with each claim; the fencing token of all orders.
    pub epoch: u64,
    /// Sequence number of the owner's last commit in this epoch; 0 after the claim.
    pub sequence: u64,
    /// Whether the owner released the lease, so that others may claim it at once.
    pub released: bool,
    /// Longest time from a commit until the leases that it lets the owner grant have expired, in
    /// milliseconds; absent in rows that earlier versions wrote.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_lease_ms: Option<u64>,
    /// Workers that get no leases until a later commit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub away: Vec<AwayWorker>,
}

impl LeaseRow {
    /// Parses the content of the lease's row; `None` if no entry wrote it.
    pub fn parse(value: &str) -> Option<Self> {
        let row: Option<Self> = serde_json::from_str(value).ok();
        row.filter(|row| row.epoch < EPOCH_LIMIT)
    }
}

/// Parsed key under [`FLOW_PREFIX`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FlowKey {
    /// Row of a flow, accepted or ended.
    Flow(JobId),
    /// Row that marks a flow as cancelled.
    Cancel(JobId),
}

impl FlowKey {
    /// Parses a key; `None` if it has another prefix or no part.
    pub fn parse(key: &str) -> Option<Self> {
        let name = key.strip_prefix(FLOW_PREFIX)?.split_once('/')?.1;
        Some(match name.strip_suffix(CANCEL_SUFFIX) {
            Some(job) => Self::Cancel(job.into()),
            None => Self::Flow(name.into()),
        })
    }
}

/// Parses the row of a registered agent: its name and its address. `None` if the row names no agent
/// that can be called.
pub(crate) fn parse_agent(key: &str, value: &str) -> Option<(AgentId, SocketAddr)> {
    let name = key.strip_prefix(AGENT_ROW_PREFIX)?;
    let address: SocketAddr = value.parse().ok()?;
    let is_callable =
        address.port() > 0 && !address.ip().is_unspecified() && !address.ip().is_multicast();
    (is_callable && !name.is_empty()).then(|| (AgentId::from(name), address))
}

/// Prefix of the keys of flows in one part.
pub(crate) fn flow_part_prefix(part: u64) -> String {
    format!("{FLOW_PREFIX}{part}/")
}

/// Key of a flow's row; the part follows from a hash of the job's identifier.
pub(crate) fn flow_key(job: &JobId) -> String {
    let part = hash64(job.as_str()) % FLOW_PARTS;
    format!("{FLOW_PREFIX}{part}/{job}")
}

/// Key of a flow's cancellation.
pub(crate) fn cancel_key(job: &JobId) -> String {
    format!("{}{CANCEL_SUFFIX}", flow_key(job))
}

/// Whether a key is that of a flow's cancellation.
pub(crate) fn is_cancel_key(key: &str) -> bool {
    matches!(FlowKey::parse(key), Some(FlowKey::Cancel(_)))
}

/// Key of one of the rows that hold a flow's progress record, by its number; the first has 0.
pub(crate) fn record_key(job: &JobId, number: usize) -> String {
    match number {
        0 => format!("{RECORD_PREFIX}{job}"),
        _ => format!("{RECORD_PREFIX}{job}{ROW_SEPARATOR}{number}"),
    }
}

/// Flow and number of a row that holds a progress record; `None` if the key is of another row.
pub(crate) fn parse_record_key(key: &str) -> Option<(JobId, usize)> {
    let name = key.strip_prefix(RECORD_PREFIX)?;
    Some(match name.rsplit_once(ROW_SEPARATOR) {
        Some((job, number)) => (job.into(), number.parse().ok()?),
        None => (name.into(), 0),
    })
}
