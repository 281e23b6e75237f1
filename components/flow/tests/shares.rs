//! Shares of queues under load with the policy `fair_shares`, in virtual time.

mod common;

use common::queues::{
    RUN_MS, debt_percent, fair, four_tasks, key, queue, sim_with, starts_of, submit,
};
use common::{Sim, step};
use flow::Policies;
use model::JobId;
use std::collections::BTreeMap;

/// Time between two flows of each ordinary queue, in milliseconds. Three of them need 15 of 32 processors.
const INTERVAL_MS: u64 = 1_600;
/// Number of ordinary queues.
const ORDINARY: usize = 3;
/// Simulated time under load, in milliseconds.
const LOAD_MS: u64 = 24_000;

/// Ordinary queues that each send a flow every [`INTERVAL_MS`], beside one that sends `factor` times as many.
struct Load {
    sim: Sim,
    factor: u64,
    /// When each flow of an ordinary queue was submitted, in milliseconds.
    submitted_ms: BTreeMap<JobId, u64>,
    number: usize,
}

impl Load {
    fn new(factor: u64, policies: Policies) -> Self {
        Self {
            sim: sim_with(&["busy", "q0", "q1", "q2"], policies),
            factor,
            submitted_ms: BTreeMap::new(),
            number: 0,
        }
    }

    /// Submits flows of the queues in turn. The runs of the busy one take 0.6 to 1.4 s, so that they don't
    /// all end at once.
    fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.sim.now_ms + span_ms;
        let parts = self.factor.max(ORDINARY as u64);
        let stride = parts / ORDINARY as u64;
        while self.sim.now_ms < until_ms {
            for part in 0..parts {
                let (queue, turn) = (part / stride, part % stride);
                if turn == 0 && queue < ORDINARY as u64 {
                    let id = format!("q{queue}-{:04}", self.number);
                    let job = submit(&mut self.sim, &format!("q{queue}"), &id, four_tasks());
                    self.submitted_ms.insert(job, self.sim.now_ms);
                }
                if part < self.factor {
                    let id = format!("busy-{:04}-{part}", self.number);
                    let run_ms = 600 + 100 * ((self.number as u64 + part) % 9);
                    submit(&mut self.sim, "busy", &id, vec![step(4, 2_000, run_ms)]);
                }
                self.sim.run_for(INTERVAL_MS / parts);
            }
            self.number += 1;
        }
    }

    /// Mean and longest time from the submission of an ordinary queue's flow to its first start, in
    /// milliseconds. A flow that has not started counts with its time until now.
    fn waits_ms(&self) -> (u64, u64) {
        let mut first_ms: BTreeMap<&JobId, u64> = BTreeMap::new();
        for (task, _, at_ms) in &self.sim.started {
            first_ms.entry(&task.job).or_insert(*at_ms);
        }
        let waits = self.submitted_ms.iter().map(|(job, submitted_ms)| {
            let started_ms = first_ms.get(job).copied().unwrap_or(self.sim.now_ms);
            started_ms - submitted_ms
        });
        let waits: Vec<u64> = waits.collect();
        let longest_ms = waits.iter().max().copied().unwrap_or(0);
        (waits.iter().sum::<u64>() / waits.len() as u64, longest_ms)
    }
}

