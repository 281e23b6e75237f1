//! Tasks that wait for workers near their data or their gang, in virtual time.

mod common;

use common::{Mode, STEP_MS, Sim, step};
use flow::{FlowPhase, Policies, StepSpec, WaitCause, WaitWatch};
use model::{JobId, Resources};
use std::collections::BTreeSet;

/// Factor by which runs take longer away from their data.
const REMOTE_FACTOR: f64 = 2.0;
/// Time until a placement is durable and its run has started, in milliseconds.
const START_MS: u64 = 100;
/// Time until a place that became free is taken, in milliseconds: two reports and two commits.
const IDLE_MS: u64 = 300;
/// Time until a new scheduler or a lost worker shows in placements, in milliseconds.
const NOTICE_MS: u64 = 600;

/// Policies with waits for near workers.
fn policies() -> Policies {
    Policies {
        remote_factor: Some(REMOTE_FACTOR),
        ..Policies::default()
    }
}

/// Racks `r1` with `near` workers and `r2` with `far` workers, of two tasks of [`on_r1`] each.
fn racks(near: usize, far: usize, policies: Policies) -> Sim {
    let mut sim = Sim::new(near + far);
    for number in near..near + far {
        let worker = sim.workers.get_mut(&format!("w{number}").as_str().into());
        worker.unwrap().labels[1] = "r2".to_owned();
    }
    sim.remote_factor = REMOTE_FACTOR;
    sim.set_policies(policies);
    sim.run_for(400);
    sim
}

/// Tasks of 8 processors with their data on rack `r1`.
fn on_r1(tasks: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        data_rack: Some("r1".to_owned()),
        ..step(tasks, 8_000, estimate_ms)
    }
}

/// Gang of tasks of 8 processors, faster in one rack.
fn gang(tasks: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        gang: true,
        same_rack: true,
        ..step(tasks, 8_000, estimate_ms)
    }
}

fn count(sim: &Sim, outcome: &str) -> u32 {
    sim.localities.get(outcome).copied().unwrap_or(0)
}

/// Submits a job of one task on `r1` every 280 ms, nine tenths of the capacity there; their run times differ
/// by turns from the declared one. Returns the mean time from submission to end in milliseconds, and the
/// number of runs on `r2`.
fn run_hot_rack(policies: Policies) -> (u64, usize) {
    let mut sim = racks(2, 2, policies);
    let images = [("short", 700), ("long", 1_300), ("usual", 1_000)];
    for (image, run_ms) in images {
        sim.run_ms.insert(image.to_owned(), run_ms);
    }
    let mut submitted: Vec<(JobId, u64)> = Vec::new();
    let mut remote = BTreeSet::new();
    for number in 0..120 {
        let (image, _) = images[(number * number + number / 7) % images.len()];
        let spec = StepSpec {
            image: Some(image.to_owned()),
            ..on_r1(1, 1_000)
        };
        let job = sim.submit(&format!("j{number}"), vec![spec]);
        submitted.push((job, sim.now_ms));
        sim.run_for(280);
        for (job, _) in &submitted {
            let is_remote = ["w2", "w3"].iter().any(|name| sim.runs_on(name, job));
            remote.extend(is_remote.then(|| job.clone()));
        }
    }
    assert!(sim.run_until_ended(20_000));
    let took_ms = submitted.iter().map(|(job, from_ms)| {
        let (ended_ms, phase) = sim.ended_ms[job];
        assert_eq!(phase, FlowPhase::Completed);
        ended_ms - from_ms
    });
    (took_ms.sum::<u64>() / submitted.len() as u64, remote.len())
}

/// Guards against a wait that makes jobs of a hot rack end later than immediate remote runs, and against
/// remote runs where a near worker is free a moment later.
#[test]
fn jobs_of_a_hot_rack_end_sooner_with_waits() {
    let (never_ms, never_remote) = run_hot_rack(Policies::default());
    let (waits_ms, waits_remote) = run_hot_rack(policies());
    println!(
        "never {never_ms} ms, {never_remote} remote; waits {waits_ms} ms, {waits_remote} remote"
    );
    assert!(waits_ms <= never_ms, "{waits_ms} ms and {never_ms} ms");
    assert!(
        waits_remote < never_remote,
        "{waits_remote} and {never_remote}"
    );
}

/// Guards against waits in deployments that don't switch them on.
#[test]
fn without_the_policy_tasks_start_remotely_at_once() {
    let mut sim = racks(1, 1, Policies::default());
    sim.submit("near", vec![on_r1(2, 1_000)]);
    sim.run_for(START_MS);
    let job = sim.submit("late", vec![on_r1(2, 1_000)]);
    sim.run_for(START_MS);
    assert_eq!((sim.run_count("w1"), sim.running(&job)), (2, 2));
    assert!(sim.localities.is_empty());
}

