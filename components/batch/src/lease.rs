//! Leases on shards.

use crate::rows::shard_key;
use backing::{Row, Transaction};
use model::EntryId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use utils::Map;

/// A shard's lease, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Entry that owns the shard, or last owned it if `released`.
    pub owner: EntryId,
    /// Control address of the owner.
    pub control: SocketAddr,
    /// Number of the ownership; grows with each claim of the shard.
    pub epoch: u64,
    /// Number of the owner's last commit; 0 is the claim itself.
    pub sequence: u64,
    /// Whether the owner has released the shard.
    pub released: bool,
}

/// Last observed state of a lease row.
#[derive(Debug, Clone)]
struct ObservedLease {
    /// Version of the row; `None` if there is no row.
    version: Option<u64>,
    /// When that version was first observed.
    since_ms: u64,
    /// Content of the row; `None` if there is no row or it is unreadable.
    row: Option<ShardRow>,
}

/// Watches the leases of all shards.
///
/// A lease counts as expired when its row has not changed for the lease's length on the watcher's
/// own clock, so no two clocks are compared. A wrong guess costs a takeover but is safe, because
/// every commit is conditioned on the row's version.
#[derive(Debug)]
pub struct LeaseWatch {
    /// Number of shards.
    shards: u16,
    /// Length of a lease, in milliseconds.
    lease_ms: u64,
    /// Last observed lease of each shard.
    observed: Map<u16, ObservedLease>,
}

impl LeaseWatch {
    /// Creates a watch over `shards` shards; none is claimable before the first
    /// [`LeaseWatch::observe`].
    ///
    /// ```
    /// let mut watch = batch::LeaseWatch::new(4, 6_000);
    /// watch.observe(0, &[]);
    /// assert_eq!(watch.claimable(0, &"e".into()), [0, 1, 2, 3]);
    /// ```
    pub fn new(shards: u16, lease_ms: u64) -> Self {
        Self {
            shards,
            lease_ms,
            observed: Map::default(),
        }
    }

    /// Records the lease rows of all shards, as just read from the table.
    pub fn observe(&mut self, now_ms: u64, rows: &[Row]) {
        for shard in 0..self.shards {
            let key = shard_key(shard);
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map(|row| row.version);
            let unchanged = self
                .observed
                .get(&shard)
                .is_some_and(|lease| lease.version == version);
            if !unchanged {
                let row = row.and_then(|row| serde_json::from_str(&row.value).ok());
                self.observed.insert(
                    shard,
                    ObservedLease {
                        version,
                        since_ms: now_ms,
                        row,
                    },
                );
            }
        }
    }

    /// Shards that the entry `me` may claim: without a readable row, released, expired, or left by
    /// an earlier run of the same entry.
    pub fn claimable(&self, now_ms: u64, me: &EntryId) -> Vec<u16> {
        let is_claimable = |shard: &u16| match self.observed.get(shard) {
            None => false,
            Some(ObservedLease { row: None, .. }) => true,
            Some(ObservedLease {
                row: Some(row),
                since_ms,
                ..
            }) => {
                row.released
                    || row.owner == *me
                    || now_ms.saturating_sub(*since_ms) >= self.lease_ms
            }
        };
        (0..self.shards).filter(is_claimable).collect()
    }

    /// Last observed lease of a shard; `None` if there is none or its row is unreadable.
    pub fn owner(&self, shard: u16) -> Option<&ShardRow> {
        self.observed
            .get(&shard)
            .and_then(|lease| lease.row.as_ref())
    }

    /// Time since a shard's row was observed to change; 0 if it was never observed.
    pub fn unchanged_ms(&self, now_ms: u64, shard: u16) -> u64 {
        self.observed
            .get(&shard)
            .map_or(0, |lease| now_ms.saturating_sub(lease.since_ms))
    }

    /// Last observed version of a shard's row; `None` if there is no row.
    pub fn version(&self, shard: u16) -> Option<u64> {
        self.observed.get(&shard).and_then(|lease| lease.version)
    }
}

/// Builds the transaction that claims a shard, and the lease row that it writes. The transaction is
/// conditioned on the last observed version, so only one of several claims takes effect.
pub fn claim_transaction(
    watch: &LeaseWatch,
    shard: u16,
    owner: &EntryId,
    control: SocketAddr,
) -> (Transaction, ShardRow) {
    let epoch = watch.owner(shard).map_or(0, |row| row.epoch) + 1;
    let row = ShardRow {
        owner: owner.clone(),
        control,
        epoch,
        sequence: 0,
        released: false,
    };
    let key = shard_key(shard);
    let value = serde_json::to_string(&row).unwrap_or_default();
    let txn = Transaction::default()
        .require(key.clone(), watch.version(shard))
        .put(key, value);
    (txn, row)
}
