//! Command `requests`: cases on the request path.

use crate::bounds::bound;
use crate::load::{self, Outcome, Sample, Target};
use crate::lower_bound::central_queue;
use crate::results::{Bound, Results};
use crate::stats::percentile_ms;
use crate::trace::{Arrival, Phase, SEED, SHORT_MEAN_MS, STRAGGLER_FACTOR, generate_trace};
use crate::{cost, homes, hops};
use cluster::{Cluster, ClusterOptions, WorkerOptions};
use model::Resources;
use settings::RoutingPolicy;
use std::time::{Duration, Instant};

/// Number of workers of each user's service today.
const WORKERS: usize = 11;
/// Number of slots of each worker.
const SLOTS: usize = 8;
/// Load before and after the crest, as a share of capacity.
const NORMAL_LOAD: f64 = 0.7;
/// Load at the crest.
const CREST_LOAD: f64 = 3.0;
/// Deadline of a request in the case `crest`.
const CREST_DEADLINE_MS: u64 = 1_000;
/// Longest wait of the lower bound at the crest: one mean run time, as in the measured system.
const CREST_WAIT_MS: f64 = SHORT_MEAN_MS;
/// Duration of each of the three phases of the case `crest`.
const CREST_PHASE_MS: f64 = 5_000.0;
/// Time after the end of the crest from which latency must be normal again.
const RECOVERY_MS: f64 = 2_000.0;
/// Duration of the case `stragglers`.
const STRAGGLERS_MS: f64 = 20_000.0;
/// One request in this many is a straggler.
const STRAGGLER_EVERY: u32 = 100;
/// Duration of the case `faulty`.
const FAULTY_MS: f64 = 14_000.0;
/// Time from the start of the case `faulty` to the start of the faults.
const FAULTS_START_MS: f64 = 4_000.0;
/// Time from the start of the faults in which the system may adapt to them; the latency of earlier
/// requests is not counted.
const ADAPTATION_MS: f64 = 3_000.0;
/// Queue limit at an agent for policies that send requests at once instead of queueing them in the
/// entry.
const DEEP_QUEUE_PER_BACKEND: u32 = 1_000;

/// Compared policies by their subject in the results; ours first, since later ones are compared
/// with its figure.
const POLICIES: [(&str, RoutingPolicy); 5] = [
    ("ours", RoutingPolicy::LateBinding),
    ("random", RoutingPolicy::Random),
    ("round-robin", RoutingPolicy::RoundRobin),
    ("least-outstanding", RoutingPolicy::LeastOutstanding),
    ("two-choices", RoutingPolicy::TwoChoices),
];

/// Runs the cases in `only`, or all if it is empty, and saves the results. Returns whether every
/// bound holds.
pub fn run(only: &[String]) -> bool {
    let is_selected = |case: &str| only.is_empty() || only.iter().any(|name| name == case);
    println!("seed {SEED}, {WORKERS} workers with {SLOTS} slots, 3 failure domains, 2 entries");
    let mut results = Results::default();
    if is_selected("crest") {
        crest(&mut results);
    }
    if is_selected("stragglers") {
        stragglers(&mut results);
    }
    if is_selected("faulty") {
        faulty(&mut results);
    }
    if is_selected("hops") {
        hops::run(&mut results);
    }
    if is_selected("control") {
        cost::run(&mut results);
    }
    if is_selected("homes") {
        homes::run(&mut results);
    }
    results.save("requests");
    results.all_hold()
}

/// Requests a second that keep every slot busy.
fn capacity_per_s(mean_ms: f64) -> f64 {
    (WORKERS * SLOTS) as f64 * 1_000.0 / mean_ms
}

/// Starts the system with this policy and waits until all workers serve.
fn start(policy: RoutingPolicy) -> Cluster {
    let worker = WorkerOptions {
        capacity: Resources::new(64_000, 250_000, 0),
        slots: SLOTS as u32,
        work_ms: SHORT_MEAN_MS as u64,
    };
    let is_ours = policy == RoutingPolicy::LateBinding;
    let options = ClusterOptions {
        workers: vec![worker; WORKERS],
        policy,
        queue_per_backend: if is_ours { 1 } else { DEEP_QUEUE_PER_BACKEND },
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(&options).expect("the system starts");
    hops::apply_ticket(&cluster, WORKERS);
    cluster
}

/// Requests to the service through all entries in turn.
fn target(cluster: &Cluster, deadline_ms: Option<u64>) -> Target {
    Target {
        addresses: cluster
            .addresses
            .iter()
            .map(|entry| entry.traffic)
            .collect(),
        path: "/s/rooms/free".to_owned(),
        deadline_ms,
    }
}

/// Samples that were answered whole.
fn whole_answers(samples: &[Sample]) -> impl Iterator<Item = &Sample> {
    samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Complete)
}

