//! Case `duplicates`: time that a search for duplicates adds to a scheduling pass, beside thousands of slow
//! runs and of waiting tasks.

use crate::bounds::bound;
use crate::deciding::{PASS_INTERVAL_MS, add, config, loaded_scheduler, place_all, step};
use crate::results::{Bound, Results};
use flow::{
    FlowConfig, FlowJob, FlowSpec, Policies, Queue, QueueKey, ReportTimes, RunningTask, Scheduler,
    StepSpec, WorkerReport,
};
use model::{AgentId, Resources};
use std::time::Instant;

/// Number of workers.
const WORKERS: usize = 620;
/// Number of runs of each worker that may get duplicates.
const RUNS_PER_WORKER: usize = 9;
/// Tasks of each step that allows duplicates.
const TASKS: u32 = 10;
/// Share of these tasks that is slow, as one of so many.
const SLOW_ONE_OF: u32 = 2;
/// Progress of a slow run and of any other, in percent.
const PERCENT: [u32; 2] = [2, 60];
/// Memory of a task of which nine fill a worker beside its latency-critical tasks, in megabytes.
const FILLING_MEMORY_MB: u32 = 28_000;
/// Number of waiting flows, whose queue has a less urgent priority.
const WAITING_FLOWS: usize = 1_000;
/// Processors of a waiting task, for which no worker has room, in thousandths.
const WAITING_MILLI: u32 = 60_000;
/// When the runs are placed, are reported as started, and are reported with their progress, in milliseconds.
const PLACED_MS: u64 = 2_000;
const STARTED_MS: u64 = 2_100;
const REPORTED_MS: u64 = 2_800;
/// Interval between two searches for duplicates, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 100;
/// Number of measured searches.
const SEARCHES: u64 = 10;

/// Queue of the waiting flows.
fn waiting_queue() -> QueueKey {
    QueueKey {
        host: "a.example".to_owned(),
        prefix: "/waiting/".to_owned(),
    }
}

fn config_with_waiting() -> FlowConfig {
    let mut config = config();
    config.version += 1;
    let waiting = Queue {
        key: waiting_queue(),
        priority: 2,
        ..config.queues[0].clone()
    };
    config.queues.push(waiting);
    config
}

fn flow_of(step: StepSpec) -> FlowSpec {
    FlowSpec {
        payload: String::new(),
        steps: vec![step],
        schedule: None,
    }
}

/// Scheduler whose workers run tasks that need this much memory, half of which are slow, beside waiting
/// tasks.
fn slow_scheduler(memory_mb: u32) -> Scheduler {
    let mut scheduler = loaded_scheduler(WORKERS);
    scheduler.set_config(config_with_waiting());
    let duplicable = StepSpec {
        need: Resources::new(500, memory_mb, 0),
        duplicates_allowed: true,
        ..step(TASKS, 500)
    };
    for number in 0..WORKERS * RUNS_PER_WORKER / TASKS as usize {
        let id = format!("slow{number}");
        add(&mut scheduler, PLACED_MS, id, flow_of(duplicable.clone()));
    }
    place_all(&mut scheduler, PLACED_MS);
    for number in 0..WAITING_FLOWS {
        let job = FlowJob {
            id: format!("waiting{number}").into(),
            queue: waiting_queue(),
            spec: flow_of(step(TASKS, WAITING_MILLI)),
            accepted_wall_ms: 0,
        };
        scheduler.add(PLACED_MS, 0, job);
    }
    report(&mut scheduler, STARTED_MS, [0, 0]);
    report(&mut scheduler, REPORTED_MS, PERCENT);
    place_all(&mut scheduler, REPORTED_MS);
    scheduler
}

/// Applies a report of each worker that lists the runs placed there, slow ones and others with these
/// progresses.
fn report(scheduler: &mut Scheduler, now_ms: u64, percent: [u32; 2]) {
    let agents: Vec<AgentId> = scheduler
        .workers()
        .map(|(agent, _)| agent.clone())
        .collect();
    for agent in agents {
        let view = scheduler.worker(&agent).expect("the worker is known");
        let runs = view.allocations.keys().map(|key| RunningTask {
            task: key.clone(),
            run: 1,
            checkpoint: None,
            percent: percent[usize::from(!key.index.is_multiple_of(SLOW_ONE_OF))],
            load: 0,
        });
        let report = WorkerReport {
            born_ms: 1,
            clock_ms: now_ms,
            running: runs.collect(),
            ended: Vec::new(),
            has_more_ends: false,
        };
        let times = ReportTimes {
            requested_ms: now_ms,
            now_ms,
        };
        scheduler.on_report(times, &agent, None, &report);
    }
}

/// Median time of a pass with a search for duplicates, in milliseconds, and the number of duplicates that
/// the searches placed.
fn measure(memory_mb: u32, duplicates: bool) -> (f64, usize) {
    let mut scheduler = slow_scheduler(memory_mb);
    scheduler.set_policies(Policies {
        duplicates,
        ..Policies::default()
    });
    let (mut passes_ms, mut starts) = (Vec::new(), 0);
    for number in 1..=SEARCHES {
        let now_ms = REPORTED_MS + number * SEARCH_INTERVAL_MS;
        let began = Instant::now();
        scheduler.place(now_ms, 0);
        passes_ms.push(began.elapsed().as_secs_f64() * 1e3);
        starts += place_all(&mut scheduler, now_ms + PASS_INTERVAL_MS);
    }
    passes_ms.sort_by(f64::total_cmp);
    (passes_ms[passes_ms.len() / 2], starts)
}

/// Measures the searches where duplicates find room, and where memory is short beside free processors, so that
/// each search for a worker fails.
pub fn run(results: &mut Results) {
    for (subject, memory_mb) in [
        ("room for duplicates", 500),
        ("no room for duplicates", FILLING_MEMORY_MB),
    ] {
        let (without_ms, _) = measure(memory_mb, false);
        let (with_ms, starts) = measure(memory_mb, true);
        let most = Bound::AtMost(bound("duplicates", "search_ms_at_620"));
        results.add(
            "duplicates",
            subject,
            "a pass without, ms",
            without_ms,
            None,
        );
        let added_ms = with_ms - without_ms;
        results.add(
            "duplicates",
            subject,
            "a search adds, ms",
            added_ms,
            Some(most),
        );
        results.add("duplicates", subject, "started", starts as f64, None);
    }
}
