//! Classes of tasks.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What tasks of one kind have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskClass<'a> {
    /// Queue to which their job was submitted.
    pub queue: &'a str,
    /// Image that they run, if the caller stated one.
    pub image: Option<&'a str>,
    /// Number of their step within the job.
    pub step: u32,
}

/// Hash of a class, the same in every process. It keeps the stored form short, and lookups free of
/// allocations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassId(pub(crate) u64);

impl TaskClass<'_> {
    /// Hash of the class.
    pub(crate) fn id(&self) -> ClassId {
        let seed = u64::from(self.step) << 1 | u64::from(self.image.is_some());
        let queue = xxh3_64_with_seed(self.queue.as_bytes(), seed);
        let image = self.image.unwrap_or_default();
        ClassId(xxh3_64_with_seed(image.as_bytes(), queue))
    }
}
