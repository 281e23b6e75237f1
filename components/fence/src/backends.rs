//! The backend servers of one agent.

use crate::{Announcement, Backend};
use model::{RequestId, ServiceName};
use std::net::SocketAddr;
use utils::Map;
use wire::{BackendLoad, ServiceLoad};

/// Limits of long requests of a service on an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Run time from which a request is classified as long.
    pub long_threshold_ms: u64,
    /// Share of each backend server's slots that long requests may hold, in percent.
    pub long_share_percent: u32,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            long_threshold_ms: 500,
            long_share_percent: 50,
        }
    }
}

/// The backend servers of one agent, by service.
#[derive(Debug, Default)]
pub struct Backends {
    /// Backend servers of each service.
    by_service: Map<ServiceName, Vec<Backend>>,
    /// Limits of the configured services; others have the default limits.
    limits: Map<ServiceName, ServiceLimits>,
}

impl Backends {
    /// Sets the limits of a service, as its configuration has them.
    pub fn set_limits(&mut self, service: &ServiceName, limits: ServiceLimits) {
        self.limits.insert(service.clone(), limits);
    }

    fn limits_of(&self, service: &ServiceName) -> ServiceLimits {
        self.limits.get(service).copied().unwrap_or_default()
    }

    /// Applies an announcement; returns whether the server was unknown.
    pub fn announce(&mut self, announcement: &Announcement, expires_ms: u64) -> bool {
        let servers = self
            .by_service
            .entry(announcement.service.clone())
            .or_default();
        let known = servers
            .iter_mut()
            .find(|server| server.address == announcement.address);
        match known {
            Some(server) => {
                server.slots = announcement.slots;
                server.leaving = announcement.leaving;
                server.expires_ms = expires_ms;
                false
            }
            None => {
                servers.push(Backend::new(announcement, expires_ms));
                true
            }
        }
    }

    /// Removes servers that have expired and run no request; returns their addresses.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let mut removed = Vec::new();
        for servers in self.by_service.values_mut() {
            let is_removable =
                |server: &Backend| server.expires_ms <= now_ms && server.running() == 0;
            removed.extend(
                servers
                    .iter()
                    .filter(|server| is_removable(server))
                    .map(|s| s.address),
            );
            servers.retain(|server| !is_removable(server));
        }
        removed
    }

    /// Number of servers of a service that accept new requests.
    pub fn open_count(&self, now_ms: u64, service: &ServiceName) -> u32 {
        let servers = self.by_service.get(service).into_iter().flatten();
        servers.filter(|server| server.is_open(now_ms)).count() as u32
    }

    /// Assigns a slot on the server with the most free ones; `None` if no server has a free slot.
    pub fn acquire_slot(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        id: RequestId,
        is_long: bool,
    ) -> Option<SocketAddr> {
        let limits = self.limits_of(service);
        let servers = self.by_service.get_mut(service)?;
        for server in servers.iter_mut() {
            server.reclassify(now_ms, limits.long_threshold_ms);
        }
        let free = |server: &Backend| server.free(now_ms, is_long, limits.long_share_percent);
        let best = servers
            .iter_mut()
            .filter(|server| free(server) > 0)
            .max_by_key(|s| free(s))?;
        best.start(now_ms, id, is_long);
        Some(best.address)
    }

    /// Releases the slot of a request.
    pub fn release_slot(&mut self, service: &ServiceName, address: SocketAddr, id: RequestId) {
        let servers = self.by_service.get_mut(service).into_iter().flatten();
        for server in servers.filter(|server| server.address == address) {
            server.end(id);
        }
    }

    /// Free slots of a service, over all servers that accept new requests.
    pub fn load(&mut self, now_ms: u64, service: &ServiceName) -> BackendLoad {
        let limits = self.limits_of(service);
        let mut load = BackendLoad::default();
        for server in self.by_service.get_mut(service).into_iter().flatten() {
            server.reclassify(now_ms, limits.long_threshold_ms);
            load.free += server.free(now_ms, false, limits.long_share_percent);
            load.free_long += server.free(now_ms, true, limits.long_share_percent);
        }
        load
    }

    /// Slots and load of every service with a server that accepts new requests, sorted by service.
    pub fn loads(&mut self, now_ms: u64) -> Vec<ServiceLoad> {
        let mut services: Vec<ServiceName> = self.by_service.keys().cloned().collect();
        services.sort();
        services.retain(|service| self.open_count(now_ms, service) > 0);
        let mut loads = Vec::with_capacity(services.len());
        for service in services {
            let servers = self.by_service[&service]
                .iter()
                .filter(|server| server.is_open(now_ms));
            let slots = servers.map(|server| server.slots).sum();
            let load = self.load(now_ms, &service);
            loads.push(ServiceLoad {
                service,
                slots,
                load,
            });
        }
        loads
    }

    /// Number of requests that have a slot on the announced server. Some may not have reached it
    /// yet.
    pub fn running_on(&self, announcement: &Announcement) -> u32 {
        let servers = self.by_service.get(&announcement.service);
        let mut servers = servers.into_iter().flatten();
        servers
            .find(|server| server.address == announcement.address)
            .map_or(0, Backend::running)
    }

    /// Number of requests that have a slot on any server.
    pub fn running(&self) -> u32 {
        self.by_service
            .values()
            .flatten()
            .map(Backend::running)
            .sum()
    }
}
