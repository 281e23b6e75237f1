//! Case `near`: time of a start while thousands of tasks have their data on one full rack.

use crate::bounds::bound;
use crate::deciding::{PASS_INTERVAL_MS, add, loaded_scheduler, place_all, step};
use crate::results::{Bound, Results};
use flow::{FlowSpec, Policies, StepSpec};
use std::time::Instant;

/// Number of workers, ten to a rack.
const WORKERS: usize = 620;
/// Number of flows with data on the first rack.
const FLOWS: usize = 1_000;
/// Number of tasks of each.
const TASKS: u32 = 10;
/// Number of measured passes.
const PASSES: u64 = 10;
/// Time of the first pass, in milliseconds.
const BEGIN_MS: u64 = 2_000;

/// Mean time of a start, in microseconds; passes that start nothing count too.
fn measure(remote_factor: Option<f64>) -> f64 {
    let mut scheduler = loaded_scheduler(WORKERS);
    scheduler.set_policies(Policies {
        remote_factor,
        ..Policies::default()
    });
    let hot = StepSpec {
        data_rack: Some("r0".to_owned()),
        ..step(TASKS, 2_000)
    };
    for number in 0..FLOWS {
        let spec = FlowSpec {
            payload: String::new(),
            steps: vec![hot.clone()],
            schedule: None,
        };
        add(&mut scheduler, BEGIN_MS, format!("hot{number}"), spec);
    }
    let (mut starts, began) = (0, Instant::now());
    for number in 0..PASSES {
        starts += place_all(&mut scheduler, BEGIN_MS + number * PASS_INTERVAL_MS);
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(starts.max(1) as u32)
}

/// Measures the case without waits and with two factors by which remote runs take longer.
pub fn run(results: &mut Results) {
    for (subject, factor) in [
        ("no waits", None),
        ("remote factor 2", Some(2.0)),
        ("remote factor 4", Some(4.0)),
    ] {
        let most = Bound::AtMost(bound("near", "start_us_at_620"));
        results.add("near", subject, "a start, us", measure(factor), Some(most));
    }
}
