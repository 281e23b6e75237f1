//! Learned needs of kinds of batch work.

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

/// Records 200 tasks one after the other, each with the peak that `usage` returns for the need that
/// it was given. Returns the need of the next task.
fn learned_need(declared: Resources, usage: impl Fn(Resources) -> Resources) -> Resources {
    let (spec, mut kinds) = (spec(declared), Kinds::default());
    for index in 0..200 {
        let peak = usage(kinds.need(&spec));
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

/// Headroom above a measured peak would grow without bound for work that uses all it is given.
#[test]
fn work_that_uses_all_it_is_given_never_gets_more_than_declared() {
    let declared = Resources::new(100, 100, 1);
    assert_eq!(learned_need(declared, |given| given), declared);
}

/// A declared need that is too large wastes capacity, one that is too small overloads the VM.
#[test]
fn wrong_declared_needs_are_corrected_both_ways() {
    let declared = Resources::new(400, 1_000, 0);
    let actual = Resources::new(100, 4_000, 0);
    assert_eq!(
        learned_need(declared, |_| actual),
        Resources::new(125, 4_000, 0)
    );
}
