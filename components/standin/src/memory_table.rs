//! A table in memory whose answers get lost as a test wants it.

use crate::platform::Table;
use async_trait::async_trait;
use backing::{Row, ScanRange, StoreError, TableStore, Transaction};
use std::cell::RefCell;
use std::collections::VecDeque;

/// What happens to one commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It takes no effect, and nobody can tell.
    Lost,
    /// It is refused.
    Refused,
}

/// A table in memory; commits meet the given fates in turn and are answered after those.
#[derive(Debug, Default)]
pub struct MemoryTable {
    /// The table service.
    table: RefCell<Table>,
    /// Fates of the next commits.
    fates: RefCell<VecDeque<ScriptedOutcome>>,
}

impl MemoryTable {
    /// A table whose first commits meet these fates.
    pub fn with_outcomes(fates: impl IntoIterator<Item = ScriptedOutcome>) -> Self {
        Self {
            table: RefCell::default(),
            fates: RefCell::new(fates.into_iter().collect()),
        }
    }

    /// Commits at once, meeting the next fate.
    ///
    /// # Errors
    /// As the fate has it, or a condition does not hold.
    pub fn commit_now(&self, txn: &Transaction) -> Result<u64, StoreError> {
        let fate = self
            .fates
            .borrow_mut()
            .pop_front()
            .unwrap_or(ScriptedOutcome::Answered);
        let lost = || StoreError::Unknown("the answer was lost".to_owned());
        match fate {
            ScriptedOutcome::Answered => self.table.borrow_mut().commit(txn),
            ScriptedOutcome::AnswerLost => match self.table.borrow_mut().commit(txn) {
                Ok(_) => Err(lost()),
                Err(error) => Err(error),
            },
            ScriptedOutcome::Lost => Err(lost()),
            ScriptedOutcome::Refused => Err(StoreError::Unavailable("refused".to_owned())),
        }
    }

    /// Rows whose keys start with `prefix`.
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
