//! Case `control`: processor time, memory and control traffic of each process.

use crate::bounds::bound;
use crate::hops::admin_call;
use crate::load::{self, Target};
use crate::results::{Bound, Results};
use crate::trace::{Phase, generate_trace};
use cluster::{Cluster, Node, free_ports};
use model::{AgentId, Resources};
use serde_json::{Value, json};
use settings::Settings;
use standin::{BackendOptions, BackendRecord, PlatformState, Relay, serve_backend, serve_platform};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// Time over which processes are measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page in `/proc`, in megabytes.
const PAGE_MB: f64 = 4_096.0 / 1_048_576.0;
/// Requests a second in the measurement under load.
const RATE_PER_S: f64 = 800.0;
/// Number of workers of each user today.
const WORKERS_TODAY: usize = 11;
/// Numbers of agents at which the entry's cost is measured, to show the cost of each further agent.
const AGENTS: [usize; 3] = [4, 12, 24];

/// Runs the entry or agent of a settings file: the hidden command `node`, started by
/// [`NodeProcess`]. Returns whether it ended without an error.
pub fn run_node(path: &Path) -> bool {
    let settings = settings::load(path);
    let never = std::future::pending();
    let ran = match settings {
        Ok(Settings::Entry(settings)) => {
            actix_rt::System::new().block_on(entry::run(*settings, never))
        }
        Ok(Settings::Agent(settings)) => {
            actix_rt::System::new().block_on(agent::run(*settings, never))
        }
        Ok(Settings::FlowEntry(_) | Settings::FlowAgent(_)) => Err(std::io::Error::other(
            "expected settings of an entry or an agent, got those of a flow process",
        )),
        Err(faults) => Err(std::io::Error::other(faults.to_string())),
    };
    ran.is_ok()
}

/// Child process that runs a node; killed on drop.
pub struct NodeProcess(Child);

impl Drop for NodeProcess {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl NodeProcess {
    /// Starts a node with these settings; `name` distinguishes its settings file.
    pub fn start(name: &str, settings: &Value) -> Self {
        let path = std::env::temp_dir().join(format!("bench-{}-{name}.json", std::process::id()));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let program = std::env::current_exe().expect("the program has a path");
        let child = Command::new(program)
            .arg("node")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn();
        Self(child.expect("the node starts"))
    }

    /// Processor time used so far, in seconds; 0 if it can't be read.
    pub fn processor_s(&self) -> f64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> = after_name
            .split_whitespace()
            .map(|f| f.parse().unwrap_or(0.0))
            .collect();
        (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS_PER_S
    }

    /// Resident memory, in megabytes; 0 if it can't be read.
    pub fn rss_mb(&self) -> f64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/statm", self.0.id())).unwrap_or_default();
        let pages: f64 = text
            .split_whitespace()
            .nth(1)
            .and_then(|f| f.parse().ok())
            .unwrap_or(0.0);
        pages * PAGE_MB
    }
}

/// Stand-ins that run in this process, beside the measured ones.
struct StandIns {
    /// State of the platform stand-in.
    platform: Arc<PlatformState>,
    /// Address of the platform stand-in.
    platform_address: SocketAddr,
    /// Control address of the entry.
    control: SocketAddr,
    /// Bytes of control traffic between the entry and the first agent, counted by the relay.
    relay_bytes: Box<dyn Fn() -> u64>,
    /// Address of the relay, which the first agent uses instead of `control`.
    relay: SocketAddr,
    /// Threads of the stand-ins, kept for the duration of the measurement.
    _nodes: Vec<Node>,
}

/// Starts the platform stand-in, and a relay to the control address of the entry.
fn start_stand_ins(control: SocketAddr) -> StandIns {
    let ports = free_ports(2).expect("ports are free");
    let platform_address = ports[0];
    let (sender, receiver) = mpsc::channel();
    let node = Node::start("platform", move |stop| async move {
        let platform = serve_platform(ports[0]).expect("the stand-in starts");
        let relay = Relay::start(ports[1], control)
            .await
            .expect("the relay starts");
        let relay = Arc::new(relay);
        sender
            .send((platform.state.clone(), relay))
            .expect("the measuring thread waits");
        drop(stop.await);
    });
    let (platform, relay) = receiver.recv().expect("the stand-ins start");
    StandIns {
        platform,
        platform_address,
        control,
        relay: relay.address,
        relay_bytes: Box::new(move || relay.passed_bytes()),
        _nodes: vec![node.expect("the thread starts")],
    }
}

/// Measures one entry with each number of agents, idle and under load.
pub fn run(results: &mut Results) {
    for count in AGENTS {
        measure(results, count);
    }
}

