//! Runs a system of separate processes on loopback, with a stand-in of the platform, for tests.
#![allow(dead_code)]

pub mod entry_memory;
pub mod flow_fleet;

use awc::Client;
use client::ClientLimits;
use cluster::free_ports;
use model::{AgentId, Resources};
use serde_json::{Value, json};
use standin::{Execution, PlatformState, StandInPlatform, serve_platform};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Admin token of the entries.
pub const TOKEN: &str = "token-for-tests";
/// Time after which a wait fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// Limits the systems that run at once, because each consists of about ten processes.
static RUNNING_FLEETS: Semaphore = Semaphore::const_new(2);

/// A process of the program under test, which is killed on drop.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts the program; its output is shown if `PARSLEYTHREAD_TEST_LOG` is set.
    pub fn start(args: &[&str]) -> Self {
        let log = std::env::var_os("PARSLEYTHREAD_TEST_LOG").is_some();
        let output = || if log { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(env!("CARGO_BIN_EXE_parsleythread"))
            .args(args)
            .stdout(output())
            .stderr(output())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Starts the program and writes its log as JSON to a file.
    pub fn start_logged(args: &[&str], log: &std::path::Path) -> Self {
        let file = std::fs::File::create(log).expect("the log can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_parsleythread"))
            .args(args)
            .args(["--log-format", "json"])
            .stdout(file)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Sends a signal, named as for `kill`, for example `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status();
        assert!(
            status.expect("kill runs").success(),
            "the process gets SIG{name}"
        );
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for the exit and returns whether the exit status was 0; `false` after [`WAIT_LIMIT`].
    pub async fn exits_successfully(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < WAIT_LIMIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            sleep_ms(50).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// An entry with its addresses and the path of its settings.
pub struct Entry {
    /// Process of the entry.
    pub process: Process,
    /// Address for callers' requests.
    pub traffic: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Address for control calls of agents and other entries.
    pub control: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// An agent with its addresses and the path of its settings.
pub struct Agent {
    /// Process of the agent.
    pub process: Process,
    /// Id, also the name of its worker.
    pub id: AgentId,
    /// Address for requests that entries forward.
    pub traffic: SocketAddr,
    /// Address for announcements of backend servers and for metrics.
    pub local: SocketAddr,
    /// Address for control calls of entries.
    pub control: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// A stand-in backend server.
pub struct Backend {
    /// Process of the backend server.
    pub process: Process,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Size and settings of a system.
#[derive(Clone)]
pub struct FleetSpec {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Run time of a request that does not specify one, in milliseconds.
    pub work_ms: u64,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Address of the platform stand-in; a free port if `None`.
    pub platform_listen: Option<SocketAddr>,
    /// Fields that are added to each entry's settings, or replace them.
    pub entry_extra: Value,
    /// Fields that are added to each agent's settings, or replace them.
    pub agent_extra: Value,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            entries: 2,
            agents: 3,
            slots: 8,
            work_ms: 10,
            capacity: Resources::new(8_000, 16_000, 0),
            platform_listen: None,
            entry_extra: json!({}),
            agent_extra: json!({}),
        }
    }
}

/// A running system; its processes are killed on drop.
pub struct Fleet {
    /// State of the platform stand-in, to inject faults and read its records.
    pub platform: Arc<PlatformState>,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Entries, by index.
    pub entries: Vec<Entry>,
    /// Agents, by index.
    pub agents: Vec<Agent>,
    /// Backend servers, in the order of their agents.
    pub backends: Vec<Backend>,
    /// HTTP client of the test.
    pub client: Client,
    /// Folder of the settings files.
    pub dir: tempfile::TempDir,
    _platform: StandInPlatform,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts a system, applies the first ticket, and waits until all agents serve and every shard
    /// has an owner.
    pub async fn start(spec: &FleetSpec) -> Self {
        let mut fleet = Self::start_empty(spec).await;
        fleet.apply(&first_ticket()).await;
        fleet.wait_until_serving(spec.agents).await;
        fleet.wait_until_shards_owned().await;
        fleet.agents.sort_by(|left, right| left.id.cmp(&right.id));
        fleet
    }

    /// Starts a system without a configuration and waits until its entries are ready.
    pub async fn start_empty(spec: &FleetSpec) -> Self {
        let permit = RUNNING_FLEETS
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let platform =
            serve_platform(spec.platform_listen.unwrap_or(free_ports(1).unwrap()[0])).unwrap();
        let mut fleet = Self {
            platform: platform.state.clone(),
            platform_address: platform.address,
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            client: strict_client(),
            dir: tempfile::tempdir().unwrap(),
            _platform: platform,
            _permit: permit,
        };
        let ports = free_ports(spec.entries * 3).unwrap();
        let control: Vec<SocketAddr> = ports.chunks(3).map(|ports| ports[2]).collect();
        for (index, ports) in ports.chunks(3).enumerate() {
            fleet.start_entry(spec, index, ports, &control);
        }
        for index in 0..spec.agents {
            fleet.start_agent(spec, index, &control);
        }
        for index in 0..fleet.entries.len() {
            fleet.wait_until_ready(fleet.entries[index].admin).await;
        }
        fleet
    }

    /// Writes a settings file with the extra fields and returns its path.
    fn write_settings(&self, name: &str, mut settings: Value, extra: &Value) -> PathBuf {
        for (field, value) in extra.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let path = self.dir.path().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    fn start_entry(
        &mut self,
        spec: &FleetSpec,
        index: usize,
        ports: &[SocketAddr],
        control_addresses: &[SocketAddr],
    ) {
        let peers: Vec<&SocketAddr> = control_addresses
            .iter()
            .filter(|peer| **peer != ports[2])
            .collect();
        let settings = json!({
            "role": "entry", "id": format!("entry-{index}"), "domain": domain(index),
            "listen": ports[0], "admin_listen": ports[1], "control_listen": ports[2],
            "admin_token": TOKEN, "peers": peers, "threads": 1,
            "platform": { "url": format!("http://{}", self.platform_address), "timeout_ms": 1_000 },
            "drain": { "notice_ms": 500 },
        });
        let path = self.write_settings(&format!("entry-{index}.json"), settings, &spec.entry_extra);
        let process = Process::start(&["entry", "--settings", path.to_str().unwrap()]);
        let (traffic, admin, control) = (ports[0], ports[1], ports[2]);
        self.entries.push(Entry {
            process,
            traffic,
            admin,
            control,
            settings: path,
        });
    }

    /// Starts an agent that reports to `entries`, with a backend server if the spec has slots.
    pub fn start_agent(&mut self, spec: &FleetSpec, index: usize, entries: &[SocketAddr]) {
        let ports = free_ports(4).unwrap();
        let id = AgentId::from(format!("worker-{index}"));
        self.platform
            .add_worker(&id, spec.capacity, Resources::default());
        let settings = json!({
            "role": "agent", "id": id, "domain": domain(index),
            "listen": ports[0], "local_listen": ports[1], "control_listen": ports[2],
            "entries": entries, "capacity": spec.capacity, "task_lease_ms": 4_000,
            "platform": { "url": format!("http://{}", self.platform_address), "timeout_ms": 1_000 },
            "drain": { "notice_ms": 500 },
        });
        let path = self.write_settings(&format!("agent-{index}.json"), settings, &spec.agent_extra);
        let process = Process::start(&["agent", "--settings", path.to_str().unwrap()]);
        let (traffic, local, control) = (ports[0], ports[1], ports[2]);
        self.agents.push(Agent {
            process,
            id,
            traffic,
            local,
            control,
            settings: path,
        });
        if spec.slots > 0 {
            self.start_backend(spec, local, ports[3]);
        }
    }

    /// Starts a stand-in backend server that announces itself to `agent`.
    pub fn start_backend(&mut self, spec: &FleetSpec, agent: SocketAddr, listen: SocketAddr) {
        let (agent, address) = (agent.to_string(), listen.to_string());
        let (slots, work_ms) = (spec.slots.to_string(), spec.work_ms.to_string());
        let process = Process::start(&[
            "standin",
            "backend",
            "--listen",
            &address,
            "--agent",
            &agent,
            "--slots",
            &slots,
            "--work-ms",
            &work_ms,
        ]);
        self.backends.push(Backend {
            process,
            address: listen,
        });
    }

    /// Starts an entry again with the same settings.
    pub fn restart_entry(&mut self, index: usize) {
        let path = self.entries[index].settings.clone();
        self.entries[index].process =
            Process::start(&["entry", "--settings", path.to_str().unwrap()]);
    }

    /// Starts an agent again with the same settings.
    pub fn restart_agent(&mut self, index: usize) {
        let path = self.agents[index].settings.clone();
        self.agents[index].process =
            Process::start(&["agent", "--settings", path.to_str().unwrap()]);
    }

    /// Waits until the process with this admin address reports that it is ready.
    pub async fn wait_until_ready(&self, admin: SocketAddr) {
        let url = format!("http://{admin}/readyz");
        let is_ready = async || match self.client.get(&url).send().await {
            Ok(answer) => answer.status().is_success(),
            Err(_) => false,
        };
        wait_until("a process is ready", is_ready).await;
    }

    /// Waits until each entry lists exactly `agents` agents that serve and use the entry's own
    /// configuration number.
    pub async fn wait_until_serving(&self, agents: usize) {
        for entry in &self.entries {
            let serving = async || {
                let Ok(status) = self.get(entry.admin, "/v1/status").await else {
                    return false;
                };
                let number = status["config"].as_u64();
                let serves = |agent: &&Value| {
                    agent["services"]
                        .as_array()
                        .is_some_and(|services| !services.is_empty())
                        && agent["config"].as_u64() == number
                };
                let count = status["agents"]
                    .as_array()
                    .map_or(0, |all| all.iter().filter(serves).count());
                count == agents
            };
            let started = Instant::now();
            while !serving().await {
                if started.elapsed() > WAIT_LIMIT {
                    let status = self.get(entry.admin, "/v1/status").await;
                    panic!(
                        "not {agents} agents serve at entry {}: {status:?}",
                        entry.admin
                    );
                }
                sleep_ms(50).await;
            }
        }
    }

    /// Waits until every shard has an owner.
    pub async fn wait_until_shards_owned(&self) {
        wait_until("all shards are owned", async || {
            let mut owned = 0;
            for entry in &self.entries {
                if let Ok(status) = self.get(entry.admin, "/v1/status").await {
                    owned += status["shards"].as_array().map_or(0, Vec::len);
                }
            }
            owned == 16
        })
        .await;
    }

    /// Makes an admin call with GET; errors as for [`Self::admin_call`].
    pub async fn get(&self, admin: SocketAddr, path: &str) -> Result<Value, (u16, Value)> {
        self.admin_call("GET", admin, path, None).await
    }

    /// Makes an admin call; `Err` holds the status and the body, or 0 and the error without an
    /// answer.
    pub async fn admin_call(
        &self,
        method: &str,
        admin: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, (u16, Value)> {
        let method = method.parse::<awc::http::Method>().unwrap();
        let request = self.client.request(method, format!("http://{admin}{path}"));
        let request = request.insert_header(("authorization", format!("Bearer {TOKEN}")));
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut answer = sent.map_err(|error| (0, Value::String(error.to_string())))?;
        let status = answer.status();
        let bytes = answer.body().await.unwrap_or_default();
        let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        if status.is_success() {
            Ok(value)
        } else {
            Err((status.as_u16(), value))
        }
    }

    /// Applies a ticket through the first entry and asserts that it is accepted.
    pub async fn apply(&self, ticket: &Value) {
        let admin = self.entries[0].admin;
        let applied = self
            .admin_call("POST", admin, "/v1/tickets", Some(ticket))
            .await;
        applied.expect("the ticket is accepted");
    }

    /// Submits a batch job through an entry; errors as for [`Self::admin_call`].
    pub async fn submit(&self, entry: usize, job: &Value) -> Result<Value, (u16, Value)> {
        self.admin_call("POST", self.entries[entry].admin, "/v1/jobs", Some(job))
            .await
    }

    /// Waits for the end of a job and returns its status.
    pub async fn job_end(&self, entry: usize, job: &str) -> Value {
        let path = format!("/v1/jobs/{job}");
        let admin = self.entries[entry].admin;
        let started = Instant::now();
        let mut answers = 0;
        let mut last = Err((0, Value::Null));
        while started.elapsed() < WAIT_LIMIT {
            let asked = Instant::now();
            last = self.get(admin, &path).await;
            answers += 1;
            match &last {
                Ok(status) if status["phase"] == "ended" => return status.clone(),
                Ok(_) => {}
                Err(failure) => println!("{job}: {failure:?} after {:?}", asked.elapsed()),
            }
            sleep_ms(100).await;
        }
        panic!("job {job} did not end, {answers} answers: {last:?}");
    }

    /// Sends a request to the service through an entry; `mark` identifies it in the records of the
    /// backend servers.
    pub async fn call(&self, entry: usize, method: &str, path: &str, mark: &str) -> CallOutcome {
        self.call_with_headers(entry, method, path, mark, &[]).await
    }

    /// As [`Self::call`], with more headers.
    pub async fn call_with_headers(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        mark: &str,
        headers: &[(&str, &str)],
    ) -> CallOutcome {
        let address = format!("http://{}/s/rooms{path}", self.entries[entry].traffic);
        let client = strict_client();
        let mut request = client.request(method.parse().unwrap(), address);
        request = request.insert_header(("x-mark", mark));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        read_outcome(request.send_body(mark.to_owned()).await).await
    }

    /// Requests that were executed, from the records of all backend servers that still answer.
    pub async fn executions(&self) -> Vec<Execution> {
        let mut all: Vec<Execution> = Vec::new();
        for backend in &self.backends {
            let url = format!("http://{}/standin/record", backend.address);
            let Ok(mut answer) = self
                .client
                .get(url)
                .timeout(Duration::from_secs(3))
                .send()
                .await
            else {
                continue;
            };
            all.extend(
                answer
                    .json::<Vec<Execution>>()
                    .limit(64 << 20)
                    .await
                    .unwrap_or_default(),
            );
        }
        all
    }

    /// Asserts that no request ran more than once, that none ran whose caller got the verdict
    /// `not-run`, and that every whole answer belongs to its request.
    pub async fn assert_outcomes_match_executions(&self, history: &[(String, CallOutcome)]) {
        let executions = self.executions().await;
        for (mark, outcome) in history {
            let count = executions
                .iter()
                .filter(|execution| execution.mark == *mark)
                .count();
            assert!(
                count <= 1,
                "{mark} ran {count} times; its caller got {outcome:?}"
            );
            match outcome {
                CallOutcome::Whole { body, .. } => {
                    assert!(
                        body.starts_with(mark.as_bytes()),
                        "{mark} got another's answer"
                    );
                }
                CallOutcome::Failed { verdict, .. } if verdict == "not-run" => {
                    assert_eq!(
                        count, 0,
                        "{mark} ran although its caller got the verdict not-run"
                    );
                }
                CallOutcome::Failed { .. } | CallOutcome::Broken => {}
            }
        }
    }
}

/// A client that reports a cut answer as an error, not as its end.
pub fn strict_client() -> Client {
    let limits = ClientLimits {
        connect: WAIT_LIMIT,
        keep_alive: Duration::from_secs(2),
        call: Some(WAIT_LIMIT),
    };
    client::build(limits)
}

/// Outcome of a call, as its caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// The answer of the backend server, complete.
    Whole { status: u16, body: bytes::Bytes },
    /// A failure that the scheduler reports, with its verdict and code.
    Failed {
        status: u16,
        verdict: String,
        code: String,
    },
    /// No answer, or one that was cut.
    Broken,
}

impl CallOutcome {
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }

    pub fn verdict(&self) -> &str {
        match self {
            Self::Failed { verdict, .. } => verdict,
            Self::Whole { .. } => "whole",
            Self::Broken => "broken",
        }
    }
}

/// Reads an answer to its end; one shorter than its declared length counts as broken.
async fn read_outcome<S>(
    sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> CallOutcome
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(mut answer) = sent else {
        return CallOutcome::Broken;
    };
    let status = answer.status().as_u16();
    let header = answer.headers().get("x-parsleythread-verdict").cloned();
    let verdict = header.map(|value| value.to_str().unwrap_or_default().to_owned());
    let length = answer.headers().get("content-length").cloned();
    let length: Option<usize> = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let Ok(body) = answer.body().limit(64 << 20).await else {
        return CallOutcome::Broken;
    };
    if length.is_some_and(|length| length != body.len()) {
        return CallOutcome::Broken;
    }
    match verdict {
        None => CallOutcome::Whole { status, body },
        Some(verdict) => {
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            let code = value["code"].as_str().unwrap_or_default().to_owned();
            CallOutcome::Failed {
                status,
                verdict,
                code,
            }
        }
    }
}

/// Ticket 1, with the teams `timetabling` and `exams` and the service `rooms`.
pub fn first_ticket() -> Value {
    json!({
        "number": 1, "author": "ann", "reason": "start",
        "teams": [
            { "name": "timetabling", "quota": { "processors_milli": 100_000, "memory_mb": 200_000 } },
            { "name": "exams", "quota": { "processors_milli": 100_000, "memory_mb": 200_000 } },
        ],
        "services": [{ "name": "rooms", "team": "timetabling", "deadline_ms": 8_000 }],
    })
}

/// Spec of a batch job whose tasks each run for `run_ms` in the stand-in.
pub fn job(team: &str, key: &str, tasks: u32, run_ms: u64) -> Value {
    json!({
        "team": team, "key": key, "kind": "plain", "tasks": tasks, "run_ms": run_ms,
        "need": { "processors_milli": 1_000, "memory_mb": 500 },
        "payload": json!({ "run_ms": run_ms }).to_string(),
    })
}

/// Failure domain of the entry or agent with this index; there are three.
pub fn domain(index: usize) -> String {
    format!("domain-{}", index % 3)
}

pub async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until a condition holds; panics with its description after [`WAIT_LIMIT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < WAIT_LIMIT {
        if holds().await {
            return;
        }
        sleep_ms(50).await;
    }
    panic!("not within {WAIT_LIMIT:?}: {what}");
}
