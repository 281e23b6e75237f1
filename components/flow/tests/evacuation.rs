//! Evacuations of failure domains: what starts, what moves and what stays.

mod common;

use common::evacuated::{
    BOUND_MS, WORKERS_PER_DOMAIN, is_in, lasting, runs_in, saving, sim, starts_in,
};
use common::{Mode, STEP_MS, Sim, step};
use flow::{FlowState, LeaseLimit, StepSpec};
use model::{AgentId, JobId};

/// Submits jobs of short tasks all the time for `span_ms`.
fn submit_for(sim: &mut Sim, span_ms: u64, prefix: &str) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for number in 0..span_ms / 200 {
        jobs.push(sim.submit(&format!("{prefix}{number}"), vec![step(8, 1_000, 400)]));
        sim.run_for(200);
    }
    jobs
}

/// Guards against starts in a domain after the bound: the scheduler knew nothing of evacuations.
#[test]
fn nothing_starts_in_an_evacuated_domain() {
    let mut sim = sim(2);
    submit_for(&mut sim, 1_000, "before");
    assert!(starts_in(&sim, "d0", 0) > 0);
    sim.evacuated.insert("d0".into());
    let requested_ms = sim.now_ms;
    submit_for(&mut sim, 8_000, "meanwhile");
    assert_eq!(starts_in(&sim, "d0", requested_ms + STEP_MS), 0);
    assert!(sim.run_until_ended(10_000));
    sim.evacuated.clear();
    let ended_ms = sim.now_ms;
    submit_for(&mut sim, 1_000, "after");
    assert!(
        starts_in(&sim, "d0", ended_ms) > 0,
        "the domain is used again"
    );
}

/// Guards against a start whose placement was not durable yet when the evacuation was requested.
#[test]
fn a_placement_that_is_not_durable_is_revoked() {
    let mut sim = sim(2);
    sim.submit("a", vec![step(16, 1_000, 400)]);
    // The pass has placed the tasks, and its commit is in flight.
    sim.step();
    assert!(runs_in(&sim, "d0") > 0);
    assert!(sim.started.is_empty());
    sim.evacuated.insert("d0".into());
    assert!(sim.run_until_ended(5_000));
    assert_eq!(starts_in(&sim, "d0", 0), 0);
}

/// Guards against single members of a gang that start and wait in vain for those whose starts were
/// revoked.
#[test]
fn a_gang_with_a_revoked_member_starts_elsewhere_as_a_whole() {
    let mut sim = sim(2);
    let gang = StepSpec {
        gang: true,
        ..step(4, 7_000, 400)
    };
    sim.submit("a", vec![gang]);
    sim.step();
    assert!(runs_in(&sim, "d0") > 0 && runs_in(&sim, "d1") > 0);
    sim.evacuated.insert("d0".into());
    assert!(sim.run_until_ended(5_000));
    assert_eq!(
        sim.started.len(),
        4,
        "each member started once: {:?}",
        sim.started
    );
    assert_eq!(starts_in(&sim, "d1", 0), 4);
}

/// Guards against a new scheduler that starts tasks before it has read the requests.
#[test]
fn a_new_scheduler_starts_nothing_before_it_knows_the_evacuations() {
    let mut sim = sim(2);
    sim.evacuated.insert("d0".into());
    sim.run_for(200);
    sim.evacuations_are_read = false;
    sim.take_over();
    let taken_ms = sim.now_ms;
    sim.submit("a", vec![step(16, 1_000, 400)]);
    sim.run_for(3_000);
    assert_eq!(sim.started.len(), 0, "it does not know the requests");
    sim.evacuations_are_read = true;
    assert!(sim.run_until_ended(5_000));
    assert_eq!(starts_in(&sim, "d0", taken_ms), 0);
}

/// Guards against a scheduler that was paused or cut off, so that its reads were not answered, and that
/// starts tasks in a domain whose evacuation it can't know, or places tasks again and again whose starts
/// come too late.
#[test]
fn without_a_recent_read_nothing_starts_after_the_bound() {
    let mut sim = sim(2);
    sim.evacuations_are_read = false;
    let last_read_ms = sim.now_ms;
    sim.evacuated.insert("d0".into());
    submit_for(&mut sim, 8_000, "a");
    let latest_ms = sim.started.iter().map(|(_, _, at_ms)| *at_ms).max();
    assert!(latest_ms < Some(last_read_ms + BOUND_MS));
    assert!(sim.ended_ms.len() < sim.jobs.len(), "no flow waits");
    let tasks = sim.scheduler.flows().flat_map(FlowState::tasks);
    let unstarted = tasks.filter(|(_, task)| !task.done && task.run > 0);
    assert_eq!(unstarted.count(), 0, "a placement had no start");
    sim.evacuations_are_read = true;
    sim.run_for(2_000);
    assert_eq!(starts_in(&sim, "d0", last_read_ms + BOUND_MS), 0);
    assert!(starts_in(&sim, "d1", last_read_ms + BOUND_MS) > 0);
}

/// Guards against an order that is still on its way at the bound: the lease in it has ended by then, so
/// that the worker refuses it.
#[test]
fn the_lease_in_a_start_order_ends_before_the_bound() {
    let sim = sim(1);
    let limit = LeaseLimit {
        until_ms: sim.now_ms + 60_000,
        slack_ms: 300,
    };
    let limited = sim.scheduler.start_lease_limit(limit);
    assert!(limited.until_ms < sim.now_ms + BOUND_MS);
    assert!(limited.until_ms > sim.now_ms + BOUND_MS / 2);
}

