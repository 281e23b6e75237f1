//! Records of a flow's progress: what a scheduler restores from a record is what the former one
//! knew, and the size of a record depends on the tasks in progress only.

use flow::record_rows::{JoinError, join, split};
use flow::{
    CommitLimits, Effect, FlowJob, FlowPhase, FlowRecord, FlowSpec, FlowState, Incarnation,
    OccurrenceState, Placement, QueueKey, RecordRows, RunStage, Schedule, Scheduler, StepSpec,
    TaskState,
};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Time at which records are restored, in milliseconds.
const NOW_MS: u64 = 7;

/// A flow with `occurrences` activated occurrences of steps with these numbers of tasks.
fn flow(steps: &[u32], occurrences: u32) -> FlowState {
    let new_step = |tasks: &u32| StepSpec {
        tasks: *tasks,
        ..StepSpec::default()
    };
    let spec = FlowSpec {
        payload: String::new(),
        steps: steps.iter().map(new_step).collect(),
        schedule: Some(Schedule {
            first_wall_ms: 0,
            interval_ms: 1,
            occurrences,
        }),
    };
    let job = FlowJob {
        id: "a".into(),
        queue: QueueKey::default(),
        spec,
        accepted_wall_ms: 0,
    };
    let mut state = FlowState::new(job, 0);
    state.activate(u64::from(occurrences));
    state
}

/// Tasks of a flow, also those that were never placed, in order.
fn tasks_mut(state: &mut FlowState) -> impl Iterator<Item = &mut TaskState> {
    let steps = state
        .occurrences
        .iter_mut()
        .flat_map(|occurrence| &mut occurrence.steps);
    steps.flat_map(|step| {
        // The state of the last task has those of all others allocated.
        step.task_mut(step.count - 1);
        step.tasks.iter_mut()
    })
}

/// The occurrences of a flow with all tasks that are not released.
fn occurrences(mut state: FlowState) -> Vec<OccurrenceState> {
    state.release_done_steps();
    tasks_mut(&mut state).for_each(|_| ());
    state.occurrences
}

fn done() -> TaskState {
    TaskState {
        run: 1,
        done: true,
        ..TaskState::default()
    }
}

fn placement(worker: u64, run: u32) -> Placement {
    Placement {
        run,
        agent: format!("a{worker}").into(),
        incarnation: Incarnation {
            worker: format!("w{worker}"),
            born_ms: 1_700_000_000_000 + worker,
        },
        stage: RunStage::Unconfirmed,
        revision: 0,
        percent: 0,
        progress_ms: NOW_MS,
        pace: 100,
        is_pace_known: false,
        pace_changed_ms: 0,
        saved_ms: 0,
    }
}

/// Progress of a task: not placed, done, done with a placement left, placed, placed twice, placed with
/// a later run that has ended, or waiting for another run.
fn progress() -> impl Strategy<Value = TaskState> {
    let placed = |worker: u64, run: u32, done: bool, checkpoint: Option<String>| TaskState {
        run,
        done,
        checkpoint: checkpoint.filter(|_| !done),
        placement: Some(placement(worker, run)),
        ..TaskState::default()
    };
    prop_oneof![
        3 => Just(TaskState::default()),
        4 => Just(done()),
        2 => (0_u64..3, 1_u32..9, any::<bool>(), proptest::option::of("[a-z\"é]{0,8}"))
            .prop_map(move |(worker, run, done, saved)| placed(worker, run, done, saved)),
        2 => (0_u64..3, 1_u64..3, 1_u32..9, 1_u32..9, 0_u32..3, any::<bool>(), any::<bool>()).prop_map(
            |(worker, other, run, later, ended, done, is_placed)| TaskState {
                run: run + later + ended,
                done,
                placement: Some(placement(worker, run)),
                duplicate: is_placed.then(|| Box::new(placement(worker + other, run + later))),
                ..TaskState::default()
            },
        ),
        2 => (1_u32..9, 0_u32..3).prop_map(|(run, failures)| TaskState {
            run,
            failures,
            ..TaskState::default()
        }),
    ]
}

