//! Measurements of batch work and of single decisions.

use crate::results::Results;
use crate::{neighbour, order, placement, routes, starts, takeover};

/// Runs the cases; answers whether all bounds hold.
pub fn run(only: &[String]) -> bool {
    let wanted = |case: &str| only.is_empty() || only.iter().any(|name| name == case);
    let mut results = Results::default();
    if wanted("placement") {
        placement::run(&mut results);
    }
    if wanted("routing") {
        routes::run(&mut results);
    }
    if wanted("neighbour") {
        neighbour::run(&mut results);
    }
    if wanted("order") {
        order::run(&mut results);
    }
    if wanted("takeover") {
        takeover::run(&mut results);
    }
    if wanted("starts") {
        starts::run(&mut results);
    }
    results.save("work");
    results.all_hold()
}
