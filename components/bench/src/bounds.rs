//! Bounds of the benchmarks. They follow from stated targets, never from measured figures.

use serde_json::Value;
use std::sync::OnceLock;

/// Content of `bounds.json`.
const BOUNDS_JSON: &str = include_str!("../bounds.json");

/// Bound `name` of a group in `bounds.json`.
///
/// # Panics
/// If there is no such bound.
pub fn bound(group: &str, name: &str) -> f64 {
    static BOUNDS: OnceLock<Value> = OnceLock::new();
    let bounds = BOUNDS
        .get_or_init(|| serde_json::from_str(BOUNDS_JSON).expect("bounds.json is valid JSON"));
    bounds[group][name]
        .as_f64()
        .unwrap_or_else(|| panic!("bounds.json has no number at {group}.{name}"))
}
