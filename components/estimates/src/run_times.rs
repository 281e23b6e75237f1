//! Learned run times of all classes.

use crate::class::ClassId;
use crate::evidence::{Evidence, PRIOR_WEIGHT};
use crate::{ParseError, Siblings, TaskClass, stored};
use std::collections::BTreeMap;

/// Greatest number of classes, some 250 bytes each; bounds the memory that callers' names may take.
pub(crate) const MAX_CLASSES: usize = 512;
/// Longest run time that is learned or estimated, in milliseconds: a day.
const MAX_RUN_MS: u64 = 86_400_000;
/// Weight of an estimate by class against the run times of a step's other tasks.
const CLASS_WEIGHT: f64 = 2.0;
/// Weight of the newest run in the mean errors.
const ERROR_WEIGHT: f64 = 0.02;

/// Estimated run time of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time within which half of such tasks end, in milliseconds.
    pub median_ms: u64,
    /// Time within which nine of ten such tasks end, in milliseconds.
    pub p90_ms: u64,
    /// Share of runs that fail.
    pub failure_share: f64,
    /// Weight of the evidence, in samples; 0 if only the declared time is known.
    pub samples: f64,
}

/// Mean errors of estimates, as shares of the measured run times in percent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EstimateErrors {
    /// Error of the estimates.
    pub learned_percent: f64,
    /// Error of the declared run times.
    pub declared_percent: f64,
}

/// Run times that were learned from tasks that have ended, by class.
///
/// ```
/// use estimates::{RunTimes, TaskClass};
/// let class = TaskClass { queue: "q", image: Some("resize"), step: 0 };
/// let mut times = RunTimes::default();
/// assert_eq!(times.estimate(0, class, 1_000).median_ms, 1_000);
/// for number in 0..40 {
///     times.observe(number * 100, class, 1_000, 3_000);
/// }
/// let median_ms = times.estimate(4_000, class, 1_000).median_ms;
/// assert!((2_600..3_200).contains(&median_ms), "{median_ms}");
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunTimes {
    /// Evidence by class.
    pub(crate) classes: BTreeMap<ClassId, Evidence>,
    /// Newest time of an observation, in milliseconds.
    pub(crate) newest_ms: u64,
    /// Mean errors.
    errors: EstimateErrors,
    /// Whether anything was learned since the last [`RunTimes::take_changed`].
    changed: bool,
}

impl RunTimes {
    /// Learns from a run that succeeded. `run_ms` is the time that it would have taken on a worker of
    /// normal speed.
    pub fn observe(&mut self, now_ms: u64, class: TaskClass<'_>, declared_ms: u64, run_ms: u64) {
        let estimate_ms = self.estimate(now_ms, class, declared_ms).median_ms;
        let run_ms = run_ms.clamp(1, MAX_RUN_MS);
        let error = |expected_ms: u64| expected_ms.abs_diff(run_ms) as f64 * 100.0 / run_ms as f64;
        let errors = &mut self.errors;
        errors.learned_percent += (error(estimate_ms) - errors.learned_percent) * ERROR_WEIGHT;
        errors.declared_percent += (error(declared_ms) - errors.declared_percent) * ERROR_WEIGHT;
        let evidence = self.evidence_mut(now_ms, class);
        evidence.add(logarithm(declared_ms), logarithm(run_ms));
    }

    /// Learns from a run that failed.
    ///
    /// ```
    /// use estimates::{RunTimes, TaskClass};
    /// let class = TaskClass { queue: "q", image: None, step: 0 };
    /// let mut times = RunTimes::default();
    /// let before = times.estimate(0, class, 10).failure_share;
    /// times.observe_failure(0, class);
    /// assert!(times.estimate(0, class, 10).failure_share > before);
    /// ```
    pub fn observe_failure(&mut self, now_ms: u64, class: TaskClass<'_>) {
        self.evidence_mut(now_ms, class).failures += 1.0;
    }

    /// Estimated run time of a task of a class on a worker of normal speed.
    ///
    /// ```
    /// use estimates::{RunTimes, TaskClass};
    /// let class = TaskClass { queue: "q", image: None, step: 0 };
    /// let estimate = RunTimes::default().estimate(0, class, 1_000);
    /// assert!(estimate.median_ms == 1_000 && estimate.p90_ms > 1_000);
    /// ```
    pub fn estimate(&self, now_ms: u64, class: TaskClass<'_>, declared_ms: u64) -> Estimate {
        self.estimate_with(now_ms, class, declared_ms, None)
    }

