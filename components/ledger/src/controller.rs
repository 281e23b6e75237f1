//! Control of batch work beside latency-critical services.

use backing::AttemptRef;
use model::KindName;
use utils::{Ewma, Map};

/// Samples that a learnt slowdown remembers.
const SPAN: f64 = 8.0;
/// Time after which a kind is no longer kept away for old evidence.
const BLAME_TTL_MS: u64 = 600_000;
/// Steps of the throttle, in percent of an attempt's processors.
const STEPS_PERCENT: [u32; 4] = [100, 50, 25, 10];

/// Limits of the control of batch work.
#[derive(Debug, Clone, Copy)]
pub struct ControllerLimits {
    /// Slowdown of a service above which batch work is held back.
    pub high: f64,
    /// Slowdown below which it is let go again.
    pub low: f64,
    /// Time after an action before its effect can be measured.
    pub settle_ms: u64,
    /// Actions in a row without effect after which an attempt is evicted.
    pub patience: u32,
}

impl Default for ControllerLimits {
    fn default() -> Self {
        Self {
            high: 1.2,
            low: 1.05,
            settle_ms: 500,
            patience: 4,
        }
    }
}

/// A late measurement of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    /// When it was taken.
    pub taken_ms: u64,
    /// Run time as a multiple of the service's run time alone.
    pub slowdown: f64,
}

/// What to do to batch work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Change the throttle of an attempt.
    Throttle {
        /// The attempt.
        attempt: AttemptRef,
        /// Share of its processors that it may use.
        percent: u32,
    },
    /// Checkpoint the attempt and stop it.
    Evict(AttemptRef),
}

/// An attempt as the controller sees it.
#[derive(Debug, Clone)]
struct Subject {
    /// Kind of work.
    kind: KindName,
    /// Position in [`STEPS_PERCENT`].
    step: usize,
    /// When it was first seen.
    since_ms: u64,
}

/// Holds batch work back while a service is slow.
///
/// A measurement taken before the last action has settled is no reason for another action.
#[derive(Debug)]
pub struct Controller {
    /// Limits.
    limits: ControllerLimits,
    /// Batch attempts on the VM.
    subjects: Map<AttemptRef, Subject>,
    /// Throttle at which the last attempt of a kind was.
    start_step: Map<KindName, usize>,
    /// Learnt slowdown of services while a kind runs at full speed.
    blame: Map<KindName, Ewma>,
    /// When each kind was last measured at full speed beside a slow service.
    blamed_ms: Map<KindName, u64>,
    /// When the last measurement was taken that was below the upper limit.
    good_ms: Option<u64>,
    /// When the last action was taken.
    last_action_ms: Option<u64>,
    /// Actions since the slowdown was last below the upper limit.
    vain: u32,
}

impl Controller {
    /// A controller that has seen nothing yet.
    pub fn new(limits: ControllerLimits) -> Self {
        Self {
            limits,
            subjects: Map::default(),
            start_step: Map::default(),
            blame: Map::default(),
            blamed_ms: Map::default(),
            good_ms: None,
            last_action_ms: None,
            vain: 0,
        }
    }

