//! Choice of workers for tasks, with regard to the services beside them.

use batch::{Kinds, PlaceLimits, PlacementOrder, Placer, Shard, ShardRow, TeamUsage, Workers};
use model::{Config, Job, JobSpec, KindName, Resources, TeamSpec};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use wire::Heartbeat;

/// Capacity of a worker; ten tasks fit.
const CAPACITY: Resources = Resources::new(1_000, 1_000, 0);
/// Need of a task.
const NEED: Resources = Resources::new(100, 100, 0);

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn heartbeat(index: usize, bad_kinds: Vec<KindName>) -> Heartbeat {
    Heartbeat {
        agent: format!("w{index}").into(),
        incarnation: 1,
        sequence: 1,
        domain: "a".into(),
        traffic: address(),
        control: address(),
        draining: false,
        services: Vec::new(),
        capacity: CAPACITY,
        free: CAPACITY,
        config: 1,
        bad_kinds,
    }
}

fn job(kind: &str, tasks: u32) -> Job {
    let spec = JobSpec {
        team: "t".into(),
        key: kind.to_owned(),
        kind: kind.into(),
        tasks,
        need: NEED,
        run_ms: 1_000,
        urgent: false,
        max_failures: 1,
        payload: String::new(),
    };
    Job {
        id: spec.id(),
        spec,
        accepted_wall_ms: 0,
    }
}

fn config() -> Config {
    let spec = TeamSpec {
        name: "t".into(),
        quota: Resources::new(100_000, 100_000, 0),
        weight: 1,
    };
    Config {
        number: 1,
        teams: [(spec.name.clone(), spec)].into(),
        ..Config::default()
    }
}

/// Places tasks of a kind on two workers, of which the first runs a service that work of kind
/// `noisy` slows down. Returns how many tasks each worker got.
fn tasks_per_worker(kind: &str, tasks: u32) -> [u32; 2] {
    let mut workers = Workers::default();
    workers.on_heartbeat(&heartbeat(0, vec!["noisy".into()]));
    workers.on_heartbeat(&heartbeat(1, Vec::new()));
    let row = ShardRow {
        owner: "e".into(),
        control: address(),
        epoch: 1,
        sequence: 0,
        released: false,
    };
    let mut shard = Shard::new(0, row, 1, 0);
    shard.add_job(job(kind, tasks));
    let (config, kinds, mut usage) = (config(), Kinds::default(), TeamUsage::default());
    let mut placer = Placer {
        workers: &mut workers,
        usage: &mut usage,
        kinds: &kinds,
        config: &config,
        order: PlacementOrder::ShortestFirst,
    };
    let limits = PlaceLimits { max_tasks: 100 };
    let mut rng = StdRng::seed_from_u64(1);
    placer.place(0, &mut [&mut shard], limits, &mut rng);
    let count_on = |name: &str| {
        let worker = workers.get(&name.into()).unwrap();
        worker.reserved.processors_milli / NEED.processors_milli
    };
    [count_on("w0"), count_on("w1")]
}

/// A worker's heartbeat names the kinds that slow its services down. Such work must go to other
/// workers while these have capacity; other kinds must spread as usual.
#[test]
fn a_kind_is_placed_away_from_services_that_it_slows_down() {
    assert_eq!(tasks_per_worker("noisy", 10), [0, 10]);
    assert_eq!(tasks_per_worker("quiet", 10), [5, 5]);
}

/// Avoidance must not leave work queued while any worker has capacity: the agent there throttles
/// it.
#[test]
fn work_runs_beside_a_service_that_it_slows_down_rather_than_stay_queued() {
    assert_eq!(tasks_per_worker("noisy", 14), [4, 10]);
}
