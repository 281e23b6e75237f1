//! Workers that are slow after a start, when their failure domain returns to service.
//!
//! A deployment that states a bound on evacuations lets the share of such a worker's capacity that new runs
//! may take grow from nothing to all of it while the worker becomes warm. Otherwise many workers that return
//! together would take a whole queue of tasks and run all of it slowly. One new run is admitted at any time,
//! as a task that needs most of a worker would otherwise wait until the end.

use crate::view::{Allocation, WorkerView};
use crate::{Scheduler, StepSpec};
use model::{AgentId, Resources};

/// Least time between two new runs on a worker that is slow after its start, in milliseconds, in a deployment
/// without a bound on evacuations.
const COLD_RUN_INTERVAL_MS: u64 = 500;

/// For how long a worker is slow after its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdTime {
    /// When its failure domain returned to service, in milliseconds.
    pub returned_ms: u64,
    /// Until when it is slow, in milliseconds.
    pub until_ms: u64,
    /// Whether the worker reported this; `false` while its answer is awaited, so that no share is known.
    pub is_reported: bool,
}

impl ColdTime {
    /// Whether the worker is warm.
    ///
    /// ```
    /// assert!(flow::ColdTime::default().is_over(0));
    /// ```
    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms
    }

    /// Part of `capacity` that new runs may take. It grows in proportion to the time since the return.
    ///
    /// ```
    /// use model::Resources;
    /// let cold = flow::ColdTime { returned_ms: 1_000, until_ms: 3_000, is_reported: true };
    /// let capacity = Resources::new(16_000, 64_000, 4);
    /// assert_eq!(cold.share(1_000, &capacity), Resources::default());
    /// assert_eq!(cold.share(1_500, &capacity), Resources::new(4_000, 16_000, 1));
    /// assert_eq!(cold.share(3_000, &capacity), capacity);
    /// ```
    pub fn share(&self, now_ms: u64, capacity: &Resources) -> Resources {
        if self.is_over(now_ms) {
            return *capacity;
        }
        if !self.is_reported {
            return Resources::default();
        }
        let span_ms = self.until_ms.saturating_sub(self.returned_ms).max(1);
        let passed_ms = now_ms.saturating_sub(self.returned_ms).min(span_ms);
        let part = |whole: u32| {
            let part = u128::from(whole) * u128::from(passed_ms) / u128::from(span_ms);
            u32::try_from(part).unwrap_or(whole)
        };
        Resources {
            processors_milli: part(capacity.processors_milli),
            memory_mb: part(capacity.memory_mb),
            accelerators: part(capacity.accelerators),
        }
    }
}

/// How many new runs a candidate accepts in a scheduling pass, by its warmth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Warmth {
    /// As many as fit.
    #[default]
    Warm,
    /// One.
    OneRun,
    /// One, and more while they fit in a share of its capacity.
    Share(ColdShare),
}

/// Share of a worker's capacity for new runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ColdShare {
    /// What is left of it. Fillers count with their declared processors.
    left: Resources,
    /// Whether the worker has a run that is placed there since its return.
    has_new_run: bool,
}

impl Warmth {
    /// Whether a task of a step may start here.
    pub(crate) fn admits(&self, spec: &StepSpec) -> bool {
        match self {
            Self::Warm | Self::OneRun => true,
            Self::Share(share) => !share.has_new_run || spec.need.fits_in(&share.left),
        }
    }

    /// Takes up what a run needs.
    pub(crate) fn take_up(&mut self, allocation: &Allocation) {
        match self {
            Self::Warm | Self::OneRun => {}
            Self::Share(share) => {
                share.left = share.left.minus(&declared(allocation));
                share.has_new_run = true;
            }
        }
    }
}

/// What a run needs, with the processors of a filler.
fn declared(allocation: &Allocation) -> Resources {
    Resources {
        processors_milli: allocation.processors_milli,
        ..allocation.reserved
    }
}

impl Scheduler {
    /// Records for how long a worker whose failure domain returned to service is slow.
    ///
    /// ```
    /// let mut scheduler = flow::Scheduler::default();
    /// let cold = flow::ColdTime { returned_ms: 1_000, until_ms: 5_000, is_reported: true };
    /// scheduler.set_cold(&"a".into(), cold);
    /// assert_eq!(scheduler.worker(&"a".into()).unwrap().cold, cold);
    /// ```
    pub fn set_cold(&mut self, agent: &AgentId, cold: ColdTime) {
        self.worker_mut(agent).cold = cold;
    }

    /// Whether a worker that may be slow after its start accepts no new run at all now.
    pub(crate) fn is_too_cold(&self, now_ms: u64, view: &WorkerView) -> bool {
        if view.cold.is_over(now_ms) || self.policies.evacuation_bound_ms.is_some() {
            return false;
        }
        let allocations = view.allocations.values();
        let newest_ms = allocations.map(|allocation| allocation.since_ms).max();
        newest_ms.is_some_and(|newest_ms| now_ms < newest_ms + COLD_RUN_INTERVAL_MS)
    }

    /// How many new runs a worker with this capacity accepts by its warmth.
    pub(crate) fn warmth(&self, now_ms: u64, view: &WorkerView, capacity: &Resources) -> Warmth {
        if view.cold.is_over(now_ms) {
            return Warmth::Warm;
        }
        if self.policies.evacuation_bound_ms.is_none() {
            return Warmth::OneRun;
        }
        let mut warmth = Warmth::Share(ColdShare {
            left: view.cold.share(now_ms, capacity),
            has_new_run: false,
        });
        let allocations = view.allocations.values();
        allocations
            .filter(|allocation| allocation.since_ms >= view.cold.returned_ms)
            .for_each(|allocation| warmth.take_up(allocation));
        warmth
    }
}
