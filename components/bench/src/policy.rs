//! Measurements of the module that decides about flows, without a network.

use crate::deciding;
use crate::results::Results;

/// Runs the cases; answers whether all bounds hold.
pub fn run(only: &[String]) -> bool {
    let wanted = |case: &str| only.is_empty() || only.iter().any(|name| name == case);
    let mut results = Results::default();
    if wanted("deciding") {
        deciding::run(&mut results);
    }
    results.save("policy");
    results.all_hold()
}
