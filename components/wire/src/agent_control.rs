//! Control calls that an agent answers.

use crate::{
    Claim, ClaimAnswer, FenceAnswer, FenceRequest, ShardOwner, StartOrder, StartResult, StopOrder,
};
use backing::AttemptRef;

/// Control calls that an agent answers.
#[tarpc::service]
pub trait AgentControl {
    /// Asks what became of a request, and bars it if wanted.
    async fn fence(request: FenceRequest) -> FenceAnswer;
    /// Claims an idempotency key.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Gives a key back, for a request that provably did not run.
    async fn release_claim(claim: Claim);
    /// Starts attempts for the shard's owner.
    async fn start_attempts(owner: ShardOwner, orders: Vec<StartOrder>) -> Vec<StartResult>;
    /// Stops attempts; their ends are reported.
    async fn stop_attempts(owner: ShardOwner, orders: Vec<StopOrder>);
    /// Names the owner of shards; answers whether each is accepted.
    async fn adopt_shards(owners: Vec<ShardOwner>) -> Vec<bool>;
    /// Confirms that ends are durable and need not be reported again.
    async fn confirm_ends(ends: Vec<AttemptRef>);
}
