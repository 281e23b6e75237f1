//! Interface of the source of the configuration and of the requested evacuations.

use async_trait::async_trait;
use backing::StoreError;
use flow::FlowConfig;
use model::DomainName;
use std::collections::BTreeSet;

/// Result of one read of the configuration and of the requested evacuations.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigUpdate {
    /// The whole configuration; `None` if it has not changed. An error if it can't be decoded, which
    /// does not affect the evacuations.
    pub config: Result<Option<FlowConfig>, StoreError>,
    /// Evacuations, or what has changed of them.
    pub evacuations: EvacuationUpdate,
    /// Cursor for the next read.
    pub cursor: u64,
}

/// Requested evacuations of failure domains in one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All domains that are to be evacuated.
    Snapshot(BTreeSet<DomainName>),
    /// Changes since the cursor, oldest first.
    Changes(Vec<EvacuationChange>),
}

/// A change to the requested evacuations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of a domain was requested.
    Requested(DomainName),
    /// The evacuation of a domain has ended.
    Ended(DomainName),
}

impl Default for EvacuationUpdate {
    fn default() -> Self {
        Self::Changes(Vec::new())
    }
}

impl EvacuationUpdate {
    /// Applies the update to the evacuated domains.
    ///
    /// ```
    /// use flow_entry::{EvacuationChange, EvacuationUpdate};
    /// let mut domains = ["d1".into(), "d2".into()].into();
    /// EvacuationUpdate::Changes(vec![EvacuationChange::Ended("d1".into())]).apply(&mut domains);
    /// assert_eq!(domains, ["d2".into()].into());
    /// ```
    pub fn apply(self, domains: &mut BTreeSet<DomainName>) {
        match self {
            Self::Snapshot(all) => *domains = all,
            Self::Changes(changes) => {
                for change in changes {
                    match change {
                        EvacuationChange::Requested(domain) => domains.insert(domain),
                        EvacuationChange::Ended(domain) => domains.remove(&domain),
                    };
                }
            }
        }
    }
}

/// Source from which an entry reads the configuration and the requested evacuations.
#[async_trait(?Send)]
pub trait ConfigSource {
    /// Reads what changed since `cursor`, and waits up to `wait_ms` for a change. Without a cursor,
    /// reads everything.
    async fn next(&self, cursor: Option<u64>, wait_ms: u64) -> Result<ConfigUpdate, StoreError>;
}
