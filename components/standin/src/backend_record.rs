//! Record of the requests that stand-in backend servers executed.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};

/// One execution of a request; a request that ran twice has two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Mark that the caller set in the `x-mark` header; empty without one.
    pub mark: String,
    /// Whether it ran to completion.
    pub finished: bool,
}

/// Requests that backend servers executed. Several servers may share a record, so that a test
/// can count the executions of a request across all of them.
#[derive(Debug, Default)]
pub struct BackendRecord {
    /// Executions in order of start.
    executions: Mutex<Vec<Execution>>,
}

impl BackendRecord {
    /// Records the start of an execution; returns its index, for [`Self::record_finish`].
    pub fn record_start(&self, mark: &str) -> usize {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions.push(Execution {
            mark: mark.to_owned(),
            finished: false,
        });
        executions.len() - 1
    }

    /// Records that an execution ran to completion; an unknown index has no effect.
    pub fn record_finish(&self, index: usize) {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(execution) = executions.get_mut(index) {
            execution.finished = true;
        }
    }

    /// All executions so far, in order of start.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of executions of the request with this mark, unfinished ones included.
    pub fn count(&self, mark: &str) -> usize {
        let executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions
            .iter()
            .filter(|execution| execution.mark == mark)
            .count()
    }
}
