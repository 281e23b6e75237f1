//! Learned pressures: how much each filler's image lowers the margin of each latency-critical image.

use crate::image_names::{ImageId, ImageNames};
use crate::stored_pairs::{EvidenceRow, PairRow, StoredPairs};

/// Pressure of a pair without evidence: margin lost for a whole worker's processors.
const PRIOR_PRESSURE: f64 = 2.5;
/// Variance of [`PRIOR_PRESSURE`]. A few pairs disturb several times more than it, most far less.
const PRIOR_VARIANCE: f64 = 16.0;
/// Growth of each pair's variance per second. Pressures drift, so old evidence loses weight.
const DRIFT_VARIANCE_PER_S: f64 = 0.05;
/// Upper limit of a pressure, so that one corrupt report can't exclude a pair for long.
const MAX_PRESSURE: f64 = 40.0;
/// Standard deviations that are added to a pressure where a new filler is placed.
const CAUTION_DEVIATIONS: f64 = 0.7;
/// Noise of a reported latency, as a share of it.
const LATENCY_NOISE_SHARE: f64 = 0.12;
/// Noise of a margin apart from that of the latency: the error of the margin without fillers.
const MARGIN_NOISE: f64 = 0.1;
/// Change of a pressure since it was last logged from which it is logged again.
const LOGGED_CHANGE: f64 = 2.0;
/// Greatest number of pairs in the stored form, some 40 bytes each.
const MAX_STORED_PAIRS: usize = 800;
/// Pressure of a pair that a former version judged as disturbing.
const FORMERLY_BAD_PRESSURE: f64 = 10.0;
/// Pressure of a pair that a former version judged as harmless.
const FORMERLY_GOOD_PRESSURE: f64 = 1.0;
/// Variance of a pressure that was read from a former version's verdict.
const FORMER_VARIANCE: f64 = 4.0;

/// A filler beside a latency-critical task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ActiveFiller {
    /// Its image.
    pub image: ImageId,
    /// Processors that it uses, as a share of its worker's.
    pub processor_share: f64,
}

/// A pressure that has changed enough to be logged.
#[derive(Debug, Clone, PartialEq)]
pub struct PressureChange {
    /// Image of the filler.
    pub filler: String,
    /// Image of the latency-critical task.
    pub critical: String,
    /// New pressure: margin lost for a whole worker's processors.
    pub pressure: f64,
}

/// Estimated pressure of a pair.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    /// Expected pressure.
    pressure: f64,
    /// Variance of it.
    variance: f64,
    /// When the variance was last updated, in milliseconds.
    updated_ms: u64,
    /// Pressure that was last logged.
    logged: f64,
}

impl Estimate {
    fn new(pressure: f64, variance: f64) -> Self {
        Self {
            pressure,
            variance,
            updated_ms: 0,
            logged: pressure,
        }
    }

    /// Variance at a time, with the drift since the last update.
    fn variance_at(&self, now_ms: u64) -> f64 {
        if self.updated_ms == 0 {
            return self.variance;
        }
        let span_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        (self.variance + DRIFT_VARIANCE_PER_S * span_s).min(PRIOR_VARIANCE)
    }
}

impl Default for Estimate {
    fn default() -> Self {
        Self::new(PRIOR_PRESSURE, PRIOR_VARIANCE)
    }
}

/// Pressures of all pairs, learned from reported latencies.
///
/// Each pair has a Kalman filter of one state; a sample is shared among the fillers that were active
/// by the variance that each contributes to the prediction.
///
/// ```
/// use interference::{ActiveFiller, PressureModel};
/// let mut model = PressureModel::default();
/// let (filler, critical) = (model.filler("f"), model.critical("c"));
/// let active = [ActiveFiller { image: filler, processor_share: 0.1 }];
/// for number in 1..40 {
///     model.observe(number * 400, critical, &active, 2.0, 1.0);
/// }
/// assert!((model.pressure(filler, critical) - 10.0).abs() < 1.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PressureModel {
    /// Images of fillers.
    fillers: ImageNames,
    /// Latency-critical images.
    criticals: ImageNames,
    /// Estimates by the filler's image, then by the latency-critical image; absent ones are unknown.
    estimates: Vec<Vec<Option<Estimate>>>,
    /// Whether an estimate changed since the last [`PressureModel::take_changed`].
    changed: bool,
    /// Changes since the last [`PressureModel::take_changes`].
    changes: Vec<PressureChange>,
}

