//! The object store.

use crate::StoreError;
use async_trait::async_trait;

/// The object store.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Writes an object whole.
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError>;

    /// Reads an object, if it exists.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;
}
