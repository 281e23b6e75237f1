//! Traits for the platform's services (table, object store and worker runtime), and HTTP clients
//! that implement them.

mod error;
mod feed;
mod http;
mod objects;
mod runtime;
mod table;

pub use error::StoreError;
pub use feed::{ChangedRow, Changes, TableFeed};
pub use http::{HttpObjects, HttpRuntime, HttpTable};
pub use objects::ObjectStore;
pub use runtime::{
    AttemptRef, AttemptReport, AttemptStatus, LeaseList, RuntimeRefusal, StartAttempt, StopMode,
    ThrottleAttempt, WorkerRuntime,
};
pub use table::{Condition, KeyList, Row, ScanRange, TableStore, Transaction, Write};
