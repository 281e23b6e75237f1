//! Isolation of a record that the table refuses: after a refused commit, its records are written one
//! at a time, and a flow whose record is refused alone is set aside.

use crate::coordinator::Coordinator;
use crate::limits::commit_limits;
use actix::Context;
use backing::StoreError;
use flow::{CommitLimits, RecordFault, RecordRows, Scheduler};
use model::JobId;
use std::collections::VecDeque;
use telemetry::{Event, log_event};
use utils::boot_ms;

/// Records of a refused commit that are still to be written alone.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// Whether a commit without records comes first, to show that the table accepts commits at all.
    is_probe_due: bool,
    /// Flows whose records follow.
    jobs: VecDeque<JobId>,
}

impl Isolation {
    /// Isolation of these records.
    pub fn of(records: &[RecordRows]) -> Self {
        Self {
            is_probe_due: true,
            jobs: records.iter().map(|record| record.job.clone()).collect(),
        }
    }

    /// Records of the next commit, none for the probe; `None` once all were written.
    pub fn next(
        &mut self,
        scheduler: &mut Scheduler,
        now_ms: u64,
        limits: &CommitLimits,
    ) -> Option<Vec<RecordRows>> {
        if std::mem::take(&mut self.is_probe_due) {
            return Some(Vec::new());
        }
        let mut jobs = std::iter::from_fn(|| self.jobs.pop_front());
        jobs.find_map(|job| scheduler.take_record(now_ms, &job, limits))
            .map(|record| vec![record])
    }
}

impl Coordinator {
    /// Records of the next commit; `None` if none is due.
    pub(crate) fn next_records(&mut self, now_ms: u64, renew_ms: u64) -> Option<Vec<RecordRows>> {
        let limits = commit_limits(self.settings.store.row_bytes);
        let leadership = self.leadership.as_mut()?;
        let scheduler = &mut leadership.scheduler;
        if let Some(isolation) = leadership.isolation.as_mut() {
            if let Some(records) = isolation.next(scheduler, now_ms, &limits) {
                return Some(records);
            }
            leadership.isolation = None;
        }
        let records = scheduler.take_commit(now_ms, &limits);
        let is_due = !records.is_empty()
            || scheduler.has_returned_worker()
            || now_ms >= leadership.last_commit_ms + renew_ms;
        is_due.then_some(records)
    }

    /// Handles a commit in flight that the table refused as invalid, so that it had no effect.
    ///
    /// A refusal of a commit with nothing but the lease concerns no record, and this entry steps down.
    pub(crate) fn on_commit_refused(&mut self, error: &StoreError, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let Some(refused) = leadership.in_flight.take() else {
            return;
        };
        let records = refused.records;
        log_event!(error, Event::CommitRefused, sequence = refused.sequence,
            records = records.len(), reason = %error);
        if records.is_empty() && !refused.has_learned {
            self.step_down("the store refused a commit", context);
            return;
        }
        leadership.scheduler.put_back(&records);
        if refused.released {
            self.commit(now_ms, Vec::new(), true, context);
            return;
        }
        match (&leadership.isolation, &records[..]) {
            (Some(_), [alone]) => {
                let scheduler = &mut leadership.scheduler;
                scheduler.set_aside(now_ms, &alone.job, RecordFault::Refused);
            }
            _ => leadership.isolation = Some(Isolation::of(&records)),
        }
        self.run_scheduling_pass(context);
    }
}
