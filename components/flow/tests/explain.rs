//! Explanations of where a job would go, compared with where it then goes, in virtual time.

mod common;

use common::{Mode, STEP_MS, Sim, queue, step};
use flow::{
    Exclusion, ExplainFault, ExplainedLocality, Explanation, FlowJob, FlowSpec, Policies, QueueKey,
    StepSpec,
};
use model::{AgentId, Resources};
use proptest::prelude::*;

fn job_of(steps: Vec<StepSpec>) -> FlowJob {
    FlowJob {
        id: "any".into(),
        queue: queue(),
        spec: FlowSpec {
            payload: "p".to_owned(),
            steps,
            schedule: None,
        },
        accepted_wall_ms: 0,
    }
}

fn explain(sim: &mut Sim, steps: Vec<StepSpec>) -> Explanation {
    let now_ms = sim.now_ms;
    sim.scheduler.explain(now_ms, 0, job_of(steps)).unwrap()
}

/// Why the first step gets nothing of a worker; `None` if it may.
fn exclusion(explanation: &Explanation, agent: &str) -> Option<Exclusion> {
    let mut workers = explanation.steps[0].workers.iter();
    let worker = workers.find(|worker| worker.agent == AgentId::from(agent));
    worker.expect("the worker is listed").exclusion
}

/// Guards against explanations that leave out a worker or state the wrong reason.
#[test]
fn each_worker_has_a_score_or_a_reason() {
    let mut sim = Sim::new(5);
    sim.workers.get_mut(&"w1".into()).unwrap().mode = Mode::Partitioned;
    sim.workers.get_mut(&"w2".into()).unwrap().capacity = Resources::new(1_000, 64_000, 0);
    sim.workers.get_mut(&"w3".into()).unwrap().labels[0] = "b".to_owned();
    sim.run_for(400);
    let now_ms = sim.now_ms;
    sim.scheduler.worker_mut(&"w4".into()).health.pause(now_ms);
    let labelled = StepSpec {
        label: Some("a".to_owned()),
        ..step(1, 2_000, 1_000)
    };
    let explanation = explain(&mut sim, vec![labelled]);
    assert_eq!(exclusion(&explanation, "w0"), None);
    assert_eq!(exclusion(&explanation, "w2"), Some(Exclusion::NoRoom));
    assert_eq!(exclusion(&explanation, "w3"), Some(Exclusion::Label));
    assert_eq!(exclusion(&explanation, "w4"), Some(Exclusion::Paused));
    assert_eq!(explanation.steps[0].placed, ["w0".into()]);
    assert_eq!(explanation.steps[0].workers[0].agent, "w0".into());
}

/// Guards against an explained job that is accepted, placed or stored, and against a wrong position.
#[test]
fn an_explanation_changes_nothing_and_counts_the_jobs_ahead() {
    let mut sim = Sim::new(1);
    sim.run_for(400);
    for number in 0..3 {
        sim.submit(&format!("f{number}"), vec![step(1, 16_000, 1_000)]);
    }
    sim.run_for(200);
    let flows = sim.scheduler.flows().len();
    let footprint = sim.scheduler.footprint();
    let explanation = explain(&mut sim, vec![step(2, 1_000, 20_000)]);
    assert_eq!((explanation.position, explanation.queued_jobs), (3, 3));
    assert_eq!(exclusion(&explanation, "w0"), Some(Exclusion::NoRoom));
    assert!(explanation.steps[0].placed.is_empty());
    assert_eq!(sim.scheduler.flows().len(), flows);
    assert_eq!(sim.scheduler.footprint(), footprint);
    assert!(sim.scheduler.take_effects().is_empty());
    assert!(sim.run_until_ended(5_000));
    assert_eq!(sim.completed(), 3);
}

/// Guards against explanations for queues that don't exist.
#[test]
fn a_job_of_an_unknown_queue_is_not_explained() {
    let mut sim = Sim::new(1);
    let job = FlowJob {
        queue: QueueKey::default(),
        ..job_of(vec![step(1, 1_000, 1_000)])
    };
    let fault = sim.scheduler.explain(1_000, 0, job).unwrap_err();
    assert_eq!(fault, ExplainFault::NoQueue);
}

/// Guards against explanations that don't show that a task waits for a near worker, or why it doesn't.
#[test]
fn a_wait_for_a_near_worker_is_explained() {
    let mut sim = Sim::new(2);
    sim.workers.get_mut(&"w1".into()).unwrap().labels[1] = "r2".to_owned();
    sim.set_policies(Policies {
        remote_factor: Some(2.0),
        ..Policies::default()
    });
    sim.run_for(400);
    let on_r1 = |estimate_ms| StepSpec {
        data_rack: Some("r1".to_owned()),
        ..step(1, 16_000, estimate_ms)
    };
    let near = explain(&mut sim, vec![on_r1(1_000)]);
    assert_eq!(near.steps[0].locality, Some(ExplainedLocality::Near));
    sim.submit("near", vec![on_r1(1_000)]);
    sim.run_for(600);
    let waits = explain(&mut sim, vec![on_r1(1_000)]);
    let waits_for = Some(ExplainedLocality::Waits { at_most_ms: 1_000 });
    assert_eq!(waits.steps[0].locality, waits_for);
    assert_eq!(
        (waits.steps[0].waiting_for_near, waits.steps[0].placed.len()),
        (1, 0)
    );
    let remote = explain(&mut sim, vec![on_r1(100)]);
    let reason = "later-than-remote".to_owned();
    let goes = Some(ExplainedLocality::Remote { reason });
    assert_eq!(remote.steps[0].locality, goes);
    assert_eq!(remote.steps[0].placed, ["w1".into()]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against an explanation that names other workers than those that the job gets.
    #[test]
    fn a_job_goes_where_the_explanation_says(
        running in prop::collection::vec((1_u32..4, 1_u32..6), 0..8),
        tasks in 1_u32..6,
        processors in 1_u32..8,
        is_gang in any::<bool>(),
        has_data in any::<bool>(),
        remote_factor in prop::option::of(1.5..3.0_f64),
    ) {
        let mut sim = Sim::new(4);
        for name in ["w2", "w3"] {
            sim.workers.get_mut(&name.into()).unwrap().labels[1] = "r2".to_owned();
        }
        sim.set_policies(Policies { remote_factor, ..Policies::default() });
        sim.run_for(400);
        for (number, (tasks, processors)) in running.into_iter().enumerate() {
            sim.submit(&format!("f{number}"), vec![step(tasks, processors * 1_000, 30_000)]);
        }
        sim.run_for(300);
        let spec = StepSpec {
            gang: is_gang,
            same_rack: is_gang,
            data_rack: has_data.then(|| "r2".to_owned()),
            ..step(tasks, processors * 1_000, 500)
        };
        // The next pass is at the end of the next step.
        let now_ms = sim.now_ms + STEP_MS;
        let explanation = sim.scheduler.explain(now_ms, 0, job_of(vec![spec.clone()])).unwrap();
        let job = sim.submit("explained", vec![spec]);
        sim.run_for(2 * STEP_MS);
        let mut expected = explanation.steps[0].placed.clone();
        let flow = sim.scheduler.flow(&job).unwrap();
        let mut placed: Vec<AgentId> = flow
            .tasks()
            .filter_map(|(_, task)| Some(task.placement.as_ref()?.agent.clone()))
            .collect();
        expected.sort();
        placed.sort();
        prop_assert_eq!(expected, placed);
    }
}
