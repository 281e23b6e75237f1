//! Learned run times and speeds of workers under load.

mod common;

use common::{Mode, Sim, step};
use estimates::{RunTimes, TaskClass};
use flow::{Policies, StepSpec};
use model::AgentId;
use worker_speed::SpeedChange;

const LEARNING: Policies = Policies {
    evacuation_bound_ms: None,
    learned_run_times: true,
    overload_order: false,
    duplicates: false,
    remote_factor: None,
    fair_shares: None,
    preemption: false,
    damped_pacing: false,
};

/// Moves that one search begins at most.
const MAX_MOVES: usize = 8;

fn learning_sim(workers: usize) -> Sim {
    let mut sim = Sim::new(workers);
    sim.writes_checkpoints = true;
    sim.scheduler.set_policies(LEARNING);
    sim
}

/// A step of tasks that save their progress.
fn saving_step(tasks: u32, processors_milli: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        saves_progress: true,
        ..step(tasks, processors_milli, estimate_ms)
    }
}

fn set_speed(sim: &mut Sim, worker: &str, percent: u64) {
    let worker = sim.workers.get_mut(&AgentId::from(worker)).unwrap();
    worker.speed_percent = percent;
}

/// Submits a flow of two short tasks per interval, so that every worker has runs.
fn submit_short(sim: &mut Sim, prefix: &str, flows: u32, interval_ms: u64) {
    for number in 0..flows {
        sim.submit(&format!("{prefix}{number:03}"), vec![step(4, 1_000, 800)]);
        sim.run_for(interval_ms);
    }
}

fn starts_on(sim: &Sim, worker: &str) -> u32 {
    sim.starts_on
        .get(&AgentId::from(worker))
        .copied()
        .unwrap_or(0)
}

/// Learned median of the run times of a first step's tasks, in milliseconds.
fn estimated_ms(sim: &mut Sim, image: Option<&str>, declared_ms: u64) -> u64 {
    let stored = sim.scheduler.take_run_times(0, 10_000);
    let times = stored.map(|text| RunTimes::parse(&text, 0).unwrap());
    let key = common::queue();
    let queue = format!("{}{}", key.host, key.prefix);
    let class = TaskClass {
        queue: &queue,
        image,
        step: 0,
    };
    let times = times.unwrap_or_default();
    times.estimate(0, class, declared_ms).median_ms
}

/// Guards against declared run times that are off by 0.9 and stay the only estimate.
#[test]
fn estimates_beat_declared_times_that_are_off() {
    let mut sim = learning_sim(4);
    sim.run_ms.insert("i".to_owned(), 1_000);
    for number in 0..60_u64 {
        let declared_ms = 100 + number * 617 % 1_800;
        let wrong = StepSpec {
            image: Some("i".to_owned()),
            ..step(4, 1_000, declared_ms)
        };
        sim.submit(&format!("j{number:02}"), vec![wrong]);
        sim.run_for(300);
    }
    let learned = sim.scheduler.learned();
    assert_eq!(learned.classes, 1);
    let (ours, declared) = (
        learned.errors.learned_percent,
        learned.errors.declared_percent,
    );
    assert!(declared > 30.0 && ours < declared / 2.0, "{learned:?}");
}

/// Guards against urgent tasks that go to a worker which is five times as slow while others have room, and against
/// workers of normal speed that are taken for slow.
#[test]
fn a_slow_worker_gets_no_tasks_while_others_have_room() {
    let mut sim = learning_sim(4);
    submit_short(&mut sim, "a", 20, 300);
    assert_eq!(sim.speed_changes, []);
    set_speed(&mut sim, "w1", 20);
    submit_short(&mut sim, "b", 30, 300);
    let slow: Vec<&AgentId> = sim.speed_changes.iter().map(|(agent, _)| agent).collect();
    assert_eq!(slow, [&AgentId::from("w1")], "{:?}", sim.speed_changes);
    assert_eq!(sim.scheduler.learned().slow_workers, 1);
    let before = starts_on(&sim, "w1");
    submit_short(&mut sim, "c", 20, 300);
    assert_eq!(starts_on(&sim, "w1"), before);
}

/// Guards against a slow worker that stays idle although the others are full.
#[test]
fn a_slow_worker_gets_tasks_when_the_others_are_full() {
    let mut sim = learning_sim(2);
    submit_short(&mut sim, "a", 20, 300);
    set_speed(&mut sim, "w1", 20);
    submit_short(&mut sim, "b", 30, 300);
    assert_eq!(sim.scheduler.learned().slow_workers, 1);
    let before = starts_on(&sim, "w1");
    sim.submit("full", vec![step(24, 1_000, 800)]);
    sim.run_for(200);
    assert!(starts_on(&sim, "w1") >= before + 8);
}

