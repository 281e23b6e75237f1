//! Failures while a run and its duplicate are in progress, in virtual time: crashes, workers that can't be
//! reached, lost answers and orders, takeovers, cancellations.

mod common;

use common::slow_pool::{
    RUN_MS, TASKS, assert_completes, assert_nothing_is_left, count, duplicable, placements,
    slow_pool, with_duplicate,
};
use common::{LEASE_TERMS, Mode, Sim};
use flow::{FlowPhase, RunEnd};

/// Longest time for which a flow may have nothing running while most of its pool is free, in
/// milliseconds, by the platform's pages.
const MAX_IDLE_MS: u64 = 3_000;

/// Guards against a run that is lost, started a third time or forgotten when another scheduler takes
/// over while both runs are in progress.
#[test]
fn both_runs_go_on_after_a_takeover() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    let before = placements(&sim, &key);
    sim.take_over();
    let after = placements(&sim, &key);
    assert_eq!(after.len(), 2);
    for (before, after) in before.iter().zip(&after) {
        assert_eq!((before.run, &before.agent), (after.run, &after.agent));
    }
    sim.run_for(200);
    assert_eq!(placements(&sim, &key)[1].agent, agent);
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against a third run while the duplicate may be in progress when a scheduler of a version
/// without duplicates takes over: it goes on with the duplicate, and stops the first run.
#[test]
fn a_former_version_goes_on_with_the_duplicate() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.take_over_by_former_version();
    sim.run_for(200);
    let placed = placements(&sim, &key);
    assert_eq!(
        (placed.len(), &placed[0].agent, placed[0].run),
        (1, &agent, 2)
    );
    assert_eq!(sim.run_count("w0"), 0, "the first run is stopped");
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against a third run as above when a worker can't be reached: the former version waits until
/// the duplicate is known to have ended.
#[test]
fn a_former_version_starts_nothing_while_the_duplicate_may_run() {
    for cut_off in ["w0", "w4"] {
        let (mut sim, job, key, agent) = with_duplicate(duplicable());
        assert_eq!(agent.as_str(), "w4");
        sim.workers.get_mut(&cut_off.into()).unwrap().mode = Mode::Mute;
        sim.take_over_by_former_version();
        while sim.starts[&job] == TASKS + 1 && !sim.ended_ms.contains_key(&job) {
            sim.step();
        }
        let may_run = sim.workers[&agent].has_run(&key);
        assert!(!may_run, "the duplicate is in progress");
        assert!(sim.run_until_ended(30_000));
        assert_eq!(sim.ended_ms[&job].1, FlowPhase::Completed);
    }
}

/// Guards against a third run when the answer to a duplicate's start is lost, whether it was started or
/// not.
#[test]
fn a_duplicate_whose_start_answer_is_lost_is_found_or_given_up() {
    for is_executed in [true, false] {
        let mut sim = slow_pool();
        let job = sim.submit("slow", vec![duplicable()]);
        sim.run_for(100);
        sim.lose_starts = vec![is_executed];
        let starts = TASKS + u32::from(is_executed);
        assert_completes(&mut sim, &job, starts);
        assert_eq!(count(&sim, "started"), 1);
        assert_eq!(count(&sim, "won"), u32::from(is_executed));
        assert_eq!(count(&sim, "stopped"), u32::from(!is_executed));
    }
}

/// Guards against a third run, or a task that starts from scratch, when the worker of the first run
/// crashes: the duplicate takes its place.
#[test]
fn a_duplicate_takes_the_place_of_a_run_whose_worker_crashes() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.crash(&"w0".into());
    sim.run_for(200);
    let placed = placements(&sim, &key);
    assert_eq!(
        (placed.len(), &placed[0].agent, placed[0].run),
        (1, &agent, 2)
    );
    assert_completes(&mut sim, &job, TASKS + 1);
    assert_eq!(count(&sim, "won"), 1);
}

/// Guards against a further duplicate, or a number that is used twice, after the worker of a duplicate
/// has crashed, also if the scheduler changes before the first run is lost too.
#[test]
fn the_first_run_goes_on_alone_when_the_duplicate_is_lost() {
    for takes_over in [false, true] {
        let (mut sim, job, key, agent) = with_duplicate(duplicable());
        sim.crash(&agent);
        sim.run_for(400);
        let placed = placements(&sim, &key);
        assert_eq!((placed.len(), placed[0].run), (1, 1));
        assert_eq!(count(&sim, "stopped"), 1);
        if takes_over {
            sim.take_over();
            sim.run_for(200);
        }
        sim.crash(&"w0".into());
        while placements(&sim, &key)
            .first()
            .is_none_or(|run| run.run == 1)
        {
            sim.step();
        }
        assert_eq!(placements(&sim, &key)[0].run, 3);
        assert!(sim.run_until_ended(30_000));
        assert_eq!(count(&sim, "started"), 1, "{job}");
        sim.run_for(1_000);
        assert_nothing_is_left(&sim);
    }
}