/// Guards against long work that stays in an evacuated domain, and against moves of what ends soon or
/// loses its work.
#[test]
fn only_long_work_that_saves_its_progress_is_moved() {
    let mut sim = sim(2);
    sim.submit("long", vec![saving(8, 60_000)]);
    sim.submit("short", vec![saving(8, 12_000)]);
    sim.submit("plain", vec![step(8, 1_000, 14_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    let requested_ms = sim.now_ms;
    sim.run_for(BOUND_MS - 500);
    assert_eq!(sim.started.len(), 24, "a short evacuation moves nothing");
    sim.run_for(2_500);
    let moved = sim.started[24..].iter();
    let moved: Vec<String> = moved.map(|(task, _, _)| task.job.to_string()).collect();
    assert!(
        moved.len() >= 2 && moved.iter().all(|job| job == "long"),
        "{moved:?}"
    );
    assert_eq!(starts_in(&sim, "d0", requested_ms + STEP_MS), 0);
    sim.run_for(10_000);
    assert_eq!(runs_in(&sim, "d0"), 0, "the domain is empty");
}

/// Guards against moves into workers that have no room: the runs would lose their place.
#[test]
fn what_does_not_fit_elsewhere_stays() {
    let mut sim = sim(2);
    sim.submit("long", vec![saving(64, 60_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    sim.run_for(10_000);
    assert_eq!(sim.started.len(), 64);
    let progress = sim.scheduler.evacuations();
    assert_eq!(progress[0].runs_left, 32);
    assert_eq!(progress[0].workers, WORKERS_PER_DOMAIN);
}

/// Guards against more interruptions of long-running tasks at once than their step allows.
#[test]
fn long_running_tasks_move_within_their_disruption_budget() {
    let mut sim = sim(2);
    let job = sim.submit("lasting", vec![lasting(8, Some(1))]);
    let fixed = sim.submit("fixed", vec![lasting(4, None)]);
    sim.run_for(1_000);
    assert!(runs_in(&sim, "d0") > 0);
    sim.evacuated.insert("d0".into());
    for _ in 0..20_000 / STEP_MS {
        sim.step();
        let flow = sim.scheduler.flow(&job).unwrap();
        let placements = flow.tasks().filter_map(|(_, task)| task.placement.as_ref());
        let at_work = placements.filter(|one| matches!(one.stage, flow::RunStage::Running { .. }));
        assert!(at_work.count() >= 7, "more than one task is interrupted");
    }
    let left = |job: &JobId| {
        let flow = sim.scheduler.flow(job).unwrap();
        let placements = flow.tasks().filter_map(|(_, task)| task.placement.as_ref());
        placements
            .filter(|one| is_in(&sim, &one.agent, "d0"))
            .count()
    };
    assert_eq!(left(&job), 0);
    let starts_of_fixed = sim.started.iter().filter(|(task, _, _)| task.job == fixed);
    assert_eq!(
        starts_of_fixed.count(),
        4,
        "without a budget nothing is interrupted"
    );
}

/// Guards against a run that is lost between its domains when the evacuation ends in the middle of its
/// move.
#[test]
fn an_evacuation_that_ends_during_moves_loses_nothing() {
    let mut sim = sim(2);
    sim.submit("long", vec![saving(16, 20_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    sim.run_for(BOUND_MS + 100);
    sim.evacuated.clear();
    assert!(sim.run_until_ended(60_000));
}

/// Guards against tasks that wait for ever because their domain is lost for good while it is evacuated.
#[test]
fn tasks_of_a_domain_that_is_lost_run_elsewhere() {
    let mut sim = sim(2);
    sim.submit("a", vec![step(16, 1_000, 8_000)]);
    sim.run_for(400);
    sim.evacuated.insert("d0".into());
    let agents: Vec<AgentId> = sim
        .workers
        .keys()
        .take(WORKERS_PER_DOMAIN)
        .cloned()
        .collect();
    for agent in &agents {
        sim.workers.get_mut(agent).unwrap().mode = Mode::Partitioned;
    }
    assert!(sim.run_until_ended(30_000));
    assert!(starts_in(&sim, "d1", 0) >= 16);
}

/// Guards against starts where all domains are evacuated, and against jobs that are then forgotten.
#[test]
fn with_all_domains_evacuated_jobs_wait_until_one_returns() {
    let mut sim = sim(2);
    sim.evacuated
        .extend(["d0".into(), "d1".into(), "nowhere".into()]);
    sim.run_for(200);
    sim.submit("a", vec![step(40, 1_000, 400)]);
    sim.run_for(10_000);
    assert!(sim.started.is_empty());
    sim.evacuated.remove(&"d1".into());
    assert!(sim.run_until_ended(10_000));
    assert_eq!(starts_in(&sim, "d0", 0), 0);
}

/// Guards against a changed behaviour of deployments that state no bound and have no evacuations.
#[test]
fn without_a_bound_starts_do_not_depend_on_reads() {
    let mut sim = Sim::new(2);
    sim.evacuations_are_read = false;
    sim.submit("a", vec![step(8, 1_000, 400)]);
    assert!(sim.run_until_ended(5_000));
}
