//! Room of a pool: the processors that its tasks can expect to get.

use crate::Scheduler;
use crate::view::{Allocation, WorkerView};
use model::ServiceName;

/// Full pace, in percent.
const FULL_PACE_PERCENT: u64 = 100;

/// Room of a pool's workers for one kind of tasks, ordinary ones or fillers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PoolRoom {
    /// Processors, in thousandths.
    pub cores_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

impl PoolRoom {
    /// Processors that tasks can use which take `memory_time` (megabyte-milliseconds) of memory for `work`
    /// (core-milliseconds), in thousandths: those for which there is memory too.
    pub(crate) fn usable_milli(&self, work: u64, memory_time: u64) -> u64 {
        if memory_time == 0 {
            return self.cores_milli;
        }
        let by_memory = u128::from(self.memory_mb) * u128::from(work) * 1_000;
        let by_memory = by_memory / u128::from(memory_time);
        self.cores_milli
            .min(u64::try_from(by_memory).unwrap_or(u64::MAX))
    }
}

/// Processors of a worker that its fillers share, with the paces at which they work.
#[derive(Debug, Clone, Copy)]
struct Spare {
    /// Processors that no other run is expected to use, in thousandths.
    spare_milli: u64,
    /// Processors of its fillers at full pace, in thousandths.
    fillers_milli: u64,
    /// Processors of its fillers at their paces, in thousandths.
    paced_milli: u64,
    has_latency_critical: bool,
}

impl Scheduler {
    /// Room of a pool for ordinary tasks: what long-running tasks and the memory of fillers leave.
    pub(crate) fn ordinary_room(&self, now_ms: u64, pool: &ServiceName) -> PoolRoom {
        let mut room = PoolRoom::default();
        for view in self.serving_workers(now_ms, pool) {
            let Some(info) = &view.info else {
                continue;
            };
            let mut free = info.capacity;
            for (key, allocation) in &view.allocations {
                let is_long = self.step_spec(key).is_some_and(|spec| spec.long_running);
                if is_long || allocation.filler {
                    free = free.minus(&allocation.reserved);
                }
            }
            room.cores_milli += u64::from(free.processors_milli);
            room.memory_mb += u64::from(free.memory_mb);
        }
        room
    }

    /// Room of a pool for fillers: what the other runs are expected to leave, at the paces at which
    /// fillers work. Workers without fillers count by the mean pace beside latency-critical tasks if they
    /// have any.
    pub(crate) fn filler_room(&self, now_ms: u64, pool: &ServiceName) -> PoolRoom {
        let workers: Vec<&WorkerView> = self.serving_workers(now_ms, pool).collect();
        let spares: Vec<Spare> = workers.iter().map(|view| self.spare(view)).collect();
        let disturbed = spares.iter().filter(|spare| spare.has_latency_critical);
        let (mut paced_milli, mut fillers_milli) = (0, 0);
        for spare in disturbed {
            paced_milli += spare.paced_milli;
            fillers_milli += spare.fillers_milli;
        }
        let mean_percent = percent_of(paced_milli, fillers_milli);
        let cores_milli = spares.iter().map(|spare| {
            let percent = match (spare.has_latency_critical, spare.fillers_milli) {
                (false, _) => FULL_PACE_PERCENT,
                (true, 0) => mean_percent,
                (true, fillers_milli) => percent_of(spare.paced_milli, fillers_milli),
            };
            spare.spare_milli * percent / 100
        });
        let memory_mb = workers.iter().map(|view| {
            let others = view.allocations.values().filter(|other| !other.filler);
            let used_mb = others.map(|other| u64::from(other.reserved.memory_mb));
            let total_mb = view.info.as_ref().map_or(0, |info| info.capacity.memory_mb);
            u64::from(total_mb).saturating_sub(used_mb.sum())
        });
        PoolRoom {
            cores_milli: cores_milli.sum(),
            memory_mb: memory_mb.sum(),
        }
    }

    /// Workers of a pool that get runs.
    fn serving_workers(
        &self,
        now_ms: u64,
        pool: &ServiceName,
    ) -> impl Iterator<Item = &WorkerView> {
        self.fleet.workers.values().filter(move |view| {
            let info = view.info.as_ref().filter(|info| !info.draining);
            let is_of_pool = info.is_some_and(|info| info.service == *pool);
            let may_get_runs = view.is_synced() && !self.evacuations.includes_worker(view);
            is_of_pool && may_get_runs && !view.health.is_paused(now_ms)
        })
    }

    /// What the other runs on a worker leave to its fillers.
    fn spare(&self, view: &WorkerView) -> Spare {
        let capacity_milli = view
            .info
            .as_ref()
            .map_or(0, |info| info.capacity.processors_milli);
        let fillers = view
            .allocations
            .values()
            .filter(|allocation| allocation.filler);
        let fillers_milli = fillers.map(Allocation::expected_milli).sum::<i64>();
        let spare_milli = view.spare_milli(capacity_milli) + fillers_milli;
        let fillers_milli = u64::try_from(fillers_milli).unwrap_or(0);
        let unused_milli = u64::try_from(self.unused_by_pace_milli(view)).unwrap_or(0);
        Spare {
            spare_milli: u64::try_from(spare_milli).unwrap_or(0),
            fillers_milli,
            paced_milli: fillers_milli.saturating_sub(unused_milli),
            has_latency_critical: view.has_latency_critical(),
        }
    }
}

/// A part in percent of a whole; 100 of an empty one.
fn percent_of(part_milli: u64, whole_milli: u64) -> u64 {
    (part_milli * 100)
        .checked_div(whole_milli)
        .unwrap_or(FULL_PACE_PERCENT)
        .min(FULL_PACE_PERCENT)
}
