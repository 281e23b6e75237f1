//! Stand-ins for the entry that is the scheduler, by the interface between entries.

use admission::Backlog;
use flow::{FlowConfig, FlowJob, FlowPhase, QueueKey};
use futures::StreamExt;
use model::JobId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use wire::{
    BacklogReply, CancelOutcome, ExplainReply, PhaseReply, QueuedCountReply, RoomReply,
    SchedulerControl, SchedulerProbe, SchedulerProbeReply, SubmitOutcome,
};

/// What the stand-in answers.
#[derive(Debug, Clone)]
pub enum Answers {
    /// All calls, with this backlog, which was just measured.
    Backlog(Backlog),
    /// All calls, and that no backlog is known.
    NotMeasured,
    /// No calls, as a process that is paused.
    Nothing,
}

/// Stand-in for the scheduler; clones are the same one.
#[derive(Clone)]
pub struct StandIn {
    /// Address at which it answers.
    pub address: SocketAddr,
    answers: Arc<Mutex<Answers>>,
    fetches: Arc<AtomicU32>,
}

impl StandIn {
    /// Starts a stand-in at a free port.
    pub async fn start(answers: Answers) -> Self {
        let address = cluster::free_ports(1).unwrap()[0];
        let stand_in = Self {
            address,
            answers: Arc::new(Mutex::new(answers)),
            fetches: Arc::default(),
        };
        wire::serve_scheduler(address, stand_in.clone())
            .await
            .unwrap();
        stand_in
    }

    /// Changes what it answers from now on.
    pub fn set(&self, answers: Answers) {
        *self.answers.lock().unwrap() = answers;
    }

    /// Number of requests for its backlog.
    pub fn fetches(&self) -> u32 {
        self.fetches.load(Ordering::Relaxed)
    }

    /// Returns what to answer; never returns while nothing is answered.
    async fn answer(&self) -> Answers {
        let answers = self.answers.lock().unwrap().clone();
        match answers {
            Answers::Nothing => std::future::pending().await,
            _ => answers,
        }
    }
}

/// Answer of the scheduler of epoch 1 to a probe.
fn probe_reply() -> SchedulerProbeReply {
    SchedulerProbeReply {
        epoch: Some(1),
        confirmation_age_ms: 0,
        config: None::<FlowConfig>,
    }
}

impl SchedulerControl for StandIn {
    async fn probe(self, _: Context, _: SchedulerProbe) -> SchedulerProbeReply {
        self.answer().await;
        probe_reply()
    }

    async fn notify_accepted(self, _: Context, _: FlowJob) -> bool {
        self.answer().await;
        true
    }

    async fn notify_cancelled(self, _: Context, _: JobId) -> bool {
        self.answer().await;
        true
    }

    async fn get_phase(self, _: Context, _: JobId) -> PhaseReply {
        self.answer().await;
        PhaseReply::Known(FlowPhase::Queued)
    }

    async fn count_queued(self, _: Context, _: QueueKey) -> QueuedCountReply {
        self.answer().await;
        QueuedCountReply::Count(0)
    }

    async fn submit(self, _: Context, _: FlowJob) -> SubmitOutcome {
        self.answer().await;
        SubmitOutcome::Refused
    }

    async fn cancel(self, _: Context, _: JobId) -> CancelOutcome {
        self.answer().await;
        CancelOutcome::Unavailable
    }

    async fn grant_room(self, _: Context) -> RoomReply {
        self.answer().await;
        RoomReply::Bytes(1 << 20)
    }

    async fn explain(self, _: Context, _: FlowJob) -> ExplainReply {
        ExplainReply::NotScheduler
    }

    async fn get_backlog(self, _: Context) -> BacklogReply {
        self.fetches.fetch_add(1, Ordering::Relaxed);
        match self.answer().await {
            Answers::Backlog(backlog) => BacklogReply::Measured { age_ms: 0, backlog },
            Answers::NotMeasured | Answers::Nothing => BacklogReply::NotMeasured,
        }
    }
}

/// The interface of earlier versions, which ends with the grants of room.
#[tarpc::service]
trait EarlierControl {
    async fn probe(probe: SchedulerProbe) -> SchedulerProbeReply;
    async fn notify_accepted(job: FlowJob) -> bool;
    async fn notify_cancelled(job: JobId) -> bool;
    async fn get_phase(job: JobId) -> PhaseReply;
    async fn count_queued(queue: QueueKey) -> QueuedCountReply;
    async fn submit(job: FlowJob) -> SubmitOutcome;
    async fn cancel(job: JobId) -> CancelOutcome;
    async fn grant_room() -> RoomReply;
}

/// Connections of a stand-in for a scheduler of an earlier version.
#[derive(Debug, Default)]
pub struct Connections {
    /// Number of connections that were opened.
    pub opened: usize,
    /// Numbers of those on which probes arrived.
    pub probed: BTreeSet<usize>,
}

/// Stand-in for a scheduler of an earlier version, at one connection.
#[derive(Clone)]
struct Earlier {
    connections: Arc<Mutex<Connections>>,
    number: usize,
}

impl EarlierControl for Earlier {
    async fn probe(self, _: Context, _: SchedulerProbe) -> SchedulerProbeReply {
        self.connections.lock().unwrap().probed.insert(self.number);
        probe_reply()
    }

    async fn notify_accepted(self, _: Context, _: FlowJob) -> bool {
        true
    }

    async fn notify_cancelled(self, _: Context, _: JobId) -> bool {
        true
    }

    async fn get_phase(self, _: Context, _: JobId) -> PhaseReply {
        PhaseReply::Known(FlowPhase::Queued)
    }

    async fn count_queued(self, _: Context, _: QueueKey) -> QueuedCountReply {
        QueuedCountReply::Count(0)
    }

    async fn submit(self, _: Context, _: FlowJob) -> SubmitOutcome {
        SubmitOutcome::Refused
    }

    async fn cancel(self, _: Context, _: JobId) -> CancelOutcome {
        CancelOutcome::Unavailable
    }

    async fn grant_room(self, _: Context) -> RoomReply {
        RoomReply::Bytes(1 << 20)
    }
}

/// Starts a stand-in for a scheduler of an earlier version; returns its address and its connections.
pub async fn serve_earlier_version() -> (SocketAddr, Arc<Mutex<Connections>>) {
    let address = cluster::free_ports(1).unwrap()[0];
    let incoming = tcp::listen(address, Bincode::default).await.unwrap();
    let connections: Arc<Mutex<Connections>> = Arc::default();
    let shared = connections.clone();
    actix_rt::spawn(async move {
        let channels = incoming
            .filter_map(|accepted| futures::future::ready(accepted.ok()))
            .map(BaseChannel::with_defaults);
        channels
            .for_each_concurrent(100, |channel| async {
                let number = {
                    let mut connections = shared.lock().unwrap();
                    connections.opened += 1;
                    connections.opened
                };
                let server = Earlier {
                    connections: shared.clone(),
                    number,
                };
                let calls = channel.execute(server.serve());
                calls
                    .for_each(|call| async { drop(actix_rt::spawn(call)) })
                    .await;
            })
            .await;
    });
    (address, connections)
}
