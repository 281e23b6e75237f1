//! RPC service for agents and other entries.

use crate::control::Control;
use crate::messages::{
    AttemptsEnded, HeartbeatReceived, JobChanged, QueryConfig, QueryJobStatus, QueryLoads,
    QueryRequestState, QueryView,
};
use actix::Addr;
use model::{AgentId, Config, JobId, JobStatus, RequestId};
use tarpc::context::Context;
use wire::{AttemptEnd, EntryControl, Heartbeat, HeartbeatAck, PeerView, Pulse, RequestState};

/// Forwards control calls to the control thread.
#[derive(Clone)]
pub(crate) struct Rpc {
    /// Mailbox of the control thread.
    pub control: Addr<Control>,
    /// Reply to other entries once the control thread has ended.
    pub terminated: PeerView,
}

impl EntryControl for Rpc {
    async fn heartbeat(self, _: Context, beat: Heartbeat) -> HeartbeatAck {
        let stopping = HeartbeatAck {
            entry: self.terminated.state.entry,
            config: 0,
            entries: Vec::new(),
            entries_tag: 0,
            draining: true,
        };
        self.control
            .send(HeartbeatReceived(beat))
            .await
            .unwrap_or(stopping)
    }

    async fn view(self, _: Context) -> PeerView {
        let view = self.control.send(QueryView).await;
        view.unwrap_or(self.terminated)
    }

    async fn loads(self, _: Context) -> Vec<Pulse> {
        self.control.send(QueryLoads).await.unwrap_or_default()
    }

    async fn config_after(self, _: Context, number: u64) -> Option<Config> {
        self.control
            .send(QueryConfig { after: number })
            .await
            .ok()
            .flatten()
    }

    async fn report_ends(self, _: Context, agent: AgentId, ends: Vec<AttemptEnd>) {
        self.control.do_send(AttemptsEnded { agent, ends });
    }

    async fn job_changed(self, _: Context, job: JobId) {
        self.control.do_send(JobChanged(job));
    }

    async fn job_status(self, _: Context, job: JobId) -> Option<JobStatus> {
        self.control.send(QueryJobStatus(job)).await.ok().flatten()
    }

    async fn request_state(self, _: Context, id: RequestId) -> Option<RequestState> {
        self.control
            .send(QueryRequestState(id))
            .await
            .ok()
            .flatten()
    }
}
