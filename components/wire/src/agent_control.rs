//! RPC interface of an agent, called by entries.

use crate::{
    Claim, ClaimAnswer, FenceAnswer, FenceRequest, ShardOwner, StartOrder, StartResult, StopOrder,
};
use backing::AttemptRef;

/// RPC interface of an agent.
///
/// Calls are encoded by position: the order of methods and of their arguments must not change.
#[tarpc::service]
pub trait AgentControl {
    /// Returns what became of a request; with `fence_off`, an unseen one is refused from then on.
    async fn fence(request: FenceRequest) -> FenceAnswer;
    /// Claims an idempotency key for a request; at most one request holds a key.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Releases a key after its request is known not to have run.
    async fn release_claim(claim: Claim);
    /// Starts attempts for the shard's owner; the results are in the order of `orders`.
    async fn start_attempts(owner: ShardOwner, orders: Vec<StartOrder>) -> Vec<StartResult>;
    /// Stops attempts; the agent reports their ends later.
    async fn stop_attempts(owner: ShardOwner, orders: Vec<StopOrder>);
    /// Informs the agent of the owners of shards; `false` for each that it refuses as stale.
    async fn adopt_shards(owners: Vec<ShardOwner>) -> Vec<bool>;
    /// Confirms that ends are stored, so that the agent stops reporting them.
    async fn confirm_ends(ends: Vec<AttemptRef>);
}
