//! Jobs of own shards: reading their rows and answering queries about them.

use crate::control::Control;
use crate::messages::{JobAccepted, JobChanged, QueryFits, QueryJobStatus, QueryShardOwner};
use actix::{AsyncContext, Handler, Message, MessageResult};
use backing::{Row, ScanRange, StoreError, TableStore};
use batch::{cancel_key, done_prefix, job_key};
use model::{Job, JobStatus, JobSummary};
use std::net::SocketAddr;
use std::time::Duration;
use wire::EntryLink;

/// Timeout of the hint to a shard's owner that a job has changed.
const HINT_TIMEOUT: Duration = Duration::from_millis(500);
/// Retention time of job summaries: 30 days.
const SUMMARY_TTL_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// Maximum number of rows in one page of a scan.
const PAGE_ROWS: usize = 1_000;

/// Rows of jobs and cancellations that were read from the table.
#[derive(Message)]
#[rtype(result = "()")]
struct JobsRead {
    /// Shard number.
    shard: u16,
    /// The rows; an error is treated like an empty read, as the next poll repeats it.
    rows: Result<Vec<Row>, StoreError>,
}

impl Control {
    /// Reads the jobs and cancellations of an own shard, in case a hint was lost.
    pub(crate) fn poll_jobs(&self, shard: u16, context: &mut actix::Context<Self>) {
        let (table, control) = (self.batch.table.clone(), context.address());
        actix_rt::spawn(async move {
            for prefix in [job_key(shard, ""), cancel_key(shard, "")] {
                let range = ScanRange {
                    prefix,
                    after: None,
                    limit: PAGE_ROWS,
                };
                let rows = table.scan(&range).await;
                control.do_send(JobsRead { shard, rows });
            }
        });
    }
}

/// Job summaries of an own shard that were read from the table.
#[derive(Message)]
#[rtype(result = "()")]
struct SummariesRead {
    /// Shard number.
    shard: u16,
    /// The rows; an error is treated like an empty read, as the next poll repeats it.
    rows: Result<Vec<Row>, StoreError>,
}

impl Control {
    /// Reads the summaries of an own shard, to discard those past their retention time.
    pub(crate) fn poll_summaries(&self, shard: u16, context: &mut actix::Context<Self>) {
        let (table, control) = (self.batch.table.clone(), context.address());
        actix_rt::spawn(async move {
            let range = ScanRange {
                prefix: done_prefix(shard),
                after: None,
                limit: PAGE_ROWS,
            };
            control.do_send(SummariesRead {
                shard,
                rows: table.scan(&range).await,
            });
        });
    }
}

impl Handler<SummariesRead> for Control {
    type Result = ();

    fn handle(&mut self, read: SummariesRead, _: &mut Self::Context) {
        let wall_ms = utils::wall_ms();
        let Some(shard) = self.batch.shards.get_mut(&read.shard) else {
            return;
        };
        for row in read.rows.unwrap_or_default() {
            let summary = serde_json::from_str::<JobSummary>(&row.value);
            if summary.is_ok_and(|s| wall_ms.saturating_sub(s.ended_wall_ms) >= SUMMARY_TTL_MS) {
                shard.discard_summary(&row);
            }
        }
    }
}

impl Handler<JobsRead> for Control {
    type Result = ();

    fn handle(&mut self, read: JobsRead, context: &mut Self::Context) {
        let Some(shard) = self.batch.shards.get_mut(&read.shard) else {
            return;
        };
        for row in read.rows.unwrap_or_default() {
            if row.key.starts_with("job/") {
                shard.load_job(&row);
            } else {
                shard.load_cancel(&row);
            }
        }
        self.run_pass(context);
    }
}

impl Handler<JobChanged> for Control {
    type Result = ();

    fn handle(&mut self, JobChanged(job): JobChanged, context: &mut Self::Context) {
        let shard = job.shard(self.settings.batch.shards);
        if self.batch.shards.contains_key(&shard) {
            let (table, control) = (self.batch.table.clone(), context.address());
            actix_rt::spawn(async move {
                let keys = [
                    job_key(shard, job.as_str()),
                    cancel_key(shard, job.as_str()),
                ];
                let rows = table.read(&keys).await;
                control.do_send(JobsRead { shard, rows });
            });
            return;
        }
        let Some(owner) = self.batch.watch.owner(shard).map(|row| row.control) else {
            return;
        };
        if owner == self.settings.control_listen {
            return;
        }
        actix_rt::spawn(async move {
            let link = EntryLink::new(owner);
            let call = link.call(HINT_TIMEOUT, |client, context| async move {
                client.job_changed(context, job).await
            });
            drop(call.await);
        });
    }
}

impl Handler<JobAccepted> for Control {
    type Result = ();

    fn handle(&mut self, JobAccepted(job): JobAccepted, context: &mut Self::Context) {
        let shard = job.id.shard(self.settings.batch.shards);
        match self.batch.shards.get_mut(&shard) {
            Some(shard) => {
                shard.add_job(Job::clone(&job));
                self.run_pass(context);
            }
            None => context.notify(JobChanged(job.id)),
        }
    }
}

impl Handler<QueryJobStatus> for Control {
    type Result = MessageResult<QueryJobStatus>;

    fn handle(
        &mut self,
        QueryJobStatus(job): QueryJobStatus,
        _: &mut Self::Context,
    ) -> Self::Result {
        let shard = self
            .batch
            .shards
            .get(&job.shard(self.settings.batch.shards));
        let status: Option<JobStatus> = shard.and_then(|shard| shard.status(&job));
        MessageResult(status)
    }
}

impl Handler<QueryShardOwner> for Control {
    type Result = MessageResult<QueryShardOwner>;

    fn handle(
        &mut self,
        QueryShardOwner(job): QueryShardOwner,
        _: &mut Self::Context,
    ) -> Self::Result {
        let shard = job.shard(self.settings.batch.shards);
        let owner: Option<SocketAddr> = self.batch.watch.owner(shard).map(|row| row.control);
        MessageResult(owner.filter(|owner| *owner != self.settings.control_listen))
    }
}

impl Handler<QueryFits> for Control {
    type Result = bool;

    fn handle(&mut self, QueryFits(need): QueryFits, _: &mut Self::Context) -> bool {
        self.batch.workers.can_ever_fit(&need)
    }
}
