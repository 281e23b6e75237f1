//! Refusals of flows that can't end in time, by the scheduler's backlog.

use crate::coordinator::Coordinator;
use crate::leadership::Leadership;
use crate::messages::{Admit, BacklogFetched, PeerGetBacklog};
use crate::rows::flow_key;
use actix::fut::ready;
use actix::{
    ActorFutureExt, AsyncContext, Context, Handler, MessageResult, ResponseActFuture, WrapFuture,
};
use admission::{Admission, Backlog, Hysteresis, admit};
use backing::TableStore;
use flow::FlowJob;
use model::JobId;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{RecentSet, boot_ms};
use wire::{BacklogReply, SchedulerLink};

/// Interval between two measurements by the scheduler, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 250;
/// Interval between two requests for the scheduler's backlog, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 500;
/// Timeout of such a request.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after one that failed, in milliseconds. An earlier version closes the connection each time.
const FAILED_PAUSE_MS: u64 = 2_000;
/// Time after the load of the stored state in which workers report for the first time, in milliseconds;
/// before that, their processors are not all known.
const SETTLE_MS: u64 = 2_000;
/// Age of the last confirmation of leadership, and of a backlog, from which the backlog is not known, in
/// milliseconds.
const MAX_AGE_MS: u64 = 2_000;
/// Longest time for the read of a flow's row before a refusal; a table that is slower decides nothing.
const MAX_READ: Duration = Duration::from_millis(500);
/// Most submitted flows of which it is known that their rows may still be on the way to the table.
const MAX_SUBMITTED: usize = 20_000;

/// A flow was refused because it can't end in time; nothing of it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the job can't end in time; retry in {retry_after_s} s")]
pub struct Overloaded {
    /// Time after which the caller should retry, in seconds.
    pub retry_after_s: u32,
}

/// What an entry knows of the scheduler's backlog, and its refusals.
pub(crate) struct Overload {
    /// Last known backlog; `None` while it is not known.
    backlog: Option<Backlog>,
    /// Refusals so far.
    hysteresis: Hysteresis,
    /// Link to the scheduler for these requests alone: an earlier version closes it.
    link: Option<SchedulerLink>,
    /// When the backlog is fetched again, in milliseconds.
    next_fetch_ms: u64,
    /// Whether a request for it is in flight.
    is_fetching: bool,
    /// Whether jobs were refused lately, by the log.
    is_refusing: bool,
    /// Refusals since refusing started.
    refusals: u64,
    /// Flows that this entry began to store. An earlier attempt of theirs may still take effect.
    submitted: RecentSet,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            backlog: None,
            hysteresis: Hysteresis::default(),
            link: None,
            next_fetch_ms: 0,
            is_fetching: false,
            is_refusing: false,
            refusals: 0,
            submitted: RecentSet::new(MAX_SUBMITTED),
        }
    }
}

impl Leadership {
    /// Backlog, which is measured anew if that is due; `None` while it is not known: the workers have not
    /// reported, or another entry may be the scheduler.
    fn measure_backlog(&mut self, now_ms: u64) -> Option<&Backlog> {
        let is_settled = self.is_loaded && now_ms >= self.load_progress_ms + SETTLE_MS;
        if !is_settled || now_ms > self.confirmed_ms + MAX_AGE_MS {
            return None;
        }
        let measured_ms = self.backlog.as_ref().map(|backlog| backlog.measured_ms);
        if measured_ms.is_none_or(|measured_ms| now_ms >= measured_ms + MEASURE_INTERVAL_MS) {
            let mut backlog = self.scheduler.backlog(now_ms);
            if let Some(before) = &self.backlog {
                backlog.average_spare(before);
            }
            self.backlog = Some(backlog);
        }
        self.backlog.as_ref()
    }
}

