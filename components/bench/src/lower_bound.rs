//! Lower bound of latency: one central queue that knows every run time.

use crate::load::{Outcome, Sample};
use crate::trace::Arrival;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Simulates a trace on one queue that serves all slots in order of arrival, without overhead. A
/// request that would wait longer than `wait_limit_ms` is refused on arrival, with latency 0.
pub fn central_queue(trace: &[Arrival], slots: usize, wait_limit_ms: f64) -> Vec<Sample> {
    let mut free_slots_us: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let mut samples = Vec::with_capacity(trace.len());
    for arrival in trace {
        let at_us = (arrival.at_ms * US_PER_MS) as u64;
        let Reverse(free_us) = free_slots_us.pop().expect("there is at least one slot");
        let start_us = free_us.max(at_us);
        let wait_ms = (start_us - at_us) as f64 / US_PER_MS;
        let refused = wait_ms > wait_limit_ms;
        let end_us = start_us + (arrival.run_ms as f64 * US_PER_MS) as u64;
        free_slots_us.push(Reverse(if refused { free_us } else { end_us }));
        let latency_ms = if refused {
            0.0
        } else {
            (end_us - at_us) as f64 / US_PER_MS
        };
        let outcome = if refused {
            Outcome::Refused
        } else {
            Outcome::Complete
        };
        samples.push(Sample {
            arrival: *arrival,
            latency_ms,
            outcome,
        });
    }
    samples
}
