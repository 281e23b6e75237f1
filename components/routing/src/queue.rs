//! Queue of the requests of one service, fair between teams.

use crate::{Class, PendingRequest};
use model::{RequestId, TeamName};
use std::collections::VecDeque;
use utils::Map;

/// Queueing time from which a long request goes before short ones.
const MAX_LONG_WAIT_MS: u64 = 2_000;
/// Virtual service that a request adds to its team, divided by the team's weight.
const SERVICE_PER_REQUEST: u64 = 1_000;

/// Queued requests of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    /// Short requests, oldest first.
    short: VecDeque<PendingRequest>,
    /// Long requests, oldest first.
    long: VecDeque<PendingRequest>,
    /// Weighted count of the requests dequeued for the team; the team with the least goes next.
    virtual_service: u64,
}

impl TeamQueue {
    fn queue_mut(&mut self, class: Class) -> &mut VecDeque<PendingRequest> {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    fn front(&self, class: Class) -> Option<&PendingRequest> {
        match class {
            Class::Short => self.short.front(),
            Class::Long => self.long.front(),
        }
    }

    fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }
}

/// Queue of the requests of one service: short before long, teams by weight, oldest first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    /// Queues of the teams that have queued requests.
    teams: Map<TeamName, TeamQueue>,
    /// Highest virtual service that a team had when one of its requests was dequeued. A team is
    /// removed when its queue is empty, and starts from this value when it has requests again.
    virtual_time: u64,
    /// Number of queued requests.
    len: usize,
}

impl WaitQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of queued requests of a team.
    pub fn team_len(&self, team: &TeamName) -> usize {
        self.teams
            .get(team)
            .map_or(0, |queue| queue.short.len() + queue.long.len())
    }

    /// Number of teams with queued requests.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Adds a request to its team's queue; one with earlier attempts goes to the front.
    pub fn push(&mut self, pending: PendingRequest) {
        let virtual_time = self.virtual_time;
        let new_team = || TeamQueue {
            virtual_service: virtual_time,
            ..TeamQueue::default()
        };
        let team = self
            .teams
            .entry(pending.team.clone())
            .or_insert_with(new_team);
        let queue = team.queue_mut(pending.class);
        if pending.previous_tries > 0 {
            queue.push_front(pending);
        } else {
            queue.push_back(pending);
        }
        self.len += 1;
    }

    /// Returns the class to dequeue next, given for which classes a slot is free. `None` if no
    /// queued request fits.
    pub fn next_class(&self, now_ms: u64, short_fits: bool, long_fits: bool) -> Option<Class> {
        let has = |class| self.teams.values().any(|team| team.front(class).is_some());
        let long = long_fits && has(Class::Long);
        let short = short_fits && has(Class::Short);
        match (short, long) {
            (true, true) if self.longest_wait_ms(now_ms, Class::Long) >= MAX_LONG_WAIT_MS => {
                Some(Class::Long)
            }
            (true, _) => Some(Class::Short),
            (false, true) => Some(Class::Long),
            (false, false) => None,
        }
    }

    fn longest_wait_ms(&self, now_ms: u64, class: Class) -> u64 {
        let fronts = self.teams.values().filter_map(|team| team.front(class));
        fronts
            .map(|pending| now_ms.saturating_sub(pending.arrived_ms))
            .max()
            .unwrap_or(0)
    }

    /// Dequeues the next request of a class, from the team with the least virtual service.
    pub fn pop(&mut self, class: Class) -> Option<PendingRequest> {
        let candidates = self
            .teams
            .iter()
            .filter(|(_, team)| team.front(class).is_some());
        let order = |team: &TeamQueue| {
            (
                team.virtual_service,
                team.front(class).map(|p| p.arrived_ms),
            )
        };
        let next = candidates
            .min_by_key(|(_, team)| order(team))
            .map(|(name, _)| name.clone())?;
        let team = self.teams.get_mut(&next)?;
        let pending = team.queue_mut(class).pop_front()?;
        self.virtual_time = self.virtual_time.max(team.virtual_service);
        team.virtual_service += SERVICE_PER_REQUEST / u64::from(pending.weight.max(1));
        if team.is_empty() {
            self.teams.remove(&next);
        }
        self.len -= 1;
        Some(pending)
    }

    /// Removes and returns the requests that can't end by their deadline even if started now.
    pub fn remove_unreachable(&mut self, now_ms: u64) -> Vec<PendingRequest> {
        let mut unreachable = Vec::new();
        for team in self.teams.values_mut() {
            for queue in [&mut team.short, &mut team.long] {
                queue.retain(|pending| {
                    let keep = now_ms + pending.expected_ms < pending.deadline_ms;
                    if !keep {
                        unreachable.push(pending.clone());
                    }
                    keep
                });
            }
        }
        self.teams.retain(|_, team| !team.is_empty());
        self.len -= unreachable.len();
        unreachable
    }

    /// Removes a request whose caller has disconnected; returns whether it was queued.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let before = self.len;
        for team in self.teams.values_mut() {
            for queue in [&mut team.short, &mut team.long] {
                let len = queue.len();
                queue.retain(|pending| pending.id != id);
                self.len -= len - queue.len();
            }
        }
        self.teams.retain(|_, team| !team.is_empty());
        self.len < before
    }
}
