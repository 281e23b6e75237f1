//! Entries in the test's process that share an in-memory table with configurable delays.
#![allow(dead_code)]

pub mod overload;
pub mod scheduler;

use async_trait::async_trait;
use backing::{
    ChangedRow, Changes, Row, ScanRange, StoreError, TableFeed, TableStore, Transaction,
};
use flow::{AwayWorker, FlowConfig};
use flow_entry::{ConfigSource, ConfigUpdate, Dependencies, EntryHandle};
use serde::Deserialize;
use settings::{FlowEntrySettings, FlowLimitSettings, LeaseSettings, PlatformSettings};
use standin::MemoryTable;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Most bytes of a value in the table, by the entries' settings.
pub const ROW_BYTES: usize = 1_024;

/// How reads of single rows are answered.
#[derive(Debug, Clone, Copy, Default)]
pub enum Reads {
    /// With the rows.
    #[default]
    Whole,
    /// With an error.
    Failed,
    /// Not at all.
    Silent,
    /// With an error that leaves open whether a call took effect.
    Lost,
}

/// In-memory table with delayed commits and answers, which can refuse the commits of an entry.
pub struct SlowTable {
    /// Rows of the table.
    pub rows: MemoryTable,
    /// Delay before a commit takes effect, in milliseconds.
    pub commit_ms: u64,
    /// Delay between a commit taking effect and its answer, in milliseconds; reads are not delayed.
    pub answer_ms: u64,
    /// Delay after which the answers to commits are lost, in milliseconds; `None` if they arrive.
    lost_after_ms: Cell<Option<u64>>,
    /// How reads of single rows are answered.
    reads: Cell<Reads>,
    /// Names of entries whose commits of the lease are refused.
    refused: RefCell<Vec<String>>,
    /// Number of calls that read or write the rows of flows.
    flow_calls: Cell<u32>,
    /// Keys of rows that can't be written: a transaction that does is invalid.
    invalid: RefCell<Vec<String>>,
}

impl SlowTable {
    /// Loses the answers to commits that take effect from now on, `lost_ms` after they did. Conflicts are answered.
    pub fn lose_answers_after(&self, lost_ms: u64) {
        self.lost_after_ms.set(Some(lost_ms));
    }

    /// Answers commits again from now on.
    pub fn keep_answers(&self) {
        self.lost_after_ms.set(None);
    }

    /// Sets how reads of single rows are answered from now on.
    pub fn set_reads(&self, reads: Reads) {
        self.reads.set(reads);
    }

    /// Number of calls that read or wrote the rows of flows so far.
    pub fn flow_calls(&self) -> u32 {
        self.flow_calls.get()
    }

    fn count_flow_call(&self, key: Option<&String>) {
        let is_of_flow = key.is_some_and(|key| key.starts_with("flows/"));
        self.flow_calls
            .set(self.flow_calls.get() + u32::from(is_of_flow));
    }

    /// Refuses every commit of the lease by the entry with this name from now on.
    pub fn refuse_commits_of(&self, entry: &str) {
        self.refused.borrow_mut().push(entry.to_owned());
    }

    /// Refuses every transaction that writes a value under this key from now on, as invalid.
    pub fn refuse_values_of(&self, key: &str) {
        self.invalid.borrow_mut().push(key.to_owned());
    }

    /// Whether a transaction writes a value that is refused as invalid.
    fn is_invalid(&self, txn: &Transaction) -> bool {
        let invalid = self.invalid.borrow();
        let mut puts = txn.writes.iter().filter(|write| write.value.is_some());
        puts.any(|write| invalid.contains(&write.key))
    }

    /// Whether a transaction writes the lease for a refused entry.
    fn is_refused(&self, txn: &Transaction) -> bool {
        let refused = self.refused.borrow();
        let values = txn.writes.iter().filter_map(|write| write.value.as_ref());
        let mut values = values.filter(|value| value.contains("\"owner\""));
        values.any(|value| {
            let is_of = |entry: &String| value.contains(&format!("\"owner\":\"{entry}\""));
            refused.iter().any(is_of)
        })
    }
}

/// Table whose commits take effect after `commit_ms`.
pub fn table(commit_ms: u64) -> Rc<SlowTable> {
    new_table(commit_ms, 0)
}

/// Table whose commits take effect at once and are answered after `answer_ms`.
pub fn table_with_late_answers(answer_ms: u64) -> Rc<SlowTable> {
    new_table(0, answer_ms)
}

fn new_table(commit_ms: u64, answer_ms: u64) -> Rc<SlowTable> {
    Rc::new(SlowTable {
        rows: MemoryTable::default(),
        commit_ms,
        answer_ms,
        lost_after_ms: Cell::default(),
        reads: Cell::default(),
        refused: RefCell::default(),
        invalid: RefCell::default(),
        flow_calls: Cell::default(),
    })
}