/// Guards against a worker that has recovered and gets a burst of tasks before it has shown its speed, and against one
/// that is never used again.
#[test]
fn a_worker_that_recovers_gets_few_tasks_at_first() {
    let mut sim = learning_sim(4);
    submit_short(&mut sim, "a", 20, 300);
    set_speed(&mut sim, "w1", 20);
    submit_short(&mut sim, "b", 30, 300);
    assert_eq!(sim.scheduler.learned().slow_workers, 1);
    set_speed(&mut sim, "w1", 100);
    let before = starts_on(&sim, "w1");
    while sim.scheduler.learned().slow_workers > 0 {
        let prefix = format!("c{}x", sim.now_ms);
        submit_short(&mut sim, &prefix, 1, 300);
        assert!(sim.now_ms < 60_000, "it is never tried again");
    }
    sim.submit("burst", vec![step(40, 1_000, 800)]);
    sim.run_for(200);
    let at_first = starts_on(&sim, "w1") - before;
    assert!(at_first <= 2, "{at_first} starts at once");
    submit_short(&mut sim, "d", 40, 300);
    assert!(starts_on(&sim, "w1") > before + 10);
    assert!(sim.run_until_ended(20_000));
}

/// Flows of long tasks on four workers, of which one becomes five times as slow, with short flows beside them. The
/// others have room. Returns the simulation at the end of the long flows.
fn long_tasks_on_a_slow_worker(policies: Policies) -> Sim {
    let mut sim = learning_sim(4);
    sim.scheduler.set_policies(policies);
    for number in 0..5 {
        sim.submit(&format!("warm{number}"), vec![saving_step(4, 1_000, 1_000)]);
        sim.run_for(500);
    }
    for number in 0..16 {
        sim.submit(
            &format!("long{number:02}"),
            vec![saving_step(4, 500, 10_000)],
        );
    }
    sim.run_for(2_000);
    set_speed(&mut sim, "w1", 20);
    sim
}

/// Guards against tasks that stay on a slow worker for five times their run time, and against a move that loses their
/// progress: 12 s after their start they would have ended at normal speed.
#[test]
fn tasks_stuck_on_a_slow_worker_are_moved_with_their_checkpoints() {
    let mut sim = long_tasks_on_a_slow_worker(LEARNING);
    assert!(
        sim.run_until_ended(18_000),
        "{} of {}",
        sim.ended_ms.len(),
        sim.jobs.len()
    );
    assert!(!sim.moved_from_slow.is_empty());
    let agents: Vec<&AgentId> = sim
        .moved_from_slow
        .iter()
        .map(|(_, _, agent)| agent)
        .collect();
    assert!(
        agents.iter().all(|agent| **agent == AgentId::from("w1")),
        "{agents:?}"
    );
}

/// Guards against fillers that stay on a slow worker although others have processors to spare.
#[test]
fn fillers_stuck_on_a_slow_worker_are_moved() {
    let mut sim = learning_sim(3);
    submit_short(&mut sim, "a", 20, 300);
    let filler = StepSpec {
        filler: true,
        ..saving_step(6, 2_000, 8_000)
    };
    sim.submit("filler", vec![filler]);
    sim.run_for(1_000);
    set_speed(&mut sim, "w1", 20);
    submit_short(&mut sim, "b", 40, 300);
    assert!(!sim.moved_from_slow.is_empty());
    assert!(sim.run_until_ended(6_000), "{:?}", sim.ended_ms.len());
}

/// Guards against a fleet of moves at once, and against a task that is moved back and forth.
#[test]
fn moves_are_few_at_once_and_no_task_moves_twice() {
    let mut sim = long_tasks_on_a_slow_worker(LEARNING);
    sim.run_until_ended(18_000);
    let times = sim.moved_from_slow.iter().map(|(now_ms, ..)| *now_ms);
    for now_ms in times {
        let at_once = sim
            .moved_from_slow
            .iter()
            .filter(|(at_ms, ..)| at_ms.abs_diff(now_ms) < 200);
        assert!(at_once.count() <= MAX_MOVES, "{:?}", sim.moved_from_slow);
    }
    let mut moved: Vec<_> = sim.moved_from_slow.iter().map(|(_, key, _)| key).collect();
    let moves = moved.len();
    moved.sort();
    moved.dedup();
    assert_eq!(moved.len(), moves);
}

/// Guards against decisions that change in a deployment which has not switched learning on.
#[test]
fn nothing_is_learned_or_moved_while_the_policy_is_off() {
    let mut sim = long_tasks_on_a_slow_worker(Policies::default());
    let ends = sim.run_until_ended(18_000);
    assert!(!ends, "the load of these tests needs no moves");
    assert_eq!(sim.moved_from_slow, []);
    assert_eq!(sim.speed_changes, []);
    assert_eq!(sim.scheduler.learned(), flow::LearnedView::default());
    assert_eq!(sim.scheduler.take_run_times(0, 10_000), None);
}

