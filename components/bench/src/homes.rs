//! Case `homes`: cost of control traffic at many entries, when each agent sends its heartbeats to
//! only one of them, its home.

use crate::bounds::bound;
use crate::cost::{NodeProcess, start_worker};
use crate::hops::{admin_call, fetch_text};
use crate::results::{Bound, Results};
use cluster::{Cluster, Node, free_ports};
use serde_json::{Value, json};
use standin::serve_platform;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

/// Entries at the planned size: three in each of seven failure domains.
const ENTRIES: usize = 21;
/// Numbers of agents at which the cost is measured, to derive the cost of each further agent.
const AGENTS: [usize; 3] = [21, 63, 105];
/// Number of agents at the planned size.
const PLANNED_AGENTS: f64 = 620.0;
/// Agents whose home is the busiest entry, at the planned size. The snapshot of the membership test
/// `homes_are_spread_and_few_agents_move_when_an_entry_fails` gives the figure.
const BUSIEST_AGENTS: f64 = 37.0;
/// Time over which processes are measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Longest time until all entries know all agents.
const KNOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// Measured cost of one entry.
#[derive(Debug, Clone, Copy)]
struct EntryCost {
    /// Number of agents that it knows, through other entries included.
    known: f64,
    /// Number of agents that send their heartbeats to it.
    direct: f64,
    /// Bytes of datagrams a second, sent and received.
    bytes_per_s: f64,
    /// Processor time, as a share of one core.
    core_share: f64,
    /// Resident memory, in megabytes.
    rss_mb: f64,
}

/// Entry process under measurement.
struct EntryProcess {
    /// Process of the entry.
    process: NodeProcess,
    /// Address of its admin interface.
    admin: SocketAddr,
}

impl EntryProcess {
    /// Current value of a metric; 0 if it can't be read.
    fn metric(&self, name: &str) -> f64 {
        let page = fetch_text(self.admin, "/metrics").unwrap_or_default();
        let line = page
            .lines()
            .find_map(|line| line.strip_prefix(&format!("parsleythread_entry_{name} ")));
        line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }

    /// Bytes of datagrams sent and received so far.
    fn datagram_bytes(&self) -> f64 {
        self.metric("datagram_sent_bytes_total") + self.metric("datagram_received_bytes_total")
    }
}

/// Measures idle entries with each number of agents, and extrapolates to the planned size.
pub fn run(results: &mut Results) {
    let costs: Vec<Vec<EntryCost>> = AGENTS
        .iter()
        .map(|count| measure(results, *count))
        .collect();
    let all: Vec<EntryCost> = costs.into_iter().flatten().collect();
    let (base, slope) = fit_line(&all, |cost| (cost.direct, cost.bytes_per_s));
    results.add("homes", "slope", "bytes/s an agent heard", slope, None);
    results.add("homes", "slope", "bytes/s without agents", base, None);
    let most = Bound::AtMost(bound("control", "bytes_per_s"));
    for (subject, direct) in [
        ("620 agents, mean entry", PLANNED_AGENTS / ENTRIES as f64),
        ("620 agents, busiest entry", BUSIEST_AGENTS),
    ] {
        let planned = base + slope * direct;
        results.add(
            "homes",
            subject,
            "bytes/s, from the slope",
            planned,
            Some(most),
        );
    }
    let (base, slope) = fit_line(&all, |cost| (cost.known, cost.rss_mb));
    results.add("homes", "slope", "MB an agent known", slope, None);
    let planned = base + slope * PLANNED_AGENTS;
    let most = Bound::AtMost(bound("control", "rss_mb"));
    let subject = "620 agents";
    results.add("homes", subject, "MB, from the slope", planned, Some(most));
}

/// Starts the entries and `count` agents, and measures once every entry knows all agents.
fn measure(results: &mut Results, count: usize) -> Vec<EntryCost> {
    let ports = free_ports(1 + ENTRIES * 3).expect("ports are free");
    let (sender, receiver) = mpsc::channel();
    let listen = ports[0];
    let _platform = Node::start("platform", move |stop| async move {
        let platform = serve_platform(listen).expect("the stand-in starts");
        sender
            .send(platform.state.clone())
            .expect("the measuring thread waits");
        drop(stop.await);
    });
    let platform = receiver.recv().expect("the stand-in starts");
    let url = format!("http://{listen}");
    let control: Vec<SocketAddr> = ports[1..].chunks(3).map(|ports| ports[2]).collect();
    let entries: Vec<EntryProcess> = (0..ENTRIES)
        .map(|index| start_entry(&url, index, &ports[1 + index * 3..][..3], &control))
        .collect();
    let (_agents, _backends): (Vec<NodeProcess>, Vec<Node>) = (0..count)
        .map(|index| start_worker(&platform, &url, index, &control, 1))
        .unzip();
    let ticket = json!({
        "number": 1, "author": "bench",
        "teams": [{ "name": "t", "quota": { "processors_milli": 1, "memory_mb": 1 } }],
        "services": [{ "name": "rooms", "team": "t" }],
    });
    let applied = (0..100).find_map(|_| {
        std::thread::sleep(Duration::from_millis(100));
        admin_call(entries[0].admin, "/v1/tickets", Some(&ticket))
    });
    applied.expect("the ticket is accepted");
    wait_until_known(&entries, count);
    std::thread::sleep(Duration::from_secs(5));
    let costs = measure_entries(&entries);
    report(results, count, &costs);
    costs
}

