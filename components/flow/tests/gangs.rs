//! Passes that choose workers for several tasks before the first of them is placed, in virtual time.

mod common;

use common::{Mode, Sim, step};
use flow::StepSpec;
use model::Resources;

/// Step of a gang, with at most `max_per_worker` members on one worker.
fn gang(tasks: u32, max_per_worker: u32) -> StepSpec {
    StepSpec {
        gang: true,
        max_per_worker: Some(max_per_worker),
        ..step(tasks, 1_000, 800)
    }
}

/// Guards against gangs whose members exceed `max_per_worker` because those chosen in the same pass
/// were not counted. The simulation checks the limit on each worker.
#[test]
fn members_of_a_gang_keep_to_max_per_worker() {
    for (workers, tasks, max_per_worker) in [(4, 4, 1), (3, 6, 2), (8, 5, 1)] {
        let mut sim = Sim::new(workers);
        let job = sim.submit("gang", vec![gang(tasks, max_per_worker)]);
        sim.run_for(300);
        assert_eq!(sim.running(&job), tasks as usize);
        assert!(sim.run_until_ended(5_000));
    }
}

/// Guards against gangs that start without the workers that `max_per_worker` asks for, and against
/// other flows that wait beside one that can't start.
#[test]
fn a_gang_that_exceeds_max_per_worker_waits_for_workers_and_stops_no_other_flow() {
    let mut sim = Sim::new(4);
    sim.workers.get_mut(&"w3".into()).unwrap().mode = Mode::Partitioned;
    let job = sim.submit("gang", vec![gang(4, 1)]);
    for number in 0..10 {
        sim.submit(&format!("f{number}"), vec![step(3, 1_000, 300)]);
        sim.run_for(200);
        assert_eq!(sim.running(&job), 0);
    }
    sim.run_for(1_000);
    assert_eq!(sim.completed(), 10);
    sim.workers.get_mut(&"w3".into()).unwrap().mode = Mode::Healthy;
    assert!(sim.run_until_ended(5_000));
}

/// Guards against gangs of fillers that crowd one worker because the processors that the others of the
/// gang take up were not counted.
#[test]
fn a_gang_of_fillers_is_spread_over_the_spare_processors() {
    let mut sim = Sim::new(4);
    let spec = StepSpec {
        filler: true,
        ..gang(4, 4)
    };
    let wide = StepSpec {
        need: Resources::new(12_000, 1_000, 0),
        ..spec
    };
    let job = sim.submit("gang", vec![wide]);
    sim.run_for(300);
    assert_eq!(sim.running(&job), 4);
    for number in 0..4 {
        assert_eq!(sim.run_count(&format!("w{number}")), 1);
    }
}

/// Guards against fillers that are moved in one search to a worker with spare processors for one of
/// them only, so that the others lose their work for nothing.
#[test]
fn only_as_many_starved_fillers_move_as_the_other_worker_takes() {
    let mut sim = Sim::new(2);
    let service = StepSpec {
        long_running: true,
        latency_target_ms: Some(50),
        image: Some("fragile".to_owned()),
        ..step(3, 5_000, 100)
    };
    sim.submit("service", vec![service]);
    sim.run_for(400);
    let w1 = "w1".into();
    sim.workers.get_mut(&w1).unwrap().mode = Mode::Partitioned;
    sim.workers.get_mut(&w1).unwrap().capacity = Resources::new(4_000, 64_000, 0);
    sim.run_for(200);
    let filler = StepSpec {
        filler: true,
        saves_progress: true,
        image: Some("loud".to_owned()),
        ..step(2, 3_000, 8_000)
    };
    let job = sim.submit("loud", vec![filler]);
    sim.run_for(600);
    let pair = ("loud".to_owned(), "fragile".to_owned());
    sim.disturbs.insert(pair);
    sim.run_for(3_400);
    assert_eq!(sim.starts[&job], 2);
    sim.workers.get_mut(&w1).unwrap().mode = Mode::Healthy;
    sim.run_for(800);
    assert_eq!(sim.run_count("w1"), 1);
    assert_eq!(sim.starts[&job], 3, "one of them is moved");
}
