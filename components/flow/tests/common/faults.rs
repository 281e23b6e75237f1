//! Crashes of simulated workers and of their runs.

use super::{CRASH_SOON_MS, DOWN_MS, NOTICE_MS, Sim};
use flow::{EndedRun, RunEnd, TaskKey};
use model::{AgentId, JobId};

impl Sim {
    /// Crashes a worker and restarts it as a new incarnation.
    pub fn crash(&mut self, agent: &AgentId) {
        let worker = self.workers.get_mut(agent).unwrap();
        worker.incarnation.born_ms += 1;
        for (key, run) in &worker.running {
            *self.crashes_under.entry(key.clone()).or_default() += 1;
            if self.now_ms <= run.started_ms + CRASH_SOON_MS {
                *self.crashes_soon_under.entry(key.clone()).or_default() += 1;
            }
        }
        worker.running.clear();
        worker.ended.clear();
        worker.superseded_up_to.clear();
        worker.next_end = 1;
        worker.lease_until_ms = 0;
        worker.delayed_polls.clear();
        worker.latency_ms.clear();
    }

    /// Crashes a worker, which then refuses connections for [`DOWN_MS`].
    pub fn crash_for_a_while(&mut self, agent: &AgentId) {
        self.crash(agent);
        let down_until_ms = self.now_ms + DOWN_MS;
        let worker = self.workers.get_mut(agent).unwrap();
        worker.down_until_ms = down_until_ms;
        worker.is_crash_noticed = false;
    }

    /// Tells the scheduler of workers that refuse connections.
    pub(super) fn notice_crashes(&mut self) {
        for (agent, worker) in &mut self.workers {
            let noticed_ms = worker.down_until_ms.saturating_sub(DOWN_MS - NOTICE_MS);
            if !worker.is_crash_noticed && self.now_ms >= noticed_ms {
                worker.is_crash_noticed = true;
                let reason = "the worker refuses connections";
                self.scheduler
                    .on_worker_terminated(self.now_ms, agent, reason);
            }
        }
    }

    /// Lets a worker report an end of run 1 of a task of a flow's first step, although it reported
    /// such an end before.
    pub fn report_end(&mut self, agent: &AgentId, job: &JobId, index: u32, outcome: RunEnd) {
        let task = TaskKey {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index,
        };
        let worker = self.workers.get_mut(agent).unwrap();
        worker.ended.push(EndedRun {
            number: worker.next_end,
            task,
            run: 1,
            outcome,
            checkpoint: None,
        });
        worker.next_end += 1;
    }

    /// Ends the runs of a flow's gang as their workers do when another member does not start in time.
    pub fn end_alone(&mut self, job: &JobId) {
        for worker in self.workers.values_mut() {
            let members = worker.running.keys().filter(|key| key.job == *job);
            for key in members.cloned().collect::<Vec<_>>() {
                worker.end(&key, RunEnd::Alone);
            }
        }
    }
}
