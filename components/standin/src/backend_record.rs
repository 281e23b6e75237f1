//! What a stand-in backend server really ran.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The caller's own mark of the request.
    pub mark: String,
    /// Whether it ran to its end.
    pub finished: bool,
}

/// What a stand-in backend server really ran; several servers may share one.
#[derive(Debug, Default)]
pub struct BackendRecord {
    /// All executions so far.
    executions: Mutex<Vec<Execution>>,
}

impl BackendRecord {
    /// Notes the start of an execution.
    pub fn started(&self, mark: &str) -> usize {
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

    /// Notes the end of an execution.
    pub fn finished(&self, index: usize) {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(execution) = executions.get_mut(index) {
            execution.finished = true;
        }
    }

    /// All executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of executions of a mark.
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
