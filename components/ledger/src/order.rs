//! Decisions about start orders.

use backing::AttemptRef;

/// Decision about a start order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start it now.
    Start,
    /// It is held already, or its end waits to be confirmed.
    Known,
    /// Start it once these have been checkpointed and stopped.
    Preempt(Vec<AttemptRef>),
    /// It does not fit, the VM leaves, or a newer attempt was seen; it never ran here.
    Refuse,
    /// The runtime's attempts were not read yet, so that nobody knows whether it ran.
    Unready,
}
