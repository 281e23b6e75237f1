//! Order of the flows under overload: by what each can still achieve, for the room of its pool.

use crate::remaining::Remaining;
use crate::{Effect, Scheduler};
use job_order::{JobView, Outlook, Ranked, rank};
use model::{JobId, ServiceName};
use std::collections::BTreeMap;

/// Time without flows that are deferred after which an overload has ended, in milliseconds. Single
/// arrivals and ends would otherwise end it and begin it again.
const ENDED_AFTER_MS: u64 = 3_000;

/// Numbers of flows by what they can still achieve.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outlooks {
    /// Flows that can end in time, and long-running ones.
    pub in_time: usize,
    /// Flows that can only end late, or are deferred so that others end in time.
    pub late: usize,
    /// Flows that can't end before their ends are worth nothing.
    pub hopeless: usize,
    /// Flows that could end in time if they were not deferred for others.
    pub deferred: usize,
}

impl Outlooks {
    /// Number of flows for each outlook, by its name.
    ///
    /// ```
    /// let outlooks = flow::Outlooks { late: 2, ..Default::default() };
    /// assert_eq!(outlooks.by_name(), [("in-time", 0), ("late", 2), ("hopeless", 0)]);
    /// ```
    pub fn by_name(&self) -> [(&'static str, usize); 3] {
        [
            (Outlook::InTime.into(), self.in_time),
            (Outlook::Late.into(), self.late),
            (Outlook::Hopeless.into(), self.hopeless),
        ]
    }

    fn count(&mut self, outlook: Outlook) {
        match outlook {
            Outlook::InTime => self.in_time += 1,
            Outlook::Late => self.late += 1,
            Outlook::Hopeless => self.hopeless += 1,
        }
    }
}

/// A time in which flows are deferred.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Overload {
    /// When it began and when a flow was last deferred, in milliseconds; `None` if there is none.
    times_ms: Option<(u64, u64)>,
    /// Numbers of flows in the last pass.
    outlooks: Outlooks,
}

/// Flows that compete for the same room: those of a pool whose remaining work is mostly that of fillers, or
/// mostly that of ordinary tasks.
#[derive(Debug, Default)]
struct Competitors {
    flows: Vec<(JobId, Remaining)>,
    views: Vec<JobView>,
}

/// Flows of a pool, fillers or ordinary ones.
type Groups = BTreeMap<(ServiceName, bool), Competitors>;

/// Sort key of a flow; the lowest is placed first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u32,
    is_limited: bool,
    outlook: Outlook,
    /// Latest due time of the flows of its outlook up to it, in milliseconds; 0 for those that are late.
    due_ms: u64,
    /// Its position among its competitors.
    number: usize,
    job: JobId,
}

impl Scheduler {
    /// Numbers of flows by outlook in the last pass; none while the policy is off.
    ///
    /// ```
    /// assert_eq!(flow::Scheduler::default().outlooks(), flow::Outlooks::default());
    /// ```
    pub fn outlooks(&self) -> Outlooks {
        self.overload.outlooks
    }

    /// Flows with queued tasks in the order in which they are served under the policy
    /// [`crate::Policies::overload_order`], and the numbers of flows by outlook.
    pub(crate) fn order_by_outlook(&self, now_ms: u64, wall_ms: u64) -> (Vec<JobId>, Outlooks) {
        let mut order = Vec::new();
        let mut outlooks = Outlooks::default();
        let mut groups = self.competitors(now_ms, wall_ms);
        self.rank_by_debt(&mut groups);
        for ((pool, is_filler), competitors) in groups {
            let room = if is_filler {
                self.filler_room(now_ms, &pool)
            } else {
                self.ordinary_room(now_ms, &pool)
            };
            let (work, memory_time) = competitors.totals();
            let cores_milli = room.usable_milli(work, memory_time);
            let ranked = rank(now_ms, &competitors.views, cores_milli);
            let mut latest = (0, Outlook::InTime, 0);
            for (number, ranked) in ranked.iter().enumerate() {
                let view = &competitors.views[ranked.index];
                outlooks.count(ranked.outlook);
                if ranked.outlook != Outlook::InTime && view.can_be_in_time(now_ms) {
                    outlooks.deferred += 1;
                }
                let (priority, outlook, due_ms) = latest;
                let is_alike = (priority, outlook) == (view.priority, ranked.outlook);
                let former_ms = if is_alike { due_ms } else { 0 };
                latest = (
                    view.priority,
                    ranked.outlook,
                    former_ms.max(due_key(view, ranked)),
                );
                order.extend(competitors.position(number, latest.2, ranked));
            }
        }
        order.sort_unstable();
        let order = order.into_iter().map(|position| position.job);
        (order.collect(), outlooks)
    }

