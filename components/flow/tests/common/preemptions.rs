//! A pool with an urgent queue and one that gives way to it, and what holds of all preemptions.

use super::{Sim, config, queue, step};
use flow::{Decision, Policies, Queue, QueueKey, StepSpec, TaskKey};
use model::{JobId, Resources};
use std::collections::BTreeMap;

/// Priority of the queue that gives way; that of the urgent one is 0.
const BATCH_PRIORITY: u32 = 2;
/// Most preemptions of one task.
const MAX_PREEMPTIONS: usize = 2;
/// Least time between two preemptions of the same task, in milliseconds.
const MIN_PAUSE_MS: u64 = 10_000;
/// Most tasks that are being preempted at a time.
const MAX_PREEMPTING: u32 = 4;

/// Key of the queue that gives way.
pub fn batch_queue() -> QueueKey {
    QueueKey {
        prefix: "/batch/".to_owned(),
        ..queue()
    }
}

/// A step whose tasks save their progress.
pub fn saving(tasks: u32, processors_milli: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        saves_progress: true,
        ..step(tasks, processors_milli, estimate_ms)
    }
}

/// A pool of workers of 4 processors each with an urgent and a less urgent queue. Tasks that save their
/// progress write checkpoints.
pub fn two_queues(workers: usize, preemption: bool) -> Sim {
    let mut sim = Sim::new(workers);
    for worker in sim.workers.values_mut() {
        worker.capacity = Resources::new(4_000, 16_000, 0);
    }
    let mut config = config();
    config.version = 2;
    config.queues.push(Queue {
        key: batch_queue(),
        priority: BATCH_PRIORITY,
        ..config.queues[0].clone()
    });
    sim.config = config.clone();
    sim.scheduler.set_config(config);
    sim.writes_checkpoints = true;
    sim.set_policies(Policies {
        preemption,
        ..Policies::default()
    });
    sim.run_for(400);
    sim
}

impl Sim {
    /// Accepts a flow of the queue that gives way.
    pub fn submit_batch(&mut self, id: &str, steps: Vec<StepSpec>) -> JobId {
        self.submit_to(batch_queue(), id, steps, None)
    }

    /// Checks the newest preemption: which runs may be preempted, how often and how many at a time.
    pub(super) fn check_preemptions(&self) {
        let (now_ms, decision) = self.preempted.last().unwrap();
        assert!(self.policies.preemption, "{decision:?}");
        let key = &decision.task;
        let job = &self.jobs[&key.job];
        assert_eq!(job.queue, batch_queue(), "{decision:?}");
        let spec = &job.spec.steps[key.step as usize];
        assert!(spec.saves_progress && !spec.gang && !spec.long_running);
        let flow = self.scheduler.flow(&key.job).unwrap();
        assert!(flow.task(key).unwrap().duplicate.is_none(), "{decision:?}");
        let own = &self.preempted[self.first_preemption..];
        let of_task = |(_, other): &&(u64, Decision)| other.task == *key;
        let times_ms: Vec<u64> = own.iter().filter(of_task).map(|(ms, _)| *ms).collect();
        assert!(times_ms.len() <= MAX_PREEMPTIONS, "{decision:?}");
        for pair in times_ms.windows(2) {
            assert!(
                pair[1] >= pair[0] + MIN_PAUSE_MS,
                "{decision:?} {times_ms:?}"
            );
        }
        let all = self.preempted.iter().filter(of_task).count();
        // A takeover before the record is durable loses the newest preemption.
        assert!(
            all <= MAX_PREEMPTIONS + self.takeovers,
            "{decision:?} at {now_ms}: {all}"
        );
        // A takeover forgets which runs are being stopped.
        assert!(self.preempting() <= MAX_PREEMPTING, "{decision:?}");
    }

    /// Number of preempted runs that the present scheduler is stopping.
    pub fn preempting(&self) -> u32 {
        let own = self.preempted[self.first_preemption..].iter();
        let mut runs: BTreeMap<&TaskKey, u32> = BTreeMap::new();
        runs.extend(own.map(|(_, decision)| (&decision.task, decision.run)));
        let stopping = runs.into_iter().filter(|(key, run)| {
            let task = self
                .scheduler
                .flow(&key.job)
                .and_then(|flow| flow.task(key));
            task.is_some_and(|task| {
                let mut placements = task.placements();
                placements.any(|placement| {
                    placement.run == *run
                        && matches!(placement.stage, flow::RunStage::Stopping { .. })
                })
            })
        });
        stopping.count() as u32
    }
}
