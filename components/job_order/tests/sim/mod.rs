//! Deterministic simulation of a pool that serves jobs by a rule.

mod jobs;
mod outcome;

use jobs::CORES_MILLI;
pub use jobs::{Job, fixed_jobs};
pub use outcome::{Outcome, hindsight_bound};

use job_order::{JobView, rank};

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;
/// Multiple of its objective after which the former rule ordered a job last.
const OVERDUE_FACTOR: u64 = 3;

/// A rule by which jobs are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Earliest due first, and those overdue by three times their objective last.
    EarliestDue,
    /// [`rank`].
    Ranked,
}

impl std::fmt::Display for Rule {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.pad(match self {
            Self::EarliestDue => "earliest due",
            Self::Ranked => "ranked",
        })
    }
}

/// Progress of a job.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// Step that is in progress.
    step: usize,
    /// Tasks of it that have not started.
    queued: u32,
    /// Starts of the tasks of it that are running, in milliseconds.
    running: Vec<u64>,
    has_begun: bool,
    ended_ms: Option<u64>,
}

/// When each job ends under a rule, in milliseconds; `None` if it is given up. Tasks are not preempted, and jobs
/// are given up after [`OVERDUE_FACTOR`] times their objective, as their callers do.
pub fn simulate(rule: Rule, jobs: &[Job]) -> Vec<Option<u64>> {
    let mut states: Vec<Progress> = jobs
        .iter()
        .map(|job| Progress {
            queued: job.steps[0].tasks,
            ..Progress::default()
        })
        .collect();
    let mut free_milli = CORES_MILLI;
    let last_ms = jobs.iter().map(Job::last_ms).max().unwrap_or(0);
    let mut now_ms = 0;
    while now_ms <= last_ms {
        for (job, state) in jobs.iter().zip(&mut states) {
            free_milli += advance(job, state, now_ms);
        }
        let open: Vec<usize> = (0..jobs.len())
            .filter(|at| jobs[*at].arrived_ms <= now_ms && jobs[*at].last_ms() >= now_ms)
            .filter(|at| states[*at].ended_ms.is_none())
            .collect();
        for at in order(rule, now_ms, jobs, &states, &open) {
            let need_milli = jobs[at].steps[states[at].step].need_milli;
            let state = &mut states[at];
            while state.queued > 0 && need_milli <= free_milli {
                free_milli -= need_milli;
                state.queued -= 1;
                state.running.push(now_ms);
                state.has_begun = true;
            }
        }
        now_ms += STEP_MS;
    }
    states.iter().map(|state| state.ended_ms).collect()
}

/// Ends the tasks of a job whose run time is over; returns the processors that they free.
fn advance(job: &Job, state: &mut Progress, now_ms: u64) -> u64 {
    let Some(step) = job.steps.get(state.step) else {
        return 0;
    };
    let before = state.running.len();
    state
        .running
        .retain(|since_ms| now_ms < since_ms + step.run_ms);
    let ended = (before - state.running.len()) as u64;
    if before > 0 && state.running.is_empty() && state.queued == 0 {
        state.step += 1;
        match job.steps.get(state.step) {
            Some(next) => state.queued = next.tasks,
            None => state.ended_ms = Some(now_ms),
        }
    }
    ended * step.need_milli
}

fn order(rule: Rule, now_ms: u64, jobs: &[Job], states: &[Progress], open: &[usize]) -> Vec<usize> {
    let mut order = open.to_vec();
    match rule {
        Rule::EarliestDue => order.sort_by_key(|at| {
            let job = &jobs[*at];
            let is_overdue = now_ms > job.arrived_ms + OVERDUE_FACTOR * job.objective_ms;
            (job.priority, is_overdue, job.due_ms(), *at)
        }),
        Rule::Ranked => {
            let views: Vec<JobView> = open
                .iter()
                .map(|at| view(now_ms, &jobs[*at], &states[*at]))
                .collect();
            let ranked = rank(now_ms, &views, CORES_MILLI);
            order = ranked.iter().map(|ranked| open[ranked.index]).collect();
        }
    }
    order
}

/// What the scheduler knows of a job: declared run times, and the progress of tasks in percent.
fn view(now_ms: u64, job: &Job, state: &Progress) -> JobView {
    let later = job.steps.iter().skip(state.step + 1);
    let later_path: u64 = later.clone().map(|step| step.declared_ms).sum();
    let later_work: u64 = later.map(|step| step.work(step.declared_ms)).sum();
    let step = &job.steps[state.step];
    let left_ms = |since_ms: &u64| {
        let percent = ((now_ms - since_ms) * 100 / step.run_ms).min(100);
        step.declared_ms * (100 - percent) / 100
    };
    let queued_ms = if state.queued > 0 {
        step.declared_ms
    } else {
        0
    };
    let running = state.running.iter().map(left_ms);
    let path_ms = running.clone().max().unwrap_or(0).max(queued_ms);
    let left_ms = running.sum::<u64>() + u64::from(state.queued) * step.declared_ms;
    JobView {
        priority: job.priority,
        is_long_running: false,
        arrived_ms: job.arrived_ms,
        due_ms: job.due_ms(),
        objective_ms: job.objective_ms,
        remaining_path_ms: path_ms + later_path,
        remaining_work: left_ms * step.need_milli / 1_000 + later_work,
        work: job
            .steps
            .iter()
            .map(|step| step.work(step.declared_ms))
            .sum(),
        has_begun: state.has_begun,
    }
}
