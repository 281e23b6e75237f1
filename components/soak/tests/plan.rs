//! The faults of a run depend only on its seed and options.

use soak::{Fault, FaultKind, Options, PhaseDurations, plan_faults};
use std::collections::BTreeSet;

/// Number of seeds that each test plans.
const SEEDS: u64 = 50;
/// Number of failure domains in the soak.
const DOMAINS: usize = 3;

fn options(evacuations: usize) -> Options {
    Options {
        program: "parsleythread".into(),
        folder: "folder".into(),
        entries: 3,
        agents: 4,
        faults: 7,
        deadly_percent: 1,
        limit_percent: 3,
        lost_agents: 1,
        evacuations,
        large_tasks: 0,
        durations: PhaseDurations::for_load(10_000),
    }
}

/// Evacuations and other faults of a seed.
fn planned(seed: u64, evacuations: usize) -> (Vec<Fault>, Vec<Fault>) {
    let faults = plan_faults(seed, &options(evacuations)).into_iter();
    faults.partition(|fault| fault.kind == FaultKind::Evacuate)
}

/// Guards against evacuations that differ between two runs with the same seed.
#[test]
fn the_plan_with_evacuations_is_deterministic() {
    for seed in 1..=SEEDS {
        assert_eq!(planned(seed, 2), planned(seed, 2));
    }
    let plans = (1..=SEEDS).map(|seed| planned(seed, 2).0);
    let targets: BTreeSet<usize> = plans.flatten().map(|fault| fault.target).collect();
    assert_eq!(targets.len(), DOMAINS);
}

/// Guards against evacuations that change the other faults of a seed, so that a seed which once
/// broke a promise no longer shows it.
#[test]
fn evacuations_leave_the_other_faults_of_a_seed_as_they_were() {
    for seed in 1..=SEEDS {
        let (none, without) = planned(seed, 0);
        assert_eq!(none, []);
        assert_eq!(planned(seed, 3).1, without);
    }
}

/// Guards against evacuations that end before the bound, or that evacuate a domain twice at once.
#[test]
fn each_evacuation_outlasts_the_bound_in_a_domain_of_its_own() {
    for seed in 1..=SEEDS {
        let (evacuations, _) = planned(seed, DOMAINS + 1);
        assert!(evacuations.iter().all(|fault| fault.length_ms > 5_000));
        let targets: BTreeSet<usize> = evacuations.iter().map(|fault| fault.target).collect();
        assert_eq!((evacuations.len(), targets.len()), (DOMAINS, DOMAINS));
    }
}
