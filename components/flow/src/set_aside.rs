//! Flows whose progress can't be recorded: they fail, and the others go on.

use crate::{Effect, Scheduler};
use model::JobId;

/// Why the progress of a flow can't be recorded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// Its record is larger than a commit may be.
    #[error("the record takes {bytes} bytes in {rows} rows, at most {limit_bytes} in {limit_rows}")]
    TooLarge {
        /// Bytes that it takes in a commit.
        bytes: usize,
        /// Rows that it takes.
        rows: usize,
        /// Most bytes of a commit.
        limit_bytes: usize,
        /// Most rows of a commit.
        limit_rows: usize,
    },
    /// The table refuses it.
    #[error("the table refuses the record")]
    Refused,
    /// The record in the table can't be read.
    #[error("the stored record can't be read: {0}")]
    Unreadable(String),
}

impl Scheduler {
    /// Fails a flow whose progress can't be recorded, and stops its runs. From then on its record
    /// states the failure alone, so that it can be written and the next scheduler sets the flow
    /// aside too. Does nothing if the flow is not known.
    ///
    /// Where the table refuses even that, the flow counts as recorded: its end is stored in its own
    /// row.
    pub fn set_aside(&mut self, now_ms: u64, job: &JobId, fault: RecordFault) {
        let Some(state) = self.flows.get_mut(job) else {
            return;
        };
        if !self.set_aside.insert(job.clone()) {
            state.durable_revision = state.revision;
            self.dirty.remove(job);
            self.finish_flow(job);
            return;
        }
        state.failed = true;
        self.effects.push(Effect::SetAside(job.clone(), fault));
        self.stop_flow(now_ms, job);
    }
}