/// Guards against tasks that go elsewhere although a near run ends soon, and against outcomes that are not
/// counted.
#[test]
fn a_task_waits_for_a_near_run_that_ends_soon() {
    let mut sim = racks(1, 1, policies());
    sim.submit("near", vec![on_r1(2, 1_000)]);
    sim.run_for(600);
    let job = sim.submit("late", vec![on_r1(1, 1_000)]);
    sim.run_for(200);
    assert_eq!(sim.running(&job), 0);
    assert!(sim.run_until_ended(3_000));
    assert_eq!((count(&sim, "near"), count(&sim, "waited-near")), (2, 1));
    assert_eq!(count(&sim, "remote"), 0);
    assert!(sim.given_up.is_empty());
}

/// Lets the runs on near workers make no further progress.
fn stall(sim: &mut Sim, workers: &[&str]) {
    for name in workers {
        sim.workers.get_mut(&(*name).into()).unwrap().mode = Mode::Stalls;
    }
}

/// Guards against waits that last because the near runs take longer than expected, and against waits
/// without a log record of their end.
#[test]
fn a_task_gives_up_once_it_has_waited_for_the_extra_time() {
    let mut sim = racks(1, 1, policies());
    sim.submit("near", vec![on_r1(2, 1_000)]);
    sim.run_for(600);
    stall(&mut sim, &["w0"]);
    // A long second step leaves enough slack for a longer wait.
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1_000, 20_000)
    };
    let job = sim.submit("late", vec![on_r1(1, 1_000), second]);
    sim.run_for(400);
    assert_eq!(sim.running(&job), 0, "it waits at first");
    sim.run_for(600 + START_MS);
    assert_eq!((sim.running(&job), sim.run_count("w1")), (1, 1));
    assert_eq!(sim.given_up.len(), 1, "{:?}", sim.given_up);
    assert_eq!(count(&sim, "remote"), 1);
}

/// Guards against waits for runs of which the progress shows that they take far longer than declared.
#[test]
fn no_task_waits_for_runs_whose_progress_is_slow() {
    let mut sim = racks(1, 1, policies());
    let mut slow = on_r1(2, 1_000);
    slow.image = Some("slow".to_owned());
    sim.run_ms.insert("slow".to_owned(), 20_000);
    sim.submit("slow", vec![slow]);
    sim.run_for(600);
    let job = sim.submit("late", vec![on_r1(1, 1_000)]);
    sim.run_for(START_MS);
    assert_eq!((sim.running(&job), sim.run_count("w1")), (1, 1));
    assert!(sim.given_up.is_empty(), "it did not wait");
}

/// Guards against places that stay idle while a task waits: others get both the remote worker, in the same
/// pass, and the near one when they come first.
#[test]
fn a_waiting_task_keeps_nothing_from_others() {
    let mut sim = racks(1, 1, policies());
    sim.submit("near", vec![on_r1(2, 1_000)]);
    sim.run_for(600);
    let waiting = sim.submit("waiting", vec![on_r1(1, 1_000)]);
    // Two jobs without data fill the other rack although the first in the order waits.
    let other = sim.submit("z", vec![step(2, 8_000, 5_000)]);
    sim.run_for(START_MS);
    assert_eq!((sim.running(&waiting), sim.running(&other)), (0, 2));
    assert_eq!(sim.run_count("w1"), 2);
    // A more pressing job, with a shorter run, takes the place that becomes free first.
    let urgent = sim.submit("urgent", vec![step(1, 8_000, 100)]);
    let mut idle_ms = 0;
    while sim.running(&waiting) == 0 {
        sim.step();
        idle_ms += if sim.run_count("w0") < 2 { STEP_MS } else { 0 };
        assert!(idle_ms <= IDLE_MS, "a near place stays idle");
    }
    assert!(sim.ended_ms.contains_key(&urgent) || sim.running(&urgent) > 0);
    assert!(sim.run_until_ended(10_000));
    assert_eq!(count(&sim, "waited-near"), 1);
}

/// Guards against fillers, which reserve no processors, that don't wait for the spare processors of a near worker,
/// and against logs that show a wait as a lack of room.
#[test]
fn a_filler_waits_for_spare_processors_near_its_data() {
    let mut sim = racks(1, 1, policies());
    let filler = |tasks, processors, estimate_ms| StepSpec {
        filler: true,
        need: Resources::new(processors, 1_000, 0),
        ..on_r1(tasks, estimate_ms)
    };
    sim.submit("near", vec![filler(1, 16_000, 8_000)]);
    sim.run_for(1_000);
    let job = sim.submit("late", vec![filler(1, 8_000, 12_000)]);
    let mut watch = WaitWatch::default();
    sim.run_for(200);
    watch.observe(sim.now_ms, &sim.scheduler);
    sim.run_for(3_200);
    let waiting = watch.observe(sim.now_ms, &sim.scheduler);
    let causes: Vec<WaitCause> = waiting.iter().map(|flow| flow.cause).collect();
    assert_eq!(causes, [WaitCause::NearWorker]);
    sim.run_for(4_000);
    assert_eq!((sim.running(&job), sim.run_count("w0")), (1, 1));
    assert_eq!(count(&sim, "waited-near"), 1);
}

