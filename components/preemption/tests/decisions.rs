//! Each limit of preemption at its boundary, and the choice among runs.

use preemption::{
    MAX_PREEMPTING, MAX_PREEMPTIONS, MIN_DELAY_MS, MIN_PAUSE_MS, PREEMPTION_MS, Reason, Room,
    START_MS, Urgent, Verdict, Victim, decide,
};

const NOW_MS: u64 = 50_000;
/// A task of 2 processors that would be late without preemption.
const URGENT: Urgent = Urgent {
    priority: 1,
    cores_milli: 2_000,
    memory_mb: 1_000,
    slack_ms: 1_000,
    expected_wait_ms: Some(1_001 - START_MS),
    value: 6_000,
};
/// A run that may make room for it.
const VICTIM: Victim = Victim {
    priority: 2,
    cores_milli: 2_000,
    memory_mb: 1_000,
    lost_work: 500,
    slack_ms: 30_000,
    preemptions: 0,
    last_preempted_ms: None,
};
const FULL: Room = Room {
    cores_milli: 0,
    memory_mb: 0,
    preempting: 0,
};

fn decided(urgent: Urgent, free: Room, victims: &[Victim]) -> Verdict {
    decide(NOW_MS, &urgent, free, victims)
}

fn preempt(victims: &[usize]) -> Verdict {
    Verdict::Preempt {
        victims: victims.to_vec(),
        reason: Reason::WaitTooLong,
    }
}

/// Guards against preemptions for a task that is in time or late either way, and against none at the
/// boundaries.
#[test]
fn a_task_preempts_if_only_that_makes_it_timely() {
    assert_eq!(decided(URGENT, FULL, &[VICTIM]), preempt(&[0]));
    let in_time = Urgent {
        expected_wait_ms: Some(1_000 - START_MS),
        ..URGENT
    };
    let verdict = decided(in_time, FULL, &[VICTIM]);
    assert_eq!(verdict, Verdict::Wait(Reason::InTimeAnyway));
    let least_ms = PREEMPTION_MS as i64;
    let urgent = Urgent {
        slack_ms: least_ms,
        ..URGENT
    };
    assert_eq!(decided(urgent, FULL, &[VICTIM]), preempt(&[0]));
    let late = Urgent {
        slack_ms: least_ms - 1,
        ..URGENT
    };
    assert_eq!(
        decided(late, FULL, &[VICTIM]),
        Verdict::Wait(Reason::TooLate)
    );
    let unknown = Urgent {
        expected_wait_ms: None,
        ..URGENT
    };
    let reason = Reason::NoExpectedRoom;
    let verdict = decided(unknown, FULL, &[VICTIM]);
    assert_eq!(
        verdict,
        Verdict::Preempt {
            victims: vec![0],
            reason
        }
    );
}

/// Guards against a preemption where there is room already.
#[test]
fn free_capacity_is_used_first() {
    let free = Room {
        cores_milli: 2_000,
        memory_mb: 1_000,
        preempting: 0,
    };
    assert_eq!(
        decided(URGENT, free, &[VICTIM]),
        Verdict::Wait(Reason::FreeCapacity)
    );
    let scarce_memory = Room {
        memory_mb: 999,
        ..free
    };
    assert_eq!(decided(URGENT, scarce_memory, &[VICTIM]), preempt(&[0]));
}

/// Guards against the preemption of equally urgent runs, of runs that were preempted twice or a moment
/// ago, and against limits that are stricter than stated.
#[test]
fn limits_of_each_run_hold() {
    let none = Verdict::Wait(Reason::NoVictims);
    let equal = Victim {
        priority: 1,
        ..VICTIM
    };
    assert_eq!(decided(URGENT, FULL, &[equal]), none);
    let spent = Victim {
        preemptions: MAX_PREEMPTIONS,
        ..VICTIM
    };
    assert_eq!(decided(URGENT, FULL, &[spent]), none);
    let last = Victim {
        preemptions: MAX_PREEMPTIONS - 1,
        ..VICTIM
    };
    assert_eq!(decided(URGENT, FULL, &[last]), preempt(&[0]));
    let since = |ms: u64| Victim {
        last_preempted_ms: Some(NOW_MS - ms),
        ..VICTIM
    };
    assert_eq!(decided(URGENT, FULL, &[since(MIN_PAUSE_MS - 1)]), none);
    assert_eq!(decided(URGENT, FULL, &[since(MIN_PAUSE_MS)]), preempt(&[0]));
}

