//! Which runs of a worker make room at the least cost.

use crate::decision::Missing;
use crate::{MAX_PREEMPTIONS, MIN_DELAY_MS, MIN_PAUSE_MS, PREEMPTION_MS, Urgent, Victim};
use std::cmp::Reverse;

/// What a preemption costs. Costs are compared by their fields, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Number of runs whose flows are in time and would become late.
    pub made_late: usize,
    /// Work that is lost or not done meanwhile, in core-milliseconds.
    pub work: u64,
}

/// Cost of preempting the runs with these indices. Indices beyond the runs count nothing.
///
/// ```
/// use preemption::{Victim, cost};
/// let victim = Victim { cores_milli: 2_000, lost_work: 300, slack_ms: 200, ..Victim::default() };
/// let cost = cost(&[victim], &[0]);
/// assert_eq!((cost.made_late, cost.work), (1, 1_300));
/// ```
pub fn cost(victims: &[Victim], chosen: &[usize]) -> Cost {
    let runs = chosen.iter().filter_map(|index| victims.get(*index));
    runs.map(Victim::cost).fold(Cost::default(), Cost::plus)
}

impl Cost {
    fn plus(self, other: Self) -> Self {
        Self {
            made_late: self.made_late + other.made_late,
            work: self.work.saturating_add(other.work),
        }
    }
}

impl Victim {
    /// What its preemption costs. Its processors idle from the stop to the start of the urgent task.
    fn cost(&self) -> Cost {
        let idle_work = u64::from(self.cores_milli) * PREEMPTION_MS / 1_000;
        let is_in_time = self.slack_ms >= 0;
        let becomes_late = is_in_time && self.slack_ms < MIN_DELAY_MS as i64;
        Cost {
            made_late: usize::from(becomes_late),
            work: self.lost_work.saturating_add(idle_work),
        }
    }
}

/// Whether the limits allow to preempt a run for this task.
pub(crate) fn may_be_preempted(now_ms: u64, urgent: &Urgent, victim: &Victim) -> bool {
    let has_paused = victim
        .last_preempted_ms
        .is_none_or(|last_ms| now_ms >= last_ms.saturating_add(MIN_PAUSE_MS));
    victim.priority > urgent.priority && victim.preemptions < MAX_PREEMPTIONS && has_paused
}

/// Runs among the eligible ones that free what is missing, in ascending order; `None` if all of them free
/// too little. The cheapest run that frees enough alone is compared with a set that begins with the
/// least urgent and cheapest runs, less those that it does not need.
pub(crate) fn choose(
    missing: Missing,
    victims: &[Victim],
    eligible: &[usize],
) -> Option<Vec<usize>> {
    let mut ordered = eligible.to_vec();
    ordered.sort_by_key(|index| {
        let victim = &victims[*index];
        (
            victim.cost().made_late,
            Reverse(victim.priority),
            victim.cost().work,
            *index,
        )
    });
    let mut set = Vec::new();
    for index in &ordered {
        if frees(missing, victims, &set) {
            break;
        }
        set.push(*index);
    }
    if !frees(missing, victims, &set) {
        return None;
    }
    let mut by_cost = set.clone();
    by_cost.sort_by_key(|index| Reverse(victims[*index].cost()));
    for dear in by_cost {
        let rest: Vec<usize> = set.iter().copied().filter(|index| *index != dear).collect();
        if frees(missing, victims, &rest) {
            set = rest;
        }
    }
    let alone = ordered
        .into_iter()
        .filter(|index| frees(missing, victims, &[*index]))
        .min_by_key(|index| victims[*index].cost());
    if let Some(alone) = alone.filter(|index| victims[*index].cost() <= cost(victims, &set)) {
        return Some(vec![alone]);
    }
    set.sort_unstable();
    Some(set)
}

/// Whether the ends of these runs free what is missing.
fn frees(missing: Missing, victims: &[Victim], chosen: &[usize]) -> bool {
    let (mut cores_milli, mut memory_mb) = (0_u64, 0_u64);
    for index in chosen {
        cores_milli += u64::from(victims[*index].cores_milli);
        memory_mb = memory_mb.saturating_add(victims[*index].memory_mb);
    }
    cores_milli >= missing.cores_milli && memory_mb >= missing.memory_mb
}
