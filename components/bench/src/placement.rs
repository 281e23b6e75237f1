//! Case `placement`: time of a batch placement decision, by number of workers.

use crate::bounds::bound;
use crate::order::{SHARD, empty_shard, heartbeat};
use crate::results::{Bound, Results};
use batch::{Kinds, PlaceLimits, PlacementOrder, Placer, Shard, TeamUsage, Workers};
use model::{Config, Job, JobSpec, Resources, TeamSpec};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Instant;

/// Measured numbers of workers.
const WORKERS: [usize; 4] = [11, 62, 620, 1_240];
/// Number of batch and latency-critical tasks that run during the measurement.
const RUNNING: u32 = 13_300;
/// Number of teams that submit jobs.
const TEAMS: u32 = 35;
/// Number of tasks placed in each measurement.
const PLACED: usize = 1_000;
/// Declared need of each task.
const NEED: Resources = Resources::new(100, 100, 0);

fn job(number: u32, tasks: u32) -> Job {
    let spec = JobSpec {
        team: format!("team{}", number % TEAMS).into(),
        key: format!("job{number}"),
        kind: format!("kind{}", number % 20).into(),
        tasks,
        need: NEED,
        run_ms: 60_000,
        urgent: false,
        max_failures: 3,
        payload: String::new(),
    };
    Job {
        id: spec.id(),
        spec,
        accepted_wall_ms: u64::from(number),
    }
}

fn config() -> Config {
    let team = |number: u32| TeamSpec {
        name: format!("team{number}").into(),
        quota: Resources::new(u32::MAX / 2, u32::MAX / 2, 0),
        weight: 1,
    };
    let teams = (0..TEAMS)
        .map(team)
        .map(|spec| (spec.name.clone(), spec))
        .collect();
    Config {
        number: 1,
        teams,
        ..Config::default()
    }
}

/// Workers with equal capacity, large enough for the running and the measured tasks.
fn workers(count: usize) -> Workers {
    let tasks_each = (RUNNING as usize + 4 * PLACED).div_ceil(count) as u32;
    let capacity = Resources::new(
        NEED.processors_milli * tasks_each,
        NEED.memory_mb * tasks_each,
        0,
    );
    let mut workers = Workers::default();
    for index in 0..count {
        workers.on_heartbeat(&heartbeat(index, capacity, capacity));
    }
    workers
}

/// Measures each number of workers, and the growth from the smallest to the largest.
pub fn run(results: &mut Results) {
    let mut decide_us = Vec::new();
    for count in WORKERS {
        let took_us = measure(count);
        let most = (count == 620).then_some(Bound::AtMost(bound("placement", "decide_us_at_620")));
        results.add(
            "placement",
            &format!("{count} workers"),
            "a decision, us",
            took_us,
            most,
        );
        decide_us.push((count as f64, took_us));
    }
    let (first, last) = (decide_us[0], decide_us[WORKERS.len() - 1]);
    let growth = (last.1 / first.1) / (last.0 / first.0);
    let most = Bound::AtMost(bound("placement", "growth_over_linear"));
    results.add(
        "placement",
        "11 to 1240 workers",
        "growth over linear",
        growth,
        Some(most),
    );
    results.plot("a placement, us, by workers", "ours", decide_us);
}

/// Mean time of a decision, in microseconds, while [`RUNNING`] tasks run.
fn measure(count: usize) -> f64 {
    let (config, mut workers) = (config(), workers(count));
    let (mut usage, kinds) = (TeamUsage::default(), Kinds::default());
    let mut rng = StdRng::seed_from_u64(crate::trace::SEED);
    let mut shard = empty_shard(SHARD);
    for number in 0..133 {
        shard.add_job(job(number, RUNNING / 133));
    }
    let mut place = |shard: &mut Shard, max_tasks: usize| {
        let mut placer = Placer {
            workers: &mut workers,
            usage: &mut usage,
            kinds: &kinds,
            config: &config,
            order: PlacementOrder::ShortestFirst,
        };
        placer.place(0, &mut [shard], PlaceLimits { max_tasks }, &mut rng)
    };
    let placed = place(&mut shard, RUNNING as usize);
    assert_eq!(placed, RUNNING as usize, "all running tasks are placed");
    for number in 200..250 {
        shard.add_job(job(number, 40));
    }
    let started = Instant::now();
    let placed = place(&mut shard, PLACED);
    started.elapsed().as_secs_f64() * 1e6 / placed.max(1) as f64
}
