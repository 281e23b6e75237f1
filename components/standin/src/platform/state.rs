//! State of the platform stand-in, with injected faults and call counts.

use super::runtime::{RunRecord, Runtime};
use super::table::Table;
use crate::Faults;
use backing::{
    AttemptReport, AttemptStatus, LeaseList, Row, ScanRange, StartAttempt, StopMode, StoreError,
    Transaction,
};
use model::{AgentId, Resources};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use utils::Clock;

/// Shared state of the platform stand-in; tests hold it to inject faults and read records.
#[derive(Debug)]
pub struct PlatformState {
    /// Monotonic clock, started with the stand-in.
    clock: Clock,
    /// Services, faults and call counts.
    inner: Mutex<Inner>,
}

/// Services of the platform, with the faults that apply to them.
#[derive(Debug, Default)]
struct Inner {
    /// Rows of the table service.
    table: Table,
    /// Workers and their runs.
    runtime: Runtime,
    /// Contents of the object store by key; checkpoints among them.
    objects: HashMap<String, Vec<u8>>,
    /// Faults that are injected now.
    faults: Faults,
    /// Commits that reached the table, conflicts included; every n-th of them loses its answer.
    commits_seen: u64,
    /// Rate limit of commits.
    writes: CallRate,
    /// Rate limit of reads and scans.
    reads: CallRate,
}

/// Counts the calls of each second, to apply a rate limit.
#[derive(Debug, Default)]
struct CallRate {
    /// Second that is being counted, since the stand-in started.
    second: u64,
    /// Calls in this second, refused ones included.
    calls: u64,
    /// Highest number of calls in any second.
    max_calls: u64,
}

impl CallRate {
    /// Counts a call; returns whether it is within `limit` calls a second (0: unlimited).
    fn admit(&mut self, now_ms: u64, limit: u64) -> bool {
        if self.second != now_ms / 1_000 {
            self.second = now_ms / 1_000;
            self.calls = 0;
        }
        self.calls += 1;
        self.max_calls = self.max_calls.max(self.calls);
        limit == 0 || self.calls <= limit
    }
}

/// Result of a table call, and how its answer reaches the caller.
pub(crate) struct Outcome<T> {
    /// Result of the call.
    pub result: Result<T, StoreError>,
    /// Whether the answer is withheld although the call took effect.
    pub is_lost: bool,
    /// Delay before the answer is sent.
    pub delay_ms: u64,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            inner: Mutex::default(),
        }
    }
}

