//! Leases on shards.

use crate::rows::shard_key;
use backing::{Row, Transaction};
use model::EntryId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use utils::Map;

/// A shard's lease as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// The owner.
    pub owner: EntryId,
    /// Control address of the owner.
    pub control: SocketAddr,
    /// Grows with each change of the owner.
    pub epoch: u64,
    /// Number of the owner's last commit.
    pub sequence: u64,
    /// Whether the owner gave the shard up.
    pub released: bool,
}

/// A lease as it was last seen.
#[derive(Debug, Clone)]
struct Seen {
    /// Version of the row; absent if there is none.
    version: Option<u64>,
    /// When that version was first seen.
    since_ms: u64,
    /// Content of the row.
    row: Option<ShardRow>,
}

/// Watches the leases of all shards.
///
/// A lease counts as over when its row has not changed for the lease's length on the watcher's
/// own clock, so no two clocks are compared. Being wrong costs a takeover, never safety, because
/// every commit is conditioned on the row's version.
#[derive(Debug)]
pub struct LeaseWatch {
    /// Number of shards.
    shards: u16,
    /// Length of a lease.
    lease_ms: u64,
    /// Leases as last seen.
    seen: Map<u16, Seen>,
}

impl LeaseWatch {
    /// A watch over `shards` shards that has seen nothing.
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
            seen: Map::default(),
        }
    }

    /// Takes all lease rows of the table.
    pub fn observe(&mut self, now_ms: u64, rows: &[Row]) {
        for shard in 0..self.shards {
            let key = shard_key(shard);
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map(|row| row.version);
            let unchanged = self
                .seen
                .get(&shard)
                .is_some_and(|seen| seen.version == version);
            if !unchanged {
                let row = row.and_then(|row| serde_json::from_str(&row.value).ok());
                self.seen.insert(
                    shard,
                    Seen {
                        version,
                        since_ms: now_ms,
                        row,
                    },
                );
            }
        }
    }

    /// Shards that nobody owns any more, as far as seen.
    pub fn claimable(&self, now_ms: u64, me: &EntryId) -> Vec<u16> {
        let is_takeable = |shard: &u16| match self.seen.get(shard) {
            None => false,
            Some(Seen { row: None, .. }) => true,
            Some(Seen {
                row: Some(row),
                since_ms,
                ..
            }) => {
                row.released
                    || row.owner == *me
                    || now_ms.saturating_sub(*since_ms) >= self.lease_ms
            }
        };
        (0..self.shards).filter(is_takeable).collect()
    }

    /// The owner of a shard, as last seen.
    pub fn owner(&self, shard: u16) -> Option<&ShardRow> {
        self.seen.get(&shard).and_then(|seen| seen.row.as_ref())
    }

    /// How long a shard's row has not changed, as seen.
    pub fn unchanged_ms(&self, now_ms: u64, shard: u16) -> u64 {
        self.seen
            .get(&shard)
            .map_or(0, |seen| now_ms.saturating_sub(seen.since_ms))
    }

    /// Version of a shard's row, as last seen.
    pub fn version(&self, shard: u16) -> Option<u64> {
        self.seen.get(&shard).and_then(|seen| seen.version)
    }
}

/// The transaction that takes a shard over, and the row that it writes.
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
