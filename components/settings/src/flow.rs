//! Settings of the processes that schedule and run flows.

use crate::PlatformSettings;
use garde::Validate;
use model::{AgentId, DomainName, EntryId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings of an entry that accepts flows and may become their scheduler (role `flow-entry`).
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FlowEntrySettings {
    /// Name of this entry, unique among the user's processes.
    #[garde(skip)]
    pub id: EntryId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address on which callers' requests are accepted.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address of the readiness check for the load balancer.
    #[garde(skip)]
    pub ready_listen: SocketAddr,
    /// Address for control RPCs from other entries.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Address on which metrics are served.
    #[garde(skip)]
    pub metrics_listen: SocketAddr,
    /// Share of a processor that this VM provides; entries with a larger share become the scheduler
    /// first.
    #[serde(default = "default_processor_share")]
    #[garde(range(min = 0.001, max = 1_024.0))]
    pub processor_share: f64,
    /// Address and timeout of the store.
    #[garde(dive)]
    pub store: PlatformSettings,
    /// Properties of the leases that workers grant.
    #[garde(dive)]
    pub leases: LeaseSettings,
    /// Limits on what one flow may ask for.
    #[serde(default)]
    #[garde(dive)]
    pub limits: FlowLimitSettings,
    /// Memory that the process may use, in mebibytes; the budgets for what callers set follow from it.
    #[serde(default = "default_memory_mb")]
    #[garde(range(min = 64, max = 65_536))]
    pub memory_mb: u32,
    /// Time for which the state of an ended flow can be requested, in milliseconds.
    #[serde(default = "default_keep_ended_ms")]
    #[garde(range(min = 1_000, max = 86_400_000))]
    pub keep_ended_ms: u64,
    /// Time after SIGTERM within which the process must have terminated, in milliseconds.
    #[serde(default = "default_grace_ms")]
    #[garde(range(min = 100, max = 600_000))]
    pub grace_ms: u64,
    /// Policies of the scheduler that a deployment switches on.
    #[serde(default)]
    #[garde(dive)]
    pub policies: PolicySettings,
    /// Bounds of the deployment in the words of its platform; the adapter to the platform takes from them
    /// what the policies leave open.
    #[serde(default)]
    #[garde(skip)]
    pub platform_bounds: BTreeMap<String, serde_json::Value>,
}

/// Policies of the scheduler that a deployment switches on; all are off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Time after the request for an evacuation from which no task may start in the failure domain,
    /// in milliseconds; absent if the deployment states no bound.
    #[garde(inner(range(min = 1_000, max = 600_000)))]
    pub evacuation_bound_ms: Option<u64>,
    /// Whether run times of tasks and speeds of workers are learned.
    #[garde(skip)]
    pub learned_run_times: bool,
    /// Whether flows that can still end in time come first when there is too little room.
    #[garde(skip)]
    pub overload_order: bool,
    /// Whether flows that can't end in time are refused when they are submitted.
    #[garde(skip)]
    pub admission: bool,
    /// Whether a second run of a slow task may start where its step allows that.
    #[garde(skip)]
    pub duplicates: bool,
    /// Factor by which a task takes longer away from its data or its group; absent if tasks don't
    /// wait for a near worker.
    #[garde(inner(range(min = 1.0, max = 100.0)))]
    pub remote_factor: Option<f64>,
    /// Shares of the queues of equal priority in the pool that they have in common; absent if queues don't
    /// have shares.
    #[garde(dive)]
    pub fair_shares: Option<FairShareSettings>,
    /// Whether urgent tasks may take the place of less urgent ones that save their progress.
    #[garde(skip)]
    pub preemption: bool,
    /// Whether paces of fillers are raised late, in steps, and not to where they were lowered shortly before.
    #[garde(skip)]
    pub damped_pacing: bool,
}

/// Shares of queues.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct FairShareSettings {
    /// Weights by the names of queues, which are their hosts and path prefixes; queues that are not named
    /// have weight 1.
    #[garde(length(max = 1_000), custom(check_weights))]
    pub weights: BTreeMap<String, f64>,
}

/// Checks that each weight is within the bounds that the scheduler applies.
fn check_weights(weights: &BTreeMap<String, f64>, _: &()) -> garde::Result {
    for (queue, weight) in weights {
        if !(0.01..=100.0).contains(weight) {
            let fault = format!("the weight of {queue} is {weight}, not within 0.01 and 100");
            return Err(garde::Error::new(fault));
        }
    }
    Ok(())
}

/// Limits on what one flow may ask for; a flow beyond them is refused when it is submitted.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct FlowLimitSettings {
    /// Number of steps.
    #[garde(range(min = 1, max = 256))]
    pub steps: u32,
    /// Number of tasks of all steps together, in one occurrence.
    #[garde(range(min = 1, max = 40_000))]
    pub tasks: u32,
    /// Number of occurrences.
    #[garde(range(min = 1, max = 100_000))]
    pub occurrences: u32,
    /// Size of the flow as it is stored, in bytes. It must fit in a row of the store.
    #[garde(range(min = 1_000, max = 1_000_000))]
    pub job_bytes: u32,
}

impl Default for FlowLimitSettings {
    fn default() -> Self {
        Self {
            steps: 64,
            tasks: 10_000,
            occurrences: 10_000,
            job_bytes: 48_000,
        }
    }
}

/// Properties of the leases that workers grant to the scheduler.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct LeaseSettings {
    /// Longest lease that a worker grants, in milliseconds.
    #[garde(range(min = 1_000, max = 600_000))]
    pub longest_ms: u64,
    /// Time after the expiry of a lease until the worker is guaranteed to run nothing, in
    /// milliseconds.
    #[garde(range(min = 0, max = 60_000))]
    pub slack_ms: u64,
}

/// Settings of the agent of a worker that runs tasks of flows (role `flow-agent`).
#[derive(Debug, Clone, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FlowAgentSettings {
    /// Name of this agent, unique among the user's processes.
    #[garde(skip)]
    pub id: AgentId,
    /// Failure domain of this VM.
    #[garde(skip)]
    pub domain: DomainName,
    /// Address on which the worker on this VM reaches the agent.
    #[garde(skip)]
    pub local_listen: SocketAddr,
    /// Address on which the worker accepts orders.
    #[garde(skip)]
    pub worker: SocketAddr,
    /// Address for control RPCs from the scheduler.
    #[garde(skip)]
    pub control_listen: SocketAddr,
    /// Address on which metrics are served.
    #[garde(skip)]
    pub metrics_listen: SocketAddr,
    /// Address and timeout of the store.
    #[garde(dive)]
    pub store: PlatformSettings,
}

fn default_processor_share() -> f64 {
    1.0
}

fn default_memory_mb() -> u32 {
    160
}

fn default_keep_ended_ms() -> u64 {
    600_000
}

fn default_grace_ms() -> u64 {
    6_000
}
