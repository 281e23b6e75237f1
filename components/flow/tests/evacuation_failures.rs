//! Evacuations of failure domains beside failures: lost orders, changes of the scheduler, lost domains and
//! requests that are taken back.

mod common;

use common::evacuated::{
    WORKERS_PER_DOMAIN, most_starts, run_until_stopping, runs_in, saving, sim, starts_in, stopping,
};
use common::{Mode, STEP_MS, Sim, step};
use flow::{FlowState, RunStage, StepSpec};
use model::AgentId;

/// A gang that takes most of two domains.
fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(4, 7_000, 4_000)
    }
}

/// Workers of `d0`.
fn evacuated_agents(sim: &Sim) -> Vec<AgentId> {
    let agents = sim.workers.keys().take(WORKERS_PER_DOMAIN);
    agents.cloned().collect()
}

/// Guards against a gang that is broken up, as one member is stopped and the others wait for it in vain.
#[test]
fn a_gang_with_a_started_member_in_the_domain_finishes_there() {
    let mut sim = sim(2);
    sim.submit("a", vec![gang()]);
    sim.run_for(400);
    assert!(runs_in(&sim, "d0") > 0 && runs_in(&sim, "d1") > 0);
    sim.evacuated.insert("d0".into());
    assert!(sim.run_until_ended(10_000));
    assert_eq!(sim.started.len(), 4, "{:?}", sim.started);
}

/// Guards against a gang of which the start of one member was sent into the domain and got lost: that member
/// must not be started there again, and the others must not wait for it for ever.
#[test]
fn a_gang_with_a_lost_start_in_the_domain_starts_elsewhere_as_a_whole() {
    for lost in 0..4 {
        let mut sim = sim(2);
        let job = sim.submit("a", vec![gang()]);
        // The answers to all starts are lost; all but one are executed.
        sim.lose_starts = (0..4).map(|number| number != lost).collect();
        while sim.started.len() < 3 {
            sim.step();
        }
        let tasks = sim.scheduler.flows().flat_map(FlowState::tasks);
        let placements: Vec<_> = tasks
            .filter_map(|(_, task)| task.placement.clone())
            .collect();
        assert!(
            placements
                .iter()
                .all(|one| one.stage != RunStage::Uncommitted)
        );
        sim.evacuated.insert("d0".into());
        let requested_ms = sim.now_ms;
        sim.run_for(1_000);
        sim.end_alone(&job);
        assert!(sim.run_until_ended(30_000), "lost start {lost}");
        assert_eq!(
            starts_in(&sim, "d0", requested_ms + STEP_MS),
            0,
            "lost start {lost}"
        );
        assert_eq!(
            starts_in(&sim, "d1", requested_ms + STEP_MS),
            4,
            "lost start {lost}"
        );
    }
}

/// Guards against runs that are lost, started twice or left in the domain because the scheduler that moves them
/// is replaced, at any time of the move, and its successor as well.
#[test]
fn two_changes_of_the_scheduler_during_moves_lose_nothing() {
    for stops_are_lost in [false, true] {
        for steps in 0..6 {
            let mut sim = sim(2);
            sim.writes_checkpoints = true;
            sim.submit("long", vec![saving(16, 40_000)]);
            sim.run_for(400);
            sim.evacuated.insert("d0".into());
            let requested_ms = sim.now_ms;
            for _ in 0..2 {
                sim.stops_are_lost = stops_are_lost;
                // Moves begin anew with each scheduler, unless the last one has ended them all.
                while stopping(&sim) == 0 && runs_in(&sim, "d0") > 0 {
                    assert!(sim.now_ms < requested_ms + 20_000, "nothing is moved");
                    sim.step();
                }
                sim.run_for(steps * STEP_MS);
                sim.take_over();
                sim.stops_are_lost = false;
                sim.run_for(1_000);
            }
            let case = format!("stops lost: {stops_are_lost}, after {steps} steps");
            sim.run_for(12_000);
            assert_eq!(runs_in(&sim, "d0"), 0, "{case}");
            assert!(sim.run_until_ended(60_000), "{case}");
            assert_eq!(starts_in(&sim, "d0", requested_ms + STEP_MS), 0, "{case}");
            assert!(most_starts(&sim) <= 2, "{case}");
        }
    }
}

/// Guards against a move that is forgotten when the request is taken back, so that its run is neither stopped
/// nor placed again, and against moves that go on.
#[test]
fn a_request_taken_back_during_a_move_ends_the_moves_and_loses_nothing() {
    let mut sim = sim(2);
    sim.writes_checkpoints = true;
    sim.submit("long", vec![saving(24, 40_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    sim.stops_are_lost = true;
    run_until_stopping(&mut sim);
    let moving = stopping(&sim);
    assert!(moving < runs_in(&sim, "d0"), "some runs are not moved yet");
    sim.evacuated.clear();
    sim.run_for(1_000);
    assert_eq!(stopping(&sim), moving);
    sim.stops_are_lost = false;
    let began_ms = sim.now_ms;
    assert!(sim.run_until_ended(60_000));
    assert!(sim.now_ms < began_ms + 50_000, "progress is kept");
    assert_eq!(sim.started.len(), 24 + moving);
    assert_eq!(most_starts(&sim), 2);
}

/// Guards against tasks that wait for ever, or run twice, because their domain is lost while runs are moved
/// out of it.
#[test]
fn a_domain_lost_for_good_while_it_is_emptied_loses_no_task() {
    for steps in 0..6 {
        let mut sim = sim(2);
        sim.writes_checkpoints = true;
        sim.submit("long", vec![saving(24, 30_000)]);
        sim.run_for(400);
        sim.evacuated.insert("d0".into());
        run_until_stopping(&mut sim);
        sim.run_for(steps * STEP_MS);
        let lost_ms = sim.now_ms;
        assert!(runs_in(&sim, "d0") > 0, "it is not empty yet");
        for agent in evacuated_agents(&sim) {
            sim.workers.get_mut(&agent).unwrap().mode = Mode::Partitioned;
        }
        assert!(sim.run_until_ended(90_000), "after {steps} steps");
        assert_eq!(starts_in(&sim, "d0", lost_ms), 0);
        assert_eq!(runs_in(&sim, "d0"), 0);
        assert!(most_starts(&sim) <= 2, "after {steps} steps");
    }
}

/// Guards against runs that are stopped while all domains are evacuated and nothing has room for them, and
/// against runs that are not moved once a domain returns.
#[test]
fn with_all_domains_evacuated_runs_stay_until_one_returns() {
    let mut sim = sim(2);
    sim.writes_checkpoints = true;
    sim.submit("long", vec![saving(16, 60_000)]);
    sim.run_for(400);
    let left = runs_in(&sim, "d0");
    sim.evacuated.extend(["d0".into(), "d1".into()]);
    sim.run_for(8_000);
    assert_eq!(sim.started.len(), 16, "nothing is moved");
    let staying = sim.scheduler.staying_runs();
    assert_eq!(staying[&"d0".into()].no_room, left);
    sim.evacuated.remove(&"d1".into());
    sim.run_for(4_000);
    assert_eq!((runs_in(&sim, "d0"), runs_in(&sim, "d1")), (0, 16));
    assert_eq!(sim.started.len(), 16 + left);
    assert_eq!(sim.scheduler.staying_runs()[&"d0".into()].total(), 0);
    assert!(sim.run_until_ended(70_000));
}
