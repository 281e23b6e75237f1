//! What the latency-critical tasks on a worker can bear of fillers within the next moments.

use crate::view::{Allocation, WorkerView};
use crate::{Scheduler, TaskKey};
use interference::{ActiveFiller, ImageId};
use model::AgentId;

/// Margin above the target that is kept free of fillers.
const RESERVED_MARGIN: f64 = 0.12;
/// Slack of a latency-critical task that has reported no latency yet.
const UNKNOWN_SLACK: f64 = 0.5;
/// Least influence of fillers on a margin that counts.
const MIN_LOSS: f64 = 1e-6;

/// What the latency-critical tasks of one image on a worker can bear of fillers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct CriticalSlack {
    /// Their image.
    pub image: ImageId,
    /// Least margin that all fillers together may use up.
    pub slack: f64,
    /// Margin that each placed filler uses up at full pace.
    pub losses: Vec<f64>,
}

/// A filler that is placed on a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlacedFiller {
    /// The task.
    pub key: TaskKey,
    /// Its image, and its share of the worker's processors at full pace.
    pub at_full_pace: ActiveFiller,
}

/// What one latency-critical task can bear of fillers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BearableLoss {
    /// Its image.
    pub image: ImageId,
    /// Margin that all fillers together may use up.
    pub slack: f64,
    /// Factor by which their influence on this task differs from the image's.
    pub deviation: f64,
}

impl CriticalSlack {
    /// Share of its full pace at which one more filler could work that uses up `loss`; above 1 if there
    /// is slack beyond that. Fillers that disturb more than it count as if they were slowed down to its
    /// influence, as [`interference::plan_paces`] does.
    pub(crate) fn bearable_pace(&self, loss: f64) -> f64 {
        let others = self.losses.iter().map(|other| other.min(loss));
        let total = others.sum::<f64>() + loss;
        self.slack.max(0.0) / total.max(MIN_LOSS)
    }
}

impl Scheduler {
    /// Fillers that are placed on a worker.
    pub(crate) fn placed_fillers(&mut self, agent: &AgentId) -> Vec<PlacedFiller> {
        let Some(view) = self.fleet.workers.get(agent) else {
            return Vec::new();
        };
        let fillers = view.allocations.iter();
        let fillers = fillers.filter(|(_, allocation)| allocation.filler);
        let model = &mut self.pressures;
        fillers
            .map(|(key, allocation)| PlacedFiller {
                key: key.clone(),
                at_full_pace: ActiveFiller {
                    image: model.filler(image_of(allocation)),
                    processor_share: view.processor_share(allocation.processors_milli),
                },
            })
            .collect()
    }

    /// What each latency-critical task on a worker can bear within `horizon_ms`.
    pub(crate) fn bearable_losses(
        &mut self,
        now_ms: u64,
        horizon_ms: u64,
        agent: &AgentId,
    ) -> Vec<BearableLoss> {
        let Some(view) = self.fleet.workers.get(agent) else {
            return Vec::new();
        };
        let (flows, model) = (&self.flows, &mut self.pressures);
        let allocations = view.allocations.iter();
        let critical = allocations.filter(|(_, allocation)| allocation.latency_target_ms.is_some());
        critical
            .map(|(key, allocation)| {
                let step = flows.get(&key.job).and_then(|state| state.step(key));
                let trend = step.and_then(|step| step.margin);
                let slack = trend.map_or(UNKNOWN_SLACK, |trend| {
                    trend.least(now_ms, now_ms + horizon_ms) - 1.0 - RESERVED_MARGIN
                });
                let trace = view.latencies.get(key).copied().unwrap_or_default();
                BearableLoss {
                    image: model.critical(image_of(allocation)),
                    slack,
                    deviation: trace.deviation,
                }
            })
            .collect()
    }

    /// What the latency-critical tasks of each image on a worker can bear within `horizon_ms`, and
    /// what the fillers that are placed there use up of it.
    pub(crate) fn critical_slacks(
        &mut self,
        now_ms: u64,
        horizon_ms: u64,
        agent: &AgentId,
    ) -> Vec<CriticalSlack> {
        let fillers = self.placed_fillers(agent);
        let mut slacks: Vec<CriticalSlack> = Vec::new();
        for bearable in self.bearable_losses(now_ms, horizon_ms, agent) {
            let image = bearable.image;
            let slack = bearable.slack / bearable.deviation.max(1.0);
            match slacks.iter_mut().find(|other| other.image == image) {
                Some(other) => other.slack = other.slack.min(slack),
                None => slacks.push(CriticalSlack {
                    image,
                    slack,
                    losses: self.losses(image, &fillers),
                }),
            }
        }
        slacks
    }

    /// Margin that each filler uses up of a latency-critical image's at full pace.
    pub(crate) fn losses(&self, critical: ImageId, fillers: &[PlacedFiller]) -> Vec<f64> {
        let loss = |filler: &PlacedFiller| self.pressures.loss(critical, &[filler.at_full_pace]);
        fillers.iter().map(loss).collect()
    }
}

/// Image of a run; empty if the caller stated none.
pub(crate) fn image_of(allocation: &Allocation) -> &str {
    allocation.image.as_deref().unwrap_or_default()
}

impl WorkerView {
    /// Processors as a share of the worker's; 0 before its first heartbeat.
    pub(crate) fn processor_share(&self, milli: u32) -> f64 {
        self.info.as_ref().map_or(0.0, |info| {
            f64::from(milli) / f64::from(info.capacity.processors_milli.max(1))
        })
    }
}
