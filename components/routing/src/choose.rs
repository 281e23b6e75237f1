//! Choice of an agent for one request.

use crate::{Class, PendingRequest, Policy, RoutingOptions, Target, Targets};
use model::DomainName;
use rand::RngExt;

/// Time without news after which an agent without known free slots may be tried once.
const STALE_HINT_MS: u64 = 20;
/// Run time, as a multiple of the median agent's, from which an agent is a last resort.
const SLOW_FACTOR: f64 = 3.0;
/// What nearness counts against a share of free slots.
const NEAR_BONUS: f64 = 0.25;

/// What the choice looks at.
pub(crate) struct Chooser<'a> {
    /// Limits and times.
    pub tuning: &'a RoutingOptions,
    /// Failure domain of this entry.
    pub domain: &'a DomainName,
    /// Present time.
    pub now_ms: u64,
}

impl Chooser<'_> {
    /// Position of the agent to send to, if the request should be sent now.
    pub fn choose(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        turn: usize,
        rng: &mut impl RngExt,
    ) -> Option<usize> {
        match self.tuning.policy {
            Policy::LateBinding => self.most_free(targets, pending, rng),
            Policy::Random => self.random(targets, pending, rng),
            Policy::RoundRobin => self.in_turn(targets, pending, turn),
            Policy::LeastOutstanding => self.least(targets, pending),
            Policy::TwoChoices => {
                let first = self.random(targets, pending, rng)?;
                let second = self.random(targets, pending, rng)?;
                let load = |index: usize| targets.list()[index].outstanding;
                Some(if load(second) < load(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    /// Whether any agent is known to have a free slot for the class.
    pub fn any_free(&self, targets: &Targets, class: Class) -> bool {
        let slow_start_ms = self.slow_start_ms(targets);
        targets
            .list()
            .iter()
            .any(|target| self.is_open(target, slow_start_ms) && self.can_take(target, class))
    }

    /// Time over which a new agent's share grows. With none but new agents, as after the start of
    /// an entry, holding back would leave slots empty and spare nobody.
    fn slow_start_ms(&self, targets: &Targets) -> u64 {
        let slow_start_ms = self.tuning.slow_start_ms;
        let is_warm = |target: &Target| target.is_warm(self.now_ms, slow_start_ms);
        if targets.list().iter().any(is_warm) {
            slow_start_ms
        } else {
            0
        }
    }

    fn is_open(&self, target: &Target, slow_start_ms: u64) -> bool {
        target.outstanding < target.allowance(self.now_ms, slow_start_ms)
    }

    /// An agent that this entry has nothing at sends no news, so it is tried when its news is old.
    fn can_take(&self, target: &Target, class: Class) -> bool {
        let unheard_ms = self.now_ms.saturating_sub(target.told_ms);
        let may_probe = target.outstanding == 0 && unheard_ms >= STALE_HINT_MS;
        target.free_for(class) > 0 || may_probe
    }

    fn open<'t>(
        &'t self,
        targets: &'t Targets,
        pending: &'t PendingRequest,
    ) -> impl Iterator<Item = (usize, &'t Target)> {
        let is_avoided = |target: &Target| pending.avoid.contains(&target.agent);
        // With nobody else left, an agent that failed the request before is better than none.
        let ignore_avoided = targets.list().iter().all(is_avoided);
        let slow_start_ms = self.slow_start_ms(targets);
        let open = move |(_, target): &(usize, &Target)| {
            self.is_open(target, slow_start_ms) && (ignore_avoided || !is_avoided(target))
        };
        targets.list().iter().enumerate().filter(open)
    }

    fn most_free(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        rng: &mut impl RngExt,
    ) -> Option<usize> {
        let slow_ms = self.slow_ms(targets);
        let score = |target: &Target| {
            let share = f64::from(target.free_for(pending.class)) / f64::from(target.slots.max(1));
            let near = if target.domain == *self.domain {
                NEAR_BONUS
            } else {
                0.0
            };
            let is_slow = target
                .mean_ms
                .get()
                .is_some_and(|mean_ms| mean_ms > slow_ms);
            let slow = if is_slow { -10.0 } else { 0.0 };
            share + near + slow
        };
        let fitting = self.open(targets, pending);
        let fitting = fitting.filter(|(_, target)| self.can_take(target, pending.class));
        let jittered =
            fitting.map(|(index, target)| (index, score(target) + 0.05 * rng.random::<f64>()));
        jittered
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }

    /// Mean run time above which an agent is slow beside the others.
    fn slow_ms(&self, targets: &Targets) -> f64 {
        let mut means: Vec<f64> = targets
            .list()
            .iter()
            .filter_map(|target| target.mean_ms.get())
            .collect();
        if means.len() < 3 {
            return f64::INFINITY;
        }
        let middle = means.len() / 2;
        let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
        SLOW_FACTOR * median.max(1.0)
    }

    fn random(
        &self,
        targets: &Targets,
        pending: &PendingRequest,
        rng: &mut impl RngExt,
    ) -> Option<usize> {
        let open: Vec<usize> = self
            .open(targets, pending)
            .map(|(index, _)| index)
            .collect();
        (!open.is_empty()).then(|| open[rng.random_range(0..open.len())])
    }

    fn in_turn(&self, targets: &Targets, pending: &PendingRequest, turn: usize) -> Option<usize> {
        let open: Vec<usize> = self
            .open(targets, pending)
            .map(|(index, _)| index)
            .collect();
        (!open.is_empty()).then(|| open[turn % open.len()])
    }

    fn least(&self, targets: &Targets, pending: &PendingRequest) -> Option<usize> {
        self.open(targets, pending)
            .min_by_key(|(_, target)| target.outstanding)
            .map(|(index, _)| index)
    }
}
