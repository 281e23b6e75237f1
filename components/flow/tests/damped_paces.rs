//! Fillers beside latency-critical tasks with noisy latencies, with and without damped paces, in virtual
//! time.

mod common;

use common::noisy::{Load, NoisyLoad};
use common::{Mode, Sim, step};
use flow::{Policies, StepSpec};
use model::{JobId, Resources};
use std::ops::RangeInclusive;

/// The policy under test.
const DAMPED: Policies = Policies {
    evacuation_bound_ms: None,
    learned_run_times: false,
    overload_order: false,
    duplicates: false,
    remote_factor: None,
    fair_shares: None,
    preemption: false,
    damped_pacing: true,
};
/// Longest time for which fillers may work on beside a task that is over its target, in milliseconds,
/// by the platform's pages.
const MAX_HARM_MS: u64 = 4_000;
/// Noise of a measured latency: its standard deviation as a share of the latency.
const NOISE: f64 = 0.1;
/// Most orders of a pace with the policy, relative to those without it.
const MAX_ORDERS: f64 = 0.5;
/// Least work of the fillers with the policy, relative to that without it.
const MIN_WORK: f64 = 0.95;
/// Number of workers.
const WORKERS: usize = 8;
/// Number of workers that run no fillers, as the last worker in the tests of the model. Without any, the
/// margin without fillers is not observable, and learned pressures of all pairs grow together.
const WITHOUT_FILLERS: usize = 2;
/// Label of the workers that run fillers.
const LABEL: &str = "fillers";
/// Number of filler flows that are kept open.
const OPEN_FLOWS: usize = 8;
/// Time in which the workers fill up and pressures are learned, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
/// Time that is measured, in milliseconds.
const MEASURED_MS: u64 = 40_000;
/// Seeds of the noise, on which the constants of the damping were chosen.
const SEEDS: RangeInclusive<u64> = 1..=8;
/// Seeds on which nothing was chosen.
const HELD_OUT_SEEDS: RangeInclusive<u64> = 11..=26;
/// Number of runs of the simulation at a time.
const THREADS: usize = 4;
/// Fillers' images with their pressures.
const FILLERS: [(&str, f64); 3] = [("light", 1.0), ("medium", 4.0), ("heavy", 12.0)];

/// What a run of the simulation measured.
#[derive(Debug, Clone, Copy, Default)]
struct Measured {
    /// Orders of a pace.
    orders: u64,
    /// Time of latency-critical tasks over their target, in milliseconds.
    over_target_ms: u64,
    /// Work of the fillers, in core-milliseconds.
    work: u64,
    /// Time from an incident until no task is over its target, in milliseconds.
    recovery_ms: u64,
}

impl Measured {
    fn plus(self, other: Self) -> Self {
        Self {
            orders: self.orders + other.orders,
            over_target_ms: self.over_target_ms + other.over_target_ms,
            work: self.work + other.work,
            recovery_ms: self.recovery_ms + other.recovery_ms,
        }
    }
}

/// What happens in the middle of the measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Incident {
    /// Nothing.
    None,
    /// The load of one service rises at once.
    Step,
    /// The load rises, and the reports of all workers are lost for 500 ms after it.
    StepWithLostReports,
}

/// A pool in which two services, each on every worker, share the workers with fillers of a run time.
struct Pool {
    sim: Sim,
    filler_ms: u64,
    flows: usize,
}

impl Pool {
    fn new(is_damped: bool, filler_ms: u64, seed: u64) -> Self {
        let mut sim = Sim::new(WORKERS);
        sim.set_policies(Policies {
            damped_pacing: is_damped,
            ..DAMPED
        });
        sim.writes_checkpoints = true;
        for (number, worker) in sim.workers.values_mut().enumerate() {
            worker.capacity = Resources::new(32_000, 125_000, 0);
            if number >= WITHOUT_FILLERS {
                worker.labels.push(LABEL.to_owned());
            }
        }
        let mut noisy = NoisyLoad::new(seed, NOISE);
        for (image, margin, wave_ms) in [("a", 2.4, 14_000), ("b", 2.6, 23_000)] {
            let load = Load {
                margin,
                swing: 0.5,
                wave_ms,
            };
            noisy.loads.insert(image.to_owned(), load);
        }
        for (image, pressure) in FILLERS {
            noisy.pressures.insert(image.to_owned(), pressure);
        }
        sim.noisy = Some(noisy);
        for image in ["a", "b"] {
            let service = StepSpec {
                long_running: true,
                latency_target_ms: Some(200),
                image: Some(image.to_owned()),
                max_per_worker: Some(1),
                ..step(WORKERS as u32, 6_400, 1_000)
            };
            sim.submit(image, vec![service]);
        }
        sim.run_for(1_000);
        Self {
            sim,
            filler_ms,
            flows: 0,
        }
    }

