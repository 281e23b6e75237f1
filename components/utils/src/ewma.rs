//! Exponentially weighted moving average.

/// Moving average in which each sample weighs `1 / span` of the whole.
///
/// ```
/// let mut average = utils::Ewma::new(2.0);
/// average.add(10.0);
/// average.add(20.0);
/// assert_eq!(average.get(), Some(15.0));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Ewma {
    /// Number of samples that the average remembers.
    span: f64,
    /// The average, once there is a sample.
    value: Option<f64>,
}

impl Ewma {
    /// An average over about `span` samples.
    ///
    /// ```
    /// assert_eq!(utils::Ewma::new(8.0).get(), None);
    /// ```
    pub fn new(span: f64) -> Self {
        Self { span, value: None }
    }

    /// Adds a sample.
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

    /// The average, if any sample was added.
    ///
    /// ```
    /// assert!(utils::Ewma::new(8.0).get().is_none());
    /// ```
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}
