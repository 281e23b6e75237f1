//! Stored form of the learned pressures.

use serde::{Deserialize, Serialize};

/// One pair: filler, latency-critical image, pressure, variance of the pressure.
pub(crate) type PairRow = (String, String, f64, f64);

/// One pair of a former version: filler, latency-critical image, evidence for and against the pair.
pub(crate) type EvidenceRow = (String, String, f64, f64);

/// What the table holds.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum StoredPairs {
    /// Estimated pressures.
    Pressures {
        /// Pairs, the best known first.
        pressures: Vec<PairRow>,
    },
    /// Evidence as a former version counted it.
    Evidence(Vec<EvidenceRow>),
}
