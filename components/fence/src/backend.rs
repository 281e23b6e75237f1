//! Backend servers and the requests that run on them.

use model::{RequestId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Announcement that a backend server repeats to its agent; without it, the server expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the server offers.
    pub service: ServiceName,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Request that has a slot on a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    /// Number of the request.
    pub id: RequestId,
    /// Time at which the request got its slot.
    pub started_ms: u64,
}

/// Announced backend server and the requests that run on it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Time at which the server expires unless it announces itself again.
    pub expires_ms: u64,
    /// Whether the server is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Running requests classified as short, oldest first.
    short: VecDeque<Running>,
    /// Running requests classified as long.
    long: Vec<Running>,
}

impl Backend {
    /// Creates the state of a server from its first announcement.
    pub(crate) fn new(announcement: &Announcement, expires_ms: u64) -> Self {
        Self {
            address: announcement.address,
            slots: announcement.slots,
            expires_ms,
            leaving: announcement.leaving,
            short: VecDeque::new(),
            long: Vec::new(),
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        (self.short.len() + self.long.len()) as u32
    }

    /// Whether the server accepts new requests at `now_ms`.
    pub fn is_open(&self, now_ms: u64) -> bool {
        !self.leaving && now_ms < self.expires_ms
    }

    /// Number of slots that requests of a class may take at `now_ms`.
    ///
    /// Long requests together may hold `long_share_percent` of the slots, but always one.
    pub(crate) fn free(&self, now_ms: u64, is_long: bool, long_share_percent: u32) -> u32 {
        if !self.is_open(now_ms) {
            return 0;
        }
        let free = self.slots.saturating_sub(self.running());
        if !is_long {
            return free;
        }
        let max_long = (self.slots * long_share_percent / 100).max(1);
        free.min(max_long.saturating_sub(self.long.len() as u32))
    }

    /// Reclassifies short requests as long that have run for at least `long_threshold_ms`.
    pub(crate) fn reclassify(&mut self, now_ms: u64, long_threshold_ms: u64) {
        while let Some(oldest) = self.short.front().copied() {
            if now_ms.saturating_sub(oldest.started_ms) < long_threshold_ms {
                break;
            }
            self.short.pop_front();
            self.long.push(oldest);
        }
    }

    pub(crate) fn start(&mut self, now_ms: u64, id: RequestId, is_long: bool) {
        let running = Running {
            id,
            started_ms: now_ms,
        };
        if is_long {
            self.long.push(running);
        } else {
            self.short.push_back(running);
        }
    }

    pub(crate) fn end(&mut self, id: RequestId) {
        self.short.retain(|running| running.id != id);
        self.long.retain(|running| running.id != id);
    }
}
