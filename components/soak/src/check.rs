//! The promises, checked by what callers and workers saw.

use crate::callers::{Handed, Told};
use platform_standin::worker::Execution;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after the acknowledgement of a cancelling after which nothing of the job starts.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);

/// A promise of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// A task never runs twice at once, and never after a success that was taken note of.
    OnceAtATime,
    /// A step starts after those before it are done.
    InOrder,
    /// A job whose every try was refused never runs.
    RefusedIsNotRun,
    /// Nothing of a cancelled job starts later than 3 s after the acknowledgement.
    CancelledStops,
    /// An accepted job is completed once the faults are over.
    AcceptedEnds,
    /// Each entry tells the same final state.
    OneState,
    /// No process ends by itself.
    StaysUp,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{promise}: {detail}")]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
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

/// Breaches that show in what workers ran.
///
/// ```
/// assert!(soak::check(&[], &[]).is_empty());
/// ```
pub fn check(executions: &[Execution], handed: &[Handed]) -> Vec<Breach> {
    let mut by_task: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        by_task.entry(&execution.task).or_default().push(execution);
    }
    let mut breaches = Vec::new();
    for (task, runs) in &mut by_task {
        runs.sort_by_key(|run| run.started);
        breaches.extend(runs.windows(2).filter_map(|pair| once(task, pair)));
    }
    breaches.extend(order(&by_task));
    for job in handed {
        breaches.extend(wrongly_run(job, executions));
    }
    breaches
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

fn step_of(task: &str) -> u32 {
    let step = task.split('.').nth(2);
    step.and_then(|step| step.parse().ok()).unwrap_or_default()
}

fn once(task: &str, pair: &[&Execution]) -> Option<Breach> {
    let (first, second) = (pair[0], pair[1]);
    let overlaps = first.ended.is_none_or(|ended| ended > second.started);
    let repeats = first.outcome == "done" && first.is_acknowledged;
    let detail = format!(
        "{task}: run {} ({}), then {}",
        first.run, first.outcome, second.run
    );
    (overlaps || repeats).then(|| Breach::new(Promise::OnceAtATime, detail))
}

fn order(by_task: &BTreeMap<&str, Vec<&Execution>>) -> Vec<Breach> {
    let mut done: BTreeMap<&str, Option<Instant>> = BTreeMap::new();
    for (task, runs) in by_task.iter().filter(|(task, _)| step_of(task) == 0) {
        let first_done = runs.iter().filter(|run| run.outcome == "done");
        let first_done = first_done.filter_map(|run| run.ended).min();
        let latest = done.entry(job_of(task)).or_insert(first_done);
        *latest = latest.zip(first_done).map(|(left, right)| left.max(right));
    }
    let later = by_task.iter().filter(|(task, _)| step_of(task) > 0);
    let early = later.filter(|(task, runs)| {
        let ready = done.get(job_of(task)).copied().flatten();
        runs.iter()
            .any(|run| ready.is_none_or(|ready| run.started < ready))
    });
    early
        .map(|(task, _)| Breach::new(Promise::InOrder, format!("{task} started too early")))
        .collect()
}

fn wrongly_run(job: &Handed, executions: &[Execution]) -> Option<Breach> {
    let mut own = executions.iter().filter(|run| job_of(&run.task) == job.id);
    if job.told == Told::Refused {
        let run = own.next()?;
        return Some(Breach::new(Promise::RefusedIsNotRun, run.task.clone()));
    }
    let limit = job.cancelled? + CANCEL_LIMIT;
    let late = own.find(|run| run.started > limit)?;
    Some(Breach::new(Promise::CancelledStops, late.task.clone()))
}