    /// Keeps fillers queued for a time.
    fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.sim.now_ms + span_ms;
        while self.sim.now_ms < until_ms {
            while self.sim.jobs.len() - self.sim.ended_ms.len() < 2 + OPEN_FLOWS {
                let (image, _) = FILLERS[self.flows % FILLERS.len()];
                let filler = StepSpec {
                    filler: true,
                    saves_progress: true,
                    label: Some(LABEL.to_owned()),
                    image: Some(image.to_owned()),
                    ..step(10, 3_500, self.filler_ms)
                };
                self.sim
                    .submit(&format!("f{:04}", self.flows), vec![filler]);
                self.flows += 1;
            }
            self.sim.run_for(100);
        }
    }

    /// Raises the load of one service at once, so that its fillers have to be slowed down.
    fn step_load(&mut self) {
        let noisy = self.sim.noisy.as_mut().unwrap();
        noisy.loads.get_mut("a").unwrap().margin -= 0.7;
    }
}

fn measure(is_damped: bool, filler_ms: u64, seed: u64, incident: Incident) -> Measured {
    let mut pool = Pool::new(is_damped, filler_ms, seed);
    pool.run_for(WARM_UP_MS);
    let sim = &pool.sim;
    let before = (sim.pace_orders, sim.over_target_ms, sim.filler_work);
    pool.run_for(MEASURED_MS / 2);
    let incident_ms = pool.sim.now_ms;
    if incident != Incident::None {
        pool.step_load();
    }
    if incident == Incident::StepWithLostReports {
        let modes = |sim: &mut Sim, mode| {
            sim.workers
                .values_mut()
                .for_each(|worker| worker.mode = mode);
        };
        modes(&mut pool.sim, Mode::Mute);
        pool.run_for(500);
        modes(&mut pool.sim, Mode::Healthy);
    }
    // The time over target after a step ends with the first second without any.
    let limit_ms = incident_ms + MEASURED_MS / 2;
    let mut recovery_ms = 0;
    while pool.sim.now_ms < limit_ms {
        pool.run_for(100);
        let quiet_since_ms = pool.sim.last_over_target_ms.max(incident_ms);
        if recovery_ms == 0 && pool.sim.now_ms >= quiet_since_ms + 1_000 {
            recovery_ms = quiet_since_ms - incident_ms;
        }
    }
    let sim = &pool.sim;
    Measured {
        orders: u64::from(sim.pace_orders - before.0),
        over_target_ms: sim.over_target_ms - before.1,
        work: sim.filler_work - before.2,
        recovery_ms,
    }
}

/// Sums over seeds without and with the policy.
fn compare(filler_ms: u64, incident: Incident, seeds: &[u64]) -> (Measured, Measured) {
    let sum = |is_damped: bool| {
        let runs = seeds.chunks(THREADS).flat_map(|seeds| {
            let run = |seed: &u64| {
                let seed = *seed;
                std::thread::spawn(move || measure(is_damped, filler_ms, seed, incident))
            };
            let runs: Vec<_> = seeds.iter().map(run).collect();
            runs.into_iter().map(|run| run.join().unwrap())
        });
        runs.fold(Measured::default(), Measured::plus)
    };
    let (plain, damped) = (sum(false), sum(true));
    println!("{filler_ms} ms, {incident:?}\n  without {plain:?}\n  with    {damped:?}");
    (plain, damped)
}

fn first_seeds() -> Vec<u64> {
    SEEDS.collect()
}

fn assert_bounds(plain: Measured, damped: Measured) {
    let orders = damped.orders as f64 / plain.orders as f64;
    let work = damped.work as f64 / plain.work as f64;
    assert!(orders <= MAX_ORDERS, "orders: {orders:.2}");
    assert!(work >= MIN_WORK, "work: {work:.3}");
    assert!(
        damped.over_target_ms <= plain.over_target_ms,
        "over target: {} ms, without the policy {} ms",
        damped.over_target_ms,
        plain.over_target_ms
    );
}

/// Guards against paces that follow the noise of the reports: at least half of the orders without the
/// policy are such, and they cost neither time over target nor work to leave out.
#[test]
fn noise_causes_half_as_many_orders() {
    let (plain, damped) = compare(2_700, Incident::None, &first_seeds());
    assert_bounds(plain, damped);
}

/// The same for fillers that run for long.
#[test]
fn noise_causes_half_as_many_orders_of_long_fillers() {
    let (plain, damped) = compare(20_000, Incident::None, &first_seeds());
    assert_bounds(plain, damped);
}

