//! Decisions on start orders.

use backing::AttemptRef;

/// Decision of [`Ledger::admit`](crate::Ledger::admit) on a start order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start it now.
    Start,
    /// The attempt already has an allocation, or it has ended and that is not confirmed yet.
    Known,
    /// Start it once these attempts have been checkpointed and stopped.
    Preempt(Vec<AttemptRef>),
    /// The attempt does not fit, the VM is being drained, another attempt of the task runs, or a
    /// newer one was seen. The attempt never ran here.
    Refuse,
    /// The runtime's attempts have not been read yet, so it is unknown whether this one ran.
    Unready,
}