/// Text of a flow's record.
fn text(state: &FlowState) -> String {
    serde_json::to_string(&FlowRecord::of(state)).unwrap()
}

/// A flow of the same specification, restored from a record. The clock of the scheduler that
/// restores it has not reached the occurrences after the first.
fn restored(state: &FlowState, record: &str) -> FlowState {
    let record: FlowRecord = serde_json::from_str(record).unwrap();
    let mut restored = FlowState::new(state.job.clone(), 0);
    restored.activate(0);
    record.restore(&mut restored, NOW_MS);
    restored
}

proptest! {
    /// Guards against progress that is lost or invented when another scheduler takes over.
    #[test]
    fn a_restored_flow_has_the_progress_that_was_recorded(
        steps in prop::collection::vec(1_u32..6, 1..4),
        count in 1_u32..6,
        progress in prop::collection::vec(progress(), 90),
        failed in any::<bool>(),
    ) {
        let mut state = flow(&steps, count);
        state.failed = failed;
        for (task, progress) in tasks_mut(&mut state).zip(progress) {
            *task = progress;
        }
        let restored = restored(&state, &text(&state));
        prop_assert_eq!(restored.failed, failed);
        let has_started = state.tasks().any(|(_, task)| task.run > 0);
        prop_assert_eq!(restored.started, has_started);
        prop_assert_eq!(occurrences(restored), occurrences(state));
    }
}

/// Guards against records that grow with each finished occurrence until the table refuses them.
#[test]
fn a_record_is_flat_in_finished_occurrences() {
    let mut sizes = Vec::new();
    for occurrences in [10, 100, 1_000] {
        let mut state = flow(&[36], occurrences);
        tasks_mut(&mut state).for_each(|task| *task = done());
        let last = state.occurrences.last_mut().unwrap();
        last.steps[0].tasks[3].done = false;
        sizes.push(text(&state).len());
        println!(
            "36 tasks, {occurrences} occurrences: {} bytes",
            text(&state).len()
        );
    }
    assert!(sizes[2] <= sizes[0] + 8, "{sizes:?}");
}

/// Guards against a large job that no commit can hold. Prints the sizes in docs/CAPACITY.md.
#[test]
fn ten_thousand_tasks_in_progress_fit_one_commit() {
    for tasks in [36, 4_000, 10_000] {
        for occurrences in [10, 100, 1_000] {
            if tasks * occurrences > 400_000 {
                continue;
            }
            let mut state = flow(&[tasks], occurrences);
            tasks_mut(&mut state).for_each(|task| *task = done());
            let finished = text(&state).len();
            let last = &mut state.occurrences.last_mut().unwrap().steps[0].tasks;
            for (number, task) in last.iter_mut().enumerate() {
                *task = placed(number as u64 % 56);
            }
            let progress = text(&state);
            let rows = split(&progress, 65_536).len();
            let bytes = progress.len();
            println!(
                "{tasks} tasks, {occurrences} occurrences: {finished} bytes finished, {bytes} bytes in {rows} rows with one in progress"
            );
            assert!(
                rows <= 9 && bytes + rows * 256 <= 700_000 - 65_536,
                "{bytes}"
            );
        }
    }
}

/// Guards against records that grow by more than a few bytes with each task that is done.
#[test]
fn the_done_tasks_of_a_step_take_few_bytes() {
    let mut state = flow(&[4_000], 1);
    for (number, task) in tasks_mut(&mut state).enumerate() {
        if number % 2 == 0 {
            *task = done();
        }
    }
    let bytes = text(&state).len();
    assert!(bytes < 4 * 4_000, "{bytes}");
}

