//! Heartbeats of agents, whole and as pulses.

use model::{AgentId, DomainName, EntryId, KindName, Resources, ServiceName};
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Whole state of an agent, as it sends it to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifier of the agent.
    pub agent: AgentId,
    /// Random number that the agent draws at each start.
    pub incarnation: u64,
    /// Number of the heartbeat, increasing; an older one than the last received is ignored.
    pub sequence: u64,
    /// Failure domain of the agent's VM.
    pub domain: DomainName,
    /// Address on which the agent accepts requests.
    pub traffic: SocketAddr,
    /// Address on which the agent accepts control calls.
    pub control: SocketAddr,
    /// Whether the agent accepts no new work.
    pub draining: bool,
    /// Services with backend servers on the VM, and their loads.
    pub services: Vec<ServiceLoad>,
    /// Total resources of the VM.
    pub capacity: Resources,
    /// Resources that neither services nor tasks use.
    pub free: Resources,
    /// Number of the configuration in force on the agent.
    pub config: u64,
    /// Kinds of batch work that slow the VM's services down, sorted by name.
    pub bad_kinds: Vec<KindName>,
}

/// Load of one service on an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: ServiceName,
    /// Slots of all its live backend servers.
    pub slots: u32,
    /// Free slots of all its live backend servers.
    pub load: BackendLoad,
}

/// Free slots of a service on an agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Requests that would be accepted now.
    pub free: u32,
    /// Long requests that would be accepted now.
    pub free_long: u32,
}

/// The part of a heartbeat that changes often; sent in its place while the rest is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Incarnation of the agent, which also identifies it: no two agents draw the same number.
    pub incarnation: u64,
    /// Number of the heartbeat, from the same sequence as whole heartbeats.
    pub sequence: u64,
    /// Load of each service, in the order of the last whole heartbeat.
    pub loads: Vec<BackendLoad>,
    /// Resources that neither services nor tasks use.
    pub free: Resources,
    /// Number of the configuration in force on the agent.
    pub config: u64,
}

/// Acknowledgement of a pulse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulseAck {
    /// Whether the entry has the matching whole heartbeat; if not, the agent must send one.
    pub known: bool,
    /// Newest configuration number that the entry has in force.
    pub config: u64,
    /// Hash of the set of live entries; after a change the agent sends a whole heartbeat.
    pub entries_tag: u64,
}

impl Heartbeat {
    /// The part of this heartbeat that a pulse carries.
    pub fn pulse(&self) -> Pulse {
        Pulse {
            incarnation: self.incarnation,
            sequence: self.sequence,
            loads: self.services.iter().map(|service| service.load).collect(),
            free: self.free,
            config: self.config,
        }
    }

    /// Applies a pulse to this heartbeat.
    ///
    /// Returns `false` and changes nothing if the pulse is of another incarnation or has another
    /// number of services.
    pub fn apply_pulse(&mut self, pulse: &Pulse) -> bool {
        if self.incarnation != pulse.incarnation || self.services.len() != pulse.loads.len() {
            return false;
        }
        self.sequence = pulse.sequence;
        self.free = pulse.free;
        self.config = pulse.config;
        for (service, load) in self.services.iter_mut().zip(&pulse.loads) {
            service.load = *load;
        }
        true
    }

    /// Hashes the parts that a pulse doesn't carry.
    pub fn hash_stable(&self, hasher: &mut impl Hasher) {
        let addresses = (self.traffic, self.control);
        (&self.agent, self.incarnation, &self.domain, addresses).hash(hasher);
        (self.draining, self.capacity, &self.bad_kinds).hash(hasher);
        for service in &self.services {
            (&service.service, service.slots).hash(hasher);
        }
    }

    /// Whether a pulse is enough to bring `sent` up to this heartbeat.
    pub fn differs_by_pulse_only(&self, sent: &Self) -> bool {
        let mut sent = sent.clone();
        sent.apply_pulse(&self.pulse()) && sent == *self
    }
}

/// Acknowledgement of a whole heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Entry that answers.
    pub entry: EntryId,
    /// Newest configuration number that the entry has in force.
    pub config: u64,
    /// Control addresses of the entries that this one considers live.
    pub entries: Vec<SocketAddr>,
    /// Hash of that set, as in [`PulseAck`].
    pub entries_tag: u64,
    /// Whether the entry is shutting down, so that the agent must send heartbeats to another one.
    pub draining: bool,
}