/// Measures with `count` agents.
fn measure(results: &mut Results, count: usize) {
    let ports = free_ports(3).expect("ports are free");
    let stand_ins = start_stand_ins(ports[2]);
    let url = format!("http://{}", stand_ins.platform_address);
    let entry = NodeProcess::start(
        "entry",
        &json!({
            "role": "entry", "id": "entry-0", "domain": "a", "listen": ports[0],
            "admin_listen": ports[1], "control_listen": ports[2],
            "admin_token": Cluster::token(), "threads": 1, "trace_ratio": 0.0,
            "platform": { "url": url },
        }),
    );
    let (agents, _backends): (Vec<NodeProcess>, Vec<Node>) = (0..count)
        .map(|index| {
            let entry = if index == 0 {
                stand_ins.relay
            } else {
                stand_ins.control
            };
            start_worker(&stand_ins.platform, &url, index, &[entry], 3)
        })
        .unzip();
    let ticket = json!({
        "number": 1, "author": "bench",
        "teams": [{ "name": "t", "quota": { "processors_milli": 1, "memory_mb": 1 } }],
        "services": [{ "name": "rooms", "team": "t" }],
    });
    let applied = (0..100).find_map(|_| {
        std::thread::sleep(Duration::from_millis(100));
        admin_call(ports[1], "/v1/tickets", Some(&ticket))
    });
    applied.expect("the ticket is accepted");
    std::thread::sleep(Duration::from_secs(5));
    let bytes = (stand_ins.relay_bytes)();
    measure_processes(
        results,
        &format!("idle, {count} agents"),
        &entry,
        &agents,
        || std::thread::sleep(MEASURED_TIME),
    );
    let agent_bytes_per_s =
        ((stand_ins.relay_bytes)() - bytes) as f64 / MEASURED_TIME.as_secs_f64();
    let subject = format!("{count} agents");
    let most = Bound::AtMost(bound("control", "bytes_per_s"));
    results.add(
        "control",
        &subject,
        "agent and one entry, bytes/s",
        agent_bytes_per_s,
        Some(most),
    );
    let entry_bytes_per_s = agent_bytes_per_s * count as f64;
    let bounded = (count <= WORKERS_TODAY + 1).then_some(most);
    results.add(
        "control",
        &subject,
        "entry with all agents, bytes/s",
        entry_bytes_per_s,
        bounded,
    );
    let arrivals = generate_trace(
        &[Phase {
            length_ms: MEASURED_TIME.as_secs_f64() * 1_000.0,
            rate_per_s: RATE_PER_S,
        }],
        0,
    );
    let target = Target {
        addresses: vec![ports[0]],
        path: "/s/rooms/free".to_owned(),
        deadline_ms: None,
    };
    let before = entry.processor_s();
    let sent = arrivals.len() as f64;
    measure_processes(
        results,
        &format!("loaded, {count} agents"),
        &entry,
        &agents,
        || {
            load::send(&arrivals, &target);
        },
    );
    let per_request_us = (entry.processor_s() - before) / sent * 1e6;
    results.add(
        "control",
        &format!("loaded, {count} agents"),
        "entry, us a request",
        per_request_us,
        None,
    );
}

/// Starts an agent that sends heartbeats to `homes` of the entries, and a backend server for it.
pub fn start_worker(
    platform: &PlatformState,
    url: &str,
    index: usize,
    entries: &[SocketAddr],
    homes: usize,
) -> (NodeProcess, Node) {
    let ports = free_ports(4).expect("ports are free");
    let id = AgentId::from(format!("worker-{index}"));
    let capacity = Resources::new(16_000, 60_000, 0);
    platform.add_worker(&id, capacity, Resources::default());
    let agent = NodeProcess::start(
        &format!("agent-{index}"),
        &json!({
            "role": "agent", "id": id, "domain": "a", "listen": ports[0],
            "local_listen": ports[1], "control_listen": ports[2], "entries": entries, "heartbeat_homes": homes,
            "capacity": capacity, "platform": { "url": url },
        }),
    );
    let options = BackendOptions {
        service: "rooms".to_owned(),
        listen: ports[3],
        agent: ports[1],
        slots: 64,
        work_ms: 5,
    };
    let node = Node::start("backend", move |stop| async move {
        let backend = serve_backend(&options, Arc::new(BackendRecord::default()));
        drop(stop.await);
        drop(backend);
    });
    (agent, node.expect("the thread starts"))
}

/// Measures the processes while `during` runs.
fn measure_processes(
    results: &mut Results,
    subject: &str,
    entry: &NodeProcess,
    agents: &[NodeProcess],
    during: impl FnOnce(),
) {
    let agents_s = || agents.iter().map(NodeProcess::processor_s).sum::<f64>();
    let (entry_before, agents_before) = (entry.processor_s(), agents_s());
    let started = std::time::Instant::now();
    during();
    let elapsed_s = started.elapsed().as_secs_f64();
    let entry_share = (entry.processor_s() - entry_before) / elapsed_s;
    let agent_share = (agents_s() - agents_before) / elapsed_s / agents.len() as f64;
    let is_idle = subject.starts_with("idle");
    let core = is_idle.then_some(Bound::AtMost(bound("control", "core_share")));
    let rss = Some(Bound::AtMost(bound("control", "rss_mb")));
    results.add(
        "control",
        subject,
        "entry, share of a core",
        entry_share,
        core,
    );
    results.add(
        "control",
        subject,
        "agent, share of a core",
        agent_share,
        core,
    );
    results.add("control", subject, "entry, MB", entry.rss_mb(), rss);
    let largest = agents.iter().map(NodeProcess::rss_mb).fold(0.0, f64::max);
    results.add("control", subject, "agent, MB", largest, rss);
}
