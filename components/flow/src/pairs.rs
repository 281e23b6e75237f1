//! Learns which fillers disturb which tasks that serve, by their images.
//!
//! Most images leave each other alone, and a few pairs do not. Evidence comes from the latencies
//! that workers report: a latency that rises after a filler came speaks against the pair, one that
//! stays speaks for it.

use serde::{Deserialize, Serialize};
use utils::Map;

/// Evidence against a pair from which it is kept apart.
const BAD_FROM: f64 = 1.0;
/// Share of the evidence for a pair that the evidence against it has to reach.
const BAD_SHARE: f64 = 0.34;
/// Evidence for a pair from which it counts as harmless.
const GOOD_FROM: f64 = 2.0;
/// Most evidence that is kept, so that a verdict can change.
const MOST: f64 = 12.0;

/// What is known of a pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PairVerdict {
    /// The filler disturbs the task that serves.
    Bad,
    /// The filler leaves the task that serves alone.
    Good,
    /// Too little was seen.
    Unknown,
}

/// Evidence about a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Evidence {
    /// For the pair.
    good: f64,
    /// Against it.
    bad: f64,
}

/// Evidence about pairs: of a filler's image and the image of a task that serves.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pairs {
    /// Evidence by the filler's image, then by the image that serves.
    by_filler: Map<String, Map<String, Evidence>>,
    /// Whether anything changed since [`Pairs::take_changed`].
    changed: bool,
    /// Verdicts that changed since [`Pairs::take_verdicts`].
    verdicts: Vec<(String, String, PairVerdict)>,
}

/// One pair as the table keeps it: filler, task that serves, evidence for and against.
type PairRow = (String, String, f64, f64);

impl Pairs {
    /// What is known of a pair.
    ///
    /// ```
    /// let pairs = flow::Pairs::default();
    /// assert_eq!(pairs.verdict("filler", "service"), flow::PairVerdict::Unknown);
    /// ```
    pub fn verdict(&self, filler: &str, serving: &str) -> PairVerdict {
        let by_serving = self.by_filler.get(filler);
        let Some(evidence) = by_serving.and_then(|by_serving| by_serving.get(serving)) else {
            return PairVerdict::Unknown;
        };
        if evidence.bad >= BAD_FROM && evidence.bad >= evidence.good * BAD_SHARE {
            PairVerdict::Bad
        } else if evidence.good >= GOOD_FROM {
            PairVerdict::Good
        } else {
            PairVerdict::Unknown
        }
    }

    /// A latency stayed as it was beside a filler.
    ///
    /// ```
    /// let mut pairs = flow::Pairs::default();
    /// pairs.on_calm("filler", "service");
    /// pairs.on_calm("filler", "service");
    /// assert_eq!(pairs.verdict("filler", "service"), flow::PairVerdict::Good);
    /// ```
    pub fn on_calm(&mut self, filler: &str, serving: &str) {
        self.add(filler, serving, 1.0, 0.0);
    }

    /// A latency rose while these fillers worked beside it; those known as harmless are not to
    /// blame as long as there are others.
    ///
    /// ```
    /// let mut pairs = flow::Pairs::default();
    /// pairs.on_rise(&["filler"], "service");
    /// assert_eq!(pairs.verdict("filler", "service"), flow::PairVerdict::Bad);
    /// ```
    pub fn on_rise(&mut self, fillers: &[&str], serving: &str) {
        let is_known_good = |filler: &&&str| self.verdict(filler, serving) == PairVerdict::Good;
        let is_known_bad = |filler: &&&str| self.verdict(filler, serving) == PairVerdict::Bad;
        let known_bad: Vec<&str> = fillers.iter().filter(is_known_bad).copied().collect();
        let open: Vec<&str> = fillers
            .iter()
            .filter(|filler| !is_known_good(filler))
            .copied()
            .collect();
        let blamed = if !known_bad.is_empty() {
            known_bad
        } else if !open.is_empty() {
            open
        } else {
            fillers.to_vec()
        };
        let share = 1.0 / blamed.len().max(1) as f64;
        for filler in blamed {
            self.add(filler, serving, 0.0, share);
        }
    }

    fn add(&mut self, filler: &str, serving: &str, good: f64, bad: f64) {
        let before = self.verdict(filler, serving);
        self.changed = true;
        let by_serving = self.by_filler.entry(filler.to_owned()).or_default();
        let evidence = by_serving.entry(serving.to_owned()).or_default();
        evidence.good = (evidence.good + good).min(MOST);
        evidence.bad = (evidence.bad + bad).min(MOST);
        let after = self.verdict(filler, serving);
        if after != before {
            let change = (filler.to_owned(), serving.to_owned(), after);
            self.verdicts.push(change);
        }
    }

    /// Verdicts that changed since the last call: filler, task that serves, new verdict.
    pub fn take_verdicts(&mut self) -> Vec<(String, String, PairVerdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether anything was learnt since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// All evidence as text, for the table.
    ///
    /// ```
    /// let mut pairs = flow::Pairs::default();
    /// pairs.on_rise(&["filler"], "service");
    /// assert_eq!(flow::Pairs::parse(&pairs.text()).unwrap().text(), pairs.text());
    /// ```
    pub fn text(&self) -> String {
        let mut rows: Vec<PairRow> = Vec::new();
        for (filler, by_serving) in &self.by_filler {
            for (serving, Evidence { good, bad }) in by_serving {
                rows.push((filler.clone(), serving.clone(), *good, *bad));
            }
        }
        rows.sort_by(|left, right| (&left.0, &left.1).cmp(&(&right.0, &right.1)));
        serde_json::to_string(&rows).unwrap_or_default()
    }

    /// Reads what [`Pairs::text`] wrote.
    ///
    /// # Errors
    /// The text is something else.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let rows: Vec<PairRow> = serde_json::from_str(text)?;
        let mut pairs = Self::default();
        for (filler, serving, good, bad) in rows {
            let by_serving = pairs.by_filler.entry(filler).or_default();
            by_serving.insert(serving, Evidence { good, bad });
        }
        Ok(pairs)
    }
}
