//! Reports of the model workers to the simulated scheduler.

use super::Sim;
use flow::{EndedRun, ReportTimes, RunningTask, StepSpec, TaskKey, WorkerInfo, WorkerReport};
use model::AgentId;
use std::collections::BTreeMap;

impl Sim {
    /// Has the scheduler apply a worker's report.
    pub(super) fn send_report(&mut self, agent: &AgentId) {
        let specs: BTreeMap<TaskKey, StepSpec> = self.workers[agent]
            .running
            .keys()
            .map(|key| (key.clone(), self.spec(key)))
            .collect();
        let worker = &self.workers[agent];
        let ended: Vec<EndedRun> = worker
            .ended
            .iter()
            .take(self.ends_per_report)
            .cloned()
            .collect();
        let info = WorkerInfo {
            incarnation: worker.incarnation.clone(),
            service: "pool".into(),
            domain: worker.domain.clone(),
            capacity: worker.capacity,
            labels: worker.labels.clone(),
            draining: false,
            drain_remaining_ms: None,
        };
        let running = worker.running.iter().map(|(key, run)| {
            let spec = &specs[key];
            let latency = worker.latency_ms.get(key).copied().unwrap_or(0.0);
            let noisy = self.noisy.as_ref();
            let latency = noisy.map_or(latency, |noisy| noisy.reported_ms(key)) as u32;
            let used = spec.need.processors_milli * run.pace / 100;
            let is_ready = spec.long_running;
            RunningTask {
                task: key.clone(),
                run: run.run,
                checkpoint: run.checkpoint(),
                percent: if is_ready {
                    100
                } else {
                    (run.done_micro / 10_000).min(99) as u32
                },
                load: if spec.latency_target_ms.is_some() {
                    latency
                } else {
                    used
                },
            }
        });
        let report = WorkerReport {
            born_ms: worker.incarnation.born_ms,
            clock_ms: worker.clock_ms(self.now_ms),
            running: running.collect(),
            has_more_ends: ended.len() >= self.ends_per_report,
            ended,
        };
        let times = ReportTimes {
            requested_ms: self.now_ms - self.report_delay_ms,
            now_ms: self.now_ms,
        };
        self.scheduler.on_report(times, agent, Some(info), &report);
    }
}