/// Guards against a new version that can't read the records of the former one.
#[test]
fn a_record_of_the_former_version_is_restored() {
    let former = r#"{"f":false,"w":[["a1","w1",1700000000001]],
        "o":[[[[1,0,true,null,null],[3,1,false,"saved",0]]],[[null,[2,0,false,null,null]]]],
        "c":[[0,0,1,1,0,2]]}"#;
    let mut state = flow(&[2], 2);
    let [first, second, _, fourth] = &mut tasks_mut(&mut state).collect::<Vec<_>>()[..] else {
        panic!("there are four tasks");
    };
    **first = done();
    (second.run, second.failures) = (3, 1);
    second.checkpoint = Some("saved".to_owned());
    second.placement = Some(placement(1, 3));
    (second.crashes.soon, second.crashes.total) = (1, 2);
    fourth.run = 2;
    let again = restored(&state, &text(&state));
    let expected = occurrences(state.clone());
    assert_eq!(occurrences(restored(&state, former)), expected);
    assert_eq!(occurrences(again), expected);
}

/// A record as a version without duplicates reads it: without the field that such a version ignores.
fn read_by_former_version(state: &FlowState) -> FlowState {
    let mut record: serde_json::Value = serde_json::from_str(&text(state)).unwrap();
    record.as_object_mut().unwrap().remove("p");
    restored(state, &record.to_string())
}

/// Guards against a former version that starts a further run while a duplicate may run: it finds the
/// task placed, on the duplicate's worker, and numbers a later run higher than both.
#[test]
fn a_former_version_finds_a_duplicate_as_the_placed_run() {
    let mut state = flow(&[1], 1);
    let task = tasks_mut(&mut state).next().unwrap();
    task.run = 2;
    task.placement = Some(placement(1, 1));
    task.duplicate = Some(Box::new(placement(2, 2)));
    let mut read = read_by_former_version(&state);
    let task = tasks_mut(&mut read).next().unwrap();
    assert_eq!(task.placement, Some(placement(2, 2)));
    assert_eq!((task.run, task.duplicate.is_none()), (2, true));
}

/// Guards against a run that a former version stops, or that it starts again, because a duplicate of it
/// ended before.
#[test]
fn a_former_version_finds_the_run_whose_duplicate_has_ended() {
    let mut state = flow(&[1], 1);
    let task = tasks_mut(&mut state).next().unwrap();
    task.run = 2;
    task.placement = Some(placement(1, 1));
    let mut read = read_by_former_version(&state);
    let task = tasks_mut(&mut read).next().unwrap();
    assert_eq!((task.run, &task.placement), (1, &Some(placement(1, 1))));
    let mut read = restored(&state, &text(&state));
    let task = tasks_mut(&mut read).next().unwrap();
    assert_eq!((task.run, &task.placement), (2, &Some(placement(1, 1))));
}

/// Guards against a record of a step without duplicates that takes more room, or is read differently,
/// than before.
#[test]
fn a_record_without_duplicates_has_no_field_for_them() {
    let mut state = flow(&[2], 1);
    tasks_mut(&mut state).for_each(|task| *task = placed(1));
    assert!(!text(&state).contains("\"p\""));
}

/// Guards against a record that no commit can hold and that thereby keeps the records of other flows,
/// and its own, from being written.
#[test]
fn a_flow_whose_record_exceeds_a_commit_fails_and_the_others_are_recorded() {
    let limits = CommitLimits {
        rows: 20,
        bytes: 6_000,
        row_bytes: 500,
    };
    let mut scheduler = Scheduler::default();
    for (id, tasks) in [("f1", 200), ("f2", 2)] {
        let mut state = flow(&[tasks], 1);
        tasks_mut(&mut state).for_each(|task| *task = placed(1));
        state.job.id = id.into();
        scheduler.add(0, 1, state.job.clone());
        let record = serde_json::from_str(&text(&state)).unwrap();
        scheduler.restore(NOW_MS, &state.job.id, &record);
        scheduler.request_rewrite(&state.job.id);
    }
    let records = scheduler.take_commit(NOW_MS, &limits);
    let jobs: Vec<&str> = records.iter().map(|record| record.job.as_str()).collect();
    assert_eq!(jobs, ["f1", "f2"]);
    assert_eq!(records[0].values.len(), 1);
    scheduler.on_committed(&records);
    assert_eq!(scheduler.phase(&"f1".into()), Some(FlowPhase::Failed));
    assert_eq!(scheduler.phase(&"f2".into()), Some(FlowPhase::Running));
    let effects = scheduler.take_effects();
    let is_cause =
        |effect: &Effect| matches!(effect, Effect::SetAside(job, _) if job.as_str() == "f1");
    assert!(effects.iter().any(is_cause), "the cause is logged");
    let stops = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Stop(_)));
    assert_eq!(stops.count(), 200, "its runs are stopped");
    let next = restored(&flow(&[200], 1), &records[0].values[0]);
    assert_eq!(
        next.end(),
        Some(FlowPhase::Failed),
        "the next scheduler sets it aside too"
    );
}

