//! Failure domains whose workers are slow.

use std::collections::BTreeMap;

/// Least number of judged workers of a domain that is slow.
const MIN_WORKERS: usize = 3;
/// Share of the judged workers that must be slow.
const SLOW_SHARE: f64 = 0.6;

/// What one worker says about its domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DomainSample<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// Its speed if it is slow, else `None`. Workers of which nothing is known give no sample.
    pub slow_speed: Option<f64>,
}

/// Failure domains in which most workers are slow, so that the others are expected to be slow too.
///
/// ```
/// use worker_speed::{DomainSample, SlowDomains};
/// let slow = DomainSample { domain: "d1", slow_speed: Some(0.25) };
/// let normal = DomainSample { domain: "d2", slow_speed: None };
/// let domains = SlowDomains::of([slow, slow, slow, normal].into_iter());
/// assert_eq!(domains.speed("d1"), Some(0.25));
/// assert_eq!(domains.speed("d2"), None);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlowDomains {
    /// Mean speed of the slow workers, by domain.
    speeds: BTreeMap<String, f64>,
}

/// Counts of one domain.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    judged: usize,
    slow: usize,
    /// Sum of the speeds of the slow workers.
    speeds: f64,
}

impl SlowDomains {
    /// Domains that are slow by the samples of their workers.
    ///
    /// ```
    /// let domains = worker_speed::SlowDomains::of(std::iter::empty());
    /// assert_eq!(domains, worker_speed::SlowDomains::default());
    /// ```
    pub fn of<'a>(samples: impl Iterator<Item = DomainSample<'a>>) -> Self {
        let mut domains: BTreeMap<&str, Counts> = BTreeMap::new();
        for sample in samples {
            let counts = domains.entry(sample.domain).or_default();
            counts.judged += 1;
            counts.slow += usize::from(sample.slow_speed.is_some());
            counts.speeds += sample.slow_speed.unwrap_or_default();
        }
        let is_slow = |counts: &Counts| {
            counts.judged >= MIN_WORKERS && counts.slow as f64 >= counts.judged as f64 * SLOW_SHARE
        };
        let slow = domains.into_iter().filter(|(_, counts)| is_slow(counts));
        let speed = |counts: Counts| counts.speeds / counts.slow as f64;
        Self {
            speeds: slow
                .map(|(domain, counts)| (domain.to_owned(), speed(counts)))
                .collect(),
        }
    }

    /// Whether no domain is slow.
    ///
    /// ```
    /// assert!(worker_speed::SlowDomains::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.speeds.is_empty()
    }

    /// Speed of the domain's workers; `None` unless it is slow.
    ///
    /// ```
    /// assert_eq!(worker_speed::SlowDomains::default().speed("d"), None);
    /// ```
    pub fn speed(&self, domain: &str) -> Option<f64> {
        self.speeds.get(domain).copied()
    }
}
