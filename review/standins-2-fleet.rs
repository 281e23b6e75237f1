//! A small deployment: the store and the workers as stand-ins, entries and agents as processes of the
//! project, started as the deploy file says.

use crate::http::{Server, call, free_address};
use crate::json::{Json, object};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Execution, Gangs, Worker};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Host of all queues.
pub const HOST: &str = "a.example";
/// Failed runs after which a task, or a gang, has failed.
pub const MAX_ATTEMPTS: u64 = 3;
/// Time for which a client waits for an answer, as on the sheets.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Longest time until the deployment is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A process of the project.
pub struct Node {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// An entry with its addresses.
pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub node: Node,
}

/// The deployment.
pub struct Fleet {
    pub store: Store,
    pub entries: Vec<Entry>,
    pub agents: Vec<Node>,
    pub workers: Vec<Worker>,
    /// Proxies between the agents and their workers, in the same order.
    pub proxies: Vec<Proxy>,
    pub executions: Arc<Mutex<Vec<Execution>>>,
    pub record: Record,
    gangs: Gangs,
    folder: PathBuf,
    server: Option<Server>,
}

/// Notes a process in the file that REVIEW_PROCESSES names, so that `run.sh` can end it if this one is ended.
fn note_process(id: u32) {
    let Ok(path) = std::env::var("REVIEW_PROCESSES") else {
        return;
    };
    let file = std::fs::OpenOptions::new().append(true).create(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}

impl Node {
    fn start(&mut self) {
        let log = std::fs::File::create(&self.log).expect("the log can be written");
        let child = Command::new("target/release/parsleythread")
            .args([self.role, "--log-format", "json"])
            .env_clear()
            .env("PARSLEYTHREAD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                note_process(child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("the program can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }
}

impl Fleet {
    /// Starts `entries` entries, and a worker with an agent for each of these kinds and racks. Ends the
    /// process with status 2 if they don't get ready.
    pub fn start(entries: usize, workers: &[(&str, &str)], config: &str, record: Record) -> Fleet {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let (store, server) = Store::start(free_address()).expect("the store can be started");
        store.write("op", "config", config);
        let executions: Arc<Mutex<Vec<Execution>>> = Arc::default();
        let mut fleet = Fleet {
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            proxies: Vec::new(),
            executions,
            record,
            gangs: Gangs::default(),
            folder,
            server: Some(server),
        };
        for number in 1..=entries {
            fleet.add_entry(&format!("frontend-z1-{number}"));
        }
        for (index, (kind, rack)) in workers.iter().enumerate() {
            fleet.add_worker(index + 1, kind, rack);
        }
        if !fleet.wait_until_ready() {
            fleet.record.note("the deployment does not get ready");
            fleet.stop();
            std::process::exit(2);
        }
        fleet
    }

    fn node(&self, name: &str, role: &'static str, settings: &Json) -> Node {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let mut node = Node {
            name: name.to_owned(),
            role,
            settings: path,
            log,
            child: None,
        };
        node.start();
        node
    }

    /// Starts an entry with the fields of `deploy/entry.json`.
    fn add_entry(&mut self, name: &str) {
        let (front, ready) = (free_address(), free_address());
        let settings = object([
            ("role", "flow-entry".into()),
            ("id", name.into()),
            ("domain", "z1".into()),
            ("listen", front.to_string().into()),
            ("ready_listen", ready.to_string().into()),
            ("control_listen", free_address().to_string().into()),
            ("metrics_listen", free_address().to_string().into()),
            ("processor_share", Json::Number(0.1)),
            (
                "store",
                object([("url", format!("http://{}", self.store.address).into())]),
            ),
            (
                "leases",
                object([("longest_ms", 6_000.into()), ("slack_ms", 300.into())]),
            ),
            ("grace_ms", 6_000.into()),
            (
                "platform_bounds",
                object([("remoteFactor", Json::Number(1.5)), ("holdMaxMs", 6_000.into())]),
            ),
        ]);
        let node = self.node(name, "entry", &settings);
        self.entries.push(Entry { front, ready, node });
    }

    /// Starts a worker, and its agent with the fields of `deploy/agent.json`.
    fn add_worker(&mut self, number: usize, kind: &str, rack: &str) {
        let (local, address, reached_at) = (free_address(), free_address(), free_address());
        let name = format!("side-z1-{number}");
        let settings = object([
            ("role", "flow-agent".into()),
            ("id", name.as_str().into()),
            ("domain", "z1".into()),
            ("local_listen", local.to_string().into()),
            ("worker", reached_at.to_string().into()),
            ("control_listen", free_address().to_string().into()),
            ("metrics_listen", free_address().to_string().into()),
            (
                "store",
                object([("url", format!("http://{}", self.store.address).into())]),
            ),
        ]);
        self.proxies
            .push(Proxy::start(reached_at, address).expect("the proxy can be started"));
        let node = self.node(&name, "agent", &settings);
        self.agents.push(node);
        let id = format!("i-{number:04}");
        let (executions, record) = (self.executions.clone(), self.record.clone());
        let worker = Worker::new(
            &id,
            kind,
            rack,
            address,
            local,
            executions,
            self.gangs.clone(),
            record,
        );
        worker.start();
        self.workers.push(worker);
    }

    fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_LIMIT;
        let is_ready = |entry: &Entry| {
            let answer = call(
                entry.ready,
                "GET",
                "/-/ready",
                "host: x\r\n",
                "",
                Duration::from_secs(1),
            );
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.entries.iter().all(is_ready) && self.scheduler().is_some() {
                // Traffic starts some seconds after the machines.
                pause_ms(5_000);
                self.record.note("ready");
                return true;
            }
            pause_ms(100);
        }
        false
    }

    /// Index of the entry that last wrote to the store under a condition; `None` before the first.
    pub fn scheduler(&self) -> Option<usize> {
        let row = Json::parse(&self.store.read("lease", "scheduler", "owner"))?;
        let owner = row.get("owner").text().to_owned();
        self.entries.iter().position(|entry| entry.node.name == owner)
    }

    /// Sends a request of a client to an entry, and records it with its answer.
    pub fn request(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let headers = format!(
            "host: {HOST}\r\nx-deadline-milliseconds: {}\r\n",
            DEADLINE.as_millis()
        );
        let front = self.entries[entry].front;
        let answer = call(front, method, path, &headers, body, DEADLINE);
        let (status, text) = answer.unwrap_or((0, String::new()));
        let name = &self.entries[entry].node.name;
        self.record
            .note(&format!("{method} {path} {body} at {name}: {status} {text}"));
        (status, text)
    }

    /// Runs that workers began of a job.
    pub fn runs_of(&self, job: &str) -> Vec<Execution> {
        let executions = self.executions.lock().unwrap();
        let prefix = format!("{job}.");
        executions
            .iter()
            .filter(|run| run.task.starts_with(&prefix))
            .cloned()
            .collect()
    }

    /// Waits until a run of a job begins that is not among the first `known`; `None` if none does in time.
    pub fn next_run(&self, job: &str, known: usize, limit: Duration) -> Option<Execution> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(run) = self.runs_of(job).get(known) {
                return Some(run.clone());
            }
            pause_ms(2);
        }
        None
    }

    /// Ends all processes and stand-ins. The logs go into the folder that REVIEW_LOGS names, if it is set.
    pub fn stop(&mut self) {
        for entry in &mut self.entries {
            entry.node.kill();
        }
        for agent in &mut self.agents {
            agent.kill();
        }
        for worker in &self.workers {
            worker.end();
        }
        if let Some(server) = self.server.take() {
            server.stop();
        }
        match std::env::var("REVIEW_LOGS") {
            Ok(folder) => drop(std::fs::rename(&self.folder, folder)),
            Err(_) => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

pub fn pause_ms(pause_ms: u64) {
    std::thread::sleep(Duration::from_millis(pause_ms));
}

/// A configuration with one pool and a queue for each of these prefixes.
pub fn config(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<Json> = prefixes
        .iter()
        .map(|prefix| {
            object([
                ("name", (*prefix).into()),
                ("host", HOST.into()),
                ("prefix", (*prefix).into()),
                ("service", "pool".into()),
                ("priority", 0.into()),
                ("maxAttempts", MAX_ATTEMPTS.into()),
                ("stretch", Json::Number(1.5)),
                ("targetLatencyMs", 250.into()),
            ])
        })
        .collect();
    let service = object([
        ("name", "pool".into()),
        ("rejectsOverload", true.into()),
        ("spare", false.into()),
    ]);
    object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![service].into()),
        ("limits", object([])),
    ])
    .to_string()
}

