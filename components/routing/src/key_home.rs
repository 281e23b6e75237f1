//! Agents that hold the claims on an idempotency key.

use crate::{Target, Targets};
use utils::rank;

/// The two agents that hold claims on a key: the first by rendezvous hash, and the next one
/// in another failure domain. With one failure domain, the next one anywhere.
///
/// Agents that are full or ejected count too, so that entries agree on the two.
pub fn claim_holders<'t>(targets: &'t Targets, key: &str) -> Vec<&'t Target> {
    let ranked = rank(key, targets.list().iter(), |target| target.agent.as_str());
    let Some(first) = ranked.first().copied() else {
        return Vec::new();
    };
    let elsewhere = ranked.iter().find(|target| target.domain != first.domain);
    let second = elsewhere.or_else(|| ranked.get(1)).copied();
    std::iter::once(first).chain(second).collect()
}
