//! Case `waiting`: time of a scheduling pass beside many flows that wait for room.

use crate::bounds::bound;
use crate::deciding::{PASS_INTERVAL_MS, add, by_outlook, loaded_scheduler, step, with_shares};
use crate::results::{Bound, Results};
use flow::{FlowSpec, Policies};
use std::time::Instant;

/// Measured numbers of waiting flows.
const FLOWS: [usize; 3] = [500, 2_000, 7_000];
/// Number to which the bound applies. An entry with a tenth of a processor answers queries within their
/// 500 ms only if a pass takes less than 50 ms of processor time.
const BOUND_FLOWS: usize = 7_000;
/// Steps of each flow, none of which depends on another.
const STEPS: usize = 30;
/// Number of workers.
const WORKERS: usize = 11;
/// Number of measured passes.
const PASSES: u32 = 10;
/// Time of the first pass, in milliseconds.
const BEGIN_MS: u64 = 2_000;

/// Mean time of a pass beside this number of waiting flows, in milliseconds.
fn measure(flows: usize, policies: Policies) -> f64 {
    let mut scheduler = loaded_scheduler(WORKERS);
    scheduler.set_policies(policies);
    // No worker has so many processors.
    let waiting = step(1, u32::MAX);
    for number in 0..flows {
        let spec = FlowSpec {
            payload: String::new(),
            steps: vec![waiting.clone(); STEPS],
            schedule: None,
        };
        add(&mut scheduler, BEGIN_MS, format!("waiting{number}"), spec);
    }
    scheduler.place(BEGIN_MS, 0);
    let began = Instant::now();
    for number in 1..=u64::from(PASSES) {
        scheduler.place(BEGIN_MS + number * PASS_INTERVAL_MS, 0);
    }
    began.elapsed().as_secs_f64() * 1e3 / f64::from(PASSES)
}

/// Measures each number of flows.
pub fn run(results: &mut Results) {
    let mut points = Vec::new();
    for flows in FLOWS {
        let took_ms = measure(flows, Policies::default());
        let most = Bound::AtMost(bound("waiting", "pass_ms_at_7000"));
        let most = (flows == BOUND_FLOWS).then_some(most);
        let subject = format!("{flows} waiting flows");
        results.add("waiting", &subject, "a pass, ms", took_ms, most);
        points.push((flows as f64, took_ms));
    }
    for (policies, name) in [(by_outlook(), "by outlook"), (with_shares(), "shares")] {
        let took_ms = measure(BOUND_FLOWS, policies);
        let most = Bound::AtMost(bound("waiting", "pass_ms_at_7000"));
        let subject = format!("{BOUND_FLOWS} waiting flows, {name}");
        results.add("waiting", &subject, "a pass, ms", took_ms, Some(most));
    }
    results.plot("a pass, ms, by waiting flows", "ours", points);
}
