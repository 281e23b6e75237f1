//! What is learnt of kinds of work.

use backing::AttemptRef;
use batch::Kinds;
use model::{JobSpec, Resources};
use wire::{AttemptEnd, EndKind};

fn spec(declared: Resources) -> JobSpec {
    JobSpec {
        team: "t".into(),
        key: "j".to_owned(),
        kind: "k".into(),
        tasks: 1,
        need: declared,
        run_ms: 1_000,
        urgent: false,
        max_failures: 1,
        payload: String::new(),
    }
}

/// Runs tasks one after the other; each uses what `uses` makes of what it was given.
fn settle(declared: Resources, uses: impl Fn(Resources) -> Resources) -> Resources {
    let (spec, mut kinds) = (spec(declared), Kinds::default());
    for index in 0..200 {
        let peak = uses(kinds.need(&spec));
        let task = model::TaskId {
            job: spec.id(),
            index,
        };
        let attempt = AttemptRef { task, attempt: 1 };
        let end = AttemptEnd {
            attempt,
            kind: EndKind::Succeeded,
            peak,
            run_ms: 1_000,
        };
        kinds.add(&spec.kind, &end);
    }
    kinds.need(&spec)
}

#[test]
fn work_that_takes_all_it_is_given_is_not_given_ever_more() {
    let declared = Resources::new(100, 100, 1);
    assert_eq!(settle(declared, |given| given), declared);
}

#[test]
fn wrong_sizes_are_corrected_both_ways() {
    let declared = Resources::new(400, 1_000, 0);
    let real = Resources::new(100, 4_000, 0);
    assert_eq!(settle(declared, |_| real), Resources::new(125, 4_000, 0));
}
