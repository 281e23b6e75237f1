//! Requests of one service that wait, fair between teams.

use crate::{Class, PendingRequest};
use model::{RequestId, TeamName};
use std::collections::VecDeque;
use utils::Map;

/// Wait after which a long request goes before short ones.
const AGE_LIMIT_MS: u64 = 2_000;
/// Service units that one request takes, divided by its team's weight.
const UNIT: u64 = 1_000;

/// Waiting requests of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    /// Short requests, oldest first.
    short: VecDeque<PendingRequest>,
    /// Long requests, oldest first.
    long: VecDeque<PendingRequest>,
    /// Service that the team got, in virtual units.
    served: u64,
}

impl TeamQueue {
    fn of(&mut self, class: Class) -> &mut VecDeque<PendingRequest> {
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

/// Requests of one service that wait: short before long, teams by weight, oldest first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    /// Queues of teams with waiting requests.
    teams: Map<TeamName, TeamQueue>,
    /// Virtual service of the team served last; new teams start there.
    clock: u64,
    /// Waiting requests.
    len: usize,
}

impl WaitQueue {
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Waiting requests of a team.
    pub fn team_len(&self, team: &TeamName) -> usize {
        self.teams
            .get(team)
            .map_or(0, |queue| queue.short.len() + queue.long.len())
    }

    /// Number of teams with waiting requests.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Adds a request; one that was sent before goes to the front.
    pub fn push(&mut self, pending: PendingRequest) {
        let clock = self.clock;
        let fresh = || TeamQueue {
            served: clock,
            ..TeamQueue::default()
        };
        let team = self.teams.entry(pending.team.clone()).or_insert_with(fresh);
        let queue = team.of(pending.class);
        if pending.tries > 0 {
            queue.push_front(pending);
        } else {
            queue.push_back(pending);
        }
        self.len += 1;
    }

    /// The class to serve next, given which classes have a slot.
    pub fn next_class(&self, now_ms: u64, short_fits: bool, long_fits: bool) -> Option<Class> {
        let has = |class| self.teams.values().any(|team| team.front(class).is_some());
        let long = long_fits && has(Class::Long);
        let short = short_fits && has(Class::Short);
        match (short, long) {
            (true, true) if self.longest_wait_ms(now_ms, Class::Long) >= AGE_LIMIT_MS => {
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

    /// Takes the next request of a class, from the team with the least service for its weight.
    pub fn pop(&mut self, class: Class) -> Option<PendingRequest> {
        let waiting = self
            .teams
            .iter()
            .filter(|(_, team)| team.front(class).is_some());
        let order = |team: &TeamQueue| (team.served, team.front(class).map(|p| p.arrived_ms));
        let next = waiting
            .min_by_key(|(_, team)| order(team))
            .map(|(name, _)| name.clone())?;
        let team = self.teams.get_mut(&next)?;
        let pending = team.of(class).pop_front()?;
        self.clock = self.clock.max(team.served);
        team.served += UNIT / u64::from(pending.weight.max(1));
        if team.is_empty() {
            self.teams.remove(&next);
        }
        self.len -= 1;
        Some(pending)
    }

    /// Takes all requests that can't meet their deadline any more.
    pub fn take_hopeless(&mut self, now_ms: u64) -> Vec<PendingRequest> {
        let mut hopeless = Vec::new();
        for team in self.teams.values_mut() {
            for queue in [&mut team.short, &mut team.long] {
                queue.retain(|pending| {
                    let keep = now_ms + pending.expected_ms < pending.deadline_ms;
                    if !keep {
                        hopeless.push(pending.clone());
                    }
                    keep
                });
            }
        }
        self.teams.retain(|_, team| !team.is_empty());
        self.len -= hopeless.len();
        hopeless
    }

    /// Removes one request, because its caller went away.
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
