//! Case `deciding`: time of a placement decision of the scheduler of flows, by number of workers.

use crate::bounds::bound;
use crate::results::{Bound, Results};
use flow::{
    CommitLimits, FairSharePolicy, FlowConfig, FlowJob, FlowSpec, Incarnation, Policies, Pool,
    Queue, QueueKey, ReportTimes, Scheduler, StepSpec, WorkerInfo, WorkerReport,
};
use model::Resources;
use std::time::Instant;

/// Measured numbers of workers.
const WORKERS: [usize; 4] = [11, 56, 75, 620];
/// Number of workers that the users plan for; the bound applies to it.
const PLANNED_WORKERS: usize = 620;
/// Processors of a worker, in thousandths.
const PROCESSORS_MILLI: u32 = 64_000;
/// Memory of a worker, in megabytes.
const MEMORY_MB: u32 = 256_000;
/// Number of images of latency-critical tasks; the sites' sheets have about ten.
const LATENCY_CRITICAL_IMAGES: usize = 10;
/// Number of images of fillers.
const FILLER_IMAGES: usize = 12;
/// Number of latency-critical tasks on each worker.
const LATENCY_CRITICAL_PER_WORKER: usize = 2;
/// Number of tasks of each measured flow.
const TASKS: u32 = 10;
/// Number of measured flows of each kind, plain and filler.
const FLOWS: usize = 20;
/// Limits of a commit: none.
pub(crate) const COMMIT_LIMITS: CommitLimits = CommitLimits {
    rows: usize::MAX,
    bytes: usize::MAX,
    row_bytes: 65_536,
};
/// Time between two scheduling passes, in milliseconds.
pub(crate) const PASS_INTERVAL_MS: u64 = 20;

pub(crate) fn queue_key() -> QueueKey {
    QueueKey {
        host: "a.example".to_owned(),
        prefix: "/q/".to_owned(),
    }
}

/// Queue with this key, whose flows run in the only pool.
pub(crate) fn queue(key: QueueKey) -> Queue {
    Queue {
        key,
        service: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        latency_target_ms: 500,
    }
}

/// Configuration with one queue of the most urgent priority.
pub(crate) fn config() -> FlowConfig {
    FlowConfig {
        version: 1,
        queues: vec![queue(queue_key())],
        pools: vec![Pool {
            name: "pool".into(),
            rejects_overload: true,
            spare: false,
        }],
    }
}

/// The configuration with a second queue, which is less urgent.
pub(crate) fn two_priorities(less_urgent: QueueKey) -> FlowConfig {
    let mut config = config();
    config.version = 2;
    config.queues.push(Queue {
        key: less_urgent,
        priority: 2,
        ..config.queues[0].clone()
    });
    config
}

fn info(number: usize) -> WorkerInfo {
    WorkerInfo {
        incarnation: Incarnation {
            worker: format!("w{number}"),
            born_ms: 1,
        },
        service: "pool".into(),
        domain: "d".into(),
        capacity: Resources::new(PROCESSORS_MILLI, MEMORY_MB, 0),
        labels: vec!["a".to_owned(), format!("r{}", number / 10)],
        draining: false,
        drain_remaining_ms: None,
    }
}

/// Submits a flow.
pub(crate) fn add(scheduler: &mut Scheduler, now_ms: u64, id: String, spec: FlowSpec) {
    add_to(scheduler, queue_key(), now_ms, id, spec);
}

/// Submits a flow of a queue.
pub(crate) fn add_to(
    scheduler: &mut Scheduler,
    queue: QueueKey,
    now_ms: u64,
    id: String,
    spec: FlowSpec,
) {
    let job = FlowJob {
        id: id.into(),
        queue,
        spec,
        accepted_wall_ms: 0,
    };
    scheduler.add(now_ms, 0, job);
}

/// Flow of one step.
fn flow_of(step: StepSpec) -> FlowSpec {
    FlowSpec {
        payload: String::new(),
        steps: vec![step],
        schedule: None,
    }
}