/// A task that was placed, with a checkpoint of 16 characters.
fn placed(worker: u64) -> TaskState {
    TaskState {
        run: 1,
        checkpoint: Some("00000bb87a21d94b".to_owned()),
        placement: Some(placement(worker, 1)),
        ..TaskState::default()
    }
}

proptest! {
    /// Guards against rows over the limit, and against a record that is changed by being split.
    #[test]
    fn a_split_record_is_joined_to_the_same_text(
        text in "\\{[a-zé€𝄞\n]{0,600}",
        row_bytes in 64_usize..300,
    ) {
        let rows = split(&text, row_bytes);
        prop_assert!(rows.iter().all(|row| row.len() <= row_bytes));
        let numbered: Vec<(usize, &str)> = rows.iter().map(String::as_str).enumerate().collect();
        prop_assert_eq!(join(&numbered), Ok(text));
    }

    /// Guards against a record that is restored although a row of it is missing or is of another
    /// record.
    #[test]
    fn rows_that_are_not_of_one_record_are_not_joined(missing in 0_usize..8, other in 1_usize..8) {
        let texts = ["a", "b"].map(|letter| format!("{{{}", letter.repeat(400)));
        let [first, second] = texts.each_ref().map(|text| split(text, 80));
        let mut rows: Vec<(usize, &str)> = first.iter().map(String::as_str).enumerate().collect();
        rows[other].1 = &second[other];
        prop_assert_eq!(join(&rows), Err(JoinError::Mixed));
        rows.remove(missing);
        let error = if missing == 0 { JoinError::NoFirst } else { JoinError::Missing(missing) };
        prop_assert_eq!(join(&rows), Err(error));
    }

    /// Guards against commits and rows over the limits, and against a flow whose record is never
    /// committed because others change all the time.
    #[test]
    fn every_commit_keeps_the_limits_and_each_flow_has_its_turn(
        tasks in prop::collection::vec(1_u32..80, 2..6),
        row_bytes in 256_usize..1_000,
    ) {
        let limits = CommitLimits { rows: 24, bytes: 12_000, row_bytes };
        let mut scheduler = Scheduler::default();
        let mut waiting = BTreeSet::new();
        for (number, tasks) in tasks.iter().enumerate() {
            let mut state = flow(&[*tasks], 1);
            tasks_mut(&mut state).for_each(|task| *task = placed(1));
            state.job.id = format!("f{number}").into();
            scheduler.add(0, 1, state.job.clone());
            let record = serde_json::from_str(&text(&state)).unwrap();
            scheduler.restore(NOW_MS, &state.job.id, &record);
            waiting.insert(state.job.id);
        }
        let all = waiting.clone();
        for _ in 0..tasks.len() {
            all.iter().for_each(|job| scheduler.request_rewrite(job));
            let records = scheduler.take_commit(NOW_MS, &limits);
            let rows: usize = records.iter().map(RecordRows::entries).sum();
            let values = records.iter().flat_map(|record| &record.values);
            prop_assert!(rows <= limits.rows);
            prop_assert!(values.clone().all(|value| value.len() <= row_bytes));
            prop_assert!(values.map(String::len).sum::<usize>() <= limits.bytes);
            records.iter().for_each(|record| { waiting.remove(&record.job); });
            scheduler.on_committed(&records);
        }
        prop_assert!(waiting.is_empty(), "not committed: {waiting:?}");
    }
}
