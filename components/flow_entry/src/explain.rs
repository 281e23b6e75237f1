//! Explanations of where a job would be placed now, for an operator.

use crate::coordinator::Coordinator;
use crate::messages::{Explain, PeerExplain};
use actix::{Handler, MessageResult, ResponseFuture};
use flow::FlowJob;
use std::time::Duration;
use utils::{boot_ms, wall_ms};
use wire::{ExplainReply, SchedulerLink};

/// Timeout of a query to the scheduler. An explanation takes longer than other queries, and an
/// operator waits for it.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);

impl Coordinator {
    /// Explains a job, if this entry is the scheduler and has loaded its state.
    fn explain(&mut self, job: FlowJob) -> ExplainReply {
        let leadership = self.leadership.as_mut();
        let Some(leadership) = leadership.filter(|leadership| leadership.is_loaded) else {
            return ExplainReply::NotScheduler;
        };
        match leadership.scheduler.explain(boot_ms(), wall_ms(), job) {
            Ok(explanation) => ExplainReply::Explained(explanation),
            Err(fault) => ExplainReply::Fault(fault),
        }
    }
}

impl Handler<Explain> for Coordinator {
    type Result = ResponseFuture<ExplainReply>;

    fn handle(&mut self, Explain(job): Explain, _: &mut Self::Context) -> Self::Result {
        if self.leadership.is_some() {
            let reply = self.explain(job);
            return Box::pin(async move { reply });
        }
        let link = self.scheduler_link();
        Box::pin(async move {
            let Some(link) = link else {
                return ExplainReply::NotScheduler;
            };
            // A scheduler of an earlier version closes the connection on a call that it does not know, so
            // this one shares none with submissions.
            let link = SchedulerLink::new(link.address());
            let call = link.call(EXPLAIN_TIMEOUT, |client, context| async move {
                client.explain(context, job).await
            });
            call.await.unwrap_or(ExplainReply::NotScheduler)
        })
    }
}

impl Handler<PeerExplain> for Coordinator {
    type Result = MessageResult<PeerExplain>;

    fn handle(&mut self, PeerExplain(job): PeerExplain, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.explain(job))
    }
}