impl Coordinator {
    /// Keeps the backlog up to date: measured by this entry if it is the scheduler, or else fetched.
    pub(crate) fn follow_backlog(&mut self, now_ms: u64, context: &mut Context<Self>) {
        if !self.settings.policies.admission {
            return;
        }
        self.log_end_of_refusing(now_ms);
        if let Some(leadership) = self.leadership.as_mut() {
            let known_ms = self.overload.backlog.as_ref().map(|old| old.measured_ms);
            let measured = leadership.measure_backlog(now_ms);
            if measured.map(|backlog| backlog.measured_ms) != known_ms {
                let measured = measured.cloned();
                self.set_backlog(measured);
            }
            return;
        }
        let known = self.overload.backlog.as_ref();
        if known.is_some_and(|known| now_ms > known.measured_ms + MAX_AGE_MS) {
            self.set_backlog(None);
        }
        self.fetch_backlog(now_ms, context);
    }

    fn set_backlog(&mut self, backlog: Option<Backlog>) {
        self.metrics.set_backlog(backlog.as_ref());
        self.overload.backlog = backlog;
    }

    /// Requests the scheduler's backlog if that is due; it arrives as [`BacklogFetched`].
    fn fetch_backlog(&mut self, now_ms: u64, context: &mut Context<Self>) {
        if self.overload.is_fetching || now_ms < self.overload.next_fetch_ms {
            return;
        }
        let Some(address) = self.scheduler_link().map(|link| link.address()) else {
            return;
        };
        let open = self.overload.link.take();
        let open = open.filter(|link| link.address() == address);
        let link = open.unwrap_or_else(|| SchedulerLink::new(address));
        self.overload.link = Some(link.clone());
        self.overload.is_fetching = true;
        self.overload.next_fetch_ms = now_ms + FETCH_INTERVAL_MS;
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(FETCH_TIMEOUT, |client, context| async move {
                client.get_backlog(context).await
            });
            control.do_send(BacklogFetched {
                requested_ms: now_ms,
                reply: call.await.ok(),
            });
        });
    }

    /// Decides about a new flow. Returns the refusal; `None` if it is accepted.
    fn refusal(&mut self, now_ms: u64, job: &FlowJob) -> Option<Overloaded> {
        let config = self.config.load();
        let queue = config.queue(&job.queue)?;
        let arrival = queue.arrival(&job.spec);
        let backlog = self.overload.backlog.as_ref();
        let state = &mut self.overload.hysteresis;
        match admit(now_ms, backlog, &arrival, state, rand::random()) {
            Admission::Accept => None,
            Admission::Refuse { retry_after_s } => Some(Overloaded { retry_after_s }),
        }
    }

    /// Whether an earlier attempt of a submission may be stored although the table does not show it yet: this entry
    /// began to store it, or calls of the table get no answers.
    fn may_be_stored(&self, now_ms: u64, job: &JobId) -> bool {
        self.overload.submitted.contains(job.as_str()) || self.store_health.has_lost_answers(now_ms)
    }

    /// A flow that is not refused. Another attempt of its submission that is being decided about is not refused
    /// either.
    fn accepted(&mut self, job: FlowJob) -> FlowJob {
        self.note_submitted(&job.id);
        job
    }

    /// Notes that a flow is about to be stored, so that a repetition of its submission is not refused.
    pub(crate) fn note_submitted(&mut self, job: &JobId) {
        if self.settings.policies.admission {
            self.overload.submitted.insert(job.as_str());
        }
    }

    /// Counts and logs a refusal.
    fn note_refusal(&mut self, job: &FlowJob) {
        let config = self.config.load();
        let Some(queue) = config.queue(&job.queue) else {
            return;
        };
        self.metrics.count_refusal(queue.priority);
        self.overload.refusals += 1;
        if !self.overload.is_refusing {
            self.overload.is_refusing = true;
            let backlog = self.overload.backlog.as_ref();
            let pool = backlog.and_then(|backlog| backlog.pool(queue.service.as_str()));
            let ordinary_ms = pool.and_then(|pool| pool.ordinary.total_ms());
            let fillers_ms = pool.and_then(|pool| pool.fillers.total_ms());
            log_event!(warn, Event::RefusingStarted, job = %job.id, pool = %queue.service,
                priority = queue.priority, ordinary_ms = ?ordinary_ms, fillers_ms = ?fillers_ms);
        }
    }

    fn log_end_of_refusing(&mut self, now_ms: u64) {
        let overload = &mut self.overload;
        if overload.is_refusing && !overload.hysteresis.is_refusing(now_ms) {
            overload.is_refusing = false;
            let refusals = std::mem::take(&mut overload.refusals);
            log_event!(info, Event::RefusingEnded, refusals);
        }
    }
}

