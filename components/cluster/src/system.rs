//! Starts a system in one process and adds workers to it.

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

/// Token for calls to the admin interface.
const ADMIN_TOKEN: &str = "local-admin-token";
/// Time within which each node has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Listening addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// Address for requests of callers.
    pub traffic: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Address for control calls of other nodes.
    pub control: SocketAddr,
}

/// A stand-in backend server and the node that runs it.
pub struct Backend {
    /// Node on whose threads the server runs; stopping it ends the server.
    pub node: Node,
    /// Handle for inspecting and controlling the server.
    pub handle: StandInBackend,
}

/// A complete system on loopback in one process.
pub struct Cluster {
    /// State of the platform stand-in.
    pub platform: Arc<PlatformState>,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Requests that the backend servers actually executed.
    pub record: Arc<BackendRecord>,
    /// Nodes of the entries.
    pub entries: Vec<Node>,
    /// Addresses of the entries, in the order of `entries`.
    pub addresses: Vec<EntryAddresses>,
    /// Nodes of the agents.
    pub agents: Vec<Node>,
    /// Ids of the agents, in the order of `agents`.
    pub agent_ids: Vec<AgentId>,
    /// Addresses of the agents' local interfaces, in the order of `agents`.
    pub agent_local: Vec<SocketAddr>,
    /// Backend servers, one for each worker that has slots.
    pub backends: Vec<Backend>,
    /// Node of the platform stand-in, stopped when the cluster is dropped.
    _platform_node: Node,
}

impl Cluster {
    /// Starts all nodes and waits until entries and agents are ready.
    ///
    /// # Errors
    /// Returns an error if no ports are free, a node can't be started, or a node is not ready in time.
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

    /// Token for calls to the admin interface of the entries.
    pub fn token() -> &'static str {
        ADMIN_TOKEN
    }

    /// Starts the entry at `index`, with all other entries as its peers.
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
            "admin_token": ADMIN_TOKEN,
            "peers": peers,
            "threads": 1,
            "trace_ratio": 0.0,
            "platform": { "url": format!("http://{}", self.platform_address) },
            "routing": { "policy": options.policy },
            "drain": { "notice_ms": 500 },
        });
        let Ok(Settings::Entry(mut settings)) = settings::parse("entry", &text.to_string()) else {
            return Err(std::io::Error::other(
                "the generated settings of an entry are invalid",
            ));
        };
        (options.adjust_entry)(&mut settings);
        let settings: EntrySettings = *settings;
        Node::start("entry", move |stop| async move {
            let stopped = async move { drop(stop.await) };
            drop(entry::run(settings, stopped).await);
        })
    }

    /// Adds a worker: starts its agent, and its backend server if it has slots. Does not wait until
    /// the agent is ready; `index` determines the worker's id and failure domain.
    ///
    /// # Errors
    /// Returns an error if no ports are free or a node can't be started.
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
            return Err(std::io::Error::other(
                "the generated settings of an agent are invalid",
            ));
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

/// Starts the platform stand-in and returns its node, state and address.
fn start_platform() -> std::io::Result<(Node, Arc<PlatformState>, SocketAddr)> {
    let address = free_ports(1)?[0];
    let (sender, receiver) = mpsc::channel();
    let node = Node::start("platform", move |stop| async move {
        let Ok(platform) = serve_platform(address) else {
            return;
        };
        drop(sender.send(platform.state.clone()));
        drop(stop.await);
    })?;
    let state = receiver.recv().map_err(std::io::Error::other)?;
    Ok((node, state, address))
}

/// Starts a backend server that announces itself to `agent`, an agent's local address.
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
    let (sender, receiver) = mpsc::channel();
    let node = Node::start("backend", move |stop| async move {
        let Ok(backend) = serve_backend(&options, record) else {
            return;
        };
        drop(sender.send(backend));
        drop(stop.await);
    })?;
    let handle = receiver.recv().map_err(std::io::Error::other)?;
    Ok(Backend { node, handle })
}

/// Polls the readiness check at `address` until it succeeds.
fn wait_ready(address: SocketAddr) -> std::io::Result<()> {
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        if is_ready(address).unwrap_or(false) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(std::io::Error::other(format!(
        "the node at {address} was not ready within {READY_TIMEOUT:?}"
    )))
}

/// Whether the readiness check at `address` responds with status 200.
fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: local\r\nconnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}