/// Guards against a third run while the first may still be in progress on a worker that can't be
/// reached, and against a flow that waits for that worker to show its result.
#[test]
fn the_duplicate_ends_its_step_while_the_first_worker_is_away() {
    for mode in [Mode::Partitioned, Mode::Mute] {
        let (mut sim, job, key, _) = with_duplicate(duplicable());
        sim.workers.get_mut(&"w0".into()).unwrap().mode = mode;
        sim.run_for(2 * RUN_MS);
        assert_eq!(sim.scheduler.phase(&job), Some(FlowPhase::Completed));
        let left = placements(&sim, &key);
        assert_eq!((left.len(), left[0].run), (1, 1), "it may still run");
        assert!(sim.run_until_ended(LEASE_TERMS.longest_ms() + MAX_IDLE_MS));
        assert_eq!(sim.starts[&job], TASKS + 1);
    }
}

/// Guards against a third run when the lease of the first run's worker lapses while the duplicate is in
/// progress: the duplicate takes its place.
#[test]
fn a_duplicate_takes_the_place_of_a_run_whose_lease_lapses() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.slow_workers.insert(agent.clone(), 10);
    sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Partitioned;
    while placements(&sim, &key).len() == 2 {
        sim.step();
    }
    assert!(!sim.ended_ms.contains_key(&job));
    assert_eq!(sim.run_count("w0"), 0, "its lease has lapsed");
    let placed = placements(&sim, &key);
    assert_eq!((&placed[0].agent, placed[0].run), (&agent, 2));
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.starts[&job], TASKS + 1);
}

/// Guards against a duplicate that starts before it is in a durable record, so that the next scheduler
/// does not know of it.
#[test]
fn a_duplicate_starts_only_once_its_record_is_durable() {
    for takes_over in [false, true] {
        let mut sim = slow_pool();
        let job = sim.submit("slow", vec![duplicable()]);
        while count(&sim, "started") == 0 {
            sim.step();
        }
        sim.table_up = false;
        sim.run_for(300);
        assert_eq!(sim.starts[&job], TASKS, "the record is not durable");
        if takes_over {
            sim.take_over();
        }
        sim.table_up = true;
        assert_completes(&mut sim, &job, TASKS + 1);
    }
}

/// Guards against a task that is started again while its duplicate may run on a worker that can't be
/// reached, and against one that never ends because of that.
#[test]
fn the_first_run_ends_its_step_while_the_duplicate_is_away() {
    let (mut sim, job, _, agent) = with_duplicate(duplicable());
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Mute;
    assert!(sim.run_until_ended(20_000));
    assert_eq!(sim.starts[&job], TASKS + 1);
    assert_eq!(sim.ended_ms[&job].1, FlowPhase::Completed);
}

/// Guards against runs of a cancelled flow that stay.
#[test]
fn both_runs_of_a_cancelled_flow_are_stopped() {
    let (mut sim, job, _, _) = with_duplicate(duplicable());
    sim.cancel(&job);
    assert!(sim.run_until_ended(2_000));
    assert_eq!(sim.ended_ms[&job].1, FlowPhase::Cancelled);
    assert_nothing_is_left(&sim);
    assert_eq!((count(&sim, "started"), count(&sim, "stopped")), (1, 1));
}

/// Guards against resources that are given away while the run that lost still uses them, and against a
/// flow that ends before that run is known to have ended.
#[test]
fn the_other_run_counts_as_placed_until_its_end_is_known() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    // The first run overtakes its duplicate.
    sim.slow_workers = [(agent.clone(), 20)].into();
    sim.stops_are_lost = true;
    while count(&sim, "lost") == 0 {
        sim.step();
    }
    sim.run_for(1_000);
    assert!(!sim.ended_ms.contains_key(&job));
    assert_eq!(sim.scheduler.phase(&job), Some(FlowPhase::Completed));
    let view = sim.scheduler.worker(&agent).unwrap();
    assert!(view.allocations.contains_key(&key));
    sim.stops_are_lost = false;
    assert_completes(&mut sim, &job, TASKS + 1);
}

/// Guards against a failed run that counts twice toward the limit of attempts, or not at all, and
/// against a duplicate that is given up because the first run failed.
#[test]
fn a_failed_run_counts_once_and_its_duplicate_goes_on() {
    let (mut sim, job, key, agent) = with_duplicate(duplicable());
    sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::FailsAll;
    sim.run_for(200);
    let placed = placements(&sim, &key);
    assert_eq!((placed.len(), &placed[0].agent), (1, &agent));
    let failures = |sim: &Sim| {
        sim.scheduler
            .flow(&job)
            .unwrap()
            .task(&key)
            .unwrap()
            .failures
    };
    assert_eq!(failures(&sim), 1);
    sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Healthy;
    sim.workers.get_mut(&agent).unwrap().mode = Mode::FailsAll;
    sim.run_for(120);
    assert_eq!(failures(&sim), 2);
    sim.workers.get_mut(&agent).unwrap().mode = Mode::Healthy;
    assert_completes(&mut sim, &job, TASKS + 2);
}

/// Guards against a late success of the first run that is lost, or counted as an orphan's, after the
/// duplicate has won.
#[test]
fn a_success_of_the_other_run_changes_nothing() {
    let (mut sim, job, _, agent) = with_duplicate(duplicable());
    sim.stops_are_lost = true;
    while count(&sim, "won") == 0 {
        sim.step();
    }
    sim.report_end(&agent, &job, 0, RunEnd::Done);
    sim.run_for(10_000);
    assert_eq!(sim.starts[&job], TASKS + 1);
    assert_eq!(sim.ended_ms[&job].1, FlowPhase::Completed);
    assert_nothing_is_left(&sim);
}
