//! Server for calls of the scheduler.

use crate::relay::{GetColdRemaining, Pace, Poll, Relay, Start, Stop};
use actix::Addr;
use flow::{PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder};
use tarpc::context::Context;
use wire::WorkerControl;

/// Passes each call of the scheduler to the control thread.
#[derive(Clone)]
pub(crate) struct Rpc(pub Addr<Relay>);

impl WorkerControl for Rpc {
    async fn poll(self, _: Context, request: PollRequest) -> PollReply {
        let sent = self.0.send(Poll(request)).await;
        sent.unwrap_or(PollReply::Silent)
    }

    async fn start(self, _: Context, order: StartOrder) -> StartOutcome {
        let sent = self.0.send(Start(order)).await;
        sent.unwrap_or(StartOutcome::Unknown)
    }

    async fn stop(self, _: Context, order: StopOrder) -> bool {
        self.0.send(Stop(order)).await.unwrap_or(false)
    }

    async fn get_cold_remaining(self, _: Context) -> u64 {
        self.0.send(GetColdRemaining).await.unwrap_or(0)
    }

    async fn pace(self, _: Context, order: PaceOrder) -> bool {
        self.0.send(Pace(order)).await.unwrap_or(false)
    }
}