/// 99th percentile of latency, in milliseconds, of the whole answers to the arrivals that `keep`
/// selects.
fn p99(samples: &[Sample], keep: impl Fn(&Arrival) -> bool) -> f64 {
    let kept = whole_answers(samples).filter(|sample| keep(&sample.arrival));
    percentile_ms(kept.map(|sample| sample.latency_ms), 99.0)
}

/// 99th percentile of latency for each half second; x is the time in seconds.
fn p99_over_time(samples: &[Sample]) -> Vec<(f64, f64)> {
    const STEP_MS: f64 = 500.0;
    let end_ms = samples.last().map_or(0.0, |sample| sample.arrival.at_ms);
    let steps = (end_ms / STEP_MS).ceil() as usize;
    let point = |step: usize| {
        let from_ms = step as f64 * STEP_MS;
        let within = |arrival: &Arrival| (from_ms..from_ms + STEP_MS).contains(&arrival.at_ms);
        (from_ms / 1_000.0, p99(samples, within))
    };
    (0..steps).map(point).collect()
}

/// Overload: the load rises above capacity for one phase and falls back.
fn crest(results: &mut Results) {
    let rate = |load: f64| load * capacity_per_s(SHORT_MEAN_MS);
    let phase = |load| Phase {
        length_ms: CREST_PHASE_MS,
        rate_per_s: rate(load),
    };
    let trace = generate_trace(
        &[phase(NORMAL_LOAD), phase(CREST_LOAD), phase(NORMAL_LOAD)],
        0,
    );
    let lower = central_queue(&trace, WORKERS * SLOTS, CREST_WAIT_MS);
    let at_crest =
        |arrival: &Arrival| (CREST_PHASE_MS..2.0 * CREST_PHASE_MS).contains(&arrival.at_ms);
    let lower_p99 = p99(&lower, at_crest);
    results.add(
        "crest",
        "lower bound",
        "p99 at the crest, ms",
        lower_p99,
        None,
    );
    results.plot(
        "p99 through the crest, ms",
        "lower bound",
        p99_over_time(&lower),
    );
    for (name, policy) in POLICIES {
        let cluster = start(policy);
        let samples = load::send(&trace, &target(&cluster, Some(CREST_DEADLINE_MS)));
        results.plot("p99 through the crest, ms", name, p99_over_time(&samples));
        report_crest(results, name, &samples, lower_p99, at_crest);
    }
}

/// Adds the figures of one policy; only ours has bounds.
fn report_crest(
    results: &mut Results,
    name: &str,
    samples: &[Sample],
    lower_p99: f64,
    at_crest: impl Fn(&Arrival) -> bool,
) {
    let is_ours = name == "ours";
    let limit = |bound: Bound| is_ours.then_some(bound);
    let crest: Vec<Sample> = samples
        .iter()
        .copied()
        .filter(|s| at_crest(&s.arrival))
        .collect();
    let ratio = p99(&crest, |_| true) / lower_p99;
    let most = Bound::AtMost(bound("crest", "p99_over_bound"));
    results.add(
        "crest",
        name,
        "p99 over the lower bound",
        ratio,
        limit(most),
    );
    let in_time = |sample: &&Sample| sample.latency_ms <= CREST_DEADLINE_MS as f64;
    let worked_ms: u64 = whole_answers(&crest)
        .filter(in_time)
        .map(|sample| sample.arrival.run_ms)
        .sum();
    let goodput = worked_ms as f64 / (CREST_PHASE_MS * (WORKERS * SLOTS) as f64);
    let least = Bound::AtLeast(bound("crest", "goodput_share"));
    results.add(
        "crest",
        name,
        "goodput, share of capacity",
        goodput,
        limit(least),
    );
    let accepted = samples
        .iter()
        .filter(|sample| sample.outcome != Outcome::Refused)
        .count();
    let late = samples.iter().filter(|sample| {
        let is_late = sample.latency_ms > CREST_DEADLINE_MS as f64;
        sample.outcome != Outcome::Refused && (is_late || sample.outcome == Outcome::Failed)
    });
    let late = late.count() as f64 / accepted.max(1) as f64;
    let most = Bound::AtMost(bound("crest", "late_share"));
    results.add(
        "crest",
        name,
        "late or failed after acceptance",
        late,
        limit(most),
    );
    let before = p99(samples, |arrival| arrival.at_ms < CREST_PHASE_MS);
    let after = p99(samples, |arrival| {
        arrival.at_ms >= 2.0 * CREST_PHASE_MS + RECOVERY_MS
    });
    let most = Bound::AtMost(bound("crest", "recovery_p99_ratio"));
    results.add(
        "crest",
        name,
        "p99 2 s after, over before",
        after / before,
        limit(most),
    );
    results.add("crest", name, "p99 before, ms", before, None);
}