/// Guards against queues of tasks that all count on the same release: only as many wait as the near
/// workers take within the extra time.
#[test]
fn only_as_many_tasks_wait_as_near_workers_take_in_time() {
    let mut sim = racks(1, 3, policies());
    sim.submit("near", vec![on_r1(2, 1_000)]);
    sim.run_for(600);
    let job = sim.submit("many", vec![on_r1(6, 1_000)]);
    sim.run_for(START_MS);
    assert_eq!(sim.running(&job), 4, "two of six wait");
}

/// Guards against tasks that wait for workers that are unreachable.
#[test]
fn a_task_starts_elsewhere_when_the_near_worker_is_lost() {
    let mut sim = racks(1, 1, policies());
    sim.submit("near", vec![on_r1(2, 4_000)]);
    sim.run_for(2_600);
    let job = sim.submit("late", vec![on_r1(1, 4_000)]);
    sim.run_for(200);
    assert_eq!(sim.running(&job), 0, "it waits at first");
    sim.workers.get_mut(&"w0".into()).unwrap().mode = Mode::Partitioned;
    sim.run_for(NOTICE_MS);
    assert_eq!((sim.running(&job), sim.run_count("w1")), (1, 1));
    assert_eq!(sim.given_up.len(), 1, "{:?}", sim.given_up);
}

/// Guards against waits for workers that are paused, and for a rack without workers.
#[test]
fn no_task_waits_for_paused_workers_or_for_an_unknown_rack() {
    let mut sim = racks(1, 1, policies());
    sim.submit("near", vec![on_r1(2, 1_000)]);
    sim.run_for(600);
    let unknown = StepSpec {
        data_rack: Some("r9".to_owned()),
        ..on_r1(1, 1_000)
    };
    let job = sim.submit("unknown", vec![unknown]);
    sim.run_for(START_MS);
    assert_eq!(sim.running(&job), 1);
    sim.scheduler
        .worker_mut(&"w0".into())
        .health
        .pause(sim.now_ms);
    let job = sim.submit("paused", vec![on_r1(1, 1_000)]);
    sim.run_for(START_MS);
    assert_eq!(sim.running(&job), 1);
    assert!(sim.given_up.is_empty());
}

/// Guards against waits that don't end because of takeovers, and against tasks that are lost or started
/// twice by them: the wait begins anew and ends by its bound.
#[test]
fn a_wait_begins_anew_after_a_takeover() {
    let mut sim = racks(1, 1, policies());
    sim.submit("near", vec![on_r1(2, 2_000)]);
    sim.run_for(1_200);
    stall(&mut sim, &["w0"]);
    let job = sim.submit("late", vec![on_r1(1, 2_000)]);
    sim.run_for(400);
    assert_eq!(sim.running(&job), 0, "it waits at first");
    sim.take_over();
    sim.run_for(600);
    assert_eq!(sim.running(&job), 0, "it waits again");
    sim.run_for(1_400 + NOTICE_MS);
    assert_eq!(sim.running(&job), 1);
    assert_eq!(sim.starts[&job], 1);
}

/// Guards against gangs that run over two racks although one has room for them a moment later, and against
/// gangs of which a part starts.
#[test]
fn a_gang_waits_for_a_rack_as_a_unit() {
    let mut sim = racks(2, 2, policies());
    let busy = |label: &str, tasks| StepSpec {
        label: Some(label.to_owned()),
        ..step(tasks, 8_000, 1_000)
    };
    sim.submit("r1", vec![busy("r1", 2)]);
    sim.submit("r2", vec![busy("r2", 2)]);
    sim.run_for(600);
    let job = sim.submit("gang", vec![gang(4, 1_000)]);
    for _ in 0..200 / STEP_MS {
        sim.step();
        assert_eq!(sim.running(&job), 0);
    }
    sim.run_for(400);
    assert_eq!(sim.running(&job), 4);
    let in_r1 = sim.run_count("w0") + sim.run_count("w1");
    assert!(in_r1 == 4 || in_r1 == 0, "{in_r1} members are on r1");
    assert_eq!(count(&sim, "waited-near"), 4);
}

/// Guards against gangs that wait for a rack for longer than a run over several racks would add.
#[test]
fn a_gang_gives_up_on_a_rack_that_stays_full() {
    let mut sim = racks(2, 2, policies());
    let busy = |label: &str| StepSpec {
        label: Some(label.to_owned()),
        ..step(2, 8_000, 1_000)
    };
    sim.submit("r1", vec![busy("r1")]);
    sim.submit("r2", vec![busy("r2")]);
    sim.run_for(600);
    stall(&mut sim, &["w0", "w1", "w2", "w3"]);
    let job = sim.submit("gang", vec![gang(4, 1_000)]);
    sim.run_for(100);
    assert_eq!(sim.running(&job), 0, "it waits at first");
    sim.run_for(1_000 + START_MS);
    assert_eq!(sim.running(&job), 4);
    assert_eq!(sim.given_up.len(), 4, "{:?}", sim.given_up);
}
