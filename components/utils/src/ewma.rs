//! Exponentially weighted moving average.

/// Moving average in which each new sample has a weight of `1 / span`.
///
/// ```
/// let mut average = utils::Ewma::new(2.0);
/// average.add(10.0);
/// average.add(20.0);
/// assert_eq!(average.get(), Some(15.0));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Ewma {
    /// Inverse of the weight of a new sample, in samples.
    span: f64,
    /// Current average; `None` until the first sample.
    value: Option<f64>,
}

impl Ewma {
    /// Creates an average over about the last `span` samples.
    ///
    /// ```
    /// assert_eq!(utils::Ewma::new(8.0).get(), None);
    /// ```
    pub fn new(span: f64) -> Self {
        Self { span, value: None }
    }

    /// Adds a sample; the first one becomes the average as it is.
    ///
    /// ```
    /// utils::Ewma::new(8.0).add(1.0);
    /// ```
    pub fn add(&mut self, sample: f64) {
        self.value = Some(match self.value {
            None => sample,
            Some(value) => value + (sample - value) / self.span,
        });
    }

    /// Returns the average, or `None` before the first sample.
    ///
    /// ```
    /// assert!(utils::Ewma::new(8.0).get().is_none());
    /// ```
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}