/// Short requests beside a few very long ones, by policy.
fn stragglers(results: &mut Results) {
    let every = f64::from(STRAGGLER_EVERY);
    let mean_ms = SHORT_MEAN_MS * (1.0 + (STRAGGLER_FACTOR as f64 - 1.0) / every);
    let rate_per_s = NORMAL_LOAD * capacity_per_s(mean_ms);
    let trace = generate_trace(
        &[Phase {
            length_ms: STRAGGLERS_MS,
            rate_per_s,
        }],
        STRAGGLER_EVERY,
    );
    let lower = central_queue(&trace, WORKERS * SLOTS, f64::INFINITY);
    let short = |arrival: &Arrival| !arrival.is_straggler;
    let lower_p99 = p99(&lower, short);
    results.add(
        "stragglers",
        "lower bound",
        "short p99, ms",
        lower_p99,
        None,
    );
    let mut ours = 0.0;
    for (name, policy) in POLICIES {
        let cluster = start(policy);
        let samples = load::send(&trace, &target(&cluster, None));
        let own = p99(&samples, short);
        results.add("stragglers", name, "short p99, ms", own, None);
        let refused = samples
            .iter()
            .filter(|sample| sample.outcome != Outcome::Complete)
            .count();
        results.add(
            "stragglers",
            name,
            "not answered whole",
            refused as f64,
            None,
        );
        match name {
            "ours" => {
                ours = own;
                let most = Bound::AtMost(bound("stragglers", "short_p99_over_bound"));
                let ratio = own / lower_p99;
                results.add(
                    "stragglers",
                    name,
                    "short p99 over lower bound",
                    ratio,
                    Some(most),
                );
            }
            "two-choices" => {
                let most = Bound::AtMost(bound("stragglers", "over_two_choices"));
                let ratio = ours / own;
                results.add(
                    "stragglers",
                    "ours",
                    "short p99 over two choices",
                    ratio,
                    Some(most),
                );
            }
            _ => {}
        }
    }
}

/// One worker ten times slower than normal and one that fails every request, compared with the same
/// trace without faults.
fn faulty(results: &mut Results) {
    let rate_per_s = NORMAL_LOAD * capacity_per_s(SHORT_MEAN_MS);
    let trace = generate_trace(
        &[Phase {
            length_ms: FAULTY_MS,
            rate_per_s,
        }],
        0,
    );
    let is_after_adaptation = |arrival: &Arrival| arrival.at_ms >= FAULTS_START_MS + ADAPTATION_MS;
    let mut measured = Vec::new();
    for with_faults in [false, true] {
        let cluster = start(RoutingPolicy::LateBinding);
        let started = Instant::now();
        let target = target(&cluster, None);
        let samples = std::thread::scope(|scope| {
            let sending = scope.spawn(|| load::send(&trace, &target));
            std::thread::sleep(
                Duration::from_secs_f64(FAULTS_START_MS / 1_000.0)
                    .saturating_sub(started.elapsed()),
            );
            if with_faults {
                cluster.backends[0].handle.set_slow(1_000);
                cluster.backends[1].handle.set_failing(true);
            }
            sending.join().expect("the sending thread does not panic")
        });
        measured.push(p99(&samples, is_after_adaptation));
        let failed = samples
            .iter()
            .filter(|sample| sample.outcome == Outcome::Failed)
            .count();
        let name = if with_faults {
            "two bad workers"
        } else {
            "all good"
        };
        results.add(
            "faulty",
            name,
            "p99 after 3 s, ms",
            measured[usize::from(with_faults)],
            None,
        );
        let refused = samples
            .iter()
            .filter(|sample| sample.outcome == Outcome::Refused)
            .count();
        results.add("faulty", name, "refused", refused as f64, None);
        let most = with_faults.then_some(Bound::AtMost(bound("faulty", "failures")));
        results.add(
            "faulty",
            name,
            "failures seen by callers",
            failed as f64,
            most,
        );
    }
    let most = Bound::AtMost(bound("faulty", "p99_ratio"));
    results.add(
        "faulty",
        "two bad workers",
        "p99 over all good",
        measured[1] / measured[0],
        Some(most),
    );
}
