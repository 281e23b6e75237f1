//! Key of a task.

use model::JobId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Key of a task: its flow, occurrence, step and position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The flow.
    pub job: JobId,
    /// Occurrence of a recurring flow, from 0.
    pub occurrence: u32,
    /// Step within the flow, from 0.
    pub step: u32,
    /// Position within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Parses the form that [`fmt::Display`] writes; `None` if the text is not of that form.
    ///
    /// ```
    /// let key = flow::TaskKey::parse("00ff.0.1.17").unwrap();
    /// assert_eq!((key.step, key.index), (1, 17));
    /// assert_eq!(key.to_string(), "00ff.0.1.17");
    /// assert!(flow::TaskKey::parse("00ff.0.1").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let job = parts.next().filter(|job| !job.is_empty())?;
        Some(Self {
            job: job.into(),
            occurrence,
            step,
            index,
        })
    }

    /// Whether two tasks belong to the same occurrence of the same step.
    ///
    /// ```
    /// let key = |text| flow::TaskKey::parse(text).unwrap();
    /// assert!(key("a.0.1.2").is_of_step_of(&key("a.0.1.3")));
    /// assert!(!key("a.0.1.2").is_of_step_of(&key("a.0.2.2")));
    /// ```
    pub fn is_of_step_of(&self, other: &Self) -> bool {
        self.job == other.job && self.occurrence == other.occurrence && self.step == other.step
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(out, "{job}.{occurrence}.{step}.{index}")
    }
}
