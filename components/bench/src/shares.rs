//! Case `shares`: time of a start while thousands of tasks of several queues wait, with shares and without.

use crate::bounds::bound;
use crate::deciding::{PASS_INTERVAL_MS, loaded_scheduler, place_all, queue, step};
use crate::results::{Bound, Results};
use flow::{FairSharePolicy, FlowConfig, FlowJob, FlowSpec, Policies, Queue, QueueKey};
use std::time::Instant;

/// Number of workers.
const WORKERS: usize = 620;
/// Number of queues.
const QUEUES: usize = 10;
/// Number of flows; half of them are of the first queue.
const FLOWS: usize = 1_000;
/// Number of tasks of each.
const TASKS: u32 = 10;
/// Processors of each task, in thousandths. A quarter of the tasks find room.
const TASK_MILLI: u32 = 8_000;
/// Number of measured passes; shares are observed in one of five.
const PASSES: u64 = 25;
/// Time of the first pass, in milliseconds.
const BEGIN_MS: u64 = 2_000;

fn key(number: usize) -> QueueKey {
    QueueKey {
        host: "a.example".to_owned(),
        prefix: format!("/q{number}/"),
    }
}

/// Mean time of a start, in microseconds; passes that start nothing count too.
fn measure(policies: Policies) -> f64 {
    let mut scheduler = loaded_scheduler(WORKERS);
    scheduler.set_policies(policies);
    let first = queue(QueueKey::default());
    let others = (0..QUEUES).map(|number| queue(key(number)));
    let queues: Vec<Queue> = std::iter::once(first).chain(others).collect();
    scheduler.set_config(FlowConfig {
        version: 2,
        queues,
        pools: Vec::new(),
    });
    for number in 0..FLOWS {
        let queue = if number < FLOWS / 2 {
            0
        } else {
            number % QUEUES
        };
        let job = FlowJob {
            id: format!("flow{number}").into(),
            queue: key(queue),
            spec: FlowSpec {
                payload: String::new(),
                steps: vec![step(TASKS, TASK_MILLI)],
                schedule: None,
            },
            accepted_wall_ms: 0,
        };
        scheduler.add(BEGIN_MS, 0, job);
    }
    let (mut starts, began) = (0, Instant::now());
    for number in 0..PASSES {
        starts += place_all(&mut scheduler, BEGIN_MS + number * PASS_INTERVAL_MS);
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(starts.max(1) as u32)
}

/// Measures the case without shares, with them, and with the order under overload in both.
pub fn run(results: &mut Results) {
    for (subject, has_shares, overload_order) in [
        ("no shares", false, false),
        ("shares", true, false),
        ("no shares, by outlook", false, true),
        ("shares, by outlook", true, true),
    ] {
        let policies = Policies {
            fair_shares: has_shares.then(FairSharePolicy::default),
            overload_order,
            ..Policies::default()
        };
        let most = Bound::AtMost(bound("shares", "start_us_at_620"));
        let took_us = measure(policies);
        results.add("shares", subject, "a start, us", took_us, Some(most));
    }
}
