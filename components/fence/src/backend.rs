//! One backend server.

use model::{RequestId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What a backend server tells its agent, again and again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it answers for.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A request that runs on a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    /// The request.
    pub id: RequestId,
    /// When it got its slot.
    pub started_ms: u64,
}

/// A live backend server and what runs on it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time at which it counts as gone unless it announces itself again.
    pub expires_ms: u64,
    /// Whether it leaves and takes no new work.
    pub leaving: bool,
    /// Running requests that count as short, oldest first.
    short: VecDeque<Running>,
    /// Running requests that count as long.
    long: Vec<Running>,
}

impl Backend {
    /// A backend server that just announced itself.
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

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        (self.short.len() + self.long.len()) as u32
    }

    /// Whether it takes new work at `now_ms`.
    pub fn is_open(&self, now_ms: u64) -> bool {
        !self.leaving && now_ms < self.expires_ms
    }

    /// Slots that a request may take at `now_ms`.
    pub(crate) fn free(&self, now_ms: u64, long: bool, long_share_percent: u32) -> u32 {
        if !self.is_open(now_ms) {
            return 0;
        }
        let free = self.slots.saturating_sub(self.running());
        if !long {
            return free;
        }
        let most_long = (self.slots * long_share_percent / 100).max(1);
        free.min(most_long.saturating_sub(self.long.len() as u32))
    }

    /// Counts requests that outran the threshold as long.
    pub(crate) fn recount(&mut self, now_ms: u64, long_threshold_ms: u64) {
        while let Some(oldest) = self.short.front().copied() {
            if now_ms.saturating_sub(oldest.started_ms) < long_threshold_ms {
                break;
            }
            self.short.pop_front();
            self.long.push(oldest);
        }
    }

    pub(crate) fn start(&mut self, now_ms: u64, id: RequestId, long: bool) {
        let running = Running {
            id,
            started_ms: now_ms,
        };
        if long {
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