#[async_trait(?Send)]
impl TableStore for SlowTable {
    async fn commit(&self, txn: &Transaction) -> Result<u64, StoreError> {
        self.count_flow_call(txn.writes.first().map(|write| &write.key));
        pause(self.commit_ms).await;
        if self.is_refused(txn) {
            return Err(StoreError::Unavailable(
                "commits of this entry are refused".to_owned(),
            ));
        }
        if self.is_invalid(txn) {
            return Err(StoreError::Invalid("a value is refused".to_owned()));
        }
        let result = self.rows.commit_now(txn);
        if let (Some(lost_ms), Ok(_)) = (self.lost_after_ms.get(), &result) {
            pause(lost_ms).await;
            return Err(StoreError::Unknown("the answer was lost".to_owned()));
        }
        pause(self.answer_ms).await;
        result
    }

    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        self.count_flow_call(keys.first());
        match self.reads.get() {
            Reads::Whole => self.rows.read(keys).await,
            Reads::Failed => Err(StoreError::Unavailable("reads fail".to_owned())),
            Reads::Lost => Err(StoreError::Unknown("answers are lost".to_owned())),
            Reads::Silent => std::future::pending().await,
        }
    }

    async fn scan(&self, range: &ScanRange) -> Result<Vec<Row>, StoreError> {
        self.rows.scan(range).await
    }
}

#[async_trait(?Send)]
impl TableFeed for SlowTable {
    async fn changes(&self, _: &str, version: u64, wait_ms: u64) -> Result<Changes, StoreError> {
        pause(wait_ms).await;
        let rows: Vec<ChangedRow> = Vec::new();
        Ok(Changes::Rows { rows, version })
    }
}

/// Source of a configuration that never changes; its answers are lost when those of the table are.
struct FixedConfig {
    config: FlowConfig,
    table: Rc<SlowTable>,
}

#[async_trait(?Send)]
impl ConfigSource for FixedConfig {
    async fn next(&self, cursor: Option<u64>, wait_ms: u64) -> Result<ConfigUpdate, StoreError> {
        if cursor.is_some() {
            pause(wait_ms).await;
        }
        if let Reads::Lost = self.table.reads.get() {
            return Err(StoreError::Unknown("answers are lost".to_owned()));
        }
        Ok(ConfigUpdate {
            config: Ok(cursor.is_none().then(|| self.config.clone())),
            evacuations: Default::default(),
            cursor: 1,
        })
    }
}

/// Entry that runs in the test's process.
pub struct Entry {
    /// Handle through which the test makes its calls.
    pub handle: EntryHandle,
}

/// Local address with a free port.
fn free_address() -> SocketAddr {
    cluster::free_ports(1).unwrap()[0]
}

impl Entry {
    /// Starts an entry with this name over `table`.
    pub async fn start(id: &str, table: &Rc<SlowTable>) -> Self {
        Self::start_with_longest_lease(id, table, 6_000).await
    }

    /// As [`Entry::start`], with workers that grant leases of up to `longest_ms`.
    pub async fn start_with_longest_lease(
        id: &str,
        table: &Rc<SlowTable>,
        longest_ms: u64,
    ) -> Self {
        let config = FlowConfig {
            version: 1,
            ..FlowConfig::default()
        };
        Self::start_with(id, table, config, |settings| {
            settings.leases.longest_ms = longest_ms;
        })
        .await
    }

    /// As [`Entry::start`], with an entry that learns run times.
    pub async fn start_learning(id: &str, table: &Rc<SlowTable>) -> Self {
        let config = FlowConfig {
            version: 1,
            ..FlowConfig::default()
        };
        Self::start_with(id, table, config, |settings| {
            settings.policies.learned_run_times = true;
        })
        .await
    }

    /// As [`Entry::start`], with this configuration and a change to the settings.
    pub async fn start_with(
        id: &str,
        table: &Rc<SlowTable>,
        config: FlowConfig,
        change: impl FnOnce(&mut FlowEntrySettings),
    ) -> Self {
        let mut settings = FlowEntrySettings {
            id: id.into(),
            domain: "d1".into(),
            listen: free_address(),
            ready_listen: free_address(),
            control_listen: free_address(),
            metrics_listen: free_address(),
            processor_share: 1.0,
            store: PlatformSettings {
                url: "http://127.0.0.1:1".to_owned(),
                timeout_ms: 100,
                row_bytes: ROW_BYTES,
            },
            leases: LeaseSettings {
                longest_ms: 6_000,
                slack_ms: 300,
            },
            limits: FlowLimitSettings::default(),
            memory_mb: 160,
            keep_ended_ms: 1_500,
            grace_ms: 1_000,
            policies: settings::PolicySettings::default(),
            platform_bounds: Default::default(),
        };
        change(&mut settings);
        let dependencies = Dependencies {
            table: table.clone(),
            feed: table.clone(),
            configs: Rc::new(FixedConfig {
                config,
                table: table.clone(),
            }),
        };
        let handle = flow_entry::start(&settings, dependencies).await.unwrap();
        Self { handle }
    }
}

/// Row of the lease, as stored in the table.
#[derive(Debug, Deserialize)]
pub struct Lease {
    /// Name of the entry that claimed the lease.
    pub owner: String,
    /// Number of the term; each claim increases it.
    pub epoch: u64,
    /// Address at which the owner's process answers others.
    pub control: SocketAddr,
    /// Number of the owner's last commit in this term.
    pub sequence: u64,
    /// Whether the owner has released the lease.
    pub released: bool,
    /// Longest time for which leases may last after the row was written, in milliseconds.
    pub longest_lease_ms: Option<u64>,
    /// Workers that get no leases.
    #[serde(default)]
    pub away: Vec<AwayWorker>,
}

/// Reads the lease, waiting up to 5 seconds until an entry has claimed it.
pub async fn lease(table: &SlowTable) -> Lease {
    for _ in 0..100 {
        if let Some(row) = table.rows.rows("lease/").first() {
            return serde_json::from_str(&row.value).unwrap();
        }
        pause(50).await;
    }
    panic!("no entry claimed the lease");
}

/// Sleeps for `pause_ms`.
pub async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}
