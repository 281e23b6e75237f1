//! State of the platform stand-in, with faults and records.

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

/// Everything that the platform stand-in keeps.
#[derive(Debug)]
pub struct PlatformState {
    /// Monotonic clock of the process.
    clock: Clock,
    /// What is kept, behind a lock.
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The table service.
    table: Table,
    /// The worker runtime.
    runtime: Runtime,
    /// Objects by key.
    objects: HashMap<String, Vec<u8>>,
    /// Faults that are shown.
    faults: Faults,
    /// Commits asked for.
    commits_seen: u64,
    /// Commits within a second.
    writes: Rate,
    /// Reads within a second.
    reads: Rate,
}

/// Calls within the present second.
#[derive(Debug, Default)]
struct Rate {
    /// The present second.
    second: u64,
    /// Calls within it.
    calls: u64,
    /// Most calls within any second.
    most: u64,
}

impl Rate {
    fn admit(&mut self, now_ms: u64, limit: u64) -> bool {
        if self.second != now_ms / 1_000 {
            self.second = now_ms / 1_000;
            self.calls = 0;
        }
        self.calls += 1;
        self.most = self.most.max(self.calls);
        limit == 0 || self.calls <= limit
    }
}

/// What becomes of an answer.
pub(crate) struct Outcome<T> {
    /// The answer.
    pub result: Result<T, StoreError>,
    /// Whether the caller never gets it.
    pub lost: bool,
    /// How long it takes.
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

    /// Sets the faults to show from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Adds a worker of this size, of which services take `reserved`.
    pub fn add_worker(&self, worker: &AgentId, capacity: Resources, reserved: Resources) {
        self.lock().runtime.add_worker(worker, capacity, reserved);
    }

    /// The VM of a worker is gone, with all that runs on it.
    pub fn terminate_worker(&self, worker: &AgentId) {
        let now_ms = self.clock.now_ms();
        self.lock().runtime.terminate_worker(now_ms, worker);
    }

    /// Whether a worker fails everything that it starts.
    pub fn set_failing(&self, worker: &AgentId, failing: bool) {
        self.lock().runtime.set_failing(worker, failing);
    }

    /// Milliseconds since the stand-in started; all its records count by this clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Every run so far, as the runtime saw it.
    pub fn runs(&self) -> Vec<RunRecord> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.runtime.advance(now_ms);
        inner.runtime.records.clone()
    }

    /// Breaches that the runtime saw: workers committed beyond what they have, doubled tasks.
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

    /// Rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let range = ScanRange {
            prefix: prefix.to_owned(),
            after: None,
            limit: usize::MAX,
        };
        self.lock().table.scan(&range)
    }

    /// Commits that took effect, and reads that were answered.
    pub fn table_calls(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.table.commits, inner.table.reads)
    }

    /// Most commits and reads asked for within one second.
    pub fn busiest_second(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.writes.most, inner.reads.most)
    }

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
        let lost = every > 0 && inner.commits_seen.is_multiple_of(every);
        Outcome {
            result,
            lost,
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
            lost: false,
            delay_ms: faults.delay_ms,
        }
    }

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

fn refuse<T>(faults: Faults) -> Outcome<T> {
    let result = Err(StoreError::Unavailable(
        "the stand-in was told to refuse".to_owned(),
    ));
    Outcome {
        result,
        lost: false,
        delay_ms: faults.delay_ms,
    }
}

fn checkpoint_key(task: &model::TaskId, attempt: u32) -> String {
    format!("checkpoint/{task}/{attempt}")
}
