//! Names and identifiers, each of a type of its own so that they can't be confused.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};
use uuid::Uuid;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Identifier of an agent, and of the VM that it manages.
    AgentId
}
name_type! {
    /// Identifier of an entry process.
    EntryId
}
name_type! {
    /// Name of a failure domain.
    DomainName
}
name_type! {
    /// Name of a latency-critical service.
    ServiceName
}
name_type! {
    /// Name of a team, which has a quota.
    TeamName
}
name_type! {
    /// Name of a kind of batch work; run times, resource use and interference are learned by kind.
    KindName
}
name_type! {
    /// Identifier of a batch job, or of a flow.
    JobId
}

/// Identifier of one request of a caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Creates a new unique identifier; identifiers sort by time of creation.
    ///
    /// ```
    /// assert_ne!(model::RequestId::new(), model::RequestId::new());
    /// ```
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self(Uuid::now_v7())
    }

    /// Creates an identifier from a number, for tests with a seed.
    ///
    /// ```
    /// assert_eq!(model::RequestId::from_u128(1), model::RequestId::from_u128(1));
    /// ```
    pub fn from_u128(number: u128) -> Self {
        Self(Uuid::from_u128(number))
    }

    /// Parses the text form of a UUID; `None` if it is malformed.
    ///
    /// ```
    /// assert!(model::RequestId::parse("nonsense").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        Uuid::try_parse(text).ok().map(Self)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_hyphenated().fmt(out)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

impl JobId {
    /// Shard of the job among `shards`.
    ///
    /// All jobs of a team are in one shard, so that its owner knows everything that the team uses.
    ///
    /// ```
    /// let (first, second) = (model::JobId::from("t.a"), model::JobId::from("t.b"));
    /// assert_eq!(first.shard(16), second.shard(16));
    /// ```
    pub fn shard(&self, shards: u16) -> u16 {
        let team = self.as_str().split('.').next().unwrap_or_default();
        (utils::hash64(team) % u64::from(shards.max(1))) as u16
    }
}

/// Identifier of one task of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.job, self.index)
    }
}
