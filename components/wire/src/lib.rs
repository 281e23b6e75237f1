//! Control protocol between entries, agents and the scheduler: typed messages over `tarpc`, and
//! small datagrams for heartbeats.

mod agent_control;
mod attempts;
mod claim;
mod datagram;
mod entry_control;
mod fence;
mod headers;
mod heartbeat;
mod link;
mod meter;
mod peer;
mod scheduler_control;
mod worker_control;

pub use agent_control::{AgentControl, AgentControlClient};
pub use attempts::{AttemptEnd, EndKind, ShardOwner, StartOrder, StartResult, StopOrder};
pub use claim::{Claim, ClaimAnswer, RequestState};
pub use datagram::{Datagram, send_digest, send_pulse, send_unacknowledged_pulse, serve_datagrams};
pub use entry_control::{EntryControl, EntryControlClient};
pub use fence::{FenceAnswer, FenceRequest};
pub use headers::{Headers, IDEMPOTENCY_KEY, REQUEST_ID, SERVICE, TEAM, VERDICT};
pub use heartbeat::{BackendLoad, Heartbeat, HeartbeatAck, Pulse, PulseAck, ServiceLoad};
pub use link::{
    AgentLink, EntryLink, LinkError, SchedulerLink, WorkerLink, serve_agent, serve_entry,
    serve_scheduler, serve_worker,
};
pub use meter::Meter;
pub use peer::{Digest, PeerState, PeerView};
pub use scheduler_control::{
    BacklogReply, CancelOutcome, ExplainReply, PhaseReply, QueuedCountReply, RoomReply,
    SchedulerControl, SchedulerControlClient, SchedulerProbe, SchedulerProbeReply, SubmitOutcome,
};
pub use worker_control::{AGENT_ROW_PREFIX, WorkerControl, WorkerControlClient};
