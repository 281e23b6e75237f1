//! Stored form of the learned run times.

use crate::RunTimes;
use crate::class::ClassId;
use crate::evidence::{Evidence, MAX_WEIGHT};
use crate::residuals::BINS;
use crate::run_times::MAX_CLASSES;
use serde::{Deserialize, Serialize};

/// Version of the stored form.
const VERSION: u32 = 1;
/// Age from which the stored form is ignored, in milliseconds: evidence has a sixty-fourth of its weight left.
const MAX_AGE_MS: u64 = 3_600_000;
/// Bytes of the stored form without classes, at most.
const FRAME_BYTES: usize = 80;
/// Greatest logarithm of a run time or deviation in the stored form; an hour has 15.
const MAX_LOGARITHM: f64 = 40.0;

/// Why the stored form can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// It is not of the form that [`RunTimes::to_json`] writes.
    #[error("not of the form of learned run times: {0}")]
    Form(#[from] serde_json::Error),
    /// Another version of the program wrote it.
    #[error("version {0}, known is {VERSION}")]
    Version(u32),
    /// It is too old.
    #[error("written {age_ms} ms ago, at most {MAX_AGE_MS} are of use")]
    Old {
        /// Its age, in milliseconds.
        age_ms: u64,
    },
}

/// What the table holds.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRunTimes {
    /// Version of the form.
    version: u32,
    /// When it was written, in milliseconds since the Unix epoch.
    written_wall_ms: u64,
    /// Classes, the best known first.
    classes: Vec<ClassRow>,
}

/// One class.
#[derive(Debug, Serialize, Deserialize)]
struct ClassRow {
    /// Hash of the class, as hexadecimal digits.
    id: String,
    /// Weight of the evidence; means of the logarithms of declared and measured run times; sums of squares and
    /// of products.
    line: [f64; 5],
    /// Weights of failures and successes.
    ends: [f64; 2],
    /// Bins of the residuals that are not empty, with their weights.
    residuals: Vec<(usize, f64)>,
}

/// The best known classes as JSON, in at most `max_bytes`.
pub(crate) fn to_json(times: &RunTimes, wall_ms: u64, max_bytes: usize) -> String {
    let mut classes: Vec<(ClassId, Evidence)> = times
        .classes
        .iter()
        .map(|(id, evidence)| {
            let mut evidence = *evidence;
            evidence.fade(times.newest_ms);
            (*id, evidence)
        })
        .collect();
    classes.sort_by(|left, right| right.1.weight.total_cmp(&left.1.weight));
    let mut left = max_bytes.saturating_sub(FRAME_BYTES);
    let rows = classes.iter().map(row_of);
    let fitting = rows.take_while(|row| {
        // Rows are plain data, whose serialization does not fail.
        let bytes = serde_json::to_string(row).map_or(0, |text| text.len() + 1);
        let fits = bytes <= left;
        left = left.saturating_sub(bytes);
        fits
    });
    let stored = StoredRunTimes {
        version: VERSION,
        written_wall_ms: wall_ms,
        classes: fitting.collect(),
    };
    serde_json::to_string(&stored).unwrap_or_default()
}

/// Parses what [`to_json`] writes; values out of range are brought into it.
pub(crate) fn parse(text: &str, wall_ms: u64) -> Result<RunTimes, ParseError> {
    let stored: StoredRunTimes = serde_json::from_str(text)?;
    if stored.version != VERSION {
        return Err(ParseError::Version(stored.version));
    }
    let age_ms = wall_ms.saturating_sub(stored.written_wall_ms);
    if age_ms > MAX_AGE_MS {
        return Err(ParseError::Old { age_ms });
    }
    let mut times = RunTimes::default();
    for row in stored.classes.iter().take(MAX_CLASSES) {
        if let Some((id, evidence)) = evidence_of(row) {
            times.classes.insert(id, evidence);
        }
    }
    Ok(times)
}

fn row_of((id, evidence): &(ClassId, Evidence)) -> ClassRow {
    let weights = evidence.residuals.weights.iter().enumerate();
    let weights = weights.map(|(bin, weight)| (bin, rounded(f64::from(*weight))));
    let line = [
        evidence.weight,
        evidence.mean_declared,
        evidence.mean_run,
        evidence.declared_squares,
        evidence.products,
    ];
    ClassRow {
        id: format!("{:x}", id.0),
        line: line.map(rounded),
        ends: [evidence.failures, evidence.successes].map(rounded),
        residuals: weights.filter(|(_, weight)| *weight > 0.0).collect(),
    }
}

/// Evidence of a row; `None` if it names no class.
fn evidence_of(row: &ClassRow) -> Option<(ClassId, Evidence)> {
    let id = ClassId(u64::from_str_radix(&row.id, 16).ok()?);
    let [weight, mean_declared, mean_run, squares, products] = row.line;
    let of_logarithm = |value: f64| value.clamp(0.0, MAX_LOGARITHM);
    let of_sum = |value: f64| {
        let limit = MAX_WEIGHT * MAX_LOGARITHM * MAX_LOGARITHM;
        value.clamp(-limit, limit)
    };
    let of_weight = |value: f64| value.clamp(0.0, MAX_WEIGHT);
    let mut evidence = Evidence {
        weight: of_weight(weight),
        mean_declared: of_logarithm(mean_declared),
        mean_run: of_logarithm(mean_run),
        declared_squares: of_sum(squares).max(0.0),
        products: of_sum(products),
        failures: of_weight(row.ends[0]),
        successes: of_weight(row.ends[1]),
        ..Evidence::default()
    };
    for (bin, weight) in &row.residuals {
        if *bin < BINS {
            evidence.residuals.weights[*bin] = of_weight(*weight) as f32;
        }
    }
    Some((id, evidence))
}

/// Value with three decimals, which keeps the stored form short.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
