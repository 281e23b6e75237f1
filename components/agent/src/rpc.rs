//! Server side of the agent's RPC interface.

use crate::control::Control;
use crate::messages::{
    AdoptShards, ClaimKey, ConfirmEnds, Fence, ReleaseClaim, StartOrders, StopOrders,
};
use actix::Addr;
use backing::AttemptRef;
use tarpc::context::Context;
use wire::{
    AgentControl, Claim, ClaimAnswer, FenceAnswer, FenceRequest, ShardOwner, StartOrder,
    StartResult, StopOrder,
};

/// Forwards RPC calls to the control actor.
#[derive(Clone)]
pub(crate) struct Rpc(pub Addr<Control>);

impl AgentControl for Rpc {
    async fn fence(self, _: Context, request: FenceRequest) -> FenceAnswer {
        self.0
            .send(Fence(request))
            .await
            .unwrap_or(FenceAnswer::OtherIncarnation)
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimAnswer {
        self.0
            .send(ClaimKey(claim))
            .await
            .unwrap_or(ClaimAnswer::Refused)
    }

    async fn release_claim(self, _: Context, claim: Claim) {
        self.0.do_send(ReleaseClaim(claim));
    }

    async fn start_attempts(
        self,
        _: Context,
        owner: ShardOwner,
        orders: Vec<StartOrder>,
    ) -> Vec<StartResult> {
        self.0
            .send(StartOrders { owner, orders })
            .await
            .unwrap_or_default()
    }

    async fn stop_attempts(self, _: Context, owner: ShardOwner, orders: Vec<StopOrder>) {
        self.0.do_send(StopOrders { owner, orders });
    }

    async fn adopt_shards(self, _: Context, owners: Vec<ShardOwner>) -> Vec<bool> {
        self.0.send(AdoptShards(owners)).await.unwrap_or_default()
    }

    async fn confirm_ends(self, _: Context, ends: Vec<AttemptRef>) {
        self.0.do_send(ConfirmEnds(ends));
    }
}
