//! Control calls that the entry answers.

use crate::control::Control;
use crate::messages::{AskConfig, AskJob, AskLoads, AskRequest, AskView, Beat, Ends, JobChanged};
use actix::Addr;
use model::{AgentId, Config, JobId, JobStatus, RequestId};
use tarpc::context::Context;
use wire::{AttemptEnd, EntryControl, Heartbeat, HeartbeatAck, PeerView, Pulse, RequestState};

/// Answers control calls by asking the control thread.
#[derive(Clone)]
pub(crate) struct Rpc {
    /// The control thread, or its address.
    pub control: Addr<Control>,
    /// What other entries are told once the control thread has ended.
    pub gone: PeerView,
}

impl EntryControl for Rpc {
    async fn heartbeat(self, _: Context, beat: Heartbeat) -> HeartbeatAck {
        let stopping = HeartbeatAck {
            entry: self.gone.state.entry,
            config: 0,
            entries: Vec::new(),
            entries_tag: 0,
            draining: true,
        };
        self.control.send(Beat(beat)).await.unwrap_or(stopping)
    }

    async fn view(self, _: Context) -> PeerView {
        let view = self.control.send(AskView).await;
        view.unwrap_or(self.gone)
    }

    async fn loads(self, _: Context) -> Vec<Pulse> {
        self.control.send(AskLoads).await.unwrap_or_default()
    }

    async fn config_after(self, _: Context, number: u64) -> Option<Config> {
        self.control
            .send(AskConfig { after: number })
            .await
            .ok()
            .flatten()
    }

    async fn report_ends(self, _: Context, agent: AgentId, ends: Vec<AttemptEnd>) {
        self.control.do_send(Ends { agent, ends });
    }

    async fn job_changed(self, _: Context, job: JobId) {
        self.control.do_send(JobChanged(job));
    }

    async fn job_status(self, _: Context, job: JobId) -> Option<JobStatus> {
        self.control.send(AskJob(job)).await.ok().flatten()
    }

    async fn request_state(self, _: Context, id: RequestId) -> Option<RequestState> {
        self.control.send(AskRequest(id)).await.ok().flatten()
    }
}
