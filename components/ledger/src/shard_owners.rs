//! Owners of shards, as known to an agent.

use model::JobId;
use std::net::SocketAddr;
use utils::Map;
use wire::ShardOwner;

/// Newest known owner of each shard; an older epoch never replaces a newer one.
#[derive(Debug, Default)]
pub struct ShardOwners {
    /// Owner with the highest epoch seen, by shard number.
    by_shard: Map<u16, ShardOwner>,
    /// Total number of shards; `None` until the first owner is known.
    shards: Option<u16>,
}

impl ShardOwners {
    /// Records an owner. Returns false, and changes nothing about the shard, if an owner with a
    /// higher epoch is known.
    ///
    /// ```
    /// let mut owners = ledger::ShardOwners::default();
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let newer = wire::ShardOwner { shard: 1, shards: 16, epoch: 2, owner: address };
    /// assert!(owners.adopt(newer));
    /// assert!(!owners.adopt(wire::ShardOwner { epoch: 1, ..newer }));
    /// ```
    pub fn adopt(&mut self, owner: ShardOwner) -> bool {
        self.shards = Some(owner.shards);
        let known = self.by_shard.get(&owner.shard);
        if known.is_some_and(|known| known.epoch > owner.epoch) {
            return false;
        }
        self.by_shard.insert(owner.shard, owner);
        true
    }

    /// Control address of the owner of a job's shard; `None` if that owner is not known.
    pub fn owner_of(&self, job: &JobId) -> Option<SocketAddr> {
        let shard = job.shard(self.shards?);
        self.by_shard.get(&shard).map(|owner| owner.owner)
    }
}
