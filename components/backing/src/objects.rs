//! Interface of the object store.

use crate::StoreError;
use async_trait::async_trait;

/// Stores opaque objects by key, for example checkpoints of tasks.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Writes an object, replacing its whole content.
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError>;

    /// Reads an object; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;
}