/// Guards against more preemptions at a time than the workers' reports can follow.
#[test]
fn few_tasks_are_preempted_at_a_time() {
    let busy = |preempting| Room { preempting, ..FULL };
    let too_many = Verdict::Wait(Reason::TooManyAtOnce);
    assert_eq!(decided(URGENT, busy(MAX_PREEMPTING), &[VICTIM]), too_many);
    assert_eq!(
        decided(URGENT, busy(MAX_PREEMPTING - 1), &[VICTIM]),
        preempt(&[0])
    );
    let half = Victim {
        cores_milli: 1_000,
        memory_mb: 500,
        ..VICTIM
    };
    let two = [half, half];
    assert_eq!(decided(URGENT, busy(MAX_PREEMPTING - 1), &two), too_many);
    assert_eq!(
        decided(URGENT, busy(MAX_PREEMPTING - 2), &two),
        preempt(&[0, 1])
    );
}

/// Guards against preemptions that lose more than they gain.
#[test]
fn the_gain_exceeds_the_loss() {
    let idle_work = 2 * PREEMPTION_MS;
    let losing = |lost_work| Victim {
        lost_work,
        ..VICTIM
    };
    let dear = losing(URGENT.value - idle_work);
    assert_eq!(
        decided(URGENT, FULL, &[dear]),
        Verdict::Wait(Reason::NotWorthwhile)
    );
    let cheaper = losing(URGENT.value - idle_work - 1);
    assert_eq!(decided(URGENT, FULL, &[cheaper]), preempt(&[0]));
}

/// Guards against a choice that makes flows late, stops urgent runs, or loses more work than another.
#[test]
fn the_cheapest_runs_are_chosen() {
    let cheaper = Victim {
        lost_work: 100,
        ..VICTIM
    };
    assert_eq!(decided(URGENT, FULL, &[VICTIM, cheaper]), preempt(&[1]));
    let made_late = Victim {
        slack_ms: MIN_DELAY_MS as i64 - 1,
        ..cheaper
    };
    assert_eq!(decided(URGENT, FULL, &[VICTIM, made_late]), preempt(&[0]));
    let already_late = Victim {
        slack_ms: -1,
        ..cheaper
    };
    assert_eq!(
        decided(URGENT, FULL, &[VICTIM, already_late]),
        preempt(&[1])
    );
    // A run that frees enough alone, rather than two small ones that lose more.
    let small = Victim {
        cores_milli: 1_000,
        lost_work: 400,
        priority: 3,
        ..VICTIM
    };
    assert_eq!(
        decided(URGENT, FULL, &[small, VICTIM, small]),
        preempt(&[1])
    );
    // Runs that free only memory, as fillers do, don't help where processors are missing.
    let filler = Victim {
        cores_milli: 0,
        lost_work: 0,
        priority: 3,
        ..VICTIM
    };
    assert_eq!(decided(URGENT, FULL, &[filler, VICTIM]), preempt(&[1]));
    assert_eq!(
        decided(URGENT, FULL, &[filler]),
        Verdict::Wait(Reason::NoVictims)
    );
}

/// Guards against sets of runs that make a flow late, or stop a more urgent run, to lose less work.
#[test]
fn sets_of_runs_spare_timely_flows_and_urgent_runs() {
    let half = Victim {
        cores_milli: 1_000,
        memory_mb: 500,
        ..VICTIM
    };
    let free_of_cost = Victim {
        lost_work: 0,
        ..half
    };
    let made_late = Victim {
        slack_ms: MIN_DELAY_MS as i64 - 1,
        ..free_of_cost
    };
    let verdict = decided(URGENT, FULL, &[made_late, half, half]);
    assert_eq!(verdict, preempt(&[1, 2]));
    let less_urgent = Victim {
        priority: 3,
        ..half
    };
    let verdict = decided(URGENT, FULL, &[free_of_cost, less_urgent, less_urgent]);
    assert_eq!(verdict, preempt(&[1, 2]));
}