pub(crate) fn step(tasks: u32, processors_milli: u32) -> StepSpec {
    StepSpec {
        tasks,
        need: Resources::new(processors_milli, 500, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Scheduler whose workers all run latency-critical tasks.
pub(crate) fn loaded_scheduler(workers: usize) -> Scheduler {
    let mut scheduler = Scheduler::default();
    scheduler.set_config(config());
    let times = ReportTimes {
        requested_ms: 1_000,
        now_ms: 1_000,
    };
    for number in 0..workers {
        let report = WorkerReport {
            born_ms: 1,
            clock_ms: 1_000,
            running: Vec::new(),
            ended: Vec::new(),
            has_more_ends: false,
        };
        let agent = format!("a{number}").into();
        scheduler.on_report(times, &agent, Some(info(number)), &report);
    }
    for number in 0..workers * LATENCY_CRITICAL_PER_WORKER / 2 {
        let latency_critical = StepSpec {
            long_running: true,
            latency_target_ms: Some(50),
            image: Some(format!("serving{}", number % LATENCY_CRITICAL_IMAGES)),
            ..step(2, PROCESSORS_MILLI / 4)
        };
        add(
            &mut scheduler,
            1_000,
            format!("serving{number}"),
            flow_of(latency_critical),
        );
    }
    place_all(&mut scheduler, 1_000);
    scheduler
}

/// Places the queued tasks and commits; returns the number of ordered starts.
pub(crate) fn place_all(scheduler: &mut Scheduler, now_ms: u64) -> usize {
    scheduler.place(now_ms, 0);
    let rows = scheduler.take_commit(now_ms, &COMMIT_LIMITS);
    scheduler.on_committed(&rows);
    let effects = scheduler.take_effects();
    let is_start = |effect: &&flow::Effect| matches!(effect, flow::Effect::Start(..));
    effects.iter().filter(is_start).count()
}

/// Mean time of a start with this number of workers, in microseconds: placement, commit of the
/// rows and start order.
fn measure(workers: usize, policies: Policies) -> f64 {
    let mut scheduler = loaded_scheduler(workers);
    scheduler.set_policies(policies);
    let (mut starts, mut spent_us) = (0, 0.0);
    for number in 0..FLOWS {
        let now_ms = 1_100 + number as u64 * PASS_INTERVAL_MS;
        let plain = step(TASKS, 500);
        let filler = StepSpec {
            filler: true,
            image: Some(format!("filler{}", number % FILLER_IMAGES)),
            ..step(TASKS, 1_000)
        };
        add(
            &mut scheduler,
            now_ms,
            format!("plain{number}"),
            flow_of(plain),
        );
        add(
            &mut scheduler,
            now_ms,
            format!("filler{number}"),
            flow_of(filler),
        );
        let started = Instant::now();
        starts += place_all(&mut scheduler, now_ms);
        spent_us += started.elapsed().as_secs_f64() * 1e6;
    }
    spent_us / starts.max(1) as f64
}

/// Policies with the order under overload.
pub(crate) fn by_outlook() -> Policies {
    Policies {
        overload_order: true,
        ..Policies::default()
    }
}

/// Policies with shares of queues.
pub(crate) fn with_shares() -> Policies {
    Policies {
        fair_shares: Some(FairSharePolicy::default()),
        ..Policies::default()
    }
}

/// Measures each number of workers.
pub fn run(results: &mut Results) {
    let mut points = Vec::new();
    for workers in WORKERS {
        let took_us = measure(workers, Policies::default());
        let most = Bound::AtMost(bound("deciding", "start_us_at_620"));
        let most = (workers == PLANNED_WORKERS).then_some(most);
        let subject = format!("{workers} workers");
        results.add("deciding", &subject, "a start, us", took_us, most);
        points.push((workers as f64, took_us));
    }
    for (policies, name) in [(by_outlook(), "by outlook"), (with_shares(), "shares")] {
        let took_us = measure(PLANNED_WORKERS, policies);
        let most = Bound::AtMost(bound("deciding", "start_us_at_620"));
        let subject = format!("{PLANNED_WORKERS} workers, {name}");
        results.add("deciding", &subject, "a start, us", took_us, Some(most));
    }
    results.plot("a start of a flow's task, us, by workers", "ours", points);
}