    /// Takes the batch attempts that run now. An attempt of a kind that had to be held back
    /// before starts as far held back as the last one ended.
    pub fn observe<'a>(
        &mut self,
        now_ms: u64,
        running: impl Iterator<Item = (&'a AttemptRef, &'a KindName)>,
    ) -> Vec<Action> {
        let mut present = Map::default();
        let mut actions = Vec::new();
        for (attempt, kind) in running {
            let known = self
                .subjects
                .get(attempt)
                .map(|subject| (subject.step, subject.since_ms));
            let fresh = || (self.start_step.get(kind).copied().unwrap_or(0), now_ms);
            let (step, since_ms) = known.unwrap_or_else(fresh);
            if known.is_none() && step > 0 {
                let percent = STEPS_PERCENT[step];
                actions.push(Action::Throttle {
                    attempt: attempt.clone(),
                    percent,
                });
            }
            present.insert(
                attempt.clone(),
                Subject {
                    kind: kind.clone(),
                    step,
                    since_ms,
                },
            );
        }
        self.subjects = present;
        actions
    }

    /// Learnt slowdown that a kind of work causes, if any was measured.
    pub fn slowdown_by(&self, kind: &KindName) -> Option<f64> {
        self.blame.get(kind).and_then(Ewma::get)
    }

    /// Kinds that slow services down here, in order of names. A kind is forgotten after a while
    /// without new evidence, because work that is kept away can't clear itself.
    ///
    /// ```
    /// use ledger::{Controller, ControllerLimits};
    /// assert!(Controller::new(ControllerLimits::default()).bad_kinds(0).is_empty());
    /// ```
    pub fn bad_kinds(&self, now_ms: u64) -> Vec<KindName> {
        let is_fresh = |blamed_ms: u64| now_ms.saturating_sub(blamed_ms) < BLAME_TTL_MS;
        let blamed = self.blamed_ms.iter().filter(|(_, at)| is_fresh(**at));
        let is_bad = |kind: &KindName| self.slowdown_by(kind) > Some(self.limits.high);
        let bad = blamed.map(|(kind, _)| kind).filter(|kind| is_bad(kind));
        let mut bad: Vec<KindName> = bad.cloned().collect();
        bad.sort();
        bad
    }

    /// Decides by one measurement; what it decides counts as one action.
    pub fn decide(&mut self, now_ms: u64, measurement: Measurement) -> Vec<Action> {
        let is_high = measurement.slowdown > self.limits.high;
        if !is_high {
            self.good_ms = self.good_ms.max(Some(measurement.taken_ms));
        }
        let settled_ms = self
            .last_action_ms
            .map_or(0, |last_ms| last_ms + self.limits.settle_ms);
        if measurement.taken_ms < settled_ms {
            return Vec::new();
        }
        self.learn(now_ms, measurement.slowdown);
        let actions = if is_high {
            self.hold_back(measurement.taken_ms)
        } else if measurement.slowdown < self.limits.low {
            self.vain = 0;
            self.let_go(measurement.taken_ms)
        } else {
            Vec::new()
        };
        if !actions.is_empty() {
            self.last_action_ms = Some(now_ms);
        }
        actions
    }

    fn learn(&mut self, now_ms: u64, slowdown: f64) {
        for subject in self.subjects.values().filter(|subject| subject.step == 0) {
            let blame = self
                .blame
                .entry(subject.kind.clone())
                .or_insert(Ewma::new(SPAN));
            blame.add(slowdown);
            if slowdown > self.limits.high {
                self.blamed_ms.insert(subject.kind.clone(), now_ms);
            }
        }
    }

    fn blame_of(&self, subject: &Subject) -> f64 {
        self.slowdown_by(&subject.kind).unwrap_or(1.0)
    }

    /// Holds back whatever came since the service was last well, all of it and as far as it
    /// goes, because the next evidence is a whole delay away. If nothing came, throttles the
    /// attempt most to blame, and evicts it when throttling was in vain.
    fn hold_back(&mut self, taken_ms: u64) -> Vec<Action> {
        let newcomers = self.newcomers(taken_ms);
        if newcomers.is_empty() {
            return self.hold_back_one().into_iter().collect();
        }
        self.vain = 0;
        let last = STEPS_PERCENT.len() - 1;
        newcomers
            .iter()
            .filter_map(|attempt| self.step_to(attempt, |_| last))
            .collect()
    }

    /// Attempts that came after the service was last well and before the measurement.
    fn newcomers(&self, taken_ms: u64) -> Vec<AttemptRef> {
        let last = STEPS_PERCENT.len() - 1;
        let is_new = |subject: &Subject| {
            let since_ms = subject.since_ms;
            self.good_ms.is_none_or(|good_ms| since_ms > good_ms) && since_ms <= taken_ms
        };
        let found = self
            .subjects
            .iter()
            .filter(|(_, s)| is_new(s) && s.step < last);
        found.map(|(attempt, _)| attempt.clone()).collect()
    }

    fn hold_back_one(&mut self) -> Option<Action> {
        let patience_over = self.vain >= self.limits.patience;
        let can_act = |subject: &Subject| patience_over || subject.step + 1 < STEPS_PERCENT.len();
        let order = |left: &(&AttemptRef, &Subject), right: &(&AttemptRef, &Subject)| {
            let by_step = right.1.step.cmp(&left.1.step);
            let by_blame = self.blame_of(left.1).total_cmp(&self.blame_of(right.1));
            by_blame
                .then(by_step)
                .then_with(|| left.0.task.cmp(&right.0.task))
        };
        let candidates = self.subjects.iter().filter(|(_, subject)| can_act(subject));
        let worst = candidates
            .max_by(order)
            .map(|(attempt, _)| attempt.clone())?;
        self.vain += 1;
        if patience_over {
            self.subjects.remove(&worst);
            self.vain = 0;
            return Some(Action::Evict(worst));
        }
        self.step_to(&worst, |step| step + 1)
    }

    /// Loosens the throttle of the kind least to blame by one step. A measurement that was taken
    /// before an attempt came says nothing of it.
    fn let_go(&mut self, taken_ms: u64) -> Vec<Action> {
        let is_measured = |subject: &Subject| subject.since_ms + self.limits.settle_ms <= taken_ms;
        let throttled = |subject: &Subject| subject.step > 0 && is_measured(subject);
        let candidates = self.subjects.values().filter(|subject| throttled(subject));
        let order = |left: &&Subject, right: &&Subject| {
            let by_blame = self.blame_of(left).total_cmp(&self.blame_of(right));
            by_blame.then_with(|| left.kind.cmp(&right.kind))
        };
        let Some(kind) = candidates.min_by(order).map(|subject| subject.kind.clone()) else {
            return Vec::new();
        };
        let of_kind = self
            .subjects
            .iter()
            .filter(|(_, s)| throttled(s) && s.kind == kind);
        let mut chosen: Vec<AttemptRef> = of_kind.map(|(attempt, _)| attempt.clone()).collect();
        chosen.sort_by(|left, right| left.task.cmp(&right.task));
        chosen
            .iter()
            .filter_map(|attempt| self.step_to(attempt, |step| step - 1))
            .collect()
    }

    fn step_to(&mut self, attempt: &AttemptRef, change: impl Fn(usize) -> usize) -> Option<Action> {
        let subject = self.subjects.get_mut(attempt)?;
        subject.step = change(subject.step);
        self.start_step.insert(subject.kind.clone(), subject.step);
        let percent = STEPS_PERCENT[subject.step];
        Some(Action::Throttle {
            attempt: attempt.clone(),
            percent,
        })
    }
}
