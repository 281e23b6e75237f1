//! The order at 80, 100, 130 and 200 % of the room, against earliest due first and a bound on the best
//! order in hindsight.

mod sim;

use sim::{Job, Outcome, Rule, fixed_jobs, hindsight_bound, simulate};
use std::fmt::Write;

/// Demand relative to the room, in percent.
const LOADS_PERCENT: [u64; 4] = [80, 100, 130, 200];
/// Seeds of the fixed lists of jobs.
const SEEDS: [u64; 9] = [1, 2, 3, 11, 12, 13, 14, 15, 16];
/// Greatest error of a declared run time, relative to the actual one, in percent.
const ERROR_PERCENT: u64 = 50;
/// Rate at which each band of large jobs is served at least, relative to all of its class.
const MIN_RELATIVE_RATE: f64 = 0.5;

/// Lists of jobs of all seeds at one load.
fn lists(load_percent: u64) -> Vec<Vec<Job>> {
    let lists = SEEDS.map(|seed| fixed_jobs(seed, load_percent, ERROR_PERCENT));
    lists.to_vec()
}

/// Outcome of a rule over all lists together.
fn outcome(rule: Rule, lists: &[Vec<Job>], priority: u32) -> Outcome {
    let outcomes = lists.iter().map(|jobs| {
        let ends = simulate(rule, jobs);
        Outcome::of(jobs, &ends, priority)
    });
    outcomes.fold(Outcome::default(), Outcome::plus)
}

/// Guards against an order that serves fewer jobs in time, or starves large ones, unnoticed. The bound is
/// a fractional selection of all jobs by utility, as if each could use the whole room at any time.
#[test]
fn results_at_each_load() {
    let mut text = String::new();
    for load_percent in LOADS_PERCENT {
        let lists = lists(load_percent);
        for (class, priority) in [("urgent", 0), ("batch", 2)] {
            for rule in [Rule::EarliestDue, Rule::Ranked] {
                let result = outcome(rule, &lists, priority);
                writeln!(text, "{load_percent:>3} % {class:<6} {rule:<12} {result}").unwrap();
            }
        }
        let bounds = lists.iter().map(|jobs| hindsight_bound(jobs));
        let bound = bounds.sum::<f64>() / lists.len() as f64;
        writeln!(
            text,
            "{load_percent:>3} % batch  at most      utility {bound:.3}"
        )
        .unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against large jobs that starve: the largest 10 % of a class and the next 20 % are each served at
/// least half as often as the class.
#[test]
fn large_jobs_do_not_starve() {
    for load_percent in LOADS_PERCENT {
        let result = outcome(Rule::Ranked, &lists(load_percent), 2);
        let served = result.served_share();
        for (name, share) in [
            ("largest", result.largest_share()),
            ("next", result.next_share()),
        ] {
            assert!(
                share >= MIN_RELATIVE_RATE * served,
                "{load_percent} %: {name} {share:.2}, all {served:.2}"
            );
        }
    }
}

/// Guards against an order that is worse than earliest due first: at no load, and clearly better under
/// overload.
#[test]
fn it_is_not_worse_than_earliest_due_first() {
    for load_percent in LOADS_PERCENT {
        let lists = lists(load_percent);
        let former = outcome(Rule::EarliestDue, &lists, 2).utility();
        let present = outcome(Rule::Ranked, &lists, 2).utility();
        let least = if load_percent > 100 {
            former + 0.05
        } else {
            former - 0.01
        };
        assert!(
            present >= least,
            "{load_percent} %: {present:.3}, before {former:.3}"
        );
    }
}
