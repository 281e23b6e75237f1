//! Simulated callers, which submit jobs to random entries, retry, and cancel some of the jobs.

use crate::Options;
use crate::fault::LARGE_RUN_MS;
use crate::fleet::Fleet;
use platform_standin::caller::Caller;
use platform_standin::{deadly_job, job, large_job, wide_job};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::rc::Rc;
use std::time::{Duration, Instant};
use utils::hash64;

/// Mean interval between two submissions, in milliseconds.
const MEAN_SUBMIT_INTERVAL_MS: u64 = 60;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time after which a caller stops retrying a submission or a cancellation.
const RETRY_LIMIT: Duration = Duration::from_secs(12);
/// Share of the callers that submit their job only once, in percent.
const NO_RETRY_PERCENT: u32 = 30;
/// Share of the jobs that are cancelled if they are accepted, in percent.
const CANCEL_PERCENT: u32 = 10;

/// Most steps of a job by the settings' default.
const MAX_STEPS: usize = 64;
/// More tasks than any settings allow.
const TOO_MANY_TASKS: u32 = 2_000_000;
/// Run time of the tasks of a job at a limit, in milliseconds.
const LIMIT_RUN_MS: u64 = 100;

/// Outcome of submitting a job, as far as the caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// An entry accepted the job.
    Accepted,
    /// Every attempt was refused, so the job must never run.
    Refused,
    /// No attempt was accepted and one had no answer, so the job may run.
    Unknown,
}

/// A job that was submitted, with what its caller observed.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    /// Id under which the caller submits the job.
    pub id: String,
    /// Outcome of the submission, over all attempts.
    pub outcome: SubmitOutcome,
    /// Time of the acknowledgement of its cancellation; `None` without one.
    pub cancelled_at: Option<Instant>,
    /// Whether its task crashes each worker that starts it.
    pub is_deadly: bool,
    /// Whether the caller tried to cancel the job, even without an acknowledgement.
    pub is_cancel_requested: bool,
    /// Longest time that a refusal took; zero without a refusal.
    pub slowest_refusal: Duration,
}

impl SubmittedJob {
    /// A job before its submission.
    fn new(id: String) -> Self {
        Self {
            id,
            outcome: SubmitOutcome::Refused,
            cancelled_at: None,
            is_deadly: false,
            is_cancel_requested: false,
            slowest_refusal: Duration::ZERO,
        }
    }
}

/// All callers of one run.
pub(crate) struct Callers {
    /// The fleet whose entries are called.
    fleet: Rc<Fleet>,
    /// HTTP client of the entries.
    caller: Caller,
    /// Share of deadly jobs, in percent.
    deadly_percent: u64,
    /// Share of jobs at or beyond a limit, in percent.
    limit_percent: u64,
    /// Tasks of the large job; 0 for none.
    large_tasks: u32,
    /// Time from the start of the load to the submission of the large job, in milliseconds.
    large_job_ms: u64,
}

impl Callers {
    pub fn new(fleet: Rc<Fleet>, options: &Options) -> Self {
        Self {
            fleet,
            caller: Caller::new(CALL_TIMEOUT),
            deadly_percent: options.deadly_percent,
            limit_percent: options.limit_percent,
            large_tasks: options.large_tasks,
            large_job_ms: options.durations.large_job_ms(),
        }
    }

    /// Whether the job with this id is deadly. It depends on the id alone, so that a seed leads to the
    /// same other jobs and faults whatever the share is.
    fn is_deadly(&self, id: &str) -> bool {
        hash64(id) % 100 < self.deadly_percent
    }

    /// A job at or beyond a limit, if the one with this id is to be so.
    fn limit_job(&self, id: &str) -> Option<Value> {
        let number = hash64(&format!("limit {id}"));
        let body = match number / 100 % 3 {
            0 => wide_job(MAX_STEPS, LIMIT_RUN_MS),
            1 => wide_job(MAX_STEPS + 1, LIMIT_RUN_MS),
            _ => large_job(TOO_MANY_TASKS, LIMIT_RUN_MS),
        };
        (number % 100 < self.limit_percent).then_some(body)
    }

