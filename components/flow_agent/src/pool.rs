//! Idle connections to the worker, each with the incarnation that it reaches.

use crate::worker_client::WorkerConnection;
use std::collections::VecDeque;

/// Time after which an idle connection is dropped, in milliseconds.
const KEEP_IDLE_MS: u64 = 30_000;
/// Most former incarnations that are known. Late heartbeats are of the last few.
const MAX_FORMER: usize = 32;

/// Which incarnations of the worker a call may reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    /// Any.
    Any,
    /// The one that started then, in milliseconds since the Unix epoch.
    Born(u64),
}

impl Target {
    /// Whether a call may reach the incarnation that started at `born_ms`.
    pub fn admits(self, born_ms: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Born(target_ms) => target_ms == born_ms,
        }
    }
}

/// Connection whose incarnation has shown itself on it.
pub(crate) struct Identified {
    /// The connection.
    pub connection: Box<dyn WorkerConnection>,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When the last answer on it arrived, in milliseconds.
    pub answered_ms: u64,
}

/// Idle connections to the newest incarnation that has shown itself.
///
/// Start times identify incarnations but don't order them, as the time of day may be set back. Of two
/// incarnations, the one with the connection that was made later is the newer one.
#[derive(Default)]
pub(crate) struct Pool {
    /// Idle connections; the one that answered last is the last one.
    idle: Vec<Identified>,
    /// Number of the newest connection whose incarnation is known, and that incarnation's start.
    newest: Option<(u64, u64)>,
    /// Number of connections so far.
    made: u64,
    /// Starts of the incarnations that were replaced, oldest first, in milliseconds since the Unix epoch.
    former: VecDeque<u64>,
}

impl Pool {
    /// Number of a new connection, in the order in which connections are made.
    pub fn number_connection(&mut self) -> u64 {
        self.made += 1;
        self.made
    }

    /// Records the incarnation that answers on a connection. Returns whether it is newly known;
    /// connections to the former one are dropped then.
    pub fn on_identified(&mut self, number: u64, born_ms: u64) -> bool {
        if self.newest.is_some_and(|(newest, _)| newest > number) {
            return false;
        }
        let before = self.newest.replace((number, born_ms));
        let replaced = before.filter(|(_, known_ms)| *known_ms != born_ms);
        if let Some((_, former_ms)) = replaced {
            self.former.retain(|known_ms| *known_ms != born_ms);
            self.former.push_back(former_ms);
            if self.former.len() > MAX_FORMER {
                self.former.pop_front();
            }
        }
        self.idle.retain(|idle| idle.born_ms == born_ms);
        before.is_none() || replaced.is_some()
    }

    /// Whether the incarnation that started at `born_ms` is known to have been replaced.
    pub fn is_former(&self, born_ms: u64) -> bool {
        self.former.contains(&born_ms)
    }

    /// Takes the connection that answered last; `None` if there is none to an incarnation that
    /// `target` admits.
    pub fn take(&mut self, target: Target) -> Option<Identified> {
        self.idle.pop_if(|idle| target.admits(idle.born_ms))
    }

    /// Takes back a connection that has just answered, unless it reaches a former incarnation, and
    /// drops those that have been idle for too long.
    pub fn put_back(&mut self, connection: Identified) {
        let oldest_ms = connection.answered_ms.saturating_sub(KEEP_IDLE_MS);
        self.idle.retain(|idle| idle.answered_ms >= oldest_ms);
        let newest_ms = self.newest.map(|(_, born_ms)| born_ms);
        if newest_ms == Some(connection.born_ms) {
            self.idle.push(connection);
        }
    }

    /// Drops the connections that have not answered since a call on another one began that got no
    /// answer: what silenced that one may have silenced them too.
    pub fn on_silence(&mut self, began_ms: u64) {
        self.idle.retain(|idle| idle.answered_ms > began_ms);
    }
}
