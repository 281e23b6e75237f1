//! Command `policy`: cases on the scheduler of flows alone, without a network.

use crate::results::Results;
use crate::{deciding, duplicates, near, preempting, shares, waiting};

/// Runs the cases in `only`, or all if it is empty, and saves the results. Returns whether every
/// bound holds.
pub fn run(only: &[String]) -> bool {
    let is_selected = |case: &str| only.is_empty() || only.iter().any(|name| name == case);
    let mut results = Results::default();
    if is_selected("deciding") {
        deciding::run(&mut results);
    }
    if is_selected("near") {
        near::run(&mut results);
    }
    if is_selected("shares") {
        shares::run(&mut results);
    }
    if is_selected("preempting") {
        preempting::run(&mut results);
    }
    if is_selected("waiting") {
        waiting::run(&mut results);
    }
    if is_selected("duplicates") {
        duplicates::run(&mut results);
    }
    results.save("policy");
    results.all_hold()
}
