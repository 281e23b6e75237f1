//! Takeovers of the simulated scheduler by another one.

use super::{LEASE_TERMS, Sim};
use flow::record_rows::join;
use flow::{FlowRecord, Scheduler};

impl Sim {
    /// Replaces the scheduler by one of a version without duplicates, which ignores the field of the
    /// records that holds them.
    pub fn take_over_by_former_version(&mut self) {
        self.policies.duplicates = false;
        self.take_over_reading(|record| {
            record.as_object_mut().unwrap().remove("p");
        });
        // Runs that a duplicate was started of may still be in progress.
        self.policies.duplicates = true;
    }

    /// Replaces the scheduler by a new one, after one of a version that did not record the failed runs of
    /// gangs.
    pub fn take_over_from_version_without_gangs(&mut self) {
        self.take_over_reading(|record| {
            record.as_object_mut().unwrap().remove("g");
        });
    }

    /// Replaces the scheduler by a new one that restores its state from the durable records.
    pub fn take_over(&mut self) {
        self.take_over_reading(|_| ());
    }

    /// Replaces the scheduler by a new one that restores its state from what `read` makes of the
    /// durable records.
    pub(super) fn take_over_reading(&mut self, read: impl Fn(&mut serde_json::Value)) {
        self.commit = None;
        let mut scheduler = Scheduler::default();
        scheduler.set_config(self.config.clone());
        scheduler.set_policies(self.policies.clone());
        let former_leases_expired_ms = self.now_ms + LEASE_TERMS.longest_ms();
        scheduler.set_former_leases_expired_ms(former_leases_expired_ms);
        for (agent, expired_ms) in &self.away {
            scheduler.restore_away(agent, *expired_ms);
        }
        for job in self.jobs.values() {
            match self.ended_ms.get(&job.id) {
                Some((_, phase)) => scheduler.add_ended(job.id.clone(), *phase),
                None => {
                    scheduler.add(self.now_ms, 0, job.clone());
                }
            }
        }
        for (job, rows) in &self.records {
            let numbered: Vec<(usize, &str)> =
                rows.iter().map(String::as_str).enumerate().collect();
            let mut record = serde_json::from_str(&join(&numbered).unwrap()).unwrap();
            read(&mut record);
            let record: FlowRecord = serde_json::from_value(record).unwrap();
            scheduler.set_record_rows(job, rows.len());
            scheduler.restore(self.now_ms, job, &record);
            if scheduler.flow(job).is_some_and(|flow| flow.end().is_some()) {
                scheduler.request_rewrite(job);
            }
        }
        for job in &self.cancelled {
            scheduler.cancel(self.now_ms, job);
        }
        self.scheduler = scheduler;
        self.confirmed_ms = self.now_ms;
        self.first_preemption = self.preempted.len();
        self.takeovers += 1;
    }
}
