//! Garbage collection of the rows of ended flows.

use crate::coordinator::Coordinator;
use crate::leadership::encode;
use crate::limits::MAX_ENTRIES;
use crate::messages::RowsCollected;
use crate::rows::{cancel_key, flow_key, record_key};
use actix::{AsyncContext, Context, Handler};
use backing::Transaction;
use flow::FlowRow;
use model::JobId;
use utils::boot_ms;

/// Ended flows whose rows one transaction replaces by a small one.
const COMPACTED_PER_TXN: usize = 25;
/// Ended flows whose last row one transaction deletes; each takes one row of the transaction.
const DELETED_PER_TXN: usize = 25;

impl Coordinator {
    /// Replaces the rows of ended flows by one small row each, and deletes these after
    /// `keep_ended_ms`.
    pub(crate) fn collect_ended_rows(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let keep_ms = self.settings.keep_ended_ms;
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        leadership.collected_ms = now_ms;
        let rows_of = |job: &JobId| leadership.scheduler.record_rows(job) + 2;
        let first_rows = leadership.uncollected.front().map(|(job, _)| rows_of(job));
        let room = MAX_ENTRIES.saturating_sub(first_rows.unwrap_or(0));
        let is_old = |(_, ended_ms): &&(JobId, u64)| now_ms >= ended_ms + keep_ms;
        let old = leadership
            .ended
            .iter()
            .take_while(is_old)
            .take(DELETED_PER_TXN.min(room));
        let deleted: Vec<JobId> = old.map(|(job, _)| job.clone()).collect();
        if leadership.uncollected.is_empty() && deleted.is_empty() {
            return;
        }
        let mut txn = Transaction::default();
        for job in &deleted {
            txn = txn.delete(flow_key(job));
        }
        let mut compacted = Vec::new();
        for (job, end) in leadership.uncollected.iter().take(COMPACTED_PER_TXN) {
            if txn.writes.len() + rows_of(job) > MAX_ENTRIES {
                break;
            }
            txn = txn
                .put(flow_key(job), encode(&FlowRow::Ended(*end)))
                .delete(cancel_key(job));
            for number in 0..leadership.scheduler.record_rows(job) {
                txn = txn.delete(record_key(job, number));
            }
            compacted.push(job.clone());
        }
        leadership.is_collecting = true;
        let epoch = leadership.epoch;
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let result = table.commit(&txn).await;
            control.do_send(RowsCollected {
                epoch,
                compacted,
                deleted,
                result,
            });
        });
    }
}

impl Handler<RowsCollected> for Coordinator {
    type Result = ();

    fn handle(&mut self, collected: RowsCollected, _: &mut Self::Context) {
        self.store_health.observe(boot_ms(), &collected.result);
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == collected.epoch)
        else {
            return;
        };
        leadership.is_collecting = false;
        if collected.result.is_ok() {
            leadership
                .uncollected
                .retain(|(job, _)| !collected.compacted.contains(job));
            leadership
                .ended
                .retain(|(job, _)| !collected.deleted.contains(job));
            for job in &collected.deleted {
                leadership.scheduler.evict_ended(job);
            }
        }
    }
}
