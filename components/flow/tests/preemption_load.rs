//! What preemption does under load: urgent flows beside batch flows that fill the pool, in virtual time.

mod common;

use common::preemptions::{batch_queue, saving, two_queues};
use common::{Sim, step};
use flow::FlowPhase;
use model::JobId;
use std::collections::BTreeMap;
use std::fmt;

/// Number of workers, of 4 processors each.
const WORKERS: usize = 6;
/// Time during which flows arrive, in milliseconds.
const SPAN_MS: u64 = 60_000;
/// Objective of an urgent flow, in milliseconds: twice the run time, and the latency target.
const URGENT_OBJECTIVE_MS: u64 = 2_500;

/// Results of one load.
#[derive(Debug)]
struct Outcome {
    preemption: bool,
    /// Time between two urgent flows, in milliseconds.
    interval_ms: u64,
    in_time: usize,
    urgent: usize,
    preemptions: usize,
    /// Time until all batch flows ended, in milliseconds.
    batch_ms: u64,
    /// Starts of batch tasks.
    batch_starts: u32,
}

impl fmt::Display for Outcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            interval_ms,
            in_time,
            urgent,
            preemptions,
            batch_ms,
            batch_starts,
            ..
        } = self;
        let policy = if self.preemption {
            "with   "
        } else {
            "without"
        };
        write!(
            out,
            "every {interval_ms:>4} ms, {policy}: {in_time:>3} of {urgent:>3} urgent in time, \
             {preemptions:>3} preemptions, {batch_starts} batch starts, batch done after {batch_ms} ms"
        )
    }
}

/// Lets urgent flows of two tasks arrive beside 60 batch tasks of 10 s, which fill the pool for 50 s.
fn play(interval_ms: u64, preemption: bool) -> Outcome {
    let mut sim = two_queues(WORKERS, preemption);
    for number in 0..10 {
        sim.submit_batch(&format!("batch{number}"), vec![saving(6, 2_000, 10_000)]);
    }
    sim.run_for(2_000);
    let mut begun_ms: BTreeMap<JobId, u64> = BTreeMap::new();
    while sim.now_ms < SPAN_MS {
        let job = sim.submit(
            &format!("urgent{:03}", begun_ms.len()),
            vec![step(2, 1_500, 1_000)],
        );
        begun_ms.insert(job, sim.now_ms);
        sim.run_for(interval_ms);
    }
    assert!(sim.run_until_ended(120_000));
    assert!(
        sim.ended_ms
            .values()
            .all(|(_, phase)| *phase == FlowPhase::Completed)
    );
    outcome(&sim, interval_ms, preemption, &begun_ms)
}

fn outcome(
    sim: &Sim,
    interval_ms: u64,
    preemption: bool,
    begun_ms: &BTreeMap<JobId, u64>,
) -> Outcome {
    let is_in_time =
        |(job, begun_ms): &(&JobId, &u64)| sim.ended_ms[*job].0 <= **begun_ms + URGENT_OBJECTIVE_MS;
    let batch = sim.jobs.values().filter(|job| job.queue == batch_queue());
    let batch: Vec<&JobId> = batch.map(|job| &job.id).collect();
    Outcome {
        preemption,
        interval_ms,
        in_time: begun_ms.iter().filter(is_in_time).count(),
        urgent: begun_ms.len(),
        preemptions: sim.preempted.len(),
        batch_ms: batch
            .iter()
            .map(|job| sim.ended_ms[*job].0)
            .max()
            .unwrap_or(0),
        batch_starts: batch.iter().map(|job| sim.starts[*job]).sum(),
    }
}

/// Guards against preemptions that do not pay: urgent flows that are late in spite of them, and batch flows
/// that take much longer for them.
#[test]
fn urgent_flows_are_in_time_and_batch_flows_go_on() {
    let mut lines = Vec::new();
    for interval_ms in [500, 1_000, 2_000, 4_000] {
        let without = play(interval_ms, false);
        let with = play(interval_ms, true);
        lines.push(without.to_string());
        lines.push(with.to_string());
        assert_eq!(without.preemptions, 0);
        assert!(with.in_time > without.in_time, "{without}\n{with}");
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    every  500 ms, without:  95 of 114 urgent in time,   0 preemptions, 60 batch starts, batch done after 78540 ms
    every  500 ms, with   : 114 of 114 urgent in time,   4 preemptions, 64 batch starts, batch done after 74240 ms
    every 1000 ms, without:  49 of  57 urgent in time,   0 preemptions, 60 batch starts, batch done after 65340 ms
    every 1000 ms, with   :  57 of  57 urgent in time,   3 preemptions, 63 batch starts, batch done after 64440 ms
    every 2000 ms, without:   8 of  29 urgent in time,   0 preemptions, 60 batch starts, batch done after 57440 ms
    every 2000 ms, with   :  29 of  29 urgent in time,  16 preemptions, 76 batch starts, batch done after 63140 ms
    every 4000 ms, without:   4 of  15 urgent in time,   0 preemptions, 60 batch starts, batch done after 55240 ms
    every 4000 ms, with   :  15 of  15 urgent in time,   9 preemptions, 69 batch starts, batch done after 61140 ms
    ");
}
