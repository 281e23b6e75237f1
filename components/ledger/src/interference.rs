//! Control of batch work that runs on the same VM as latency-critical services.

use backing::AttemptRef;
use model::KindName;
use utils::{Ewma, Map};

/// Span of the moving average of a kind's slowdown, in samples.
const SLOWDOWN_SPAN_SAMPLES: f64 = 8.0;
/// Time without new evidence after which a kind no longer counts as slowing services down.
const EVIDENCE_TTL_MS: u64 = 600_000;
/// Throttle levels, in percent of an attempt's processors.
const THROTTLE_PERCENT: [u32; 4] = [100, 50, 25, 10];

/// Thresholds of the control of batch work.
#[derive(Debug, Clone, Copy)]
pub struct InterferenceLimits {
    /// Slowdown of a service above which batch work is throttled.
    pub throttle_above: f64,
    /// Slowdown of a service below which throttles are loosened.
    pub loosen_below: f64,
    /// Time after an action until measurements show its effect.
    pub settle_ms: u64,
    /// Actions in a row without effect after which an attempt is evicted.
    pub max_futile_actions: u32,
}

impl Default for InterferenceLimits {
    fn default() -> Self {
        Self {
            throttle_above: 1.2,
            loosen_below: 1.05,
            settle_ms: 500,
            max_futile_actions: 4,
        }
    }
}

/// Slowdown of the latency-critical services on a VM. It arrives at the controller some time after
/// it was taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    /// When the measurement was taken.
    pub taken_ms: u64,
    /// Mean run time as a multiple of the expected one, for the service with the largest ratio. The
    /// agent takes a service's `target_ms` as its expected run time.
    pub slowdown: f64,
}

/// An action on a batch attempt that the agent has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Change the throttle of an attempt, in either direction.
    Throttle {
        /// Attempt to throttle.
        attempt: AttemptRef,
        /// Share of its processors that the attempt may use; 100 is unthrottled.
        percent: u32,
    },
    /// Checkpoint and stop the attempt.
    Evict(AttemptRef),
}

/// Throttle state of a running batch attempt.
#[derive(Debug, Clone)]
struct BatchAttempt {
    /// Kind of work, by which slowdowns are learned.
    kind: KindName,
    /// Index into [`THROTTLE_PERCENT`].
    level: usize,
    /// When the attempt was first seen running.
    since_ms: u64,
}

/// Throttles batch work while a latency-critical service is slow, and evicts it if that does not
/// help.
///
/// A measurement taken before the effect of the last action shows never causes another action.
#[derive(Debug)]
pub struct InterferenceController {
    /// Thresholds for throttling, loosening and eviction.
    limits: InterferenceLimits,
    /// Batch attempts that run on the VM.
    attempts: Map<AttemptRef, BatchAttempt>,
    /// Last throttle level of each kind, at which its next attempt starts.
    start_level: Map<KindName, usize>,
    /// Mean slowdown of services while a kind runs unthrottled.
    slowdowns: Map<KindName, Ewma>,
    /// When each kind last ran unthrottled beside a slow service.
    last_evidence_ms: Map<KindName, u64>,
    /// When the newest measurement that was not above `throttle_above` was taken.
    last_good_ms: Option<u64>,
    /// When [`InterferenceController::decide`] last returned an action.
    last_action_ms: Option<u64>,
    /// Actions on single attempts since the slowdown was last below `loosen_below`; also reset when
    /// recently started attempts are throttled or an attempt is evicted.
    futile_actions: u32,
}

impl InterferenceController {
    /// Creates a controller without any attempts or learned slowdowns.
    pub fn new(limits: InterferenceLimits) -> Self {
        Self {
            limits,
            attempts: Map::default(),
            start_level: Map::default(),
            slowdowns: Map::default(),
            last_evidence_ms: Map::default(),
            last_good_ms: None,
            last_action_ms: None,
            futile_actions: 0,
        }
    }

