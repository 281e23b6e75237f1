//! One run: load with faults, then a wait until every accepted job has ended, then the checks.

use crate::callers::{Callers, SubmitOutcome, SubmittedJob};
use crate::check::{Breach, Promise, check, check_evacuation};
use crate::fleet::Fleet;
use crate::{Fault, Options, plan_faults};
use platform_standin::worker::WorkerStandIn;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which every entry has to answer with a scheduler after the start.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two queries of an entry.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Reason why a run could not be carried out; a broken promise is none.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A process could not be started, signalled or killed.
    #[error("a process can't be started, signalled or killed: {0}")]
    Process(#[from] io::Error),
    /// The entry with this number has no scheduler in time after the start.
    #[error("entry {0} is not ready within 20 s")]
    NotReady(usize),
}

/// Counts, times and broken promises of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Faults that were injected.
    pub faults: Vec<Fault>,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of accepted jobs, cancelled ones included.
    pub accepted: usize,
    /// Number of task runs that workers started.
    pub runs: usize,
    /// Time of the slowest refusal, in milliseconds; 0 without a refusal.
    pub slowest_refusal_ms: u64,
    /// Time from the end of the load and the faults until every accepted job ended, or until the
    /// limit, in milliseconds.
    pub settled_ms: u64,
    /// Broken promises; empty after a good run.
    pub breaches: Vec<Breach>,
}

/// Runs the system once, with load and faults derived from a seed.
///
/// # Errors
/// A process could not be started, signalled or killed, or the system was not ready in time.
pub async fn run(seed: u64, options: &Options) -> Result<Outcome, SoakError> {
    let fleet = Rc::new(Fleet::start(options).await?);
    let callers = Rc::new(Callers::new(fleet.clone(), options));
    wait_until_ready(&callers, &fleet).await?;
    let faults = plan_faults(seed, options);
    let load = callers.clone().run(seed, options.durations.load_ms);
    let (jobs, injected) = futures::join!(load, inject_faults(&fleet, &faults));
    injected?;
    let started = Instant::now();
    let mut breaches = check_final_states(&callers, &fleet, &jobs, options).await;
    let settled_ms = started.elapsed().as_millis() as u64;
    let exited = fleet.exited_nodes().into_iter();
    let exited = exited.map(|number| format!("process {number} has exited"));
    breaches.extend(exited.map(|detail| Breach::new(Promise::StaysUp, detail)));
    let runs = fleet.workers.iter().flat_map(WorkerStandIn::executions);
    let runs: Vec<_> = runs.collect();
    breaches.extend(check(&runs, &jobs));
    let evacuations = fleet.evacuations();
    let late = evacuations.iter();
    breaches.extend(late.flat_map(|(evacuation, runs)| check_evacuation(evacuation, runs)));
    let refusals = jobs.iter().map(|job| job.slowest_refusal);
    Ok(Outcome {
        faults,
        jobs: jobs.len(),
        accepted: jobs.iter().filter(|job| is_accepted(job)).count(),
        runs: runs.len(),
        slowest_refusal_ms: refusals.max().unwrap_or_default().as_millis() as u64,
        settled_ms,
        breaches,
    })
}

fn is_accepted(job: &SubmittedJob) -> bool {
    job.outcome == SubmitOutcome::Accepted
}

async fn wait_until_ready(callers: &Callers, fleet: &Fleet) -> Result<(), SoakError> {
    let started = Instant::now();
    for entry in 0..fleet.fronts.len() {
        while !callers.has_scheduler(entry).await {
            if started.elapsed() > READY_LIMIT {
                return Err(SoakError::NotReady(entry));
            }
            actix_rt::time::sleep(POLL_PAUSE).await;
        }
    }
    Ok(())
}

async fn inject_faults(fleet: &Rc<Fleet>, faults: &[Fault]) -> io::Result<()> {
    let all = faults.iter().map(|fault| async {
        actix_rt::time::sleep(Duration::from_millis(fault.at_ms)).await;
        fleet.start_fault(fault)?;
        actix_rt::time::sleep(Duration::from_millis(fault.length_ms)).await;
        fleet.end_fault(fault)
    });
    let results = futures::future::join_all(all).await;
    results.into_iter().collect()
}

/// Waits until every entry reports an expected final state of each accepted job, for all of them
/// together at most the settling time, and returns the jobs for which an entry does not.
async fn check_final_states(
    callers: &Callers,
    fleet: &Fleet,
    jobs: &[SubmittedJob],
    options: &Options,
) -> Vec<Breach> {
    let deadline = Instant::now() + Duration::from_millis(options.durations.settle_ms);
    let mut breaches = Vec::new();
    for job in jobs.iter().filter(|job| is_accepted(job)) {
        for entry in 0..fleet.fronts.len() {
            let state = poll_final_state(callers, entry, job, deadline).await;
            if state.is_empty() || !is_expected(job, &state) {
                let promise = if entry == 0 {
                    Promise::AcceptedEnds
                } else {
                    Promise::OneState
                };
                let detail = format!("{} is {state:?} at entry {entry}", job.id);
                breaches.push(Breach::new(promise, detail));
            }
        }
    }
    breaches
}

/// Whether a final state fits the job: completed, or failed if it is deadly, or cancelled if that was
/// requested.
fn is_expected(job: &SubmittedJob, state: &str) -> bool {
    match state {
        "completed" => !job.is_deadly,
        "failed" => job.is_deadly,
        "cancelled" => job.is_cancel_requested,
        _ => false,
    }
}

/// Polls an entry until it reports an expected final state of a job; returns the last state that it
/// reported, expected or not, once the deadline has passed.
async fn poll_final_state(
    callers: &Callers,
    entry: usize,
    job: &SubmittedJob,
    deadline: Instant,
) -> String {
    loop {
        let state = callers.state(entry, &job.id).await;
        if is_expected(job, &state) || Instant::now() >= deadline {
            return state;
        }
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
}