    /// As [`RunTimes::estimate`], with the run times of the tasks of the same step that have ended.
    ///
    /// ```
    /// use estimates::{RunTimes, Siblings, TaskClass};
    /// let class = TaskClass { queue: "q", image: None, step: 0 };
    /// let mut siblings = Siblings::default();
    /// (0..8).for_each(|_| siblings.observe(4_000));
    /// let estimate = RunTimes::default().estimate_with(0, class, 1_000, Some(&siblings));
    /// assert!((3_000..4_000).contains(&estimate.median_ms));
    /// ```
    pub fn estimate_with(
        &self,
        now_ms: u64,
        class: TaskClass<'_>,
        declared_ms: u64,
        siblings: Option<&Siblings>,
    ) -> Estimate {
        let declared = logarithm(declared_ms);
        let evidence = self.classes.get(&class.id()).copied().unwrap_or_default();
        let decay = evidence.decay(now_ms);
        let weight = evidence.weight * decay;
        let predicted = evidence.predict(declared, weight);
        let residuals = &evidence.residuals;
        let [middle, high] = residuals.quantiles([0.5, 0.9], decay, PRIOR_WEIGHT);
        let of_siblings = siblings.and_then(|siblings| {
            let median = logarithm(siblings.median_ms()?);
            Some((median, siblings.weight()))
        });
        let (mut median, mut samples) = (predicted + middle, weight);
        if let Some((of_siblings, weight)) = of_siblings {
            median = (median * CLASS_WEIGHT + of_siblings * weight) / (CLASS_WEIGHT + weight);
            samples += weight;
        }
        let median_ms = match samples > 0.0 {
            true => milliseconds(median),
            false => declared_ms.clamp(1, MAX_RUN_MS),
        };
        Estimate {
            median_ms,
            p90_ms: milliseconds(median + high - middle).max(median_ms),
            failure_share: evidence.failure_share(decay),
            samples,
        }
    }

    /// Number of classes with evidence.
    ///
    /// ```
    /// assert_eq!(estimates::RunTimes::default().count_classes(), 0);
    /// ```
    pub fn count_classes(&self) -> usize {
        self.classes.len()
    }

    /// Mean errors of the estimates that the ended runs had.
    ///
    /// ```
    /// assert_eq!(estimates::RunTimes::default().errors().learned_percent, 0.0);
    /// ```
    pub fn errors(&self) -> EstimateErrors {
        self.errors
    }

    /// Whether anything was learned since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The best known classes as JSON, for the table, in at most `max_bytes`. `wall_ms` is the present time
    /// of day.
    ///
    /// ```
    /// let text = estimates::RunTimes::default().to_json(1_000, 100);
    /// assert_eq!(text, r#"{"version":1,"written_wall_ms":1000,"classes":[]}"#);
    /// ```
    pub fn to_json(&self, wall_ms: u64, max_bytes: usize) -> String {
        stored::to_json(self, wall_ms, max_bytes)
    }

    /// Parses the output of [`RunTimes::to_json`].
    ///
    /// ```
    /// use estimates::RunTimes;
    /// assert!(RunTimes::parse(&RunTimes::default().to_json(1_000, 100), 2_000).is_ok());
    /// assert!(RunTimes::parse("{", 2_000).is_err());
    /// ```
    ///
    /// # Errors
    /// Returns an error if the text has another form, or is so old that it means nothing any more.
    pub fn parse(text: &str, wall_ms: u64) -> Result<Self, ParseError> {
        stored::parse(text, wall_ms)
    }

    /// Evidence on a class up to date; the class with the oldest evidence makes room for a new one.
    fn evidence_mut(&mut self, now_ms: u64, class: TaskClass<'_>) -> &mut Evidence {
        self.changed = true;
        self.newest_ms = self.newest_ms.max(now_ms);
        let id = class.id();
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&id) {
            let by_age = |(_, evidence): &(&ClassId, &Evidence)| evidence.updated_ms;
            let oldest = self.classes.iter().min_by_key(by_age).map(|(id, _)| *id);
            if let Some(oldest) = oldest {
                self.classes.remove(&oldest);
            }
        }
        let evidence = self.classes.entry(id).or_default();
        evidence.fade(now_ms);
        evidence
    }
}

/// Natural logarithm of a run time in milliseconds.
fn logarithm(ms: u64) -> f64 {
    (ms.clamp(1, MAX_RUN_MS) as f64).ln()
}

/// Run time in milliseconds with this natural logarithm.
fn milliseconds(logarithm: f64) -> u64 {
    (logarithm.exp().round() as u64).clamp(1, MAX_RUN_MS)
}