/// Guards against one queue that sends ten times as much as each of the others and makes them wait behind
/// its flows: it delays its own only. The pool does no less work for that.
#[test]
fn a_queue_that_sends_ten_times_as_much_delays_its_own_flows() {
    let mut waits_ms = Vec::new();
    let mut starts = Vec::new();
    for (factor, policies) in [(0, fair(&[])), (10, fair(&[])), (10, Policies::default())] {
        let mut load = Load::new(factor, policies);
        load.run_for(LOAD_MS);
        waits_ms.push(load.waits_ms());
        starts.push(load.sim.started.len());
    }
    let [
        (alone_ms, _),
        (fair_ms, fair_longest_ms),
        (former_ms, former_longest_ms),
    ] = waits_ms[..]
    else {
        panic!("three loads");
    };
    println!("waits {waits_ms:?}, starts {starts:?}");
    // Nothing is stopped for a flow: it waits for a run that ends, which takes less than a run.
    assert!(
        fair_ms <= alone_ms + RUN_MS / 4,
        "{fair_ms} ms, alone {alone_ms} ms"
    );
    assert!(fair_longest_ms <= RUN_MS, "{fair_longest_ms} ms");
    assert!(
        former_ms > 4 * fair_ms && former_longest_ms > 4 * RUN_MS,
        "{former_ms} ms"
    );
    assert!(starts[1] * 100 >= starts[2] * 97, "{starts:?}");
}

/// Guards against the same with the order under overload, whose rule holds within a queue's share only.
#[test]
fn the_order_under_overload_applies_within_a_share() {
    let mut waits_ms = Vec::new();
    for policies in [fair(&[]), Policies::default()] {
        let mut load = Load::new(
            10,
            Policies {
                overload_order: true,
                ..policies
            },
        );
        load.run_for(LOAD_MS);
        waits_ms.push(load.waits_ms());
    }
    println!("waits {waits_ms:?}");
    let (fair_ms, longest_ms) = waits_ms[0];
    assert!(
        fair_ms <= RUN_MS / 4 && longest_ms <= RUN_MS,
        "{waits_ms:?}"
    );
    assert!(waits_ms[1].0 >= 2 * fair_ms, "{waits_ms:?}");
}

/// Guards against capacity that idles for queues that need none, and against an order that changes while one
/// queue is alone.
#[test]
fn idle_capacity_is_lent() {
    let mut started = Vec::new();
    for policies in [Policies::default(), fair(&[])] {
        let mut sim = sim_with(&["busy", "q0"], policies);
        for number in 0..40_u64 {
            let run_ms = 600 + 200 * (number % 4);
            let id = format!("f{number:02}");
            submit(&mut sim, "busy", &id, vec![step(8, 2_000, run_ms)]);
            sim.run_for(300);
        }
        assert_eq!(
            sim.run_count("w0") + sim.run_count("w1"),
            16,
            "the pool is full"
        );
        assert_eq!(debt_percent(&sim, "busy"), 0.0);
        started.push(sim.started);
    }
    assert_eq!(started[0], started[1]);
}

/// Guards against a queue that pays for capacity that it was lent before others asked for any.
#[test]
fn use_of_idle_capacity_is_not_charged_later() {
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    submit(&mut sim, "busy", "lent", vec![step(16, 2_000, 8_000)]);
    sim.run_for(8_500);
    submit(&mut sim, "q0", "later", vec![step(2, 2_000, RUN_MS)]);
    sim.run_for(1_000);
    assert_eq!(debt_percent(&sim, "busy"), 0.0);
}

/// Guards against a new scheduler that knows no debts: it takes them from the placements in the records.
#[test]
fn debts_survive_a_takeover() {
    // The runs of the busy queue hold the pool for long.
    let steps = vec![step(16, 2_000, 30_000)];
    let mut sim = sim_with(&["busy", "q0", "q1", "q2"], fair(&[]));
    submit(&mut sim, "busy", "long", steps);
    sim.run_for(500);
    for name in ["q0", "q1", "q2"] {
        submit(&mut sim, name, name, four_tasks());
    }
    sim.run_for(9_500);
    let before = debt_percent(&sim, "busy");
    sim.take_over();
    sim.run_for(300);
    let after = debt_percent(&sim, "busy");
    assert!(
        before > 250.0 && after > 250.0,
        "{before} %, then {after} %"
    );
    let mut load = Load::new(10, fair(&[]));
    load.run_for(LOAD_MS / 2);
    let (former_ms, _) = load.waits_ms();
    load.sim.take_over();
    load.run_for(LOAD_MS / 2);
    let (mean_ms, longest_ms) = load.waits_ms();
    println!(
        "waits {former_ms} ms before, {mean_ms} and at most {longest_ms} ms with the takeover"
    );
    assert!(
        mean_ms <= former_ms + RUN_MS / 4,
        "{former_ms}, then {mean_ms} ms"
    );
    assert!(longest_ms <= 2 * RUN_MS, "{longest_ms} ms");
}

