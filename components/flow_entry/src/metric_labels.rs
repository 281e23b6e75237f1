//! Labels of the metrics of an entry for flows.

use prometheus_client::encoding::EncodeLabelSet;

/// Label by which submissions, decisions and ends are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    /// Outcome, kind or state, as its `Display` text.
    pub outcome: String,
}

/// Label by which errors of run times are measured.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EstimateLabel {
    /// `learned` for estimates, `declared` for the run times that callers state.
    pub source: &'static str,
}

/// Kind of use of the memory that callers set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum MemoryUse {
    /// Bodies that are being read, and submissions that wait for the store.
    Requests,
    /// Accepted flows, in the scheduler.
    Flows,
    /// States of occurrences, steps and tasks, in the scheduler.
    Tasks,
    /// Ended flows whose state can still be queried, in the scheduler.
    Ended,
}

/// Label by which memory and work are measured.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    /// Kind of use, as its `Display` text.
    pub kind: &'static str,
}

/// Label by which ordered paces are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DirectionLabel {
    /// How the pace differs from the one that was ordered before.
    pub direction: &'static str,
}

/// Label by which open flows are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutlookLabel {
    /// What the flows can still achieve.
    pub outlook: &'static str,
}

/// Label by which shares of queues are measured.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct QueueLabel {
    /// Name of the queue; `other` for all but the [`flow::MAX_QUEUE_LABELS`] with the highest use.
    pub queue: String,
}

/// Label by which refusals are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PriorityLabel {
    /// Priority of the queue, as the operator configured it.
    pub priority: u32,
}