    /// Submits jobs during `load_ms` and returns them after the last caller has finished.
    pub async fn run(self: Rc<Self>, seed: u64, load_ms: u64) -> Vec<SubmittedJob> {
        let mut random = StdRng::seed_from_u64(seed);
        let started = Instant::now();
        let mut submissions = Vec::new();
        if self.large_tasks > 0 {
            submissions.push(actix_rt::spawn(self.clone().submit_large(seed)));
        }
        while started.elapsed() < Duration::from_millis(load_ms) {
            let own = StdRng::seed_from_u64(random.random());
            let id = format!("{:016x}", random.random::<u64>());
            submissions.push(actix_rt::spawn(self.clone().submit(id, own)));
            let pause_ms = random.random_range(0..2 * MEAN_SUBMIT_INTERVAL_MS);
            actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let finished = futures::future::join_all(submissions).await;
        finished.into_iter().filter_map(Result::ok).collect()
    }

    /// Submits the large job.
    async fn submit_large(self: Rc<Self>, seed: u64) -> SubmittedJob {
        actix_rt::time::sleep(Duration::from_millis(self.large_job_ms)).await;
        let mut random = StdRng::seed_from_u64(!seed);
        let id = format!("{:016x}", random.random::<u64>());
        let body = large_job(self.large_tasks, LARGE_RUN_MS);
        let mut submitted = SubmittedJob::new(id);
        self.hand_in(&mut submitted, &body, false, &mut random)
            .await;
        submitted
    }

    async fn submit(self: Rc<Self>, id: String, mut random: StdRng) -> SubmittedJob {
        let mut body = job(random.random_range(1..4), random.random_range(50..900));
        let is_deadly = self.is_deadly(&id);
        if is_deadly {
            body = deadly_job();
        } else if let Some(limit_job) = self.limit_job(&id) {
            body = limit_job;
        }
        let tries_once = random.random_range(0..100) < NO_RETRY_PERCENT;
        let cancels = random.random_range(0..100) < CANCEL_PERCENT;
        let mut submitted = SubmittedJob {
            is_deadly,
            ..SubmittedJob::new(id)
        };
        self.hand_in(&mut submitted, &body, tries_once, &mut random)
            .await;
        if cancels && submitted.outcome == SubmitOutcome::Accepted {
            self.cancel(&mut submitted, &mut random).await;
        }
        submitted
    }

    /// Submits a job, once or until it is accepted or [`RETRY_LIMIT`] has passed.
    async fn hand_in(
        &self,
        submitted: &mut SubmittedJob,
        body: &Value,
        tries_once: bool,
        random: &mut StdRng,
    ) {
        let started = Instant::now();
        loop {
            let sent = Instant::now();
            match self.call("POST", &submitted.id, body, random).await {
                200 => submitted.outcome = SubmitOutcome::Accepted,
                0 | 504 => submitted.outcome = SubmitOutcome::Unknown,
                400 => return,
                _ => submitted.slowest_refusal = submitted.slowest_refusal.max(sent.elapsed()),
            }
            let is_accepted = submitted.outcome == SubmitOutcome::Accepted;
            if is_accepted || tries_once || started.elapsed() > RETRY_LIMIT {
                return;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn cancel(&self, submitted: &mut SubmittedJob, random: &mut StdRng) {
        submitted.is_cancel_requested = true;
        let pause_ms = random.random_range(0..1_000);
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        let started = Instant::now();
        while started.elapsed() < RETRY_LIMIT {
            let status = self
                .call("DELETE", &submitted.id, &Value::Null, random)
                .await;
            if matches!(status, 200..300) {
                submitted.cancelled_at = Some(Instant::now());
                return;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Calls a random entry; returns the status of its answer, or 0 without an answer.
    async fn call(&self, method: &str, id: &str, body: &Value, random: &mut StdRng) -> u16 {
        let entry = random.random_range(0..self.fleet.fronts.len());
        let front = self.fleet.fronts[entry];
        self.caller.call(method, front, id, body).await.0
    }

    /// Whether an entry answers the query for the queue length, for which it needs a scheduler.
    pub async fn has_scheduler(&self, entry: usize) -> bool {
        let front = self.fleet.fronts[entry];
        self.caller.call("GET", front, "", &Value::Null).await.0 == 200
    }

    /// State of a job according to an entry; empty if the answer states none.
    pub async fn state(&self, entry: usize, id: &str) -> String {
        self.caller.state(self.fleet.fronts[entry], id).await
    }
}
