//! A new scheduler keeps its lease while it loads the stored state.

mod common;

use async_trait::async_trait;
use backing::{Changes, Row, ScanRange, StoreError, TableFeed, TableStore, Transaction};
use common::{SlowTable, pause};
use flow::FlowConfig;
use flow_entry::{ConfigSource, ConfigUpdate, Dependencies, EntryHandle, EvacuationUpdate};
use settings::{FlowEntrySettings, FlowLimitSettings, LeaseSettings, PlatformSettings};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time until a page of a scan is read, in milliseconds. Three are read one after the other.
const SCAN_MS: u64 = 1_200;

/// Table whose scans are slow; commits, and reads of single rows, are not.
struct SlowScans(Rc<SlowTable>);

#[async_trait(?Send)]
impl TableStore for SlowScans {
    async fn commit(&self, txn: &Transaction) -> Result<u64, StoreError> {
        self.0.commit(txn).await
    }

    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        self.0.read(keys).await
    }

    async fn scan(&self, range: &ScanRange) -> Result<Vec<Row>, StoreError> {
        pause(SCAN_MS).await;
        self.0.scan(range).await
    }
}

/// Source of a configuration that never changes.
struct FixedConfig;

#[async_trait(?Send)]
impl ConfigSource for FixedConfig {
    async fn next(&self, cursor: Option<u64>, wait_ms: u64) -> Result<ConfigUpdate, StoreError> {
        if cursor.is_some() {
            pause(wait_ms).await;
        }
        let config = FlowConfig {
            version: 1,
            ..FlowConfig::default()
        };
        Ok(ConfigUpdate {
            config: Ok(cursor.is_none().then_some(config)),
            evacuations: match cursor {
                Some(_) => EvacuationUpdate::default(),
                None => EvacuationUpdate::Snapshot(["d9".into()].into()),
            },
            cursor: 1,
        })
    }
}

#[async_trait(?Send)]
impl TableFeed for SlowScans {
    async fn changes(
        &self,
        prefix: &str,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, StoreError> {
        self.0.changes(prefix, version, wait_ms).await
    }
}

async fn start(id: &str, table: &Rc<SlowTable>) -> EntryHandle {
    let ports = cluster::free_ports(4).unwrap();
    let settings = FlowEntrySettings {
        id: id.into(),
        domain: "d1".into(),
        listen: ports[0],
        ready_listen: ports[1],
        control_listen: ports[2],
        metrics_listen: ports[3],
        processor_share: 1.0,
        store: PlatformSettings {
            url: "http://127.0.0.1:1".to_owned(),
            timeout_ms: 100,
            row_bytes: 65_536,
        },
        limits: FlowLimitSettings::default(),
        leases: LeaseSettings {
            longest_ms: 6_000,
            slack_ms: 300,
        },
        memory_mb: 160,
        keep_ended_ms: 1_500,
        grace_ms: 1_000,
        policies: settings::PolicySettings::default(),
        platform_bounds: Default::default(),
    };
    let table = Rc::new(SlowScans(table.clone()));
    let dependencies = Dependencies {
        table: table.clone(),
        feed: table,
        configs: Rc::new(FixedConfig),
    };
    flow_entry::start(&settings, dependencies).await.unwrap()
}

/// Guards against entries that take the lease from each other for ever, so that nothing is
/// scheduled, because each needs longer to load the stored state than the others wait for a
/// confirmation of its leadership, and it confirms none before it has loaded.
#[actix_rt::test]
async fn a_scheduler_that_loads_for_long_keeps_its_lease() {
    let table = common::table(5);
    let entries = [start("a", &table).await, start("b", &table).await];
    pause(12_000).await;
    let lease = common::lease(&table).await;
    drop(entries);
    assert_eq!(lease.epoch, 1, "taken over while it loads: {lease:?}");
}

/// Guards against a domain that is shown as empty because the scheduler has not loaded its runs yet.
#[actix_rt::test]
async fn a_scheduler_states_no_runs_before_it_has_loaded_them() {
    let table = common::table(5);
    let entry = start("a", &table).await;
    common::lease(&table).await;
    let claimed = Instant::now();
    let loaded = loop {
        let status = entry.status().await.unwrap();
        let mut runs = status.evacuations.iter().map(|one| one.runs);
        if status.scheduler {
            assert!(runs.all(|runs| runs.is_some_and(|runs| runs.empty)));
            break status;
        }
        assert!(runs.all(|runs| runs.is_none()), "{status:?}");
        let limit = Duration::from_secs(20);
        assert!(claimed.elapsed() < limit, "it does not load");
        pause(50).await;
    };
    assert!(claimed.elapsed() >= Duration::from_millis(SCAN_MS));
    assert_eq!(loaded.evacuations.len(), 1);
}
