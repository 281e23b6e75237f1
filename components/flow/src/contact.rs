//! Polls of workers: which lease a poll offers, and when the runs of a worker that can't be reached
//! are released.
//!
//! Only a worker whose last poll was answered is offered a lease. So the leases of one that stopped to
//! answer expire after a bounded time, however often it is polled.

use crate::{Contact, Delivery, LeaseLimit, OfferId, Scheduler, WorkerView};
use model::AgentId;

/// Longest time that a worker with runs holds a poll until a run ends, in milliseconds.
const BUSY_WAIT_MS: u64 = 400;
/// Longest time that a worker without runs holds a poll, in milliseconds.
const IDLE_WAIT_MS: u64 = 1_000;

/// Offer of a lease in a call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseOffer {
    /// End of the lease on the worker's clock, in milliseconds.
    pub until_clock_ms: u64,
    /// Number of the offer, to settle it once the outcome of the call is known.
    pub id: OfferId,
}

/// Contents of a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollPlan {
    /// Offer of a lease; `None` while the worker does not answer or its clock is not known.
    pub lease: Option<LeaseOffer>,
    /// Start of the incarnation that the poll is meant for, in milliseconds since the Unix epoch;
    /// `None` if it is not known.
    pub born_ms: Option<u64>,
    /// Number of the newest end whose record is durable.
    pub acknowledged: u64,
    /// Longest time to wait for a new end before answering, in milliseconds.
    pub wait_ms: u64,
}

/// A worker whose runs were released because its leases have expired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsedWorker {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Number of runs that were placed there.
    pub runs: usize,
    /// When its leases had expired, in milliseconds.
    pub expired_ms: u64,
}

impl Scheduler {
    /// Plans a poll of a worker, and records the lease that it offers, if it may get one. The offer must be settled
    /// with [`Scheduler::settle_lease`].
    pub fn plan_poll(&mut self, agent: &AgentId, limit: LeaseLimit) -> PollPlan {
        let view = self.worker_mut(agent);
        let lease = match view.may_get_lease() {
            true => offer_lease(view, limit),
            false => None,
        };
        let wait_ms = if !view.is_synced() || !view.pending_acks.is_empty() {
            0
        } else if view.allocations.is_empty() {
            IDLE_WAIT_MS
        } else {
            BUSY_WAIT_MS
        };
        let incarnation = view.incarnation.as_ref();
        PollPlan {
            lease,
            born_ms: incarnation.map(|incarnation| incarnation.born_ms),
            acknowledged: view.acknowledged,
            wait_ms,
        }
    }

    /// Offers the lease that an order to start a run carries; `None` unless the worker's report is
    /// complete and no commit names it as away. The offer must be settled with [`Scheduler::settle_lease`].
    pub fn offer_start_lease(&mut self, agent: &AgentId, limit: LeaseLimit) -> Option<LeaseOffer> {
        let view = self.worker_mut(agent);
        (view.is_synced() && view.may_get_lease()).then(|| offer_lease(view, limit))?
    }

    /// Records whether the call that offered a lease may have arrived.
    pub fn settle_lease(&mut self, agent: &AgentId, offer: OfferId, delivery: Delivery) {
        self.worker_mut(agent).leases.settle(offer, delivery);
    }

    /// Marks a worker as unreachable after a poll without an answer: nothing is placed on it and no
    /// lease is offered to it until its next report.
    pub fn on_unreachable(&mut self, agent: &AgentId) {
        self.worker_mut(agent).contact = Contact::Unreachable;
    }

    /// Sets when every lease that former schedulers granted is guaranteed to have expired, in
    /// milliseconds; [`Scheduler::restore_away`] knows better for single workers.
    pub fn set_former_leases_expired_ms(&mut self, expired_ms: u64) {
        self.former_leases_expired_ms = expired_ms;
    }

    /// Releases the runs of the workers that don't answer and whose leases are guaranteed to have
    /// expired, and returns these workers.
    ///
    /// ```
    /// assert!(flow::Scheduler::default().release_lapsed(1_000).is_empty());
    /// ```
    pub fn release_lapsed(&mut self, now_ms: u64) -> Vec<LapsedWorker> {
        let lapsed: Vec<LapsedWorker> = self
            .workers()
            .filter(|(_, view)| !view.contact.is_answering())
            .filter(|(_, view)| !view.allocations.is_empty() || !view.orphans.is_empty())
            .map(|(agent, view)| LapsedWorker {
                agent: agent.clone(),
                runs: view.allocations.len(),
                expired_ms: view.leases_expired_ms(self.former_leases_expired_ms),
            })
            .filter(|worker| now_ms >= worker.expired_ms)
            .collect();
        for worker in &lapsed {
            self.on_lease_expired(now_ms, &worker.agent);
        }
        lapsed
    }
}

/// Offers a worker the longest lease that `limit` allows; `None` if its clock is not known, or the
/// lease would end before the last sample of it.
fn offer_lease(view: &mut WorkerView, limit: LeaseLimit) -> Option<LeaseOffer> {
    let clock = view.clock?;
    if limit.until_ms <= clock.received_ms {
        return None;
    }
    let until_clock_ms = clock.lease_until(limit.until_ms);
    let expired_ms = clock.expired_ms(until_clock_ms) + limit.slack_ms;
    Some(LeaseOffer {
        until_clock_ms,
        id: view.leases.offer(expired_ms),
    })
}
