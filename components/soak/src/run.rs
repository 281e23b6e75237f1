//! One run: load, faults, and then everything that was accepted has to end.

use crate::callers::{Callers, Handed, Told};
use crate::check::{Breach, Promise, check};
use crate::fleet::Fleet;
use crate::{Fault, Options, plan};
use platform_standin::worker::WorkerStandIn;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time until the system is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two questions.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A process could not be started, signalled or ended.
    #[error("a process can't be run: {0}")]
    Process(#[from] io::Error),
    /// The system is not ready in time.
    #[error("entry {0} is not ready within 20 s")]
    NotReady(usize),
}

/// What came out of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Faults that were injected.
    pub faults: Vec<Fault>,
    /// Jobs handed in.
    pub jobs: usize,
    /// Jobs accepted.
    pub accepted: usize,
    /// Runs that workers began.
    pub runs: usize,
    /// The slowest refusal, in milliseconds.
    pub slowest_refusal_ms: u64,
    /// Time from the end of the load until all accepted work was over, in milliseconds.
    pub settled_ms: u64,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
}

/// Runs the system under the faults that follow from a seed.
///
/// # Errors
/// The system could not be run.
pub async fn run(seed: u64, options: &Options) -> Result<Outcome, SoakError> {
    let fleet = Rc::new(Fleet::start(options).await?);
    let callers = Rc::new(Callers::new(fleet.clone()));
    until_ready(&callers, &fleet).await?;
    let faults = plan(seed, options);
    let load = callers.clone().run(seed, options.spans.load_ms);
    let (handed, injected) = futures::join!(load, inject(&fleet, &faults));
    injected?;
    let began = Instant::now();
    let mut breaches = settle(&callers, &fleet, &handed, options).await;
    let settled_ms = began.elapsed().as_millis() as u64;
    let missing = fleet.missing().into_iter();
    let missing = missing.map(|number| format!("process {number}"));
    breaches.extend(missing.map(|detail| Breach::new(Promise::StaysUp, detail)));
    let runs = fleet.workers.iter().flat_map(WorkerStandIn::executions);
    let runs: Vec<_> = runs.collect();
    breaches.extend(check(&runs, &handed));
    let refusals = handed.iter().map(|job| job.slowest_refusal);
    Ok(Outcome {
        faults,
        jobs: handed.len(),
        accepted: handed.iter().filter(|job| is_owed(job)).count(),
        runs: runs.len(),
        slowest_refusal_ms: refusals.max().unwrap_or_default().as_millis() as u64,
        settled_ms,
        breaches,
    })
}

fn is_owed(job: &Handed) -> bool {
    job.told == Told::Accepted
}

async fn until_ready(callers: &Callers, fleet: &Fleet) -> Result<(), SoakError> {
    let began = Instant::now();
    for entry in 0..fleet.fronts.len() {
        while !callers.has_scheduler(entry).await {
            if began.elapsed() > READY_LIMIT {
                return Err(SoakError::NotReady(entry));
            }
            actix_rt::time::sleep(ASK_PAUSE).await;
        }
    }
    Ok(())
}

async fn inject(fleet: &Rc<Fleet>, faults: &[Fault]) -> io::Result<()> {
    let all = faults.iter().map(|fault| async {
        actix_rt::time::sleep(Duration::from_millis(fault.at_ms)).await;
        fleet.begin(fault)?;
        actix_rt::time::sleep(Duration::from_millis(fault.length_ms)).await;
        fleet.end(fault)
    });
    let ended = futures::future::join_all(all).await;
    ended.into_iter().collect()
}

/// Waits until every accepted job is over, and asks every entry for its state.
async fn settle(
    callers: &Callers,
    fleet: &Fleet,
    handed: &[Handed],
    options: &Options,
) -> Vec<Breach> {
    let until = Instant::now() + Duration::from_millis(options.spans.settle_ms);
    let mut breaches = Vec::new();
    for job in handed.iter().filter(|job| is_owed(job)) {
        for entry in 0..fleet.fronts.len() {
            let state = until_over(callers, entry, job, until).await;
            if state.is_empty() || !is_right(job, &state) {
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

fn is_right(job: &Handed, state: &str) -> bool {
    match state {
        "completed" => true,
        "cancelled" => job.asked_to_cancel,
        _ => false,
    }
}

/// The state of a job at an entry once it is right, or the last one in time.
async fn until_over(callers: &Callers, entry: usize, job: &Handed, until: Instant) -> String {
    loop {
        let state = callers.state(entry, &job.id).await;
        if is_right(job, &state) || Instant::now() >= until {
            return state;
        }
        actix_rt::time::sleep(ASK_PAUSE).await;
    }
}
