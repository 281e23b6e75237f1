//! Choice of the agent for a queued request.

use crate::{Class, PendingRequest, Policy, RoutingOptions, Target, Targets};
use model::DomainName;
use rand::RngExt;

/// Age of a load report after which an agent without known free slots may get one request.
const LOAD_STALE_MS: u64 = 20;
/// Multiple of the median run time above which an agent gets the slow penalty.
const SLOW_FACTOR: f64 = 3.0;
/// Score of an agent in the entry's failure domain, on the scale of a share of free slots.
const SAME_DOMAIN_BONUS: f64 = 0.25;
/// Score penalty of a slow agent; it outweighs the rest, so slow agents are the last resort.
const SLOW_PENALTY: f64 = -10.0;
/// Upper bound of the random part of a score; the choice between nearly equal agents is random.
const SCORE_JITTER: f64 = 0.05;
/// Agents with a known run time from which the median is used to find slow ones.
const MIN_AGENTS_FOR_MEDIAN: usize = 3;

/// Inputs that are the same for all choices of one scheduling pass.
pub(crate) struct Chooser<'a> {
    /// Policy, limits and times of routing.
    pub options: &'a RoutingOptions,
    /// Failure domain of this entry.
    pub domain: &'a DomainName,
    /// Current time.
    pub now_ms: u64,
}

impl Chooser<'_> {
    /// Returns the index in [`Targets::list`] of the agent to send a request to, or `None` if it
    /// should stay queued. `dispatch_count` is the position for round-robin.
    pub fn choose(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        dispatch_count: usize,
        rng: &mut impl RngExt,
    ) -> Option<usize> {
        match self.options.policy {
            Policy::LateBinding => self.pick_most_free(targets, pending, rng),
            Policy::Random => self.pick_random(targets, pending, rng),
            Policy::RoundRobin => self.pick_round_robin(targets, pending, dispatch_count),
            Policy::LeastOutstanding => self.pick_least_outstanding(targets, pending),
            Policy::TwoChoices => {
                let first = self.pick_random(targets, pending, rng)?;
                let second = self.pick_random(targets, pending, rng)?;
                let load = |index: usize| targets.list()[index].outstanding;
                Some(if load(second) < load(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    /// Whether any agent can accept a request of the class now.
    pub fn has_free_slot(&self, targets: &Targets, class: Class) -> bool {
        let slow_start_ms = self.slow_start_ms(targets);
        targets
            .list()
            .iter()
            .any(|target| self.may_receive(target, slow_start_ms) && self.can_accept(target, class))
    }

    /// Slow-start time in effect. It is 0 while all agents are new, as after the start of an entry:
    /// slow start would then leave slots unused and relieve no agent.
    fn slow_start_ms(&self, targets: &Targets) -> u64 {
        let slow_start_ms = self.options.slow_start_ms;
        let is_warm = |target: &Target| target.is_warm(self.now_ms, slow_start_ms);
        if targets.list().iter().any(is_warm) {
            slow_start_ms
        } else {
            0
        }
    }

    /// Whether the agent is below its limit of outstanding requests from this entry.
    fn may_receive(&self, target: &Target, slow_start_ms: u64) -> bool {
        target.outstanding < target.max_outstanding(self.now_ms, slow_start_ms)
    }

    /// Whether the agent has a free slot for the class or may be probed with one request. An agent
    /// without outstanding requests of this entry sends it no answers, which also report load, so
    /// it is probed once its last report is stale.
    fn can_accept(&self, target: &Target, class: Class) -> bool {
        let since_update_ms = self.now_ms.saturating_sub(target.load_updated_ms);
        let may_probe = target.outstanding == 0 && since_update_ms >= LOAD_STALE_MS;
        target.free_for(class) > 0 || may_probe
    }

    /// Agents that may receive a request, with their indices; those where it failed are left out.
    fn candidates<'t>(
        &'t self,
        targets: &'t Targets,
        pending: &'t PendingRequest,
    ) -> impl Iterator<Item = (usize, &'t Target)> {
        let is_avoided = |target: &Target| pending.failed_agents.contains(&target.agent);
        // If the request has failed at every agent, all are allowed again: one that failed it is
        // better than none.
        let ignore_avoided = targets.list().iter().all(is_avoided);
        let slow_start_ms = self.slow_start_ms(targets);
        let is_candidate = move |(_, target): &(usize, &Target)| {
            self.may_receive(target, slow_start_ms) && (ignore_avoided || !is_avoided(target))
        };
        targets.list().iter().enumerate().filter(is_candidate)
    }

    fn pick_most_free(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        rng: &mut impl RngExt,
    ) -> Option<usize> {
        let slow_threshold_ms = self.slow_threshold_ms(targets);
        let score = |target: &Target| {
            let free_share =
                f64::from(target.free_for(pending.class)) / f64::from(target.slots.max(1));
            let locality = if target.domain == *self.domain {
                SAME_DOMAIN_BONUS
            } else {
                0.0
            };
            let is_slow = target
                .mean_run_ms
                .get()
                .is_some_and(|mean_run_ms| mean_run_ms > slow_threshold_ms);
            let penalty = if is_slow { SLOW_PENALTY } else { 0.0 };
            free_share + locality + penalty
        };
        let accepting = self.candidates(targets, pending);
        let accepting = accepting.filter(|(_, target)| self.can_accept(target, pending.class));
        let scored = accepting
            .map(|(index, target)| (index, score(target) + SCORE_JITTER * rng.random::<f64>()));
        scored
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }

    /// Average run time above which an agent is slow compared to the others; infinite while too few
    /// agents have a known run time.
    fn slow_threshold_ms(&self, targets: &Targets) -> f64 {
        let mut means: Vec<f64> = targets
            .list()
            .iter()
            .filter_map(|target| target.mean_run_ms.get())
            .collect();
        if means.len() < MIN_AGENTS_FOR_MEDIAN {
            return f64::INFINITY;
        }
        let middle = means.len() / 2;
        let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
        SLOW_FACTOR * median.max(1.0)
    }

    fn pick_random(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        rng: &mut impl RngExt,
    ) -> Option<usize> {
        let candidates: Vec<usize> = self
            .candidates(targets, pending)
            .map(|(index, _)| index)
            .collect();
        (!candidates.is_empty()).then(|| candidates[rng.random_range(0..candidates.len())])
    }

    fn pick_round_robin(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        dispatch_count: usize,
    ) -> Option<usize> {
        let candidates: Vec<usize> = self
            .candidates(targets, pending)
            .map(|(index, _)| index)
            .collect();
        (!candidates.is_empty()).then(|| candidates[dispatch_count % candidates.len()])
    }

    fn pick_least_outstanding(&self, targets: &Targets, pending: &PendingRequest) -> Option<usize> {
        self.candidates(targets, pending)
            .min_by_key(|(_, target)| target.outstanding)
            .map(|(index, _)| index)
    }
}