/// Starts of two queues that both send more than the pool can do, with these weights.
fn compete(weights: &[(&str, f64)]) -> (usize, usize) {
    let mut sim = sim_with(&["a", "b"], fair(weights));
    for number in 0..150 {
        for name in ["a", "b"] {
            let steps = vec![step(4, 2_000, 600 + 100 * (number % 9))];
            submit(&mut sim, name, &format!("{name}{number}"), steps);
        }
        sim.run_for(200);
    }
    (starts_of(&sim, "a"), starts_of(&sim, "b"))
}

/// Guards against weights without effect, and against a queue that is preferred without one.
#[test]
fn queues_are_served_by_weight() {
    for (weights, ratio) in [
        (vec![], 1.0),
        (vec![("a", 2.0)], 2.0),
        (vec![("b", 0.25)], 4.0),
    ] {
        let (of_a, of_b) = compete(&weights);
        println!("weights {weights:?}: {of_a} and {of_b} starts");
        let actual = of_a as f64 / of_b as f64;
        assert!(
            (0.85..1.18).contains(&(actual / ratio)),
            "{weights:?}: {of_a} and {of_b}"
        );
    }
}

/// Guards against a debt that begins or ends without a line in the log, or with one in each observation.
#[test]
fn the_begin_and_the_end_of_a_debt_are_reported_once() {
    let mut sim = sim_with(&["busy", "q0", "q1", "q2"], fair(&[]));
    submit(&mut sim, "busy", "long", vec![step(16, 2_000, 9_000)]);
    sim.run_for(500);
    for name in ["q0", "q1", "q2"] {
        submit(&mut sim, name, name, four_tasks());
    }
    assert!(sim.run_until_ended(20_000));
    sim.run_for(12_000);
    let name = key("busy").to_string();
    let events: Vec<(&str, bool)> = sim
        .debt_events
        .iter()
        .map(|(_, queue, began)| (queue.as_str(), *began))
        .collect();
    assert_eq!(events, [(name.as_str(), true), (name.as_str(), false)]);
    let lasted_ms = sim.debt_events[1].0 - sim.debt_events[0].0;
    assert!((5_000..=16_500).contains(&lasted_ms), "{lasted_ms} ms");
}

/// Guards against the debt of a queue that is no longer configured, and against flows of it that stop a pass.
#[test]
fn a_queue_that_vanishes_leaves_no_debt() {
    let mut sim = sim_with(&["busy", "q0", "q1"], fair(&[]));
    submit(&mut sim, "busy", "long", vec![step(16, 2_000, 12_000)]);
    sim.run_for(500);
    submit(&mut sim, "busy", "more", four_tasks());
    let waiting = submit(&mut sim, "q0", "waits", four_tasks());
    submit(&mut sim, "q1", "waits too", four_tasks());
    sim.run_for(8_000);
    assert_eq!(sim.debt_events.len(), 1);
    sim.set_queues(vec![queue("q0", 0), queue("q1", 0)]);
    sim.run_for(200);
    assert_eq!(sim.debt_events.len(), 2);
    let shares = sim.scheduler.queue_shares();
    assert!(
        shares.iter().all(|share| !share.queue.contains("busy")),
        "{shares:?}"
    );
    sim.run_for(6_000);
    assert!(sim.ended_ms.contains_key(&waiting));
    sim.set_queues(["busy", "q0", "q1"].map(|name| queue(name, 0)).into());
    assert!(
        sim.run_until_ended(20_000),
        "its flows go on once it is back"
    );
}
