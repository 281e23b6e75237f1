//! Flows that tests submit to the simulation.

use super::{Sim, queue};
use flow::{FlowJob, FlowSpec, Policies, QueueKey, Schedule, StepSpec};
use model::JobId;

impl Sim {
    /// Accepts a flow.
    pub fn submit(&mut self, id: &str, steps: Vec<StepSpec>) -> JobId {
        self.submit_scheduled(id, steps, None)
    }

    /// Accepts a flow with a schedule. The time of day is always 0.
    pub fn submit_scheduled(
        &mut self,
        id: &str,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
    ) -> JobId {
        self.submit_to(queue(), id, steps, schedule)
    }

    /// Accepts a flow of a queue. The time of day is always 0.
    pub fn submit_to(
        &mut self,
        queue: QueueKey,
        id: &str,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
    ) -> JobId {
        let job = FlowJob {
            id: id.into(),
            queue,
            spec: FlowSpec {
                payload: "p".to_owned(),
                steps,
                schedule,
            },
            accepted_wall_ms: 0,
        };
        self.jobs.insert(job.id.clone(), job.clone());
        self.scheduler.add(self.now_ms, 0, job);
        id.into()
    }

    /// Cancels a flow.
    pub fn cancel(&mut self, job: &JobId) {
        self.cancelled.insert(job.clone());
        self.scheduler.cancel(self.now_ms, job);
    }

    /// Lets duplicates start where steps allow them.
    pub fn allow_duplicates(&mut self) {
        self.set_policies(Policies {
            duplicates: true,
            ..self.policies.clone()
        });
    }
}
