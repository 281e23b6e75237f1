//! Case `preempting`: mean time of a scheduling pass while urgent tasks search for runs to preempt and find
//! none worthwhile, in a pool that is full of less urgent runs.

use crate::bounds::bound;
use crate::deciding::{COMMIT_LIMITS, add_to, loaded_scheduler, queue_key, step, two_priorities};
use crate::results::{Bound, Results};
use flow::{Effect, FlowSpec, Policies, QueueKey, Scheduler, StartOutcome, StepSpec};
use std::time::Instant;

/// Number of workers.
const WORKERS: usize = 620;
/// Number of less urgent runs on each worker, which take all processors that long-running tasks leave.
const RUNS_PER_WORKER: u32 = 32;
/// Tasks of each less urgent flow.
const BATCH_TASKS: u32 = 310;
/// Number of urgent flows, of one task each.
const URGENT: usize = 10_000;
/// Number of measured passes.
const PASSES: u64 = 10;
/// Time between two measured passes, in milliseconds; the least interval between two searches.
const PASS_INTERVAL_MS: u64 = 100;
/// Time of the first pass, in milliseconds.
const BEGIN_MS: u64 = 2_000;

fn batch_queue() -> QueueKey {
    QueueKey {
        prefix: "/batch/".to_owned(),
        ..queue_key()
    }
}

fn flow_of(step: StepSpec) -> FlowSpec {
    FlowSpec {
        payload: String::new(),
        steps: vec![step],
        schedule: None,
    }
}

/// A scheduler whose workers have no room beside less urgent runs that save their progress.
fn full_scheduler() -> Scheduler {
    let mut scheduler = loaded_scheduler(WORKERS);
    scheduler.set_config(two_priorities(batch_queue()));
    let batch = StepSpec {
        saves_progress: true,
        estimate_ms: 60_000,
        ..step(BATCH_TASKS, 1_000)
    };
    let flows = WORKERS as u32 * RUNS_PER_WORKER / BATCH_TASKS;
    for number in 0..flows {
        let spec = flow_of(batch.clone());
        add_to(
            &mut scheduler,
            batch_queue(),
            BEGIN_MS,
            format!("batch{number}"),
            spec,
        );
    }
    scheduler.place(BEGIN_MS, 0);
    let rows = scheduler.take_commit(BEGIN_MS, &COMMIT_LIMITS);
    scheduler.on_committed(&rows);
    for effect in scheduler.take_effects() {
        if let Effect::Start(run, _) = effect {
            let outcome = StartOutcome::Started;
            scheduler.on_start(BEGIN_MS, &run.agent, &run.task, run.run, outcome);
        }
    }
    scheduler
}

/// Mean time of a pass, in milliseconds.
fn measure(preemption: bool) -> f64 {
    let mut scheduler = full_scheduler();
    scheduler.set_policies(Policies {
        preemption,
        ..Policies::default()
    });
    for number in 0..URGENT {
        // The work of such a flow is less than what a preemption costs.
        let urgent = StepSpec {
            estimate_ms: 900,
            ..step(1, 500)
        };
        let id = format!("urgent{number}");
        add_to(&mut scheduler, queue_key(), BEGIN_MS, id, flow_of(urgent));
    }
    let began = Instant::now();
    for number in 1..=PASSES {
        scheduler.place(BEGIN_MS + number * PASS_INTERVAL_MS, 0);
    }
    began.elapsed().as_secs_f64() * 1e3 / PASSES as f64
}

/// Measures the case with and without the policy.
pub fn run(results: &mut Results) {
    for (subject, preemption) in [("without preemption", false), ("with preemption", true)] {
        let most = Bound::AtMost(bound("preempting", "pass_ms_at_620"));
        results.add(
            "preempting",
            subject,
            "a pass, ms",
            measure(preemption),
            Some(most),
        );
    }
}