impl PressureModel {
    /// Number of a filler's image.
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// assert_eq!(model.filler("f"), model.filler("f"));
    /// ```
    pub fn filler(&mut self, image: &str) -> ImageId {
        self.fillers.intern(image)
    }

    /// Number of a latency-critical image.
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// assert_ne!(model.critical("a"), model.critical("b"));
    /// ```
    pub fn critical(&mut self, image: &str) -> ImageId {
        self.criticals.intern(image)
    }

    /// Expected pressure of a pair: margin lost for a whole worker's processors.
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// let (filler, critical) = (model.filler("f"), model.critical("c"));
    /// assert!(model.pressure(filler, critical) > 0.0);
    /// ```
    pub fn pressure(&self, filler: ImageId, critical: ImageId) -> f64 {
        self.estimate(filler, critical).pressure
    }

    /// Pressure of a pair with an allowance for its uncertainty.
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// let (filler, critical) = (model.filler("f"), model.critical("c"));
    /// assert!(model.cautious_pressure(0, filler, critical) > model.pressure(filler, critical));
    /// ```
    pub fn cautious_pressure(&self, now_ms: u64, filler: ImageId, critical: ImageId) -> f64 {
        let estimate = self.estimate(filler, critical);
        estimate.pressure + CAUTION_DEVIATIONS * estimate.variance_at(now_ms).sqrt()
    }

    /// Cautious pressures of a filler on each latency-critical image, for [`ImageId::of`].
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// let (filler, critical) = (model.filler("f"), model.critical("c"));
    /// let row = model.cautious_row(0, "f");
    /// assert_eq!(critical.of(&row), model.cautious_pressure(0, filler, critical));
    /// ```
    pub fn cautious_row(&mut self, now_ms: u64, filler: &str) -> Vec<f64> {
        let filler = self.filler(filler);
        let criticals = (0..self.criticals.len()).map(|number| ImageId(number as u16));
        criticals
            .map(|critical| self.cautious_pressure(now_ms, filler, critical))
            .collect()
    }

    /// Margin that a latency-critical task is expected to lose to fillers.
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// let critical = model.critical("c");
    /// assert_eq!(model.loss(critical, &[]), 0.0);
    /// ```
    pub fn loss(&self, critical: ImageId, active: &[ActiveFiller]) -> f64 {
        let losses = active
            .iter()
            .map(|filler| self.pressure(filler.image, critical) * filler.processor_share);
        losses.sum()
    }

    /// Learns from one sample: the margin that a task was expected to have without fillers, and the
    /// margin that it had beside the active ones.
    ///
    /// ```
    /// let mut model = interference::PressureModel::default();
    /// let critical = model.critical("c");
    /// model.observe(400, critical, &[], 2.0, 2.0);
    /// assert!(!model.take_changed());
    /// ```
    pub fn observe(
        &mut self,
        now_ms: u64,
        critical: ImageId,
        active: &[ActiveFiller],
        undisturbed_margin: f64,
        margin: f64,
    ) {
        if active.is_empty() {
            return;
        }
        let mut noise = (LATENCY_NOISE_SHARE * margin).powi(2) + MARGIN_NOISE.powi(2);
        for filler in active {
            let estimate = self.estimate(filler.image, critical);
            noise += estimate.variance_at(now_ms) * filler.processor_share.powi(2);
        }
        let error = undisturbed_margin - margin - self.loss(critical, active);
        for filler in active {
            let mut estimate = self.estimate(filler.image, critical);
            let variance = estimate.variance_at(now_ms);
            let gain = variance * filler.processor_share / noise;
            estimate.pressure = (estimate.pressure + gain * error).clamp(0.0, MAX_PRESSURE);
            estimate.variance = variance * (1.0 - gain * filler.processor_share).max(0.0);
            estimate.updated_ms = now_ms;
            if (estimate.pressure - estimate.logged).abs() >= LOGGED_CHANGE {
                estimate.logged = estimate.pressure;
                self.changes.push(PressureChange {
                    filler: self.fillers.name(filler.image).to_owned(),
                    critical: self.criticals.name(critical).to_owned(),
                    pressure: estimate.pressure,
                });
            }
            self.set(filler.image, critical, estimate);
        }
        self.changed = true;
    }