    /// Open flows that are not closed, by the room that they compete for.
    fn competitors(&self, now_ms: u64, wall_ms: u64) -> Groups {
        let mut groups = Groups::new();
        for state in self.flows.values().filter(|state| !state.is_closed()) {
            let Some((view, remaining)) = self.job_view(now_ms, wall_ms, state) else {
                continue;
            };
            let Some(pool) = self.service_of(&state.job.id) else {
                continue;
            };
            let is_filler = remaining.filler_work.saturating_mul(2) > remaining.work;
            let group = groups.entry((pool.clone(), is_filler)).or_default();
            group.views.push(view);
            group.flows.push((state.job.id.clone(), remaining));
        }
        groups
    }

    /// Makes flows of queues in debt less urgent than the others of their priority, and the more so the
    /// greater the debt. The order by outlook then serves each of these groups in what the former leave.
    fn rank_by_debt(&self, groups: &mut Groups) {
        if !self.has_debts() {
            return;
        }
        let debt_milli = |job: &JobId| {
            self.flows
                .get(job)
                .map_or(0, |state| self.debt_milli(state))
        };
        let mut ranks: BTreeMap<(u32, u64), u32> = BTreeMap::new();
        for competitors in groups.values() {
            for ((job, _), view) in competitors.flows.iter().zip(&competitors.views) {
                ranks.insert((view.priority, debt_milli(job)), 0);
            }
        }
        for (number, rank) in ranks.values_mut().enumerate() {
            *rank = number as u32;
        }
        for competitors in groups.values_mut() {
            for ((job, _), view) in competitors.flows.iter().zip(&mut competitors.views) {
                let rank = ranks.get(&(view.priority, debt_milli(job)));
                view.priority = rank.copied().unwrap_or(view.priority);
            }
        }
    }

    /// Notes how many flows are deferred, and reports the begin and the end of an overload.
    pub(crate) fn observe_overload(&mut self, now_ms: u64, outlooks: Outlooks) {
        self.overload.outlooks = outlooks;
        let times_ms = &mut self.overload.times_ms;
        match (*times_ms, outlooks.deferred) {
            (None, 0) => {}
            (None, _) => {
                *times_ms = Some((now_ms, now_ms));
                self.effects.push(Effect::OverloadBegan(outlooks));
            }
            (Some((began_ms, last_ms)), 0) => {
                if now_ms >= last_ms + ENDED_AFTER_MS {
                    *times_ms = None;
                    let lasted_ms = last_ms.saturating_sub(began_ms);
                    self.effects.push(Effect::OverloadEnded { lasted_ms });
                }
            }
            (Some((began_ms, _)), _) => *times_ms = Some((began_ms, now_ms)),
        }
    }
}

impl Competitors {
    /// Remaining work in core-milliseconds and memory over time in megabyte-milliseconds, without
    /// long-running flows.
    fn totals(&self) -> (u64, u64) {
        let flows = self.flows.iter().zip(&self.views);
        let limited = flows.filter(|(_, view)| !view.is_long_running);
        limited.fold((0, 0), |(work, memory_time), ((_, remaining), _)| {
            (
                remaining.work.saturating_add(work),
                remaining.memory_time.saturating_add(memory_time),
            )
        })
    }

    /// Sort key of a ranked flow; `None` if it has no queued task.
    fn position(&self, number: usize, due_ms: u64, ranked: &Ranked) -> Option<Position> {
        let (job, remaining) = &self.flows[ranked.index];
        let view = &self.views[ranked.index];
        remaining.has_queued_tasks.then(|| Position {
            priority: view.priority,
            is_limited: !view.is_long_running,
            outlook: ranked.outlook,
            due_ms,
            number,
            job: job.clone(),
        })
    }
}

/// Time by which flows that compete for different room are merged, in milliseconds.
fn due_key(view: &JobView, ranked: &Ranked) -> u64 {
    match ranked.outlook {
        Outlook::InTime if view.is_long_running => 0,
        Outlook::InTime | Outlook::Hopeless => view.due_ms,
        Outlook::Late => 0,
    }
}