impl Handler<Admit> for Coordinator {
    type Result = ResponseActFuture<Self, Result<FlowJob, Overloaded>>;

    fn handle(&mut self, Admit { job, until_ms }: Admit, _: &mut Self::Context) -> Self::Result {
        let now_ms = boot_ms();
        let is_decided_elsewhere = now_ms >= until_ms
            || self.store_health.is_unavailable(now_ms)
            || self.may_be_stored(now_ms, &job.id);
        let refusal = match is_decided_elsewhere {
            true => None,
            false => self.refusal(now_ms, &job),
        };
        let Some(overloaded) = refusal else {
            return Box::pin(ready(Ok(self.accepted(job))));
        };
        let (table, caller_calls) = (self.table.clone(), self.caller_calls.clone());
        let stored = async move {
            // The other half of the caller's time is left for the submission.
            let read_until_ms = now_ms + until_ms.saturating_sub(now_ms) / 2;
            let turn = caller_calls.turn(read_until_ms).await;
            let left_ms = read_until_ms.saturating_sub(boot_ms());
            let limit = MAX_READ.min(Duration::from_millis(left_ms));
            let stored = match turn {
                Some(_turn) => read_stored(table.as_ref(), &job.id, limit).await,
                None => Stored::NotAsked,
            };
            (job, stored)
        };
        Box::pin(
            stored
                .into_actor(self)
                .map(move |(job, stored), coordinator, _| {
                    let now_ms = boot_ms();
                    if stored == Stored::Unanswered {
                        coordinator.store_health.note_lost_answer(now_ms);
                    }
                    if stored != Stored::No || coordinator.may_be_stored(now_ms, &job.id) {
                        return Ok(coordinator.accepted(job));
                    }
                    coordinator.note_refusal(&job);
                    Err(overloaded)
                }),
        )
    }
}

/// Whether the table has the row of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stored {
    /// It has.
    Yes,
    /// It answered that it has not.
    No,
    /// It gave no answer in time.
    Unanswered,
    /// It was not asked, or refused to answer.
    NotAsked,
}

/// Reads within `limit` whether a flow is stored: a caller's attempts have nothing but the flow's identifier in
/// common, so that only its row shows an earlier attempt at another entry.
async fn read_stored(table: &dyn TableStore, job: &JobId, limit: Duration) -> Stored {
    let keys = [flow_key(job)];
    match tokio::time::timeout(limit, table.read(&keys)).await {
        Ok(Ok(rows)) if rows.is_empty() => Stored::No,
        Ok(Ok(_)) => Stored::Yes,
        Ok(Err(error)) if !error.is_ambiguous() => Stored::NotAsked,
        Ok(Err(_)) | Err(_) => Stored::Unanswered,
    }
}

impl Handler<BacklogFetched> for Coordinator {
    type Result = ();

    fn handle(&mut self, fetched: BacklogFetched, _: &mut Self::Context) {
        self.overload.is_fetching = false;
        match fetched.reply {
            Some(BacklogReply::Measured { age_ms, backlog }) => {
                let measured_ms = fetched.requested_ms.saturating_sub(age_ms);
                self.set_backlog(Some(Backlog {
                    measured_ms,
                    ..backlog
                }));
            }
            Some(BacklogReply::NotMeasured) => self.set_backlog(None),
            None => self.overload.next_fetch_ms = boot_ms() + FAILED_PAUSE_MS,
        }
    }
}

impl Handler<PeerGetBacklog> for Coordinator {
    type Result = MessageResult<PeerGetBacklog>;

    fn handle(&mut self, _: PeerGetBacklog, _: &mut Self::Context) -> Self::Result {
        let now_ms = boot_ms();
        let leadership = self.leadership.as_mut();
        let backlog = leadership.and_then(|leadership| leadership.measure_backlog(now_ms));
        MessageResult(match backlog {
            Some(backlog) => BacklogReply::Measured {
                age_ms: now_ms.saturating_sub(backlog.measured_ms),
                backlog: backlog.clone(),
            },
            None => BacklogReply::NotMeasured,
        })
    }
}
