//! Status of evacuations: the runs that can't be moved, by cause.

mod common;

use common::evacuated::{
    BOUND_MS, is_in, lasting, most_starts, run_until_stopping, runs_in, saving, sim, stopping,
};
use common::{Sim, step};
use flow::{StayingRuns, StepSpec};
use model::JobId;

/// Number of runs of a flow in `d0`.
fn runs_of(sim: &Sim, job: &JobId) -> usize {
    let workers = sim.scheduler.workers();
    let in_domain = workers.filter(|(agent, _)| is_in(sim, agent, "d0"));
    let keys = in_domain.flat_map(|(_, view)| view.allocations.keys());
    keys.filter(|key| key.job == *job).count()
}

/// Runs in `d0` that can't be moved.
fn staying(sim: &Sim) -> StayingRuns {
    sim.scheduler.staying_runs()[&"d0".into()]
}

/// Guards against a cause that is missing, or that is counted for runs of another one.
#[test]
fn runs_that_stay_are_counted_by_cause() {
    let mut sim = sim(2);
    let gang = StepSpec {
        gang: true,
        saves_progress: true,
        ..step(8, 1_000, 60_000)
    };
    let soon = sim.submit("soon", vec![saving(8, 9_000)]);
    let plain = sim.submit("plain", vec![step(8, 1_000, 60_000)]);
    let gang = sim.submit("gang", vec![gang]);
    let lasting = sim.submit("lasting", vec![lasting(4, None)]);
    sim.run_for(400);
    let long = sim.submit("long", vec![saving(32, 60_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    sim.run_for(1_000);
    let mut expected = StayingRuns {
        ends_soon: runs_of(&sim, &soon),
        saves_no_progress: runs_of(&sim, &plain),
        gang: runs_of(&sim, &gang),
        disruption_budget: runs_of(&sim, &lasting),
        duplicated: 0,
        no_room: 0,
    };
    assert!(expected.ends_soon > 0 && expected.saves_no_progress > 0);
    assert!(expected.gang > 0 && expected.disruption_budget > 0);
    assert_eq!(staying(&sim), expected, "no room was searched for yet");
    sim.run_for(BOUND_MS + 500);
    expected.no_room = runs_of(&sim, &long);
    assert!(expected.no_room > 0);
    assert_eq!(staying(&sim), expected);
    assert_eq!(expected.total(), runs_in(&sim, "d0"));
    assert_eq!(sim.scheduler.staying_runs().len(), 1, "d1 is not evacuated");
}

/// Guards against a run that counts as one without room after room was found, or after the request was taken
/// back and repeated.
#[test]
fn runs_without_room_are_counted_no_longer_once_there_is_room() {
    let mut sim = sim(2);
    sim.submit("long", vec![saving(32, 60_000)]);
    sim.run_for(400);
    let filling = sim.submit("filling", vec![step(32, 1_000, 60_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    sim.run_for(BOUND_MS + 500);
    assert!(staying(&sim).no_room > 0);
    // Another evacuation stays in force meanwhile.
    sim.evacuated = ["nowhere".into()].into();
    sim.run_for(400);
    assert_eq!(sim.scheduler.staying_runs().len(), 1);
    sim.evacuated.insert("d0".into());
    sim.run_for(200);
    assert_eq!(staying(&sim).no_room, 0);
    sim.run_for(BOUND_MS + 500);
    assert!(staying(&sim).no_room > 0);
    sim.cancel(&filling);
    sim.run_for(3_000);
    assert_eq!((staying(&sim).no_room, runs_in(&sim, "d0")), (0, 0));
}

/// Guards against a run that is being moved and counts as one that can't be, and against long-running tasks
/// that count as movable while the disruption budget is used up.
#[test]
fn what_is_being_moved_does_not_stay() {
    let mut sim = sim(2);
    sim.submit("lasting", vec![lasting(8, Some(1))]);
    sim.run_for(1_000);
    sim.evacuated.insert("d0".into());
    sim.run_for(1_000);
    assert_eq!(
        staying(&sim).total(),
        0,
        "the budget allows one interruption"
    );
    sim.stops_are_lost = true;
    run_until_stopping(&mut sim);
    assert_eq!(stopping(&sim), 1);
    let held = staying(&sim).disruption_budget;
    assert_eq!(held, runs_in(&sim, "d0") - 1);
    assert_eq!(staying(&sim).total(), held);
}

/// Guards against a run whose task runs elsewhere as well and that counts as movable, or is moved.
#[test]
fn a_run_with_a_duplicate_stays() {
    let mut sim = sim(2);
    sim.allow_duplicates();
    sim.writes_checkpoints = true;
    sim.slow_workers.insert("w0".into(), 7);
    let duplicable = StepSpec {
        duplicates_allowed: true,
        ..saving(4, 40_000)
    };
    let job = sim.submit("a", vec![duplicable]);
    let limit_ms = sim.now_ms + 120_000;
    let has_duplicate = |sim: &Sim| {
        let mut tasks = sim.scheduler.flow(&job).unwrap().tasks();
        tasks.any(|(_, task)| task.duplicate.is_some())
    };
    while !has_duplicate(&sim) {
        assert!(sim.now_ms < limit_ms, "no duplicate starts");
        sim.step();
    }
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    sim.run_for(BOUND_MS + 1_000);
    let flow = sim.scheduler.flow(&job).unwrap();
    let duplicated = flow.tasks().filter(|(_, task)| task.duplicate.is_some());
    let placements = duplicated.flat_map(|(_, task)| task.placements().collect::<Vec<_>>());
    let there = placements.filter(|one| is_in(&sim, &one.agent, "d0"));
    let expected = there.count();
    assert!(expected > 0);
    assert_eq!(staying(&sim).duplicated, expected);
    assert_eq!(most_starts(&sim), 2, "a run with a duplicate is moved");
}

/// Guards against an answer of an earlier version without a cause, which must still be read.
#[test]
fn a_cause_that_is_not_stated_counts_as_none() {
    let runs: StayingRuns = serde_json::from_str(r#"{"gang": 2, "new": 1}"#).unwrap();
    assert_eq!((runs.gang, runs.total()), (2, 2));
}
