//! Choice of the agents that hold the claims on an idempotency key.

use crate::{Target, Targets};
use utils::rank;

/// Returns the two agents that hold the claims on a key: the first by rendezvous hash and the
/// next one in another failure domain. With a single failure domain, the second is the next
/// agent by hash. The result is shorter if there are fewer than two agents.
///
/// Full and ejected agents are included, so that all entries choose the same two.
pub fn claim_holders<'t>(targets: &'t Targets, key: &str) -> Vec<&'t Target> {
    let ranked = rank(key, targets.list().iter(), |target| target.agent.as_str());
    let Some(first) = ranked.first().copied() else {
        return Vec::new();
    };
    let elsewhere = ranked.iter().find(|target| target.domain != first.domain);
    let second = elsewhere.or_else(|| ranked.get(1)).copied();
    std::iter::once(first).chain(second).collect()
}