/// Starts an entry. `ports` holds its traffic, admin and control address, `all` the control addresses
/// of all entries.
fn start_entry(url: &str, index: usize, ports: &[SocketAddr], all: &[SocketAddr]) -> EntryProcess {
    let peers: Vec<&SocketAddr> = all.iter().filter(|peer| **peer != ports[2]).collect();
    let process = NodeProcess::start(
        &format!("entry-{index}"),
        &json!({
            "role": "entry", "id": format!("entry-{index}"), "domain": format!("domain-{}", index % 7),
            "listen": ports[0], "admin_listen": ports[1], "control_listen": ports[2],
            "admin_token": Cluster::token(), "threads": 1, "trace_ratio": 0.0,
            "peers": peers, "platform": { "url": url },
        }),
    );
    EntryProcess {
        process,
        admin: ports[1],
    }
}

/// Waits until every entry knows all agents.
fn wait_until_known(entries: &[EntryProcess], count: usize) {
    let started = std::time::Instant::now();
    let knows = |entry: &EntryProcess| {
        let status = admin_call(entry.admin, "/v1/status", None).unwrap_or(Value::Null);
        let agents = status["agents"].as_array().map_or(0, Vec::len);
        agents == count
    };
    while !entries.iter().all(knows) {
        assert!(
            started.elapsed() < KNOWN_TIMEOUT,
            "not every entry knows {count} agents after {KNOWN_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(500));
    }
}

/// Measures the entries over [`MEASURED_TIME`].
fn measure_entries(entries: &[EntryProcess]) -> Vec<EntryCost> {
    let before: Vec<(f64, f64)> = entries
        .iter()
        .map(|entry| (entry.datagram_bytes(), entry.process.processor_s()))
        .collect();
    let started = std::time::Instant::now();
    std::thread::sleep(MEASURED_TIME);
    let elapsed_s = started.elapsed().as_secs_f64();
    let cost = |(entry, (bytes, processor_s)): (&EntryProcess, &(f64, f64))| EntryCost {
        known: entry.metric("agents"),
        direct: entry.metric("agents_direct"),
        bytes_per_s: (entry.datagram_bytes() - bytes) / elapsed_s,
        core_share: (entry.process.processor_s() - processor_s) / elapsed_s,
        rss_mb: entry.process.rss_mb(),
    };
    entries.iter().zip(&before).map(cost).collect()
}

/// Adds the highest cost among the entries.
fn report(results: &mut Results, count: usize, costs: &[EntryCost]) {
    let subject = format!("{ENTRIES} entries, {count} agents");
    let largest = |of: fn(&EntryCost) -> f64| costs.iter().map(of).fold(0.0, f64::max);
    let at_most = |name| Some(Bound::AtMost(bound("control", name)));
    let mut add = |figure: &str, value: f64, bound| {
        results.add("homes", &subject, figure, value, bound);
    };
    add("most agents heard", largest(|cost| cost.direct), None);
    let bytes = largest(|cost| cost.bytes_per_s);
    add("dearest entry, bytes/s", bytes, at_most("bytes_per_s"));
    let core = largest(|cost| cost.core_share);
    add(
        "dearest entry, share of a core",
        core,
        at_most("core_share"),
    );
    let rss = largest(|cost| cost.rss_mb);
    add("dearest entry, MB", rss, at_most("rss_mb"));
}

/// Fits a line by least squares; returns its value without agents and its slope by agent.
fn fit_line(costs: &[EntryCost], point: impl Fn(&EntryCost) -> (f64, f64)) -> (f64, f64) {
    let points: Vec<(f64, f64)> = costs.iter().map(point).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
    let variance = |(x, _): &(f64, f64)| (x - mean_x).powi(2);
    let slope =
        points.iter().map(covariance).sum::<f64>() / points.iter().map(variance).sum::<f64>();
    (mean_y - slope * mean_x, slope)
}
