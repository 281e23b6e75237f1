//! Server for calls of other entries.

use crate::coordinator::Coordinator;
use crate::messages::{
    Cancel, NotifyAccepted, NotifyCancelled, PeerCountQueued, PeerExplain, PeerGetBacklog,
    PeerGetPhase, PeerGrantRoom, PeerProbe, Submit,
};
use actix::Addr;
use flow::{FlowJob, QueueKey};
use model::JobId;
use tarpc::context::Context;
use utils::boot_ms;
use wire::{
    BacklogReply, CancelOutcome, ExplainReply, PhaseReply, QueuedCountReply, RoomReply,
    SchedulerControl, SchedulerProbe, SchedulerProbeReply, SubmitOutcome,
};

/// Time limit of a submission or cancellation that another entry forwards, in milliseconds.
const RELAY_LIMIT_MS: u64 = 1_000;

/// Passes each call of another entry to the control thread.
#[derive(Clone)]
pub(crate) struct Rpc(pub Addr<Coordinator>);

impl SchedulerControl for Rpc {
    async fn probe(self, _: Context, probe: SchedulerProbe) -> SchedulerProbeReply {
        let not_scheduler = SchedulerProbeReply {
            epoch: None,
            confirmation_age_ms: u64::MAX,
            config: None,
        };
        self.0.send(PeerProbe(probe)).await.unwrap_or(not_scheduler)
    }

    async fn notify_accepted(self, _: Context, job: FlowJob) -> bool {
        let accepted = NotifyAccepted {
            job,
            from_peer: true,
        };
        self.0.send(accepted).await.unwrap_or(false)
    }

    async fn notify_cancelled(self, _: Context, job: JobId) -> bool {
        let cancelled = NotifyCancelled {
            job,
            from_peer: true,
        };
        self.0.send(cancelled).await.unwrap_or(false)
    }

    async fn get_phase(self, _: Context, job: JobId) -> PhaseReply {
        let sent = self.0.send(PeerGetPhase(job)).await;
        sent.unwrap_or(PhaseReply::NotScheduler)
    }

    async fn count_queued(self, _: Context, queue: QueueKey) -> QueuedCountReply {
        let sent = self.0.send(PeerCountQueued(queue)).await;
        sent.unwrap_or(QueuedCountReply::NotScheduler)
    }

    async fn submit(self, _: Context, job: FlowJob) -> SubmitOutcome {
        let until_ms = boot_ms() + RELAY_LIMIT_MS;
        let sent = self.0.send(Submit { job, until_ms }).await;
        sent.unwrap_or(SubmitOutcome::Refused)
    }

    async fn cancel(self, _: Context, job: JobId) -> CancelOutcome {
        let until_ms = boot_ms() + RELAY_LIMIT_MS;
        let sent = self.0.send(Cancel { job, until_ms }).await;
        sent.unwrap_or(CancelOutcome::Unavailable)
    }

    async fn grant_room(self, _: Context) -> RoomReply {
        let sent = self.0.send(PeerGrantRoom).await;
        sent.unwrap_or(RoomReply::NotScheduler)
    }

    async fn get_backlog(self, _: Context) -> BacklogReply {
        let sent = self.0.send(PeerGetBacklog).await;
        sent.unwrap_or(BacklogReply::NotMeasured)
    }

    async fn explain(self, _: Context, job: FlowJob) -> ExplainReply {
        let sent = self.0.send(PeerExplain(job)).await;
        sent.unwrap_or(ExplainReply::NotScheduler)
    }
}
