//! Table in memory whose commits fail in a scripted order.

use crate::platform::Table;
use async_trait::async_trait;
use backing::{Row, ScanRange, StoreError, TableStore, Transaction};
use std::cell::RefCell;
use std::collections::VecDeque;

/// Scripted outcome of one commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// It takes effect and its result is returned.
    Answered,
    /// It takes effect if its conditions hold, but the caller gets `Unknown`. A conflict is
    /// returned as such.
    AnswerLost,
    /// It takes no effect and the caller gets `Unknown`, the same as for `AnswerLost`.
    Lost,
    /// It takes no effect and the caller gets `Unavailable`.
    Refused,
}

/// Table in memory for tests on one thread. Commits follow the scripted outcomes in order;
/// later ones succeed normally.
#[derive(Debug, Default)]
pub struct MemoryTable {
    /// Rows as of the last commit that took effect.
    table: RefCell<Table>,
    /// Outcomes of the next commits, in order.
    outcomes: RefCell<VecDeque<ScriptedOutcome>>,
}

impl MemoryTable {
    /// Empty table whose first commits have these outcomes.
    pub fn with_outcomes(outcomes: impl IntoIterator<Item = ScriptedOutcome>) -> Self {
        Self {
            table: RefCell::default(),
            outcomes: RefCell::new(outcomes.into_iter().collect()),
        }
    }

    /// Synchronous form of [`TableStore::commit`]; follows the next scripted outcome.
    ///
    /// # Errors
    /// The error of the scripted outcome, or that of the table for an invalid transaction or a
    /// condition that does not hold.
    pub fn commit_now(&self, txn: &Transaction) -> Result<u64, StoreError> {
        let outcome = self
            .outcomes
            .borrow_mut()
            .pop_front()
            .unwrap_or(ScriptedOutcome::Answered);
        let lost = || StoreError::Unknown("the answer was lost".to_owned());
        match outcome {
            ScriptedOutcome::Answered => self.table.borrow_mut().commit(txn),
            ScriptedOutcome::AnswerLost => match self.table.borrow_mut().commit(txn) {
                Ok(_) => Err(lost()),
                Err(error) => Err(error),
            },
            ScriptedOutcome::Lost => Err(lost()),
            ScriptedOutcome::Refused => Err(StoreError::Unavailable("refused".to_owned())),
        }
    }

    /// Rows whose keys start with `prefix`, in order of key.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let range = ScanRange {
            prefix: prefix.to_owned(),
            after: None,
            limit: usize::MAX,
        };
        self.table.borrow_mut().scan(&range)
    }
}

#[async_trait(?Send)]
impl TableStore for MemoryTable {
    async fn commit(&self, txn: &Transaction) -> Result<u64, StoreError> {
        self.commit_now(txn)
    }

    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        Ok(self.table.borrow_mut().read(keys))
    }

    async fn scan(&self, range: &ScanRange) -> Result<Vec<Row>, StoreError> {
        Ok(self.table.borrow_mut().scan(range))
    }
}
