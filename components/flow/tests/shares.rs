//! Shares of queues under the policy `fair_shares`, in virtual time.

mod common;

use common::{Sim, step};
use flow::{FairSharePolicy, MAX_QUEUE_LABELS, Policies, Queue, QueueKey, StepSpec};
use model::{JobId, Resources};
use std::collections::BTreeMap;

/// Run time of each task, in milliseconds.
const RUN_MS: u64 = 1_000;
/// Time between two flows of each ordinary queue, in milliseconds. Three of them need 15 of 32 processors.
const INTERVAL_MS: u64 = 1_600;
/// Number of ordinary queues.
const ORDINARY: usize = 3;
/// Simulated time under load, in milliseconds.
const LOAD_MS: u64 = 24_000;

fn key(name: &str) -> QueueKey {
    QueueKey {
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
    }
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        key: key(name),
        service: "pool".into(),
        priority,
        max_attempts: 3,
        stretch: 2.0,
        latency_target_ms: 500,
    }
}

fn fair(weights: &[(&str, f64)]) -> Policies {
    let named = weights.iter();
    let weights = named.map(|(name, weight)| (key(name).to_string(), *weight));
    Policies {
        fair_shares: Some(FairSharePolicy {
            weights: weights.collect(),
        }),
        ..Policies::default()
    }
}

/// Two workers with 32 processors together and these queues of one priority.
fn sim_with(names: &[&str], policies: Policies) -> Sim {
    let mut sim = Sim::new(2);
    sim.set_queues(names.iter().map(|name| queue(name, 0)).collect());
    sim.set_policies(policies);
    sim.run_for(500);
    sim
}

fn submit(sim: &mut Sim, name: &str, id: &str, steps: Vec<StepSpec>) -> JobId {
    sim.submit_to(key(name), id, steps, None)
}

/// A flow of four tasks of two processors.
fn four_tasks() -> Vec<StepSpec> {
    vec![step(4, 2_000, RUN_MS)]
}

/// Debt of a queue as of the last observation, in percent.
fn debt_percent(sim: &Sim, name: &str) -> f64 {
    let name = key(name).to_string();
    let mut shares = sim.scheduler.queue_shares().iter();
    shares
        .find(|share| share.queue == name)
        .map_or(0.0, |share| share.debt_percent)
}

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

/// Number of starts of the flows whose names begin with `prefix`.
fn starts_of(sim: &Sim, prefix: &str) -> usize {
    let started = sim.started.iter();
    let of_queue = started.filter(|(task, _, _)| task.job.as_str().starts_with(prefix));
    of_queue.count()
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

/// Guards against queues of other priorities that take part: an urgent queue owes nothing to a less urgent
/// one, and goes on before it.
#[test]
fn queues_of_different_priorities_do_not_compete() {
    let mut sim = sim_with(&[], fair(&[]));
    sim.set_queues(vec![queue("urgent", 0), queue("batch", 1)]);
    submit(&mut sim, "batch", "batch", four_tasks());
    for number in 0..40 {
        submit(&mut sim, "urgent", &format!("urgent{number}"), four_tasks());
    }
    sim.run_for(4_000);
    assert_eq!(debt_percent(&sim, "urgent"), 0.0);
    assert_eq!(starts_of(&sim, "batch"), 0);
}

/// Guards against long-running flows that lose their place before others because of their queue's debt, and
/// against debts by their use.
#[test]
fn long_running_flows_keep_their_place() {
    let long = || StepSpec {
        long_running: true,
        ..step(1, 8_000, RUN_MS)
    };
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    submit(&mut sim, "busy", "long", vec![step(16, 2_000, 5_000)]);
    sim.run_for(500);
    submit(&mut sim, "q0", "waits", vec![step(80, 2_000, RUN_MS)]);
    sim.run_for(3_000);
    assert!(debt_percent(&sim, "busy") > 0.0);
    submit(&mut sim, "busy", "serving", vec![long()]);
    sim.run_for(4_000);
    let first_ms = |prefix: &str| {
        let mut started = sim.started.iter();
        let first = started.find(|(task, _, _)| task.job.as_str().starts_with(prefix));
        first.map(|(_, _, at_ms)| *at_ms).unwrap()
    };
    // Both find room in the same pass, which has too little for all.
    assert_eq!(first_ms("serving"), first_ms("waits"));
    // Long-running flows alone are no use of a share.
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    for number in 0..4 {
        submit(&mut sim, "busy", &format!("serving{number}"), vec![long()]);
    }
    submit(&mut sim, "q0", "waits", four_tasks());
    sim.run_for(3_000);
    assert_eq!(debt_percent(&sim, "busy"), 0.0);
}

/// Guards against debts by tasks that never had a place: one that no worker has room for delays no queue.
#[test]
fn tasks_that_fit_no_worker_wait_for_nobody() {
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    submit(&mut sim, "q0", "giant", vec![step(1, 90_000, RUN_MS)]);
    for number in 0..20 {
        submit(&mut sim, "busy", &format!("f{number}"), four_tasks());
    }
    sim.run_for(3_000);
    assert_eq!(debt_percent(&sim, "busy"), 0.0);
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

/// Guards against as many labels of metrics as there are queues.
#[test]
fn the_labels_of_queues_are_bounded() {
    let names: Vec<String> = (0..2 * MAX_QUEUE_LABELS)
        .map(|number| format!("q{number}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = sim_with(&names, fair(&[]));
    assert!(sim.scheduler.queue_shares().is_empty());
    for (number, name) in names.iter().enumerate() {
        let mut one = step(1, 100 * (number as u32 + 1), 60_000);
        one.need = Resources::new(one.need.processors_milli, 10, 0);
        submit(&mut sim, name, name, vec![one]);
    }
    sim.run_for(2_000);
    let shares = sim.scheduler.queue_shares();
    assert_eq!(shares.len(), MAX_QUEUE_LABELS + 1);
    assert_eq!(shares[0].queue, key("q19").to_string());
    assert_eq!(shares[MAX_QUEUE_LABELS].queue, "other");
    let sum: f64 = shares.iter().map(|share| share.share_percent).sum();
    // 21 of 32 processors, for about 1.9 of the 10 s of the window.
    assert!((10.0..14.0).contains(&sum), "{sum} %");
}
