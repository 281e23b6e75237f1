//! Grants of room for the flows that entries accept, and their use.

use crate::coordinator::Coordinator;
use crate::leadership::Leadership;
use crate::messages::{PeerGrantRoom, RoomGranted, TakeRoom};
use crate::metric_labels::MemoryUse;
use crate::metrics::Metrics;
use crate::room::{Taken, grant};
use crate::rows::flow_key;
use actix::{Addr, AsyncContext, Context, Handler, MessageResult};
use backing::TableStore;
use flow::Footprint;
use model::JobId;
use std::time::Duration;
use utils::boot_ms;
use wire::{RoomReply, SubmitOutcome};

/// Timeout of a request for room.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to take room while the next grant is likely to have enough.
const GRANT_ATTEMPTS: u32 = 60;
/// Pause between them.
const GRANT_PAUSE: Duration = Duration::from_millis(10);
/// Interval between two measurements of the scheduler's memory, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 1_000;

/// Memory that flows take in the scheduler, as last measured.
#[derive(Debug, Default)]
pub(crate) struct FlowMemory {
    /// Estimate by the scheduler.
    footprint: Footprint,
    /// When it was measured, in milliseconds.
    measured_ms: u64,
    /// Room that was granted since then, in bytes.
    granted_bytes: usize,
}

impl Leadership {
    /// Measures the memory that flows take, if that is due.
    pub(crate) fn measure_memory(&mut self, now_ms: u64, metrics: &Metrics) {
        if now_ms < self.memory.measured_ms + MEASURE_INTERVAL_MS {
            return;
        }
        let footprint = self.scheduler.footprint();
        metrics.set_memory(MemoryUse::Flows, footprint.flows);
        metrics.set_memory(MemoryUse::Tasks, footprint.tasks);
        metrics.set_memory(MemoryUse::Ended, footprint.ended);
        self.memory = FlowMemory {
            footprint,
            measured_ms: now_ms,
            granted_bytes: 0,
        };
    }

    /// Grants room for flows that an entry accepts, in bytes.
    fn grant_room(&mut self, limit_bytes: usize) -> usize {
        let used_bytes = self.memory.footprint.total() + self.memory.granted_bytes;
        let bytes = grant(limit_bytes, used_bytes);
        self.memory.granted_bytes += bytes;
        bytes
    }
}

impl Coordinator {
    /// Requests room for the flows that this entry accepts, if that is due.
    pub(crate) fn request_room(&mut self, now_ms: u64, context: &mut Context<Self>) {
        if let Some(leadership) = self.leadership.as_mut() {
            if leadership.is_loaded && self.room.request_if_due(now_ms) {
                leadership.measure_memory(now_ms, &self.metrics);
                let bytes = leadership.grant_room(self.flow_bytes);
                self.room.on_reply(now_ms, Some(bytes));
            }
            return;
        }
        let Some(link) = self.scheduler_link() else {
            return;
        };
        if !self.room.request_if_due(now_ms) {
            return;
        }
        let control = context.address();
        actix_rt::spawn(async move {
            let call = link.call(GRANT_TIMEOUT, |client, context| async move {
                client.grant_room(context).await
            });
            let bytes = match call.await {
                Ok(RoomReply::Bytes(bytes)) => usize::try_from(bytes).ok(),
                Ok(RoomReply::NotScheduler) | Err(_) => None,
            };
            control.do_send(RoomGranted { bytes });
        });
    }
}

impl Handler<TakeRoom> for Coordinator {
    type Result = MessageResult<TakeRoom>;

    fn handle(&mut self, take: TakeRoom, context: &mut Self::Context) -> Self::Result {
        let now_ms = boot_ms();
        let taken = self.room.take(now_ms, take.bytes);
        self.request_room(now_ms, context);
        MessageResult(taken)
    }
}

/// Takes room for a flow of `bytes`; waits for the next grant if that is likely to have enough. Returns
/// whether it was taken.
pub(crate) async fn take_room(control: &Addr<Coordinator>, bytes: usize) -> bool {
    for _ in 0..GRANT_ATTEMPTS {
        match control.send(TakeRoom { bytes }).await {
            Ok(Taken::All) => return true,
            Ok(Taken::NothingYet) => actix_rt::time::sleep(GRANT_PAUSE).await,
            Ok(Taken::Nothing) | Err(_) => return false,
        }
    }
    false
}

impl Handler<RoomGranted> for Coordinator {
    type Result = ();

    fn handle(&mut self, granted: RoomGranted, _: &mut Self::Context) {
        self.room.on_reply(boot_ms(), granted.bytes);
    }
}

impl Handler<PeerGrantRoom> for Coordinator {
    type Result = MessageResult<PeerGrantRoom>;

    fn handle(&mut self, _: PeerGrantRoom, _: &mut Self::Context) -> Self::Result {
        let leadership = self.leadership.as_mut();
        let Some(leadership) = leadership.filter(|leadership| leadership.is_loaded) else {
            return MessageResult(RoomReply::NotScheduler);
        };
        leadership.measure_memory(boot_ms(), &self.metrics);
        MessageResult(RoomReply::Bytes(
            leadership.grant_room(self.flow_bytes) as u64
        ))
    }
}

/// Outcome of the submission of a flow for which there is no room: accepted if it is stored already,
/// by an earlier submission whose answer was lost.
pub(crate) async fn submit_without_room(table: &dyn TableStore, job: &JobId) -> SubmitOutcome {
    match table.read(&[flow_key(job)]).await {
        Ok(rows) if !rows.is_empty() => SubmitOutcome::Accepted,
        Ok(_) | Err(_) => SubmitOutcome::Refused,
    }
}