    /// Changes to be logged since the last call.
    pub fn take_changes(&mut self) -> Vec<PressureChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether an estimate changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The best known pairs as JSON, for the table.
    ///
    /// ```
    /// let model = interference::PressureModel::default();
    /// assert_eq!(model.to_json(), r#"{"pressures":[]}"#);
    /// ```
    pub fn to_json(&self) -> String {
        let mut pressures: Vec<PairRow> = Vec::new();
        for (filler, by_critical) in self.estimates.iter().enumerate() {
            for (critical, estimate) in by_critical.iter().enumerate() {
                let Some(estimate) = estimate else {
                    continue;
                };
                pressures.push((
                    self.fillers.name(ImageId(filler as u16)).to_owned(),
                    self.criticals.name(ImageId(critical as u16)).to_owned(),
                    rounded(estimate.pressure),
                    rounded(estimate.variance),
                ));
            }
        }
        pressures.sort_by(|left, right| left.3.total_cmp(&right.3));
        pressures.truncate(MAX_STORED_PAIRS);
        serde_json::to_string(&StoredPairs::Pressures { pressures }).unwrap_or_default()
    }

    /// Parses the output of [`PressureModel::to_json`], or the evidence that a former version stored.
    ///
    /// ```
    /// let mut model = interference::PressureModel::parse(r#"[["f", "c", 0.0, 5.0]]"#).unwrap();
    /// let (filler, critical) = (model.filler("f"), model.critical("c"));
    /// assert!(model.pressure(filler, critical) > 5.0);
    /// ```
    ///
    /// # Errors
    /// Returns an error if the text has neither form.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let mut model = Self::default();
        let rows: Vec<PairRow> = match serde_json::from_str(text)? {
            StoredPairs::Pressures { pressures } => pressures,
            StoredPairs::Evidence(rows) => rows.into_iter().filter_map(pair_of_evidence).collect(),
        };
        for (filler, critical, pressure, variance) in rows {
            let (filler, critical) = (model.filler(&filler), model.critical(&critical));
            let pressure = pressure.clamp(0.0, MAX_PRESSURE);
            let variance = variance.clamp(0.0, PRIOR_VARIANCE);
            model.set(filler, critical, Estimate::new(pressure, variance));
        }
        Ok(model)
    }

    fn estimate(&self, filler: ImageId, critical: ImageId) -> Estimate {
        let by_critical = self.estimates.get(filler.index());
        let estimate = by_critical.and_then(|by_critical| by_critical.get(critical.index()));
        estimate.copied().flatten().unwrap_or_default()
    }

    fn set(&mut self, filler: ImageId, critical: ImageId, estimate: Estimate) {
        if self.estimates.len() <= filler.index() {
            self.estimates.resize(filler.index() + 1, Vec::new());
        }
        let by_critical = &mut self.estimates[filler.index()];
        if by_critical.len() <= critical.index() {
            by_critical.resize(critical.index() + 1, None);
        }
        by_critical[critical.index()] = Some(estimate);
    }
}

/// Pressure that corresponds to a former version's evidence; `None` if that gave no verdict.
fn pair_of_evidence((filler, critical, good, bad): EvidenceRow) -> Option<PairRow> {
    const MIN_BAD_EVIDENCE: f64 = 1.0;
    const MIN_BAD_TO_GOOD: f64 = 0.34;
    const MIN_GOOD_EVIDENCE: f64 = 2.0;
    if bad >= MIN_BAD_EVIDENCE && bad >= good * MIN_BAD_TO_GOOD {
        Some((filler, critical, FORMERLY_BAD_PRESSURE, FORMER_VARIANCE))
    } else if good >= MIN_GOOD_EVIDENCE {
        Some((filler, critical, FORMERLY_GOOD_PRESSURE, FORMER_VARIANCE))
    } else {
        None
    }
}

/// Value with two decimals, which keeps the stored form short.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
