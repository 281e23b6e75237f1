//! Group commits of the records of changed flows.

use crate::record_rows::split;
use crate::{CommitLimits, FlowRecord, RecordFault, RecordRows, Scheduler};
use model::{AgentId, JobId};
use std::ops::Bound::{Excluded, Unbounded};

impl Scheduler {
    /// Takes changed records for a group commit, as many as its limits allow and at least one if
    /// there is any. They count as durable only after [`Scheduler::on_committed`].
    ///
    /// The flows take turns, so that records that change all the time leave room for others. A flow
    /// whose record exceeds the limits of a commit is set aside.
    pub fn take_commit(&mut self, now_ms: u64, limits: &CommitLimits) -> Vec<RecordRows> {
        let mut left = *limits;
        let mut taken = Vec::new();
        while let Some(job) = self.next_dirty() {
            let Some(record) = self.record_within(now_ms, &job, limits) else {
                self.dirty.remove(&job);
                continue;
            };
            if !left.take(&record) && !taken.is_empty() {
                break;
            }
            self.dirty.remove(&job);
            self.last_taken = Some(job);
            taken.push(record);
        }
        taken
    }

    /// Takes the record of one flow for a commit of its own, as [`Scheduler::take_commit`] does; `None`
    /// if it has not changed.
    pub fn take_record(
        &mut self,
        now_ms: u64,
        job: &JobId,
        limits: &CommitLimits,
    ) -> Option<RecordRows> {
        if !self.dirty.remove(job) {
            return None;
        }
        let record = self.record_within(now_ms, job, limits);
        self.dirty.remove(job);
        record
    }

    /// Marks a flow's record to be written again, although it has not changed.
    pub fn request_rewrite(&mut self, job: &JobId) {
        self.mark_dirty(job);
    }

    /// Marks records that were taken and not committed as changed, so that they are taken again.
    pub fn put_back(&mut self, records: &[RecordRows]) {
        let jobs = records.iter().map(|record| &record.job);
        let known = jobs.filter(|job| self.flows.contains_key(*job));
        self.dirty.extend(known.cloned());
    }

    /// Present record of a flow; `None` if the flow is not known. Sets the flow aside if its record
    /// exceeds the limits of a commit, and then returns the record of that.
    fn record_within(
        &mut self,
        now_ms: u64,
        job: &JobId,
        limits: &CommitLimits,
    ) -> Option<RecordRows> {
        let record = self.record_of(job, limits)?;
        if { *limits }.take(&record) {
            return Some(record);
        }
        let fault = RecordFault::TooLarge {
            bytes: record.bytes(),
            rows: record.entries(),
            limit_bytes: limits.bytes,
            limit_rows: limits.rows,
        };
        self.set_aside(now_ms, job, fault);
        self.record_of(job, limits)
    }

    /// Flow whose record is taken next.
    fn next_dirty(&self) -> Option<JobId> {
        let after = self.last_taken.as_ref().map_or(Unbounded, Excluded);
        let next = self.dirty.range((after, Unbounded)).next();
        next.or_else(|| self.dirty.first()).cloned()
    }

    /// Present record of a flow; `None` if the flow is not known.
    fn record_of(&self, job: &JobId, limits: &CommitLimits) -> Option<RecordRows> {
        let state = self.flows.get(job)?;
        let record = if self.set_aside.contains(job) {
            FlowRecord::failed()
        } else {
            FlowRecord::of(state).with_preemptions(self.preemptions.records(state))
        };
        // Records are plain data, whose serialization does not fail.
        let text = serde_json::to_string(&record).unwrap_or_default();
        Some(RecordRows {
            job: job.clone(),
            revision: state.revision,
            values: split(&text, limits.row_bytes),
            former_rows: self.record_rows(job),
        })
    }

    /// Number of rows that hold the durable record of a flow; 1 if there is none.
    pub fn record_rows(&self, job: &JobId) -> usize {
        self.record_rows.get(job).copied().unwrap_or(1)
    }

    /// Sets the number of rows in the table that hold the record of a flow.
    pub fn set_record_rows(&mut self, job: &JobId, rows: usize) {
        if rows > 1 {
            self.record_rows.insert(job.clone(), rows);
        } else {
            self.record_rows.remove(job);
        }
    }

    /// Marks records as durable: orders the starts and acknowledges the ends that depend on them,
    /// and finishes flows that have ended.
    pub fn on_committed(&mut self, records: &[RecordRows]) {
        for record in records {
            self.set_record_rows(&record.job, record.values.len());
            let Some(state) = self.flows.get_mut(&record.job) else {
                continue;
            };
            state.durable_revision = state.durable_revision.max(record.revision);
            self.order_starts(&record.job);
        }
        let workers = self.fleet.workers.iter();
        let unacknowledged = workers.filter(|(_, view)| !view.pending_acks.is_empty());
        let agents: Vec<AgentId> = unacknowledged.map(|(agent, _)| agent.clone()).collect();
        for agent in &agents {
            self.acknowledge(agent);
        }
        for record in records {
            self.finish_flow(&record.job);
        }
    }
}
