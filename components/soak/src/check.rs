//! Checks of the system's promises against what callers and workers observed.

use crate::callers::{SubmitOutcome, SubmittedJob};
use platform_standin::worker::Execution;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after the acknowledgement of a cancellation from which no task of the job may start.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);

/// Time after the store holds the request for an evacuation from which no task may start in the
/// failure domain; the bound in the entries' settings.
pub(crate) const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Most starts of a task that crashes each worker that starts it.
const MAX_DEADLY_STARTS: usize = 5;

/// A promise of the system that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// A task never runs twice at once, and never after an acknowledged success.
    OnceAtATime,
    /// A step starts only after all tasks of the steps before it have succeeded.
    InOrder,
    /// A job whose every submission was refused never runs.
    RefusedIsNotRun,
    /// No task of a job starts more than 3 s after its cancellation was acknowledged.
    CancelledStops,
    /// A task that crashes the workers that start it is not started three times more after three
    /// have crashed.
    DeadlyIsGivenUp,
    /// An accepted job ends, completed or cancelled as requested, after the faults have ended.
    AcceptedEnds,
    /// Every entry reports the final state of a job.
    OneState,
    /// No task starts in an evacuated failure domain more than 5 s after the request was stored and
    /// before it was cancelled.
    EvacuatedStartsNothing,
    /// No process exits except by an injected fault.
    StaysUp,
}

/// An evacuation of a failure domain that was requested during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the failure domain.
    pub domain: &'static str,
    /// Time at which the store held the request.
    pub stored: Instant,
    /// Time just before the request was deleted; `None` while it stands.
    pub ended: Option<Instant>,
}

/// A broken promise, with the observation that shows it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{promise}: {detail}")]
pub struct Breach {
    /// The promise that was broken.
    pub promise: Promise,
    /// The task, job or process concerned and what it did.
    pub detail: String,
}

impl Breach {
    pub(crate) fn new(promise: Promise, detail: impl Into<String>) -> Self {
        Self {
            promise,
            detail: detail.into(),
        }
    }
}

/// Returns the broken promises that the workers' executions show: tasks that ran twice, steps out
/// of order, and runs of refused or cancelled jobs.
///
/// ```
/// assert!(soak::check(&[], &[]).is_empty());
/// ```
pub fn check(executions: &[Execution], jobs: &[SubmittedJob]) -> Vec<Breach> {
    let mut by_task: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        by_task.entry(&execution.task).or_default().push(execution);
    }
    let mut breaches = Vec::new();
    for (task, runs) in &mut by_task {
        runs.sort_by_key(|run| run.started);
        breaches.extend(runs.windows(2).filter_map(|pair| duplicate_run(task, pair)));
    }
    breaches.extend(early_starts(&by_task));
    for job in jobs {
        breaches.extend(forbidden_run(job, executions));
    }
    breaches
}

/// Returns the starts that came too late in an evacuated failure domain, of all `executions` of the
/// domain's workers.
///
/// ```
/// let (domain, stored) = ("d1", std::time::Instant::now());
/// let evacuation = soak::Evacuation { domain, stored, ended: None };
/// assert!(soak::check_evacuation(&evacuation, &[]).is_empty());
/// ```
pub fn check_evacuation(evacuation: &Evacuation, executions: &[Execution]) -> Vec<Breach> {
    let limit = evacuation.stored + EVACUATION_BOUND;
    let late = executions.iter().filter(|run| {
        run.started > limit && evacuation.ended.is_none_or(|ended| run.started < ended)
    });
    late.map(|late| {
        let after_ms = (late.started - evacuation.stored).as_millis();
        let detail = format!(
            "{} run {} started in {} {after_ms} ms after the request",
            late.task, late.run, evacuation.domain
        );
        Breach::new(Promise::EvacuatedStartsNothing, detail)
    })
    .collect()
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

fn step_of(task: &str) -> u32 {
    let step = task.split('.').nth(2);
    step.and_then(|step| step.parse().ok()).unwrap_or_default()
}

/// Breach of two successive runs of a task that overlap, or of which the first one succeeded and
/// was acknowledged.
fn duplicate_run(task: &str, pair: &[&Execution]) -> Option<Breach> {
    let (first, second) = (pair[0], pair[1]);
    let overlaps = first.ended.is_none_or(|ended| ended > second.started);
    let repeats = first.outcome == "done" && first.is_acknowledged;
    let detail = format!(
        "{task}: run {} ({}), then {}",
        first.run, first.outcome, second.run
    );
    (overlaps || repeats).then(|| Breach::new(Promise::OnceAtATime, detail))
}

/// Breaches of tasks of later steps that started before every task of step 0 had succeeded.
fn early_starts(by_task: &BTreeMap<&str, Vec<&Execution>>) -> Vec<Breach> {
    let mut step_done: BTreeMap<&str, Option<Instant>> = BTreeMap::new();
    for (task, runs) in by_task.iter().filter(|(task, _)| step_of(task) == 0) {
        let first_done = runs.iter().filter(|run| run.outcome == "done");
        let first_done = first_done.filter_map(|run| run.ended).min();
        let latest = step_done.entry(job_of(task)).or_insert(first_done);
        *latest = latest.zip(first_done).map(|(left, right)| left.max(right));
    }
    let later = by_task.iter().filter(|(task, _)| step_of(task) > 0);
    let early = later.filter(|(task, runs)| {
        let ready = step_done.get(job_of(task)).copied().flatten();
        runs.iter()
            .any(|run| ready.is_none_or(|ready| run.started < ready))
    });
    early
        .map(|(task, _)| Breach::new(Promise::InOrder, format!("{task} started too early")))
        .collect()
}

/// Breach of a job that ran although it was refused, or of which a task started too long after its
/// cancellation.
fn forbidden_run(job: &SubmittedJob, executions: &[Execution]) -> Option<Breach> {
    let mut own = executions.iter().filter(|run| job_of(&run.task) == job.id);
    if job.outcome == SubmitOutcome::Refused {
        let run = own.next()?;
        return Some(Breach::new(Promise::RefusedIsNotRun, run.task.clone()));
    }
    let starts = own.clone().count();
    if job.is_deadly && starts > MAX_DEADLY_STARTS {
        let detail = format!("{} started {starts} times", job.id);
        return Some(Breach::new(Promise::DeadlyIsGivenUp, detail));
    }
    let limit = job.cancelled_at? + CANCEL_LIMIT;
    let late = own.find(|run| run.started > limit)?;
    Some(Breach::new(Promise::CancelledStops, late.task.clone()))
}
