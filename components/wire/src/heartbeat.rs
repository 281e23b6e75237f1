//! Heartbeats of agents.

use model::{AgentId, DomainName, EntryId, KindName, Resources, ServiceName};
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// State of an agent as it tells entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent.
    pub agent: AgentId,
    /// Drawn anew at each start of the agent.
    pub incarnation: u64,
    /// Grows with each heartbeat.
    pub sequence: u64,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for requests.
    pub traffic: SocketAddr,
    /// Address for control calls.
    pub control: SocketAddr,
    /// Whether the agent takes no new work.
    pub draining: bool,
    /// Services on the VM.
    pub services: Vec<ServiceLoad>,
    /// What the VM has.
    pub capacity: Resources,
    /// What is not taken by services and tasks.
    pub free: Resources,
    /// Number of the configuration in force here.
    pub config: u64,
    /// Kinds of batch work that slow the VM's services down, in order of names.
    pub bad_kinds: Vec<KindName>,
}

/// Load of one service on an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Slots of its live backend servers.
    pub slots: u32,
    /// Load of them together.
    pub load: BackendLoad,
}

/// Free slots of a service on an agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Requests that would be taken now.
    pub free: u32,
    /// Long requests that would be taken now.
    pub free_long: u32,
}

/// What changes from one heartbeat to the next; sent in its place while the rest is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Tells the agent; no two agents draw the same.
    pub incarnation: u64,
    /// Grows with each heartbeat.
    pub sequence: u64,
    /// Load of each service, in the order of the last whole heartbeat.
    pub loads: Vec<BackendLoad>,
    /// What is not taken by services and tasks.
    pub free: Resources,
    /// Number of the configuration in force here.
    pub config: u64,
}

/// Answer to a pulse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulseAck {
    /// Whether the entry knows the rest; otherwise it wants a whole heartbeat.
    pub known: bool,
    /// Newest configuration number that the entry has in force.
    pub config: u64,
    /// Changes with the set of live entries.
    pub entries_tag: u64,
}

impl Heartbeat {
    /// What changes from one heartbeat to the next.
    pub fn pulse(&self) -> Pulse {
        Pulse {
            incarnation: self.incarnation,
            sequence: self.sequence,
            loads: self.services.iter().map(|service| service.load).collect(),
            free: self.free,
            config: self.config,
        }
    }

    /// Takes over what a pulse tells; answers whether it fits this heartbeat.
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

    /// Hashes what pulses do not tell.
    pub fn hash_stable(&self, hasher: &mut impl Hasher) {
        let addresses = (self.traffic, self.control);
        (&self.agent, self.incarnation, &self.domain, addresses).hash(hasher);
        (self.draining, self.capacity, &self.bad_kinds).hash(hasher);
        for service in &self.services {
            (&service.service, service.slots).hash(hasher);
        }
    }

    /// Whether a pulse tells all that has changed since `sent`.
    pub fn differs_by_pulse_only(&self, sent: &Self) -> bool {
        let mut sent = sent.clone();
        sent.apply_pulse(&self.pulse()) && sent == *self
    }
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The entry.
    pub entry: EntryId,
    /// Newest configuration number that the entry has in force.
    pub config: u64,
    /// Control addresses of the entries that this one knows to be alive.
    pub entries: Vec<SocketAddr>,
    /// Changes with that set.
    pub entries_tag: u64,
    /// Whether the entry shuts down, so that heartbeats belong elsewhere.
    pub draining: bool,
}
