//! Polls of the model workers by the scheduler under test.

use super::{LEASE_TERMS, Mode, POLL_INTERVAL_MS, Sim};
use flow::{Delivery, LeaseLimit, PollPlan, RunEnd};
use model::AgentId;

impl Sim {
    /// Latest end of a lease that the scheduler may grant now.
    pub(super) fn lease_limit(&self) -> LeaseLimit {
        LeaseLimit {
            until_ms: LEASE_TERMS.until_ms(self.now_ms, self.confirmed_ms),
            slack_ms: LEASE_TERMS.slack_ms,
        }
    }

    /// Polls each worker whose last poll is [`POLL_INTERVAL_MS`] ago.
    pub(super) fn send_due_polls(&mut self) {
        let agents: Vec<AgentId> = self.workers.keys().cloned().collect();
        for agent in agents {
            let worker = &self.workers[&agent];
            let is_due = self.now_ms >= worker.polled_ms + POLL_INTERVAL_MS;
            if is_due && self.now_ms >= worker.down_until_ms {
                self.poll(&agent);
            }
        }
    }

    fn poll(&mut self, agent: &AgentId) {
        let plan = self.scheduler.plan_poll(agent, self.lease_limit());
        let worker = self.workers.get_mut(agent).unwrap();
        worker.polled_ms = self.now_ms;
        let mode = worker.mode;
        worker.delayed_polls.push(plan);
        if mode != Mode::Partitioned {
            for delayed in std::mem::take(&mut worker.delayed_polls) {
                self.receive_poll(agent, delayed);
            }
        }
        if let Some(lease) = plan.lease {
            let delivery = Delivery::Possible;
            self.scheduler.settle_lease(agent, lease.id, delivery);
        }
        match mode {
            Mode::Partitioned | Mode::Mute => self.scheduler.on_unreachable(agent),
            _ => self.send_report(agent),
        }
    }

    /// Has a worker renew its lease and drop acknowledged ends.
    fn receive_poll(&mut self, agent: &AgentId, plan: PollPlan) {
        let worker = self.workers.get_mut(agent).unwrap();
        if plan.born_ms != Some(worker.incarnation.born_ms) {
            return;
        }
        if let Some(lease) = plan.lease {
            worker.lease_until_ms = worker.lease_until_ms.max(lease.until_clock_ms);
        }
        let acknowledged = |number: u64| number <= plan.acknowledged;
        for end in worker.ended.iter().filter(|end| acknowledged(end.number)) {
            if end.outcome == RunEnd::Done {
                self.acknowledged_done.insert(end.task.clone());
            }
        }
        worker.ended.retain(|end| !acknowledged(end.number));
    }
}
