//! What counts for the shares of queues under the policy `fair_shares`, in virtual time.

mod common;

use common::queues::{
    RUN_MS, debt_percent, fair, four_tasks, key, queue, sim_with, starts_of, submit,
};
use common::slow_pool::{count, duplicable, slow_pool};
use common::{Sim, step};
use flow::{
    Incarnation, MAX_QUEUE_LABELS, Policies, Queue, ReportTimes, StepSpec, WorkerInfo, WorkerReport,
};
use model::Resources;

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

/// Guards against queues of other pools that take part: a queue whose pool is full owes nothing to one that
/// waits for another pool.
#[test]
fn queues_of_different_pools_do_not_compete() {
    let mut sim = sim_with(&[], fair(&[]));
    let elsewhere = Queue {
        service: "elsewhere".into(),
        ..queue("q0", 0)
    };
    sim.set_queues(vec![queue("busy", 0), elsewhere]);
    // The only worker of the other pool is known, but its report is not complete, so that it gets no runs.
    let info = WorkerInfo {
        incarnation: Incarnation {
            worker: "x".to_owned(),
            born_ms: 1,
        },
        service: "elsewhere".into(),
        domain: "d".into(),
        capacity: Resources::new(16_000, 64_000, 0),
        labels: Vec::new(),
        draining: false,
        drain_remaining_ms: None,
    };
    let report = WorkerReport {
        born_ms: 1,
        clock_ms: 1_000,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: true,
    };
    let times = ReportTimes {
        requested_ms: sim.now_ms,
        now_ms: sim.now_ms,
    };
    sim.scheduler
        .on_report(times, &"x".into(), Some(info), &report);
    submit(&mut sim, "busy", "fills", vec![step(16, 2_000, 5_000)]);
    submit(&mut sim, "q0", "elsewhere", four_tasks());
    sim.run_for(2_000);
    assert_eq!(sim.run_count("w0") + sim.run_count("w1"), 16);
    assert_eq!(starts_of(&sim, "elsewhere"), 0);
    assert_eq!(debt_percent(&sim, "busy"), 0.0);
}

/// Guards against debts to tasks that could start and wait by choice for a worker near their data.
#[test]
fn tasks_that_wait_for_a_near_worker_wait_for_nobody() {
    let policies = Policies {
        remote_factor: Some(2.0),
        ..fair(&[])
    };
    let mut sim = sim_with(&["busy", "q0"], policies);
    sim.workers.get_mut(&"w1".into()).unwrap().labels[1] = "r2".to_owned();
    sim.run_for(500);
    let near = |run_ms| StepSpec {
        data_rack: Some("r1".to_owned()),
        ..step(1, 16_000, run_ms)
    };
    submit(&mut sim, "busy", "first", vec![near(1_000)]);
    sim.run_for(200);
    submit(&mut sim, "q0", "waits", vec![near(2_000)]);
    sim.run_for(600);
    assert_eq!(starts_of(&sim, "waits"), 0, "it waits beside a free worker");
    assert_eq!(debt_percent(&sim, "busy"), 0.0);
}

/// Guards against fillers that count for nothing because they reserve no processors.
#[test]
fn fillers_count_by_what_they_declare() {
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    let fillers = StepSpec {
        filler: true,
        image: Some("filler".to_owned()),
        need: Resources::new(2_000, 10, 0),
        ..step(8, 2_000, 5_000)
    };
    submit(&mut sim, "busy", "fillers", vec![fillers]);
    sim.run_for(2_000);
    let shares = sim.scheduler.queue_shares();
    // 16 of 32 processors, for about 1.9 of the 10 s of the window.
    assert!((7.0..11.0).contains(&shares[0].share_percent), "{shares:?}");
}

/// Guards against one observation that counts for a long time in which no pass ran.
#[test]
fn a_pause_of_the_scheduler_counts_for_little() {
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    submit(&mut sim, "busy", "fills", vec![step(16, 2_000, 60_000)]);
    sim.run_for(500);
    submit(&mut sim, "q0", "waits", four_tasks());
    sim.run_for(200);
    let later_ms = sim.now_ms + 9_000;
    sim.scheduler.place(later_ms, 0);
    let debt = debt_percent(&sim, "busy");
    assert!(debt > 0.0 && debt < 25.0, "{debt} %");
}

/// Guards against observations in each pass, which would cost as much as a third of it.
#[test]
fn observations_are_at_least_100_ms_apart() {
    let mut sim = sim_with(&["q0"], fair(&[]));
    submit(&mut sim, "q0", "fills", vec![step(16, 2_000, 60_000)]);
    sim.run_for(500);
    submit(&mut sim, "q0", "waits", four_tasks());
    let first_ms = sim.now_ms + 500;
    let mut waits_ms = Vec::new();
    for after_ms in [0, 20, 99, 100] {
        sim.scheduler.place(first_ms + after_ms, 0);
        waits_ms.push(sim.scheduler.queue_shares()[0].wait_ms);
    }
    assert_eq!(waits_ms, [500, 500, 500, 600]);
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

/// Guards against debts to a cancelled flow whose runs are still being stopped.
#[test]
fn a_cancelled_flow_waits_for_nobody() {
    let mut sim = sim_with(&["busy", "q0"], fair(&[]));
    submit(&mut sim, "busy", "most", vec![step(12, 2_000, 60_000)]);
    sim.run_for(200);
    let cancelled = submit(&mut sim, "q0", "cancelled", vec![step(40, 2_000, 60_000)]);
    sim.run_for(1_000);
    assert!(debt_percent(&sim, "busy") > 0.0);
    sim.stops_are_lost = true;
    sim.cancel(&cancelled);
    sim.run_for(11_000);
    assert_eq!(sim.running(&cancelled), 4, "its runs are not stopped yet");
    assert_eq!(debt_percent(&sim, "busy"), 0.0);
}

/// Guards against second runs that count for nothing: a queue pays for its duplicates.
#[test]
fn duplicates_count_as_use() {
    let mut sim = slow_pool();
    sim.set_policies(Policies {
        duplicates: true,
        ..fair(&[])
    });
    let job = sim.submit("slow", vec![duplicable()]);
    while count(&sim, "started") == 0 {
        sim.step();
        assert!(sim.now_ms < 3_000, "no duplicate was started");
    }
    sim.run_for(100);
    let used = |sim: &Sim| sim.scheduler.queue_shares()[0].share_percent;
    let before = used(&sim);
    sim.run_for(200);
    assert_eq!(sim.running(&job), 5, "one of four tasks runs twice");
    // Five runs of 2 of 80 processors, for 0.2 of the 10 s of the window.
    let percent = used(&sim) - before;
    assert!((0.24..0.26).contains(&percent), "{percent} %");
}
