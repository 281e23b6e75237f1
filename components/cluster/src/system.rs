//! Starts and changes a system in one process.

use crate::{ClusterOptions, Node, WorkerOptions, free_ports};
use model::{AgentId, Resources};
use settings::{AgentSettings, EntrySettings, Settings};
use standin::{
    BackendOptions, BackendRecord, PlatformState, StandInBackend, serve_backend, serve_platform,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Token of admin calls to a system in one process.
const TOKEN: &str = "local-admin-token";
/// Longest time for a system to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// For callers.
    pub traffic: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other nodes.
    pub control: SocketAddr,
}

/// A stand-in backend server with threads of its own.
pub struct Backend {
    /// Its node.
    pub node: Node,
    /// Its handle.
    pub handle: StandInBackend,
}

/// A whole system on loopback in one process.
pub struct Cluster {
    /// The platform stand-in.
    pub platform: Arc<PlatformState>,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// What the backend servers really ran.
    pub record: Arc<BackendRecord>,
    /// Entries.
    pub entries: Vec<Node>,
    /// Addresses of the entries.
    pub addresses: Vec<EntryAddresses>,
    /// Agents.
    pub agents: Vec<Node>,
    /// Names of the agents.
    pub agent_ids: Vec<AgentId>,
    /// Local addresses of the agents.
    pub agent_local: Vec<SocketAddr>,
    /// Backend servers, one for each worker with slots.
    pub backends: Vec<Backend>,
    /// Threads of the platform stand-in.
    _platform_node: Node,
}

impl Cluster {
    /// Starts everything and waits until entries and agents are ready.
    ///
    /// # Errors
    /// An address can't be bound, or something is not ready in time.
    pub fn start(options: &ClusterOptions) -> std::io::Result<Self> {
        let (platform_node, platform, platform_address) = start_platform()?;
        let record = Arc::new(BackendRecord::default());
        let ports = free_ports(options.entries * 3)?;
        let addresses: Vec<EntryAddresses> = ports
            .chunks(3)
            .map(|ports| EntryAddresses {
                traffic: ports[0],
                admin: ports[1],
                control: ports[2],
            })
            .collect();
        let mut cluster = Self {
            platform,
            platform_address,
            record,
            entries: Vec::new(),
            addresses,
            agents: Vec::new(),
            agent_ids: Vec::new(),
            agent_local: Vec::new(),
            backends: Vec::new(),
            _platform_node: platform_node,
        };
        for index in 0..options.entries {
            let node = cluster.start_entry(options, index)?;
            cluster.entries.push(node);
        }
        for (index, worker) in options.workers.iter().enumerate() {
            cluster.add_worker(options, index, worker)?;
        }
        let admin: Vec<SocketAddr> = cluster.addresses.iter().map(|entry| entry.admin).collect();
        for address in admin.iter().chain(&cluster.agent_local) {
            wait_ready(*address)?;
        }
        Ok(cluster)
    }

    /// Token of admin calls.
    pub fn token() -> &'static str {
        TOKEN
    }

    fn start_entry(&self, options: &ClusterOptions, index: usize) -> std::io::Result<Node> {
        let own = self.addresses[index];
        let peers: Vec<SocketAddr> = self.addresses.iter().map(|entry| entry.control).collect();
        let peers: Vec<&SocketAddr> = peers.iter().filter(|peer| **peer != own.control).collect();
        let text = serde_json::json!({
            "role": "entry",
            "id": format!("entry-{index}"),
            "domain": options.domains[index % options.domains.len()],
            "listen": own.traffic,
            "admin_listen": own.admin,
            "control_listen": own.control,
            "admin_token": TOKEN,
            "peers": peers,
            "threads": 1,
            "trace_ratio": 0.0,
            "platform": { "url": format!("http://{}", self.platform_address) },
            "routing": { "policy": options.policy },
            "drain": { "notice_ms": 500 },
        });
        let Ok(Settings::Entry(mut settings)) = settings::parse("entry", &text.to_string()) else {
            return Err(std::io::Error::other("the entry's settings are wrong"));
        };
        (options.adjust_entry)(&mut settings);
        let settings: EntrySettings = *settings;
        Node::start("entry", move |stop| async move {
            let stopped = async move { drop(stop.await) };
            drop(entry::run(settings, stopped).await);
        })
    }

    /// Starts one more worker: its agent, and its backend server if it has slots.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn add_worker(
        &mut self,
        options: &ClusterOptions,
        index: usize,
        worker: &WorkerOptions,
    ) -> std::io::Result<()> {
        let id = AgentId::from(format!("worker-{index:03}"));
        self.platform
            .add_worker(&id, worker.capacity, Resources::default());
        let ports = free_ports(3)?;
        let entries: Vec<SocketAddr> = self.addresses.iter().map(|entry| entry.control).collect();
        let text = serde_json::json!({
            "role": "agent",
            "id": id,
            "domain": options.domains[index % options.domains.len()],
            "listen": ports[0],
            "local_listen": ports[1],
            "control_listen": ports[2],
            "entries": entries,
            "capacity": worker.capacity,
            "queue_per_backend": options.queue_per_backend,
            "platform": { "url": format!("http://{}", self.platform_address) },
            "drain": { "notice_ms": 500 },
        });
        let Ok(Settings::Agent(mut settings)) = settings::parse("agent", &text.to_string()) else {
            return Err(std::io::Error::other("the agent's settings are wrong"));
        };
        (options.adjust_agent)(&mut settings);
        let settings: AgentSettings = *settings;
        self.agents
            .push(Node::start("agent", move |stop| async move {
                let stopped = async move { drop(stop.await) };
                drop(agent::run(settings, stopped).await);
            })?);
        self.agent_ids.push(id);
        self.agent_local.push(ports[1]);
        if worker.slots > 0 {
            let backend = start_backend(&options.service, ports[1], worker, &self.record)?;
            self.backends.push(backend);
        }
        Ok(())
    }
}

fn start_platform() -> std::io::Result<(Node, Arc<PlatformState>, SocketAddr)> {
    let address = free_ports(1)?[0];
    let (told, ready) = mpsc::channel();
    let node = Node::start("platform", move |stop| async move {
        let Ok(platform) = serve_platform(address) else {
            return;
        };
        drop(told.send(platform.state.clone()));
        drop(stop.await);
    })?;
    let state = ready.recv().map_err(std::io::Error::other)?;
    Ok((node, state, address))
}

fn start_backend(
    service: &str,
    agent: SocketAddr,
    worker: &WorkerOptions,
    record: &Arc<BackendRecord>,
) -> std::io::Result<Backend> {
    let options = BackendOptions {
        service: service.to_owned(),
        listen: free_ports(1)?[0],
        agent,
        slots: worker.slots,
        work_ms: worker.work_ms,
    };
    let record = record.clone();
    let (told, ready) = mpsc::channel();
    let node = Node::start("backend", move |stop| async move {
        let Ok(backend) = serve_backend(&options, record) else {
            return;
        };
        drop(told.send(backend));
        drop(stop.await);
    })?;
    let handle = ready.recv().map_err(std::io::Error::other)?;
    Ok(Backend { node, handle })
}

/// Waits until a node's readiness check answers well.
fn wait_ready(address: SocketAddr) -> std::io::Result<()> {
    let started = Instant::now();
    while started.elapsed() < READY_LIMIT {
        if is_ready(address).unwrap_or(false) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(std::io::Error::other(format!(
        "{address} is not ready in time"
    )))
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: local\r\nconnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}