impl PlatformState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults; applies to later calls.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Adds a worker; `reserved` is the part of `capacity` that belongs to services.
    pub fn add_worker(&self, worker: &AgentId, capacity: Resources, reserved: Resources) {
        self.lock().runtime.add_worker(worker, capacity, reserved);
    }

    /// Terminates the VM of a worker: its attempts end as lapsed, later starts are refused.
    pub fn terminate_worker(&self, worker: &AgentId) {
        let now_ms = self.clock.now_ms();
        self.lock().runtime.terminate_worker(now_ms, worker);
    }

    /// Makes every attempt on a worker fail at once, or lets later ones run normally again.
    pub fn set_failing(&self, worker: &AgentId, is_failing: bool) {
        self.lock().runtime.set_failing(worker, is_failing);
    }

    /// Milliseconds since the stand-in started; all records use this clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Every run so far, in order of start, as recorded by the stand-in runtime.
    pub fn runs(&self) -> Vec<RunRecord> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.runtime.advance(now_ms);
        inner.runtime.records.clone()
    }

    /// Broken invariants seen by the runtime: workers with reservations over their capacity, and
    /// tasks with two running attempts. Empty if the system works correctly.
    pub fn breaches(&self) -> Vec<String> {
        let inner = self.lock();
        inner
            .runtime
            .overcommitted
            .iter()
            .chain(&inner.runtime.doubled)
            .cloned()
            .collect()
    }

    /// Rows whose keys start with `prefix`, in order of key; counts as a read.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let range = ScanRange {
            prefix: prefix.to_owned(),
            after: None,
            limit: usize::MAX,
        };
        self.lock().table.scan(&range)
    }

    /// Number of commits that took effect and of reads and scans that were served.
    pub fn table_calls(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.table.commits, inner.table.reads)
    }

    /// Highest number of commits and of reads requested in any one second.
    pub fn busiest_second(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.writes.max_calls, inner.reads.max_calls)
    }

    /// Commits to the table, subject to the injected faults.
    pub(crate) fn commit(&self, txn: &Transaction) -> Outcome<u64> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let faults = inner.faults;
        if faults.down || !inner.writes.admit(now_ms, faults.writes_per_s) {
            return refuse(faults);
        }
        let result = inner.table.commit(txn);
        inner.commits_seen += 1;
        let every = faults.lose_answer_every;
        let is_lost = every > 0 && inner.commits_seen.is_multiple_of(every);
        Outcome {
            result,
            is_lost,
            delay_ms: faults.delay_ms,
        }
    }

    pub(crate) fn read(&self, keys: &[String]) -> Outcome<Vec<Row>> {
        self.answer_read(|table| table.read(keys))
    }

    pub(crate) fn scan(&self, range: &ScanRange) -> Outcome<Vec<Row>> {
        self.answer_read(|table| table.scan(range))
    }

    fn answer_read(&self, read: impl FnOnce(&mut Table) -> Vec<Row>) -> Outcome<Vec<Row>> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let faults = inner.faults;
        if faults.down || !inner.reads.admit(now_ms, faults.reads_per_s) {
            return refuse(faults);
        }
        Outcome {
            result: Ok(read(&mut inner.table)),
            is_lost: false,
            delay_ms: faults.delay_ms,
        }
    }

    /// Starts an attempt, with the completed work of the checkpoint that the order names.
    ///
    /// # Errors
    /// As `Runtime::start`.
    pub(crate) fn start(&self, worker: &AgentId, start: &StartAttempt) -> Result<(), &'static str> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let key = start
            .checkpoint
            .map(|attempt| checkpoint_key(&start.attempt.task, attempt));
        let saved = key.and_then(|key| inner.objects.get(&key).cloned());
        let text = saved.and_then(|bytes| String::from_utf8(bytes).ok());
        let resumed_ms = text.and_then(|text| text.parse().ok()).unwrap_or(0);
        inner.runtime.start(now_ms, worker, start, resumed_ms)
    }

    pub(crate) fn renew(&self, worker: &AgentId, leases: &LeaseList) -> Vec<AttemptReport> {
        let now_ms = self.clock.now_ms();
        self.lock().runtime.renew(now_ms, worker, leases)
    }

    /// Stops an attempt; its completed work is stored as an object if it is checkpointed.
    pub(crate) fn stop(
        &self,
        worker: &AgentId,
        attempt: &backing::AttemptRef,
        mode: StopMode,
    ) -> AttemptStatus {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let (status, done_ms) = inner.runtime.stop(now_ms, worker, attempt, mode);
        if let Some(done_ms) = done_ms {
            let key = checkpoint_key(&attempt.task, attempt.attempt);
            inner.objects.insert(key, done_ms.to_string().into_bytes());
        }
        status
    }

    pub(crate) fn throttle(&self, worker: &AgentId, attempt: &backing::AttemptRef, percent: u32) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .runtime
            .throttle(now_ms, worker, attempt, percent);
    }

    /// Stores an object; `false` if the stand-in is down.
    pub(crate) fn put_object(&self, key: &str, content: Vec<u8>) -> bool {
        let mut inner = self.lock();
        if inner.faults.down {
            return false;
        }
        inner.objects.insert(key.to_owned(), content);
        true
    }

    pub(crate) fn get_object(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().objects.get(key).cloned()
    }
}

/// Refusal by an injected fault: the call takes no effect.
fn refuse<T>(faults: Faults) -> Outcome<T> {
    let result = Err(StoreError::Unavailable(
        "the stand-in was told to refuse".to_owned(),
    ));
    Outcome {
        result,
        is_lost: false,
        delay_ms: faults.delay_ms,
    }
}

/// Key of the object that holds the completed work of a checkpointed attempt.
fn checkpoint_key(task: &model::TaskId, attempt: u32) -> String {
    format!("checkpoint/{task}/{attempt}")
}
