//! Bounds, which come from stated targets and never from measured figures.

use serde_json::Value;
use std::sync::OnceLock;

/// The checked-in bounds.
const TEXT: &str = include_str!("../bounds.json");

/// The bound with this name in this group.
pub fn bound(group: &str, name: &str) -> f64 {
    static BOUNDS: OnceLock<Value> = OnceLock::new();
    let bounds = BOUNDS.get_or_init(|| serde_json::from_str(TEXT).expect("bounds.json is JSON"));
    bounds[group][name]
        .as_f64()
        .expect("each bound that is asked for stands in bounds.json")
}