/// Guards against moves from one slow worker to another.
#[test]
fn no_task_moves_while_all_workers_are_slow() {
    let mut sim = long_tasks_on_a_slow_worker(LEARNING);
    for worker in ["w0", "w1", "w2", "w3"] {
        set_speed(&mut sim, worker, 20);
    }
    sim.run_for(15_000);
    assert_eq!(sim.scheduler.learned().slow_workers, 4);
    let moves_after = sim
        .moved_from_slow
        .iter()
        .filter(|(now_ms, ..)| *now_ms > 15_000);
    assert_eq!(moves_after.count(), 0);
}

/// Guards against workers that count as slow for ever because all tasks take longer than before.
#[test]
fn tasks_that_take_longer_everywhere_are_learned() {
    let mut sim = learning_sim(4);
    submit_short(&mut sim, "a", 30, 300);
    for worker in ["w0", "w1", "w2", "w3"] {
        set_speed(&mut sim, worker, 25);
    }
    submit_short(&mut sim, "b", 150, 300);
    assert_eq!(sim.scheduler.learned().slow_workers, 0);
    let median_ms = estimated_ms(&mut sim, None, 800);
    assert!((2_600..4_500).contains(&median_ms), "{median_ms}");
}

/// Guards against long tasks on workers of normal speed that are moved or make their workers slow: 1 in 4 flows takes
/// seven times as long as it declares.
#[test]
fn long_tasks_do_not_make_their_workers_slow() {
    let mut sim = learning_sim(6);
    sim.run_ms.insert("long".to_owned(), 5_600);
    for number in 0..60 {
        let image = if number % 4 == 0 { "long" } else { "short" };
        let spec = StepSpec {
            image: Some(image.to_owned()),
            ..saving_step(4, 500, 800)
        };
        sim.submit(&format!("j{number:02}"), vec![spec]);
        sim.run_for(300);
    }
    assert_eq!(sim.moved_from_slow, []);
    assert_eq!(sim.speed_changes, []);
}

/// Guards against fillers that are slowed down beside a service and make their worker slow, or their class long.
#[test]
fn paced_fillers_teach_nothing() {
    let mut sim = learning_sim(1);
    let service = StepSpec {
        tasks: 1,
        image: Some("fragile".to_owned()),
        latency_target_ms: Some(40),
        long_running: true,
        ..step(1, 4_000, 1_000)
    };
    sim.submit("s1", vec![service]);
    sim.run_for(400);
    let filler = StepSpec {
        filler: true,
        image: Some("loud".to_owned()),
        ..saving_step(1, 3_000, 1_000)
    };
    sim.disturbs
        .insert(("loud".to_owned(), "fragile".to_owned()));
    for number in 0..12 {
        sim.submit(&format!("f{number:02}"), vec![filler.clone()]);
        sim.run_for(1_500);
    }
    assert!(sim.over_target_ms > 0, "the fillers were never slowed down");
    assert_eq!(sim.speed_changes, []);
    let median_ms = estimated_ms(&mut sim, Some("loud"), 1_000);
    assert!(median_ms < 1_500, "{median_ms}");
}

/// Guards against times that are measured by reports which arrive late.
#[test]
fn late_reports_teach_nothing() {
    let mut sim = learning_sim(3);
    sim.run_for(4_000);
    sim.report_delay_ms = 3_000;
    submit_short(&mut sim, "a", 20, 300);
    assert_eq!(sim.scheduler.learned(), flow::LearnedView::default());
    assert_eq!(sim.speed_changes, []);
}

/// Guards against a slow domain of which each worker has to be found alone: most of its workers are slow, and the
/// last, of which nothing is known, gets no task while other domains have room.
#[test]
fn workers_of_unknown_speed_are_as_slow_as_their_domain() {
    let mut sim = learning_sim(8);
    for number in 4..8 {
        let agent = AgentId::from(format!("w{number}"));
        let worker = sim.workers.get_mut(&agent).unwrap();
        worker.domain = "d2".into();
        worker.speed_percent = 20;
    }
    sim.workers.get_mut(&AgentId::from("w7")).unwrap().mode = Mode::Partitioned;
    submit_short(&mut sim, "a", 80, 200);
    let slow = sim.speed_changes.iter();
    let slow = slow.filter(|(_, change)| matches!(change, SpeedChange::Slow { .. }));
    assert_eq!(slow.count(), 3, "{:?}", sim.speed_changes);
    sim.workers.get_mut(&AgentId::from("w7")).unwrap().mode = Mode::Healthy;
    submit_short(&mut sim, "b", 10, 300);
    assert_eq!(starts_on(&sim, "w7"), 0);
}
