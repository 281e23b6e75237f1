//! Searches for duplicates, of which each one examines a bounded number of slow runs and of workers.

mod common;

use common::slow_pool::{RUN_MS, count};
use common::{Sim, step};
use flow::{RunStage, StepSpec, TaskKey};
use model::Resources;

/// Number of workers; the first one is slow.
const WORKERS: usize = 3;
/// Rack and label of the slow worker.
const SLOW_RACK: &str = "r0";
const SLOW_LABEL: &str = "slow";
/// Processors of the slow worker, in thousandths; the others have 16,000.
const SLOW_MILLI: u32 = 32_000;
/// Interval between two searches, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 100;

/// A pool whose first worker has a rack and a label of its own and takes ten times as long as the others.
fn pool() -> Sim {
    let mut sim = Sim::new(WORKERS);
    let worker = sim.workers.get_mut(&"w0".into()).unwrap();
    worker.labels = vec![SLOW_LABEL.to_owned(), SLOW_RACK.to_owned()];
    worker.capacity = Resources::new(SLOW_MILLI, 64_000, 0);
    sim.slow_workers.insert("w0".into(), 10);
    sim.allow_duplicates();
    sim.run_for(200);
    sim
}

/// A step of one task that allows duplicates and starts on the slow worker.
fn small(processors_milli: u32, run_ms: u64) -> StepSpec {
    StepSpec {
        need: Resources::new(processors_milli, 10, 0),
        duplicates_allowed: true,
        label: Some(SLOW_LABEL.to_owned()),
        ..step(1, processors_milli, run_ms)
    }
}

/// Submits a flow of one task after these others, whose objectives are earlier, and returns the time from the start
/// of its run to that of its duplicate, in milliseconds.
fn wait_after(sim: &mut Sim, urgent: usize, spec: &StepSpec, processors_milli: u32) -> u64 {
    for number in 0..urgent {
        sim.submit(&format!("urgent{number:04}"), vec![spec.clone()]);
    }
    sim.run_for(40);
    let job = sim.submit("last", vec![small(processors_milli, RUN_MS + 200)]);
    let key = TaskKey {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let mut since_ms = None;
    loop {
        sim.step();
        let flow = sim.scheduler.flow(&job).expect("the flow has not ended");
        let task = flow.task(&key).expect("the flow has not ended");
        let stage = task.placement.as_ref().map(|placement| placement.stage);
        if let Some(RunStage::Running { since_ms: began_ms }) = stage {
            since_ms.get_or_insert(began_ms);
            // The others accept it now, too.
            for worker in sim.workers.values_mut() {
                worker.labels[0] = SLOW_LABEL.to_owned();
            }
        }
        if task.duplicate.is_some() {
            assert_eq!(count(sim, "started"), 1);
            return sim.now_ms - since_ms.unwrap();
        }
    }
}

/// Guards against scheduling passes that search a worker for each of many slow runs, and against slow runs that
/// get no duplicate as long as more urgent ones fit nowhere.
#[test]
fn searches_for_workers_are_bounded_and_go_on_where_the_last_one_ended() {
    let fits_nowhere_else = StepSpec {
        data_rack: Some(SLOW_RACK.to_owned()),
        ..small(100, RUN_MS)
    };
    let wait = |urgent| wait_after(&mut pool(), urgent, &fits_nowhere_else, 100);
    let alone_ms = wait(0);
    let in_one_search_ms = wait(20);
    let in_seven_searches_ms = wait(220);
    assert!(
        in_one_search_ms <= alone_ms + SEARCH_INTERVAL_MS,
        "{alone_ms}, {in_one_search_ms} ms"
    );
    let further_ms = in_seven_searches_ms.saturating_sub(alone_ms);
    let expected_ms = 2 * SEARCH_INTERVAL_MS..=9 * SEARCH_INTERVAL_MS;
    assert!(expected_ms.contains(&further_ms), "{further_ms} ms later");
}

/// Guards against passes that examine any number of slow runs, and against slow runs that are never examined as there
/// are many more urgent ones for which the budget does not suffice.
#[test]
fn the_number_of_examined_runs_is_bounded_and_the_others_are_examined_next() {
    let wait = |urgent| {
        let mut sim = pool();
        // A quarter of the 100 that are left is less than the urgent tasks need, and more than the last one does.
        let filling = |rack: &str, milli| StepSpec {
            need: Resources::new(milli, 10, 0),
            data_rack: Some(rack.to_owned()),
            ..step(1, milli, 60_000)
        };
        let urgent_milli = 2 * 30 * urgent as u32;
        sim.submit(
            "slow",
            vec![filling(SLOW_RACK, SLOW_MILLI - urgent_milli - 100)],
        );
        sim.submit("others0", vec![filling("r1", 15_998)]);
        sim.submit("others1", vec![filling("r1", 15_998)]);
        sim.run_for(100);
        let two_small = StepSpec {
            tasks: 2,
            ..small(30, RUN_MS)
        };
        wait_after(&mut sim, urgent, &two_small, 1)
    };
    let (alone_ms, in_one_search_ms) = (wait(0), wait(50));
    assert!(
        in_one_search_ms <= alone_ms + SEARCH_INTERVAL_MS,
        "{alone_ms}, {in_one_search_ms} ms"
    );
    // How long it takes also depends on the run at which the last search ended.
    let in_two_searches_ms = (220..=240).step_by(10).map(wait).max().unwrap();
    let expected_ms = alone_ms + SEARCH_INTERVAL_MS..=alone_ms + 3 * SEARCH_INTERVAL_MS;
    assert!(
        expected_ms.contains(&in_two_searches_ms),
        "{alone_ms}, {in_two_searches_ms} ms"
    );
}
