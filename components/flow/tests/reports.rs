//! Reports of workers that arrive late, can't be attributed, or show runs that are placed nowhere.

use flow::{
    CommitLimits, Contact, Delivery, FlowConfig, FlowJob, FlowSpec, Incarnation, LeaseLimit, Pool,
    Queue, QueueKey, ReportTimes, RunningTask, Scheduler, StartOutcome, StepSpec, TaskKey,
    WorkerInfo, WorkerReport,
};
use model::{AgentId, Resources};

/// A scheduler with one flow of one step.
fn scheduler(step: StepSpec) -> Scheduler {
    let key = QueueKey {
        host: "a.example".to_owned(),
        prefix: "/q/".to_owned(),
    };
    let mut scheduler = Scheduler::default();
    scheduler.set_config(FlowConfig {
        version: 1,
        queues: vec![Queue {
            key: key.clone(),
            service: "pool".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 2.0,
            latency_target_ms: 500,
        }],
        pools: vec![Pool {
            name: "pool".into(),
            rejects_overload: true,
            spare: false,
        }],
    });
    let job = FlowJob {
        id: "flow".into(),
        queue: key,
        spec: FlowSpec {
            payload: "p".to_owned(),
            steps: vec![step],
            schedule: None,
        },
        accepted_wall_ms: 0,
    };
    scheduler.add(0, 0, job);
    scheduler
}

/// A step of long tasks.
fn long_step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        need: Resources::new(1_000, 1_000, 0),
        estimate_ms: 60_000,
        ..StepSpec::default()
    }
}

fn task() -> TaskKey {
    TaskKey {
        job: "flow".into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn info(born_ms: u64) -> WorkerInfo {
    WorkerInfo {
        incarnation: Incarnation {
            worker: "w".to_owned(),
            born_ms,
        },
        service: "pool".into(),
        domain: "d".into(),
        capacity: Resources::new(16_000, 64_000, 0),
        labels: Vec::new(),
        draining: false,
        drain_remaining_ms: None,
    }
}

fn report(born_ms: u64, clock_ms: u64, running: Vec<RunningTask>) -> WorkerReport {
    WorkerReport {
        born_ms,
        clock_ms,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    }
}

fn at(now_ms: u64) -> ReportTimes {
    ReportTimes {
        requested_ms: now_ms - 10,
        now_ms,
    }
}

fn run(percent: u32) -> RunningTask {
    RunningTask {
        task: task(),
        run: 1,
        checkpoint: None,
        percent,
        load: 0,
    }
}

/// Places the task on the worker's incarnation `born_ms`, and has its start confirmed.
fn start(scheduler: &mut Scheduler, agent: &AgentId, born_ms: u64) {
    scheduler.on_report(
        at(1_000),
        agent,
        Some(info(born_ms)),
        &report(born_ms, 1_000, Vec::new()),
    );
    scheduler.place(1_000, 0);
    let limits = CommitLimits {
        rows: 90,
        bytes: 1 << 20,
        row_bytes: 1 << 16,
    };
    let rows = scheduler.take_commit(1_000, &limits);
    scheduler.on_committed(&rows);
    scheduler.on_start(1_010, agent, &task(), 1, StartOutcome::Started);
    scheduler.take_effects();
}

/// Polls the worker at `now_ms` as the process does; the poll is answered.
fn poll(scheduler: &mut Scheduler, agent: &AgentId, now_ms: u64) {
    let limit = LeaseLimit {
        until_ms: now_ms + 4_000,
        slack_ms: 300,
    };
    if let Some(lease) = scheduler.plan_poll(agent, limit).lease {
        scheduler.settle_lease(agent, lease.id, Delivery::Possible);
    }
}

/// Guards against runs that are never released, and a worker that stays a candidate, because a new
/// incarnation answers whose heartbeats don't arrive: its reports are dropped, and its leases go on.
#[test]
fn a_worker_whose_reports_are_dropped_does_not_count_as_synced() {
    let (mut scheduler, agent) = (scheduler(long_step(1)), AgentId::from("w"));
    start(&mut scheduler, &agent, 7);
    for now_ms in (1_100..30_000).step_by(100) {
        poll(&mut scheduler, &agent, now_ms);
        // The heartbeat that the agent knows is of the former incarnation.
        let other = report(5, now_ms, Vec::new());
        scheduler.on_report(at(now_ms), &agent, Some(info(7)), &other);
        scheduler.release_lapsed(now_ms);
    }
    assert_ne!(scheduler.worker(&agent).unwrap().contact, Contact::Synced);
    let flow = scheduler.flow(&"flow".into()).unwrap();
    assert!(flow.task(&task()).unwrap().placement.is_none());
}

/// Guards against runs of a worker's incarnation that are released while they run, because the
/// report of the one before it arrives late, as from a second poll in flight.
#[test]
fn a_late_report_of_a_former_incarnation_releases_nothing() {
    let (mut scheduler, agent) = (scheduler(long_step(1)), AgentId::from("w"));
    start(&mut scheduler, &agent, 7);
    scheduler.on_report(
        at(1_100),
        &agent,
        Some(info(7)),
        &report(7, 1_100, vec![run(1)]),
    );
    let late = ReportTimes {
        requested_ms: 900,
        now_ms: 1_150,
    };
    scheduler.on_report(late, &agent, Some(info(5)), &report(5, 900, Vec::new()));
    let flow = scheduler.flow(&"flow".into()).unwrap();
    assert!(
        flow.task(&task()).unwrap().placement.is_some(),
        "released while it runs"
    );
}

/// Guards against a gang that starts while a run of one of its tasks goes on elsewhere, on a worker
/// that reports it although it is not placed there.
#[test]
fn a_gang_waits_for_a_run_of_its_task_that_is_placed_nowhere() {
    let step = StepSpec {
        gang: true,
        ..long_step(2)
    };
    let mut scheduler = scheduler(step);
    let (idle, busy) = (AgentId::from("idle"), AgentId::from("busy"));
    let report_of_run = report(7, 1_000, vec![run(1)]);
    scheduler.on_report(at(1_000), &busy, Some(info(7)), &report_of_run);
    assert_eq!(scheduler.worker(&busy).unwrap().orphans.len(), 1);
    let empty = report(7, 1_000, Vec::new());
    scheduler.on_report(at(1_000), &idle, Some(info(7)), &empty);
    scheduler.place(1_000, 0);
    let flow = scheduler.flow(&"flow".into()).unwrap();
    assert!(!flow.has_placements(), "placed while a run of it goes on");
}
