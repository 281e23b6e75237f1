//! Admission against a VM's capacity, and the control of batch work beside services.

use backing::{AttemptRef, AttemptReport, AttemptStatus};
use ledger::{
    Action, AdmissionDecision, AllocationState, InterferenceController, InterferenceLimits, Ledger,
    Measurement,
};
use model::{KindName, Resources, TaskId};
use proptest::prelude::*;
use wire::{EndKind, StartOrder};

/// Capacity of the VM.
const CAPACITY: Resources = Resources::new(4_000, 4_000, 1);

fn attempt(task: u32, number: u32) -> AttemptRef {
    AttemptRef {
        task: TaskId {
            job: "t.j".into(),
            index: task,
        },
        attempt: number,
    }
}

fn order(task: u32, number: u32, need: Resources, urgent: bool) -> StartOrder {
    StartOrder {
        attempt: attempt(task, number),
        kind: "k".into(),
        need,
        urgent,
        payload: String::new(),
        checkpoint: None,
    }
}

fn any_need() -> impl Strategy<Value = Resources> {
    (1..5_000_u32, 1..5_000_u32, 0..2_u32).prop_map(|(p, m, a)| Resources::new(p, m, a))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against overcommitted VMs, two attempts of a task at a time and stale attempts that
    /// start again, under random orders, ends and confirmations.
    #[test]
    fn running_attempts_fit_the_vm_and_outdated_ones_never_start(
        steps in prop::collection::vec((0..6_u32, 1..5_u32, any_need(), any::<bool>(), 0..4_u8), 1..80)
    ) {
        let mut ledger = Ledger::new(CAPACITY);
        let decision = ledger.admit(0, &order(0, 1, Resources::new(1, 1, 0), false));
        prop_assert_eq!(decision, AdmissionDecision::Unready);
        ledger.on_reports(0, &[]);
        let mut newest = [0_u32; 6];
        for (now_ms, (task, number, need, urgent, action)) in steps.into_iter().enumerate() {
            let now_ms = now_ms as u64;
            match action {
                0 | 1 => {
                    let before = newest[task as usize];
                    let decision = ledger.admit(now_ms, &order(task, number, need, urgent));
                    if matches!(decision, AdmissionDecision::Start | AdmissionDecision::Preempt(_)) {
                        prop_assert!(number >= before);
                        newest[task as usize] = number;
                    }
                    if decision == AdmissionDecision::Start {
                        ledger.mark_running(&attempt(task, number));
                    }
                }
                2 => {
                    if ledger.get(&attempt(task, number)).is_some() {
                        ledger.record_end(now_ms, &attempt(task, number), EndKind::Stopped);
                    }
                }
                _ => ledger.confirm_ends(&[attempt(task, number)]),
            }
            for started in ledger.take_startable() {
                ledger.mark_running(&started.attempt);
            }
            let leased = ledger
                .allocations()
                .filter(|(_, allocation)| allocation.state != AllocationState::AwaitingPreemption);
            let sum = leased.fold(Resources::default(), |sum, (_, allocation)| {
                sum.plus(&allocation.committed())
            });
            prop_assert!(sum.fits_in(&CAPACITY), "{:?}", sum);
            let mut tasks: Vec<u32> = ledger
                .allocations()
                .map(|(attempt, _)| attempt.task.index)
                .collect();
            let all = tasks.len();
            tasks.sort_unstable();
            tasks.dedup();
            prop_assert_eq!(all, tasks.len(), "one attempt of a task at a time");
        }
    }
}

/// A restarted agent would overcommit its VM, or start a task twice, if it admitted work without
/// counting the attempts that its predecessor started.
#[test]
fn a_restarted_agent_counts_running_attempts_before_it_admits_any() {
    let mut ledger = Ledger::new(CAPACITY);
    let running = AttemptReport {
        attempt: attempt(1, 3),
        status: AttemptStatus::Running,
        need: Resources::new(3_000, 100, 0),
        peak: Resources::default(),
    };
    ledger.on_reports(0, &[running]);
    let large = Resources::new(2_000, 100, 0);
    assert_eq!(
        ledger.admit(1, &order(2, 1, large, false)),
        AdmissionDecision::Refuse
    );
    assert_eq!(
        ledger.admit(1, &order(1, 2, Resources::new(1, 1, 0), false)),
        AdmissionDecision::Refuse
    );
    assert_eq!(
        ledger.admit(1, &order(3, 1, Resources::new(1_000, 1, 0), false)),
        AdmissionDecision::Start
    );
}

/// A refusal proves to the owner that the attempt never ran. A draining agent that refused an
/// attempt it runs, or one whose end is unconfirmed, would cause a second run.
#[test]
fn a_draining_agent_refuses_only_attempts_that_never_ran_there() {
    let small = Resources::new(1, 1, 0);
    let mut ledger = Ledger::new(CAPACITY);
    ledger.on_reports(0, &[]);
    for task in [1, 2] {
        let decision = ledger.admit(1, &order(task, 1, small, false));
        assert_eq!(decision, AdmissionDecision::Start);
    }
    ledger.stop_admitting();
    ledger.record_end(2, &attempt(2, 1), EndKind::Checkpointed);
    let mut decide = |task: u32| ledger.admit(3, &order(task, 1, small, false));
    assert_eq!(decide(1), AdmissionDecision::Known, "it is running");
    assert_eq!(
        decide(2),
        AdmissionDecision::Known,
        "its end is unconfirmed"
    );
    assert_eq!(decide(3), AdmissionDecision::Refuse, "it never ran");
}