/// A job of `steps` steps, one after the other, of `count` tasks each that run for `run_ms`, on workers with
/// this label unless it is empty.
pub fn job(steps: usize, count: u64, run_ms: u64, label: &str) -> String {
    let step = |number: usize| {
        let mut step = object([
            ("count", count.into()),
            ("cpu", 250.into()),
            ("requestedMemoryMb", 256.into()),
            ("estimatedMs", run_ms.into()),
        ]);
        if let Json::Object(fields) = &mut step {
            if !label.is_empty() {
                fields.insert("requirements".to_owned(), label.into());
            }
            if number > 0 {
                fields.insert("after".to_owned(), vec![((number - 1) as u64).into()].into());
            }
        }
        step
    };
    let steps: Vec<Json> = (0..steps).map(step).collect();
    object([("taskSpec", run_ms.to_string().into()), ("steps", steps.into())]).to_string()
}

/// A job of one gang of `members` tasks that work for `run_ms` and are slower on more than one rack.
pub fn gang_job(members: u64, run_ms: u64) -> String {
    let step = object([
        ("count", members.into()),
        ("cpu", 500.into()),
        ("requestedMemoryMb", 256.into()),
        ("estimatedMs", run_ms.into()),
        ("gangScheduled", true.into()),
        ("sameRack", true.into()),
    ]);
    object([
        ("taskSpec", format!("{members}:{run_ms}").into()),
        ("steps", vec![step].into()),
    ])
    .to_string()
}

/// A job of one task that runs for `run_ms`, with its data on a rack.
pub fn near_job(cpu: u64, run_ms: u64, rack: &str) -> String {
    let step = object([
        ("count", 1.into()),
        ("cpu", cpu.into()),
        ("requestedMemoryMb", 256.into()),
        ("estimatedMs", run_ms.into()),
        ("dataRack", rack.into()),
    ]);
    object([
        ("taskSpec", run_ms.to_string().into()),
        ("steps", vec![step].into()),
    ])
    .to_string()
}