    /// Replaces the set of running batch attempts. A new attempt of a kind that was throttled
    /// before starts at the kind's last throttle level; the returned actions set it.
    pub fn observe<'a>(
        &mut self,
        now_ms: u64,
        running: impl Iterator<Item = (&'a AttemptRef, &'a KindName)>,
    ) -> Vec<Action> {
        let mut present = Map::default();
        let mut actions = Vec::new();
        for (attempt, kind) in running {
            let known = self
                .attempts
                .get(attempt)
                .map(|state| (state.level, state.since_ms));
            let fresh = || (self.start_level.get(kind).copied().unwrap_or(0), now_ms);
            let (level, since_ms) = known.unwrap_or_else(fresh);
            if known.is_none() && level > 0 {
                let percent = THROTTLE_PERCENT[level];
                actions.push(Action::Throttle {
                    attempt: attempt.clone(),
                    percent,
                });
            }
            present.insert(
                attempt.clone(),
                BatchAttempt {
                    kind: kind.clone(),
                    level,
                    since_ms,
                },
            );
        }
        self.attempts = present;
        actions
    }

    /// Learned slowdown of services beside a kind of work; `None` if the kind was never measured
    /// unthrottled.
    pub fn slowdown_by(&self, kind: &KindName) -> Option<f64> {
        self.slowdowns.get(kind).and_then(Ewma::get)
    }

    /// Kinds that slow services on this VM down, sorted by name. A kind is dropped after a while
    /// without new evidence: work that is placed elsewhere can't be measured here again.
    ///
    /// ```
    /// use ledger::{InterferenceController, InterferenceLimits};
    /// assert!(InterferenceController::new(InterferenceLimits::default()).bad_kinds(0).is_empty());
    /// ```
    pub fn bad_kinds(&self, now_ms: u64) -> Vec<KindName> {
        let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < EVIDENCE_TTL_MS;
        let recent = self
            .last_evidence_ms
            .iter()
            .filter(|(_, at)| is_fresh(**at));
        let is_bad = |kind: &KindName| self.slowdown_by(kind) > Some(self.limits.throttle_above);
        let bad = recent.map(|(kind, _)| kind).filter(|kind| is_bad(kind));
        let mut bad: Vec<KindName> = bad.cloned().collect();
        bad.sort();
        bad
    }

    /// Decides on actions after one measurement. If there are any, measurements taken less than
    /// `settle_ms` after `now_ms` cause no further ones.
    pub fn decide(&mut self, now_ms: u64, measurement: Measurement) -> Vec<Action> {
        let is_slow = measurement.slowdown > self.limits.throttle_above;
        if !is_slow {
            self.last_good_ms = self.last_good_ms.max(Some(measurement.taken_ms));
        }
        let settled_ms = self
            .last_action_ms
            .map_or(0, |last_ms| last_ms + self.limits.settle_ms);
        if measurement.taken_ms < settled_ms {
            return Vec::new();
        }
        self.learn(now_ms, measurement.slowdown);
        let actions = if is_slow {
            self.throttle(measurement.taken_ms)
        } else if measurement.slowdown < self.limits.loosen_below {
            self.futile_actions = 0;
            self.loosen(measurement.taken_ms)
        } else {
            Vec::new()
        };
        if !actions.is_empty() {
            self.last_action_ms = Some(now_ms);
        }
        actions
    }

    /// Adds a slowdown to the mean of the kind of every unthrottled attempt.
    fn learn(&mut self, now_ms: u64, slowdown: f64) {
        for state in self.attempts.values().filter(|state| state.level == 0) {
            let mean = self
                .slowdowns
                .entry(state.kind.clone())
                .or_insert(Ewma::new(SLOWDOWN_SPAN_SAMPLES));
            mean.add(slowdown);
            if slowdown > self.limits.throttle_above {
                self.last_evidence_ms.insert(state.kind.clone(), now_ms);
            }
        }
    }

    /// Learned slowdown by the kind of an attempt; 1 if the kind was never measured unthrottled.
    fn expected_slowdown(&self, state: &BatchAttempt) -> f64 {
        self.slowdown_by(&state.kind).unwrap_or(1.0)
    }

    /// Throttles all attempts that started since the last good measurement to the lowest level at
    /// once: measurements arrive late, and each smaller step would cost that delay again. Without
    /// such attempts, throttles the attempt of the most harmful kind by one level, or evicts it
    /// after too many futile actions.
    fn throttle(&mut self, taken_ms: u64) -> Vec<Action> {
        let recent_attempts = self.recent_attempts(taken_ms);
        if recent_attempts.is_empty() {
            return self.throttle_or_evict_worst().into_iter().collect();
        }
        self.futile_actions = 0;
        let last = THROTTLE_PERCENT.len() - 1;
        recent_attempts
            .iter()
            .filter_map(|attempt| self.set_level(attempt, |_| last))
            .collect()
    }

    /// Attempts that started after the last good measurement and before this one, and that can
    /// still be throttled further.
    fn recent_attempts(&self, taken_ms: u64) -> Vec<AttemptRef> {
        let last = THROTTLE_PERCENT.len() - 1;
        let is_new = |state: &BatchAttempt| {
            let since_ms = state.since_ms;
            self.last_good_ms
                .is_none_or(|last_good_ms| since_ms > last_good_ms)
                && since_ms <= taken_ms
        };
        let found = self
            .attempts
            .iter()
            .filter(|(_, state)| is_new(state) && state.level < last);
        found.map(|(attempt, _)| attempt.clone()).collect()
    }

    /// Throttles the attempt of the most harmful kind by one level, or evicts it once
    /// `max_futile_actions` have not helped. `None` if there is no attempt to act on.
    fn throttle_or_evict_worst(&mut self) -> Option<Action> {
        let should_evict = self.futile_actions >= self.limits.max_futile_actions;
        let can_act =
            |state: &BatchAttempt| should_evict || state.level + 1 < THROTTLE_PERCENT.len();
        let order = |left: &(&AttemptRef, &BatchAttempt), right: &(&AttemptRef, &BatchAttempt)| {
            let by_level = right.1.level.cmp(&left.1.level);
            let by_slowdown = self
                .expected_slowdown(left.1)
                .total_cmp(&self.expected_slowdown(right.1));
            by_slowdown
                .then(by_level)
                .then_with(|| left.0.task.cmp(&right.0.task))
        };
        let candidates = self.attempts.iter().filter(|(_, state)| can_act(state));
        let worst = candidates
            .max_by(order)
            .map(|(attempt, _)| attempt.clone())?;
        self.futile_actions += 1;
        if should_evict {
            self.attempts.remove(&worst);
            self.futile_actions = 0;
            return Some(Action::Evict(worst));
        }
        self.set_level(&worst, |level| level + 1)
    }

    /// Loosens the throttle of the least harmful kind by one level. Attempts that started after the
    /// measurement, or too shortly before it, are left as they are: it does not cover them.
    fn loosen(&mut self, taken_ms: u64) -> Vec<Action> {
        let is_measured = |state: &BatchAttempt| state.since_ms + self.limits.settle_ms <= taken_ms;
        let can_loosen = |state: &BatchAttempt| state.level > 0 && is_measured(state);
        let candidates = self.attempts.values().filter(|state| can_loosen(state));
        let order = |left: &&BatchAttempt, right: &&BatchAttempt| {
            let by_slowdown = self
                .expected_slowdown(left)
                .total_cmp(&self.expected_slowdown(right));
            by_slowdown.then_with(|| left.kind.cmp(&right.kind))
        };
        let Some(kind) = candidates.min_by(order).map(|state| state.kind.clone()) else {
            return Vec::new();
        };
        let of_kind = self
            .attempts
            .iter()
            .filter(|(_, state)| can_loosen(state) && state.kind == kind);
        let mut chosen: Vec<AttemptRef> = of_kind.map(|(attempt, _)| attempt.clone()).collect();
        chosen.sort_by(|left, right| left.task.cmp(&right.task));
        chosen
            .iter()
            .filter_map(|attempt| self.set_level(attempt, |level| level - 1))
            .collect()
    }

    /// Changes the throttle level of an attempt, and with it the start level of its kind.
    fn set_level(
        &mut self,
        attempt: &AttemptRef,
        change: impl Fn(usize) -> usize,
    ) -> Option<Action> {
        let state = self.attempts.get_mut(attempt)?;
        state.level = change(state.level);
        self.start_level.insert(state.kind.clone(), state.level);
        let percent = THROTTLE_PERCENT[state.level];
        Some(Action::Throttle {
            attempt: attempt.clone(),
            percent,
        })
    }
}