/// A refusal proves to the owner that the attempt never ran. A restarted agent can't know that
/// before it has read the runtime's attempts; if it refused earlier, an attempt could run twice.
/// Ends found in the first reports are reported until confirmed, and not again afterwards.
#[test]
fn a_restarted_agent_never_refuses_an_attempt_that_ran_before_it_started() {
    let small = Resources::new(1, 1, 0);
    let mut ledger = Ledger::new(CAPACITY);
    let decision = ledger.admit(0, &order(1, 1, small, false));
    assert_eq!(decision, AdmissionDecision::Unready, "nothing was read yet");
    let ended = AttemptReport {
        attempt: attempt(1, 1),
        status: AttemptStatus::Checkpointed,
        need: small,
        peak: Resources::default(),
    };
    ledger.on_reports(1, std::slice::from_ref(&ended));
    ledger.stop_admitting();
    let decision = ledger.admit(2, &order(1, 1, small, false));
    assert_eq!(
        decision,
        AdmissionDecision::Known,
        "it ended before the start"
    );
    ledger.confirm_ends(&[attempt(1, 1)]);
    ledger.on_reports(3, &[ended]);
    assert!(
        !ledger.has_unconfirmed_end(&attempt(1, 1)),
        "a confirmed end is not reported again"
    );
}

fn attempts_of(names: &[(u32, &str)]) -> Vec<(AttemptRef, KindName)> {
    names
        .iter()
        .map(|(task, kind)| (attempt(*task, 1), KindName::from(*kind)))
        .collect()
}

fn observe(
    controller: &mut InterferenceController,
    now_ms: u64,
    running: &[(AttemptRef, KindName)],
) -> Vec<Action> {
    controller.observe(
        now_ms,
        running.iter().map(|(attempt, kind)| (attempt, kind)),
    )
}

fn measured(taken_ms: u64, slowdown: f64) -> Measurement {
    Measurement { taken_ms, slowdown }
}

/// Measurements arrive seconds late. If those taken before an action took effect caused further
/// actions, harmless work would be throttled as well.
#[test]
fn a_measurement_taken_before_the_last_action_causes_no_other() {
    let mut controller = InterferenceController::new(InterferenceLimits::default());
    observe(&mut controller, 0, &attempts_of(&[(1, "quiet")]));
    assert!(controller.decide(100, measured(50, 1.0)).is_empty());
    observe(
        &mut controller,
        200,
        &attempts_of(&[(1, "quiet"), (2, "noisy")]),
    );
    let first = controller.decide(5_200, measured(300, 1.9));
    assert_eq!(
        first,
        [Action::Throttle {
            attempt: attempt(2, 1),
            percent: 10
        }],
        "only the attempt that started since"
    );
    for taken_ms in (400..5_600).step_by(100) {
        assert!(
            controller
                .decide(taken_ms + 5_000, measured(taken_ms, 1.9))
                .is_empty()
        );
    }
    assert!(!controller.decide(10_800, measured(5_800, 1.9)).is_empty());
}

/// A new attempt of a harmful kind that started at full speed would slow the service down until the
/// next measurement arrives.
#[test]
fn a_new_attempt_of_a_throttled_kind_starts_throttled() {
    let mut controller = InterferenceController::new(InterferenceLimits::default());
    controller.decide(0, measured(0, 1.0));
    observe(&mut controller, 10, &attempts_of(&[(1, "noisy")]));
    controller.decide(1_000, measured(20, 2.0));
    let actions = observe(&mut controller, 60_000, &attempts_of(&[(2, "noisy")]));
    assert_eq!(
        actions,
        [Action::Throttle {
            attempt: attempt(2, 1),
            percent: 10
        }]
    );
}

/// A good measurement from before an attempt started does not cover it, and would lift the throttle
/// of a harmful attempt too early.
#[test]
fn a_measurement_from_before_an_attempt_started_does_not_loosen_it() {
    let mut controller = InterferenceController::new(InterferenceLimits::default());
    controller.decide(0, measured(0, 1.0));
    observe(&mut controller, 10, &attempts_of(&[(1, "noisy")]));
    controller.decide(1_000, measured(20, 2.0));
    observe(&mut controller, 60_000, &attempts_of(&[(2, "noisy")]));
    assert!(controller.decide(60_100, measured(55_000, 1.0)).is_empty());
    assert_eq!(
        controller.decide(66_000, measured(61_000, 1.0)),
        [Action::Throttle {
            attempt: attempt(2, 1),
            percent: 25
        }]
    );
}

/// Work that is kept off a VM can't be measured there again, so evidence must expire or the kind
/// would be kept off for ever.
#[test]
fn a_kind_that_slows_services_is_bad_until_the_evidence_expires() {
    let mut controller = InterferenceController::new(InterferenceLimits::default());
    controller.decide(0, measured(0, 1.0));
    observe(&mut controller, 10, &attempts_of(&[(1, "noisy")]));
    controller.decide(1_000, measured(20, 2.0));
    observe(&mut controller, 10_000, &attempts_of(&[(2, "quiet")]));
    controller.decide(20_000, measured(15_000, 1.0));
    assert_eq!(controller.bad_kinds(20_000), [KindName::from("noisy")]);
    assert!(controller.bad_kinds(601_000).is_empty());
}
