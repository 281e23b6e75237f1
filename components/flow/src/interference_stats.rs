//! Learned statistics about which fillers disturb which latency-critical tasks, by image.
//!
//! Most pairs of images do not interfere; a few do. Evidence comes from the latencies that workers
//! report: a rise after a filler has become active is evidence against the pair, a steady latency
//! is evidence for it.

use serde::{Deserialize, Serialize};
use utils::Map;

/// Least evidence against a pair for the verdict [`InterferenceVerdict::Bad`].
const MIN_BAD_EVIDENCE: f64 = 1.0;
/// Least ratio of the evidence against a pair to the evidence for it for the verdict
/// [`InterferenceVerdict::Bad`].
const MIN_BAD_TO_GOOD: f64 = 0.34;
/// Least evidence for a pair for the verdict [`InterferenceVerdict::Good`].
const MIN_GOOD_EVIDENCE: f64 = 2.0;
/// Upper limit of the evidence kept on either side, so that new evidence can still change a
/// verdict.
const MAX_EVIDENCE: f64 = 12.0;

/// Verdict on a pair: a filler's image and the image of a latency-critical task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InterferenceVerdict {
    /// The filler disturbs the latency-critical task.
    Bad,
    /// The filler is harmless to the latency-critical task.
    Good,
    /// There is too little evidence.
    Unknown,
}

/// Evidence about a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Evidence {
    /// Steady latencies, each counted as 1.
    good: f64,
    /// Rises in latency, each shared among the fillers that are blamed for it.
    bad: f64,
}

/// Evidence about pairs of images: one of a filler and one of a latency-critical task.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InterferenceStats {
    /// Evidence by the filler's image, then by the latency-critical image.
    by_filler: Map<String, Map<String, Evidence>>,
    /// Whether evidence was added since the last [`InterferenceStats::take_changed`].
    changed: bool,
    /// Verdicts that changed since the last [`InterferenceStats::take_verdicts`].
    verdicts: Vec<(String, String, InterferenceVerdict)>,
}

/// One pair as stored in the table: filler, latency-critical image, evidence for and against.
type PairRow = (String, String, f64, f64);

impl InterferenceStats {
    /// Current verdict on a pair of images.
    ///
    /// ```
    /// let stats = flow::InterferenceStats::default();
    /// assert_eq!(stats.verdict("filler", "service"), flow::InterferenceVerdict::Unknown);
    /// ```
    pub fn verdict(&self, filler: &str, critical: &str) -> InterferenceVerdict {
        let by_critical = self.by_filler.get(filler);
        let Some(evidence) = by_critical.and_then(|by_critical| by_critical.get(critical)) else {
            return InterferenceVerdict::Unknown;
        };
        if evidence.bad >= MIN_BAD_EVIDENCE && evidence.bad >= evidence.good * MIN_BAD_TO_GOOD {
            InterferenceVerdict::Bad
        } else if evidence.good >= MIN_GOOD_EVIDENCE {
            InterferenceVerdict::Good
        } else {
            InterferenceVerdict::Unknown
        }
    }

    /// Adds evidence for a pair: the latency stayed steady beside the active filler.
    ///
    /// ```
    /// let mut stats = flow::InterferenceStats::default();
    /// stats.record_steady_latency("filler", "service");
    /// stats.record_steady_latency("filler", "service");
    /// assert_eq!(stats.verdict("filler", "service"), flow::InterferenceVerdict::Good);
    /// ```
    pub fn record_steady_latency(&mut self, filler: &str, critical: &str) {
        self.add(filler, critical, 1.0, 0.0);
    }

    /// Adds evidence against the fillers that were active while a latency rose. Known bad ones take
    /// all of the blame, else those that are not known to be good, else all of them.
    ///
    /// ```
    /// let mut stats = flow::InterferenceStats::default();
    /// stats.record_latency_rise(&["filler"], "service");
    /// assert_eq!(stats.verdict("filler", "service"), flow::InterferenceVerdict::Bad);
    /// ```
    pub fn record_latency_rise(&mut self, fillers: &[&str], critical: &str) {
        let is_known_good =
            |filler: &&&str| self.verdict(filler, critical) == InterferenceVerdict::Good;
        let is_known_bad =
            |filler: &&&str| self.verdict(filler, critical) == InterferenceVerdict::Bad;
        let known_bad: Vec<&str> = fillers.iter().filter(is_known_bad).copied().collect();
        let unknown: Vec<&str> = fillers
            .iter()
            .filter(|filler| !is_known_good(filler))
            .copied()
            .collect();
        let blamed = if !known_bad.is_empty() {
            known_bad
        } else if !unknown.is_empty() {
            unknown
        } else {
            fillers.to_vec()
        };
        let share = 1.0 / blamed.len().max(1) as f64;
        for filler in blamed {
            self.add(filler, critical, 0.0, share);
        }
    }

    /// Adds evidence, up to the limit, and records a changed verdict.
    fn add(&mut self, filler: &str, critical: &str, good: f64, bad: f64) {
        let before = self.verdict(filler, critical);
        self.changed = true;
        let by_critical = self.by_filler.entry(filler.to_owned()).or_default();
        let evidence = by_critical.entry(critical.to_owned()).or_default();
        evidence.good = (evidence.good + good).min(MAX_EVIDENCE);
        evidence.bad = (evidence.bad + bad).min(MAX_EVIDENCE);
        let after = self.verdict(filler, critical);
        if after != before {
            let change = (filler.to_owned(), critical.to_owned(), after);
            self.verdicts.push(change);
        }
    }

    /// Verdicts that changed since the last call: filler, latency-critical image, new verdict.
    pub fn take_verdicts(&mut self) -> Vec<(String, String, InterferenceVerdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether evidence was added since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// All evidence as JSON, for the table.
    ///
    /// ```
    /// let mut stats = flow::InterferenceStats::default();
    /// stats.record_latency_rise(&["filler"], "service");
    /// let parsed = flow::InterferenceStats::parse(&stats.to_json()).unwrap();
    /// assert_eq!(parsed.to_json(), stats.to_json());
    /// ```
    pub fn to_json(&self) -> String {
        let mut rows: Vec<PairRow> = Vec::new();
        for (filler, by_critical) in &self.by_filler {
            for (critical, Evidence { good, bad }) in by_critical {
                rows.push((filler.clone(), critical.clone(), *good, *bad));
            }
        }
        rows.sort_by(|left, right| (&left.0, &left.1).cmp(&(&right.0, &right.1)));
        serde_json::to_string(&rows).unwrap_or_default()
    }

    /// Parses the output of [`InterferenceStats::to_json`].
    ///
    /// # Errors
    /// Returns an error if the text is not a JSON list of pair rows.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let rows: Vec<PairRow> = serde_json::from_str(text)?;
        let mut stats = Self::default();
        for (filler, critical, good, bad) in rows {
            let by_critical = stats.by_filler.entry(filler).or_default();
            by_critical.insert(critical, Evidence { good, bad });
        }
        Ok(stats)
    }
}
