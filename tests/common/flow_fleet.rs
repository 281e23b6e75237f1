//! Entries and agents as processes, with stand-ins for the platform.

use super::{Process, sleep_ms};
use platform_standin::caller::Caller;
use platform_standin::store::StoreStandIn;
use platform_standin::worker::{Execution, WorkerStandIn};
use platform_standin::{AgentAddresses, EntryAddresses, free_address};
use serde_json::Value;
use standin::Relay;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time after which a wait fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A process that can be restarted with its settings file.
pub struct Node {
    /// Subcommand that starts the process.
    pub role: &'static str,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// The current process.
    pub process: Process,
}

impl Node {
    pub fn start(role: &'static str, id: &str, settings: &Value, folder: &TempDir) -> Self {
        let path = folder.path().join(format!("{id}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let process = Self::run(role, &path);
        Self {
            role,
            settings: path,
            process,
        }
    }

    fn run(role: &'static str, settings: &std::path::Path) -> Process {
        Process::start(&[role, "--settings", settings.to_str().unwrap()])
    }

    pub fn restart(&mut self) {
        self.process.kill();
        self.process = Self::run(self.role, &self.settings);
    }
}

/// Entries, agents and stand-in workers that share one stand-in store.
pub struct Fleet {
    /// Stand-in for the platform's store.
    pub store: StoreStandIn,
    /// Entries, by index.
    pub entries: Vec<(EntryAddresses, Node)>,
    /// Agents, by index.
    pub agents: Vec<(AgentAddresses, Node)>,
    /// Stand-in workers, in the order of their agents.
    pub workers: Vec<WorkerStandIn>,
    /// Relays between agents and workers, in the same order; empty if there are none.
    pub relays: Vec<Relay>,
    /// HTTP client of the entries.
    pub caller: Caller,
    /// Folder of the settings files, deleted on drop.
    _folder: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until every entry has a scheduler.
    pub async fn start(entries: usize, agents: usize) -> Self {
        Self::start_with(entries, agents, |_| {}).await
    }

    /// As [`Fleet::start`], with a store that accepts values of `row_bytes`, as the entries know.
    pub async fn start_with_row_bytes(entries: usize, agents: usize, row_bytes: usize) -> Self {
        let set = |settings: &mut Value| settings["store"]["row_bytes"] = row_bytes.into();
        let fleet = Self::start_with(entries, agents, set).await;
        fleet.store.set_row_bytes(row_bytes);
        fleet
    }

    /// As [`Fleet::start`], with workers that grant leases of up to `longest_ms`, as the entries know.
    pub async fn start_with_longest_lease(entries: usize, agents: usize, longest_ms: u64) -> Self {
        let set = |settings: &mut Value| settings["leases"]["longest_ms"] = longest_ms.into();
        Self::start_with(entries, agents, set).await
    }

    /// As [`Fleet::start`], with entries that may use `memory_mb` mebibytes.
    pub async fn start_with_memory(entries: usize, agents: usize, memory_mb: u32) -> Self {
        let set = |settings: &mut Value| settings["memory_mb"] = memory_mb.into();
        Self::start_with(entries, agents, set).await
    }

    /// As [`Fleet::start`], with workers in these zones, in turn, and with a bound on evacuations.
    pub async fn start_in_zones(
        entries: usize,
        agents: usize,
        zones: &[&str],
        evacuation_bound_ms: u64,
    ) -> Self {
        let set = |settings: &mut Value| {
            settings["policies"]["evacuation_bound_ms"] = evacuation_bound_ms.into();
        };
        Self::start_with_zones(entries, agents, zones, set).await
    }

    /// As [`Fleet::start`], with entries that learn run times.
    pub async fn start_learning(entries: usize, agents: usize) -> Self {
        let set = |settings: &mut Value| settings["policies"]["learned_run_times"] = true.into();
        Self::start_with(entries, agents, set).await
    }

    /// As [`Fleet::start`], with entries that refuse jobs that can't end in time.
    pub async fn start_with_admission(entries: usize, agents: usize) -> Self {
        let set = |settings: &mut Value| settings["policies"]["admission"] = true.into();
        Self::start_with(entries, agents, set).await
    }

    /// As [`Fleet::start`], with a change to the settings of the entries.
    async fn start_with(entries: usize, agents: usize, change: impl Fn(&mut Value)) -> Self {
        Self::start_with_zones(entries, agents, &["d1"], change).await
    }

    /// As [`Fleet::start`], with a relay between each agent and its worker.
    pub async fn start_behind_relays(entries: usize, agents: usize) -> Self {
        let mut relayed = Vec::new();
        let mut relays = Vec::new();
        for _ in 0..agents {
            let worker = AgentAddresses::free();
            let relay = Relay::start(free_address(), worker.worker).await;
            let relay = relay.expect("the address is free");
            let agent = AgentAddresses {
                worker: relay.address,
                ..worker
            };
            relayed.push((agent, worker));
            relays.push(relay);
        }
        let mut fleet = Self::start_at(entries, &relayed, &["d1"], |_| {}).await;
        fleet.relays = relays;
        fleet
    }

    async fn start_with_zones(
        entries: usize,
        agents: usize,
        zones: &[&str],
        change: impl Fn(&mut Value),
    ) -> Self {
        let addresses: Vec<(AgentAddresses, AgentAddresses)> = (0..agents)
            .map(|_| AgentAddresses::free())
            .map(|addresses| (addresses, addresses))
            .collect();
        Self::start_at(entries, &addresses, zones, change).await
    }

    /// Starts agents and workers at these addresses: as the agent knows them, and as the worker does.
    async fn start_at(
        entries: usize,
        agents: &[(AgentAddresses, AgentAddresses)],
        zones: &[&str],
        change: impl Fn(&mut Value),
    ) -> Self {
        let folder = TempDir::new().unwrap();
        let store = StoreStandIn::start();
        store.configure(3);
        let entries = (0..entries).map(|number| {
            let addresses = EntryAddresses::free();
            let id = format!("e{number}");
            let mut settings = addresses.settings(&id, store.address);
            change(&mut settings);
            (addresses, Node::start("entry", &id, &settings, &folder))
        });
        let entries = entries.collect();
        let numbered = agents.iter().enumerate();
        let workers = numbered
            .clone()
            .map(|(number, (_, addresses))| {
                let zone = zones[number % zones.len()];
                WorkerStandIn::start_in(zone, &format!("w{number}"), *addresses)
            })
            .collect();
        let agents = numbered
            .map(|(number, (addresses, _))| {
                let id = format!("a{number}");
                let settings = addresses.settings(&id, store.address);
                (*addresses, Node::start("agent", &id, &settings, &folder))
            })
            .collect();
        let fleet = Self {
            store,
            entries,
            agents,
            workers,
            relays: Vec::new(),
            caller: Caller::new(CALL_TIMEOUT),
            _folder: folder,
        };
        fleet.wait_until_ready().await;
        fleet
    }

    pub async fn wait_until_ready(&self) {
        let started = Instant::now();
        for (addresses, _) in &self.entries {
            while !self.caller.is_ready(addresses.ready).await {
                assert!(started.elapsed() < WAIT_LIMIT, "an entry is not ready");
                sleep_ms(50).await;
            }
        }
        for entry in 0..self.entries.len() {
            while self.call("GET", entry, "", &Value::Null).await.0 != 200 {
                assert!(started.elapsed() < WAIT_LIMIT, "there is no scheduler");
                sleep_ms(50).await;
            }
        }
    }

    /// Calls an entry; returns the status, or 0 without an answer, and the body with the
    /// retry-after.
    pub async fn call(&self, method: &str, entry: usize, id: &str, body: &Value) -> (u16, Value) {
        let front = self.entries[entry].0.front;
        self.caller.call(method, front, id, body).await
    }

    /// Submits a job and repeats that until an entry gives a final answer; returns its status.
    pub async fn submit(&self, entry: usize, id: &str, body: &Value) -> u16 {
        let started = Instant::now();
        loop {
            let (status, _) = self.call("POST", entry, id, body).await;
            let is_final = !matches!(status, 0 | 429 | 502 | 503 | 504);
            if is_final || started.elapsed() > WAIT_LIMIT {
                return status;
            }
            sleep_ms(100).await;
        }
    }

    /// State of a job according to an entry; empty if the answer states none.
    pub async fn state(&self, entry: usize, id: &str) -> String {
        self.caller.state(self.entries[entry].0.front, id).await
    }

    /// Waits until the first entry reports each of these jobs as completed.
    pub async fn wait_until_completed(&self, ids: &[String]) {
        let started = Instant::now();
        for id in ids {
            while self.state(0, id).await != "completed" {
                assert!(
                    started.elapsed() < WAIT_LIMIT,
                    "{id} is {}",
                    self.state(0, id).await
                );
                sleep_ms(50).await;
            }
        }
    }

    /// Metrics of an entry as text; empty without an answer.
    pub async fn metrics(&self, entry: usize) -> String {
        self.caller.metrics(self.entries[entry].0.metrics).await
    }

    /// All runs that the workers have started.
    pub fn executions(&self) -> Vec<Execution> {
        self.workers
            .iter()
            .flat_map(WorkerStandIn::executions)
            .collect()
    }

    /// Index of the entry that holds the scheduler's lease.
    pub fn scheduler(&self) -> usize {
        let rows = self.store.values("lease");
        let row: Value = serde_json::from_str(&rows[0].1).unwrap();
        row["owner"].as_str().unwrap()[1..].parse().unwrap()
    }

    /// Asserts that no two runs of a task overlapped and that no task ran after its success, unless
    /// its worker crashed before anybody could read of that.
    pub fn assert_no_duplicate_runs(&self) {
        let mut by_task: BTreeMap<String, Vec<Execution>> = BTreeMap::new();
        for execution in self.executions() {
            by_task
                .entry(execution.task.clone())
                .or_default()
                .push(execution);
        }
        for (task, runs) in &mut by_task {
            runs.sort_by_key(|run| run.started);
            for pair in runs.windows(2) {
                let ended = pair[0].ended.expect("a run ended before the next one");
                assert!(
                    ended <= pair[1].started,
                    "{task} ran twice at once: {pair:?}"
                );
                let has_succeeded = pair[0].outcome == "done" && !pair[0].is_end_lost;
                assert!(!has_succeeded, "{task} ran after its success: {runs:?}");
            }
        }
    }
}

/// Ids of `count` jobs.
pub fn ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{number:016x}")).collect()
}
