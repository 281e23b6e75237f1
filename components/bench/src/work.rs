//! Command `work`: cases on batch work, and on the time of single decisions.

use crate::results::Results;
use crate::{neighbour, order, placement, routes, starts, takeover};

/// Runs the cases in `only`, or all if it is empty, and saves the results. Returns whether every
/// bound holds.
pub fn run(only: &[String]) -> bool {
    let is_selected = |case: &str| only.is_empty() || only.iter().any(|name| name == case);
    let mut results = Results::default();
    if is_selected("placement") {
        placement::run(&mut results);
    }
    if is_selected("routing") {
        routes::run(&mut results);
    }
    if is_selected("neighbour") {
        neighbour::run(&mut results);
    }
    if is_selected("order") {
        order::run(&mut results);
    }
    if is_selected("takeover") {
        takeover::run(&mut results);
    }
    if is_selected("starts") {
        starts::run(&mut results);
    }
    results.save("work");
    results.all_hold()
}
