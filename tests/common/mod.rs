//! A system of separate processes on loopback, for tests.
#![allow(dead_code)]

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
/// Longest time for anything that is waited for.
pub const LIMIT: Duration = Duration::from_secs(40);

/// Systems that run at once; each is some ten processes.
static SYSTEMS: Semaphore = Semaphore::const_new(2);

/// One process.
pub struct Process {
    pub child: Child,
}

impl Process {
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

    /// Starts a process that writes its log as JSON into a file.
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

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status();
        assert!(status.expect("kill runs").success(), "the process is there");
    }

    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for the end and answers whether it was a success.
    pub async fn ended_well(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < LIMIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            pause(50).await;
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

/// An entry.
pub struct Entry {
    pub process: Process,
    pub traffic: SocketAddr,
    pub admin: SocketAddr,
    pub control: SocketAddr,
    pub settings: PathBuf,
}

/// An agent.
pub struct Agent {
    pub process: Process,
    pub id: AgentId,
    pub traffic: SocketAddr,
    pub local: SocketAddr,
    pub control: SocketAddr,
    pub settings: PathBuf,
}

/// A backend server.
pub struct Backend {
    pub process: Process,
    pub address: SocketAddr,
}

/// What a system is made of.
#[derive(Clone)]
pub struct Plan {
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    pub work_ms: u64,
    pub capacity: Resources,
    /// Where the platform stand-in listens; anywhere if absent.
    pub platform_listen: Option<SocketAddr>,
    /// Added to each entry's settings.
    pub entry_extra: Value,
    /// Added to each agent's settings.
    pub agent_extra: Value,
}

impl Default for Plan {
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

/// A whole system.
pub struct Fleet {
    pub platform: Arc<PlatformState>,
    pub platform_address: SocketAddr,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub backends: Vec<Backend>,
    pub client: Client,
    pub dir: tempfile::TempDir,
    _platform: StandInPlatform,
    _turn: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts a system and applies a first ticket with one team and one service.
    pub async fn start(plan: &Plan) -> Self {
        let mut fleet = Self::start_empty(plan).await;
        fleet.apply(&first_ticket()).await;
        fleet.wait_serving(plan.agents).await;
        fleet.wait_shards().await;
        fleet.agents.sort_by(|left, right| left.id.cmp(&right.id));
        fleet
    }

    /// Starts a system without a configuration.
    pub async fn start_empty(plan: &Plan) -> Self {
        let turn = SYSTEMS
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let platform =
            serve_platform(plan.platform_listen.unwrap_or(free_ports(1).unwrap()[0])).unwrap();
        let mut fleet = Self {
            platform: platform.state.clone(),
            platform_address: platform.address,
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            client: strict_client(),
            dir: tempfile::tempdir().unwrap(),
            _platform: platform,
            _turn: turn,
        };
        let ports = free_ports(plan.entries * 3).unwrap();
        let control: Vec<SocketAddr> = ports.chunks(3).map(|ports| ports[2]).collect();
        for (index, ports) in ports.chunks(3).enumerate() {
            fleet.start_entry(plan, index, ports, &control);
        }
        for index in 0..plan.agents {
            fleet.start_agent(plan, index, &control);
        }
        for index in 0..fleet.entries.len() {
            fleet.wait_ready(fleet.entries[index].admin).await;
        }
        fleet
    }

    fn write(&self, name: &str, mut settings: Value, extra: &Value) -> PathBuf {
        for (field, value) in extra.as_object().into_iter().flatten() {
            settings[field] = value.clone();
        }
        let path = self.dir.path().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    fn start_entry(&mut self, plan: &Plan, index: usize, ports: &[SocketAddr], all: &[SocketAddr]) {
        let peers: Vec<&SocketAddr> = all.iter().filter(|peer| **peer != ports[2]).collect();
        let settings = json!({
            "role": "entry", "id": format!("entry-{index}"), "domain": domain(index),
            "listen": ports[0], "admin_listen": ports[1], "control_listen": ports[2],
            "admin_token": TOKEN, "peers": peers, "threads": 1,
            "platform": { "url": format!("http://{}", self.platform_address), "timeout_ms": 1_000 },
            "drain": { "notice_ms": 500 },
        });
        let path = self.write(&format!("entry-{index}.json"), settings, &plan.entry_extra);
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

    pub fn start_agent(&mut self, plan: &Plan, index: usize, entries: &[SocketAddr]) {
        let ports = free_ports(4).unwrap();
        let id = AgentId::from(format!("worker-{index}"));
        self.platform
            .add_worker(&id, plan.capacity, Resources::default());
        let settings = json!({
            "role": "agent", "id": id, "domain": domain(index),
            "listen": ports[0], "local_listen": ports[1], "control_listen": ports[2],
            "entries": entries, "capacity": plan.capacity, "task_lease_ms": 4_000,
            "platform": { "url": format!("http://{}", self.platform_address), "timeout_ms": 1_000 },
            "drain": { "notice_ms": 500 },
        });
        let path = self.write(&format!("agent-{index}.json"), settings, &plan.agent_extra);
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
        if plan.slots > 0 {
            self.start_backend(plan, local, ports[3]);
        }
    }

    pub fn start_backend(&mut self, plan: &Plan, agent: SocketAddr, listen: SocketAddr) {
        let (agent, address) = (agent.to_string(), listen.to_string());
        let (slots, work_ms) = (plan.slots.to_string(), plan.work_ms.to_string());
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

    /// Starts an entry again with the settings that it had.
    pub fn restart_entry(&mut self, index: usize) {
        let path = self.entries[index].settings.clone();
        self.entries[index].process =
            Process::start(&["entry", "--settings", path.to_str().unwrap()]);
    }

    /// Starts an agent again with the settings that it had.
    pub fn restart_agent(&mut self, index: usize) {
        let path = self.agents[index].settings.clone();
        self.agents[index].process =
            Process::start(&["agent", "--settings", path.to_str().unwrap()]);
    }

    pub async fn wait_ready(&self, admin: SocketAddr) {
        let url = format!("http://{admin}/readyz");
        let is_ready = async || match self.client.get(&url).send().await {
            Ok(answer) => answer.status().is_success(),
            Err(_) => false,
        };
        wait_until("a process is ready", is_ready).await;
    }

    /// Waits until each entry knows so many agents with the service and the newest ticket.
    pub async fn wait_serving(&self, agents: usize) {
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
                if started.elapsed() > LIMIT {
                    let status = self.get(entry.admin, "/v1/status").await;
                    panic!("agents do not serve: {status:?}");
                }
                pause(50).await;
            }
        }
    }

    /// Waits until every shard has an owner.
    pub async fn wait_shards(&self) {
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

    pub async fn get(&self, admin: SocketAddr, path: &str) -> Result<Value, (u16, Value)> {
        self.admin_call("GET", admin, path, None).await
    }

    /// Makes an admin call; `Err` carries the status and the body, or 0 without an answer.
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

    pub async fn apply(&self, ticket: &Value) {
        let admin = self.entries[0].admin;
        let applied = self
            .admin_call("POST", admin, "/v1/tickets", Some(ticket))
            .await;
        applied.expect("the ticket is accepted");
    }

    pub async fn submit(&self, entry: usize, job: &Value) -> Result<Value, (u16, Value)> {
        self.admin_call("POST", self.entries[entry].admin, "/v1/jobs", Some(job))
            .await
    }

    /// Waits for the end of a job and returns its state.
    pub async fn job_end(&self, entry: usize, job: &str) -> Value {
        let path = format!("/v1/jobs/{job}");
        let admin = self.entries[entry].admin;
        let started = Instant::now();
        let mut last = Value::Null;
        while started.elapsed() < LIMIT {
            if let Ok(status) = self.get(admin, &path).await {
                last = status;
                if last["phase"] == "ended" {
                    return last;
                }
            }
            pause(100).await;
        }
        panic!("job {job} did not end: {last}");
    }

    /// Sends a request to the service through an entry.
    pub async fn call(&self, entry: usize, method: &str, rest: &str, mark: &str) -> Told {
        self.call_with(entry, method, rest, mark, &[]).await
    }

    pub async fn call_with(
        &self,
        entry: usize,
        method: &str,
        rest: &str,
        mark: &str,
        headers: &[(&str, &str)],
    ) -> Told {
        let address = format!("http://{}/s/rooms{rest}", self.entries[entry].traffic);
        let client = strict_client();
        let mut request = client.request(method.parse().unwrap(), address);
        request = request.insert_header(("x-mark", mark));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        told(request.send_body(mark.to_owned()).await).await
    }

    /// What all backend servers that still answer really ran.
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

    /// Asserts that nothing ran more than once, and nothing that its caller was told had not.
    pub async fn check_history(&self, history: &[(String, Told)]) {
        let executions = self.executions().await;
        for (mark, told) in history {
            let count = executions
                .iter()
                .filter(|execution| execution.mark == *mark)
                .count();
            assert!(
                count <= 1,
                "{mark} ran {count} times; its caller was told {told:?}"
            );
            match told {
                Told::Whole { body, .. } => {
                    assert!(
                        body.starts_with(mark.as_bytes()),
                        "{mark} got another's answer"
                    );
                }
                Told::Failed { verdict, .. } if verdict == "not-run" => {
                    assert_eq!(count, 0, "{mark} ran; its caller was told that it did not");
                }
                Told::Failed { .. } | Told::Broken => {}
            }
        }
    }
}

/// A client that does not take a cut for an end.
pub fn strict_client() -> Client {
    let limits = ClientLimits {
        connect: LIMIT,
        keep_alive: Duration::from_secs(2),
        call: Some(LIMIT),
    };
    client::build(limits)
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    Whole {
        status: u16,
        body: bytes::Bytes,
    },
    Failed {
        status: u16,
        verdict: String,
        code: String,
    },
    Broken,
}

impl Told {
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

async fn told<S>(sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>) -> Told
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(mut answer) = sent else {
        return Told::Broken;
    };
    let status = answer.status().as_u16();
    let header = answer.headers().get("x-parsleythread-verdict").cloned();
    let verdict = header.map(|value| value.to_str().unwrap_or_default().to_owned());
    let length = answer.headers().get("content-length").cloned();
    let length: Option<usize> = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let Ok(body) = answer.body().limit(64 << 20).await else {
        return Told::Broken;
    };
    if length.is_some_and(|length| length != body.len()) {
        return Told::Broken;
    }
    match verdict {
        None => Told::Whole { status, body },
        Some(verdict) => {
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            let code = value["code"].as_str().unwrap_or_default().to_owned();
            Told::Failed {
                status,
                verdict,
                code,
            }
        }
    }
}

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

pub fn job(team: &str, key: &str, tasks: u32, run_ms: u64) -> Value {
    json!({
        "team": team, "key": key, "kind": "plain", "tasks": tasks, "run_ms": run_ms,
        "need": { "processors_milli": 1_000, "memory_mb": 500 },
        "payload": json!({ "run_ms": run_ms }).to_string(),
    })
}

pub fn domain(index: usize) -> String {
    format!("domain-{}", index % 3)
}

pub async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until something holds; fails loudly if it does not in a long time.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < LIMIT {
        if holds().await {
            return;
        }
        pause(50).await;
    }
    panic!("in {LIMIT:?} it did not come true that {what}");
}
