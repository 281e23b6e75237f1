//! Properties of the decision for any task, worker and runs.

use preemption::{
    MAX_PREEMPTING, MAX_PREEMPTIONS, MIN_PAUSE_MS, Room, START_MS, Urgent, Verdict, Victim, cost,
    decide,
};
use proptest::prelude::*;

const NOW_MS: u64 = 50_000;

fn victim() -> impl Strategy<Value = Victim> {
    let last_ms = prop::option::of(NOW_MS - 2 * MIN_PAUSE_MS..NOW_MS);
    (
        0_u32..4,
        0_u32..8,
        0_u64..8,
        0_u64..6_000,
        -4_000_i64..8_000,
        0_u32..4,
        last_ms,
    )
        .prop_map(
            |(priority, cores, memory, lost_work, slack_ms, preemptions, last_preempted_ms)| {
                Victim {
                    priority,
                    cores_milli: cores * 500,
                    memory_mb: memory * 500,
                    lost_work,
                    slack_ms,
                    preemptions,
                    last_preempted_ms,
                }
            },
        )
}

fn urgent() -> impl Strategy<Value = Urgent> {
    let wait_ms = prop::option::of(0_u64..6_000);
    (
        0_u32..3,
        1_u32..8,
        0_u64..8,
        -500_i64..4_000,
        wait_ms,
        0_u64..20_000,
    )
        .prop_map(
            |(priority, cores, memory, slack_ms, expected_wait_ms, value)| Urgent {
                priority,
                cores_milli: cores * 500,
                memory_mb: memory * 500,
                slack_ms,
                expected_wait_ms,
                value,
            },
        )
}

proptest! {
    /// Guards against a preemption that breaks a limit, frees too little, costs more than it gains or stops
    /// a run that is not needed.
    #[test]
    fn preemptions_keep_the_limits_and_make_room(
        urgent in urgent(),
        victims in prop::collection::vec(victim(), 0..10),
        cores in 0_u32..4,
        memory in 0_u64..4,
        preempting in 0_u32..6,
    ) {
        let free = Room { cores_milli: cores * 500, memory_mb: memory * 500, preempting };
        let Verdict::Preempt { victims: chosen, .. } = decide(NOW_MS, &urgent, free, &victims) else {
            return Ok(());
        };
        prop_assert!(!chosen.is_empty() && chosen.is_sorted_by(|left, right| left < right));
        prop_assert!(preempting + chosen.len() as u32 <= MAX_PREEMPTING);
        prop_assert!(cost(&victims, &chosen).work < urgent.value);
        let mut freed = (free.cores_milli, free.memory_mb);
        for index in &chosen {
            let victim = &victims[*index];
            prop_assert!(victim.priority > urgent.priority);
            prop_assert!(victim.preemptions < MAX_PREEMPTIONS);
            let last_ms = victim.last_preempted_ms;
            prop_assert!(last_ms.is_none_or(|last_ms| last_ms + MIN_PAUSE_MS <= NOW_MS));
            freed.0 += victim.cores_milli;
            freed.1 += victim.memory_mb;
        }
        prop_assert!(freed.0 >= urgent.cores_milli && freed.1 >= urgent.memory_mb);
        for index in &chosen {
            let victim = &victims[*index];
            let rest = (freed.0 - victim.cores_milli, freed.1 - victim.memory_mb);
            prop_assert!(rest.0 < urgent.cores_milli || rest.1 < urgent.memory_mb);
        }
    }

    /// Guards against preemptions for a task that has room, is in time anyway or is too late.
    #[test]
    fn a_task_preempts_only_where_that_makes_it_timely(
        urgent in urgent(),
        victims in prop::collection::vec(victim(), 0..10),
        cores in 0_u32..8,
        memory in 0_u64..8,
    ) {
        let free = Room { cores_milli: cores * 500, memory_mb: memory * 500, preempting: 0 };
        let is_free = free.cores_milli >= urgent.cores_milli && free.memory_mb >= urgent.memory_mb;
        let is_timely = urgent.expected_wait_ms.is_some_and(|wait_ms| (wait_ms + START_MS) as i64 <= urgent.slack_ms);
        let is_late = urgent.slack_ms < preemption::PREEMPTION_MS as i64;
        let verdict = decide(NOW_MS, &urgent, free, &victims);
        if is_free || is_timely || is_late {
            prop_assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
        }
    }
}