/// Guards against a damping that also delays the reaction to a load that rises at once.
#[test]
fn time_over_target_after_a_step_of_load_ends_as_soon() {
    let (plain, damped) = compare(2_700, Incident::Step, &first_seeds());
    assert_bounds(plain, damped);
    assert!(damped.recovery_ms <= plain.recovery_ms);
}

/// The same while reports are lost.
#[test]
fn time_over_target_ends_as_soon_although_reports_are_lost() {
    let (plain, damped) = compare(2_700, Incident::StepWithLostReports, &first_seeds());
    assert_bounds(plain, damped);
    assert!(damped.recovery_ms <= plain.recovery_ms);
}

/// Guards against constants that fit nothing but the seeds on which they were chosen.
#[test]
fn held_out_seeds_keep_the_bounds_after_a_step_of_load() {
    let seeds: Vec<u64> = HELD_OUT_SEEDS.collect();
    let (plain, damped) = compare(2_700, Incident::Step, &seeds);
    assert_bounds(plain, damped);
    assert!(damped.recovery_ms <= plain.recovery_ms);
}

/// The same while reports are lost.
#[test]
fn held_out_seeds_keep_the_bounds_while_reports_are_lost() {
    let seeds: Vec<u64> = HELD_OUT_SEEDS.collect();
    let (plain, damped) = compare(2_700, Incident::StepWithLostReports, &seeds);
    assert_bounds(plain, damped);
    assert!(damped.recovery_ms <= plain.recovery_ms);
}

/// A service beside a filler that disturbs it, on one worker, with damped paces; returns the filler's flow.
fn disturbed_service() -> (Sim, JobId) {
    let mut sim = Sim::new(1);
    sim.set_policies(DAMPED);
    let service = StepSpec {
        long_running: true,
        latency_target_ms: Some(40),
        image: Some("fragile".to_owned()),
        ..step(1, 4_000, 300)
    };
    sim.submit("service", vec![service]);
    sim.run_for(400);
    let filler = StepSpec {
        filler: true,
        image: Some("loud".to_owned()),
        ..step(1, 8_000, 600_000)
    };
    let filler = sim.submit("filler", vec![filler]);
    sim.run_for(400);
    sim.disturbs
        .insert(("loud".to_owned(), "fragile".to_owned()));
    (sim, filler)
}

/// Guards against a filler that goes on disturbing although the orders that slow it are lost, and against
/// one that works on while all are to be halted.
#[test]
fn lost_orders_are_given_again_and_halts_stay_in_force() {
    let (mut sim, filler) = disturbed_service();
    sim.lose_paces = 3;
    sim.run_for(10_000);
    assert_eq!(sim.lose_paces, 0, "orders were lost");
    let directions: u32 = sim.pace_directions.values().sum();
    assert_eq!(directions, sim.pace_orders, "{:?}", sim.pace_directions);
    assert!(sim.pace_directions["halted"] > 0);
    assert_eq!(sim.paced_in_halts, 0, "the filler was let go in a halt");
    assert!(
        sim.longest_interference_ms < MAX_HARM_MS,
        "{} ms",
        sim.longest_interference_ms
    );
    assert_ne!(sim.paces(&filler), [100]);
}

/// Guards against a filler that stays halted after a change of the scheduler, which does not know its pace.
#[test]
fn a_filler_that_was_halted_before_a_takeover_works_again() {
    let (mut sim, filler) = disturbed_service();
    sim.run_for(3_000);
    assert_ne!(sim.paces(&filler), [100], "the filler is slowed");
    sim.take_over();
    sim.disturbs.clear();
    let worker = sim.workers.get_mut(&"w0".into()).unwrap();
    worker.latency_ms.clear();
    sim.run_for(1_500);
    assert_eq!(sim.paces(&filler), [100]);
}

/// Guards against the damping of an ended run that is applied to the next run on the same worker, and
/// against damping without the policy.
#[test]
fn damping_is_kept_for_placed_fillers_only() {
    let (mut sim, filler) = disturbed_service();
    let count = |sim: &Sim| {
        let views = sim.scheduler.workers();
        views
            .map(|(_, view)| view.pace_dampings.len())
            .sum::<usize>()
    };
    let until_ms = sim.now_ms + 3_000;
    while count(&sim) == 0 && sim.now_ms < until_ms {
        sim.step();
    }
    assert_eq!(count(&sim), 1);
    sim.cancel(&filler);
    sim.run_for(1_000);
    assert_eq!(count(&sim), 0);

    let mut sim = Sim::new(1);
    let filler = StepSpec {
        filler: true,
        ..step(1, 4_000, 60_000)
    };
    let filler = sim.submit("filler", vec![filler]);
    sim.run_for(1_000);
    assert_eq!(sim.running(&filler), 1);
    assert_eq!(count(&sim), 0, "without the policy");
}
