//! The system under test: entries and agents as processes, with a stand-in store and workers.

use crate::check::{EVACUATION_BOUND, Evacuation};
use crate::node::Node;
use crate::{AgentLoss, Fault, FaultKind, Options};
use platform_standin::store::{StoreMode, StoreStandIn};
use platform_standin::worker::{Execution, WorkerStandIn};
use platform_standin::{AgentAddresses, EntryAddresses};
use rustix::process::Signal;
use serde_json::json;
use standin::{Relay, RelayMode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// Version of the configuration at the start.
const FIRST_CONFIG: u64 = 3;

/// Failure domains, to which the workers belong in turn.
pub(crate) const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];

/// Factor by which tasks take longer away from their data or their group, in the entries' settings.
const REMOTE_FACTOR: f64 = 1.5;

/// The running system, with the means to inject faults into it.
pub(crate) struct Fleet {
    /// Stand-in for the platform's store.
    store: StoreStandIn,
    /// Addresses at which the entries serve callers.
    pub fronts: Vec<SocketAddr>,
    /// Processes: first the entries, then the agents.
    nodes: Vec<RefCell<Node>>,
    /// Relay between each process and the store, in the order of `nodes`.
    store_relays: Vec<Relay>,
    /// Stand-in workers, one for each agent.
    pub workers: Vec<WorkerStandIn>,
    /// Processes that are lost for good: no later fault restarts or resumes them.
    lost: RefCell<BTreeSet<usize>>,
    /// Version of the newest configuration.
    config: Cell<u64>,
    /// Evacuations so far, in order of their requests.
    evacuations: RefCell<Vec<Evacuation>>,
    /// Active faults of the store, oldest first; the newest one is in effect.
    store_faults: RefCell<Vec<StoreMode>>,
}

/// Whether a worker that crashes sends no heartbeat until the fault ends, so that only its connections and
/// its reports tell its new incarnation from the former one. Half of them do.
fn returns_unannounced(fault: &Fault) -> bool {
    fault.length_ms.is_multiple_of(2)
}

impl Fleet {
    /// Starts the store, all processes and the workers.
    ///
    /// # Errors
    /// A port, a settings file or a process could not be set up.
    pub async fn start(options: &Options) -> io::Result<Self> {
        let store = StoreStandIn::start();
        store.configure(FIRST_CONFIG);
        let mut fleet = Self {
            fronts: Vec::new(),
            nodes: Vec::new(),
            store_relays: Vec::new(),
            workers: Vec::new(),
            lost: RefCell::default(),
            config: Cell::new(FIRST_CONFIG),
            evacuations: RefCell::default(),
            store_faults: RefCell::default(),
            store,
        };
        for number in 0..options.entries {
            let addresses = EntryAddresses::free();
            let id = format!("e{number}");
            let relay = relay_to(fleet.store.address).await?;
            let mut settings = addresses.settings(&id, relay.address);
            settings["policies"] = policies();
            fleet.add_node(options, "entry", &id, &settings, relay)?;
            fleet.fronts.push(addresses.front);
        }
        for number in 0..options.agents {
            let addresses = AgentAddresses::free();
            let id = format!("a{number}");
            let relay = relay_to(fleet.store.address).await?;
            let domain = domain_of(number);
            let mut settings = addresses.settings(&id, relay.address);
            settings["domain"] = domain.into();
            fleet.add_node(options, "agent", &id, &settings, relay)?;
            let worker = WorkerStandIn::start_in(domain, &format!("w{number}"), addresses);
            fleet.workers.push(worker);
        }
        Ok(fleet)
    }

    fn add_node(
        &mut self,
        options: &Options,
        role: &'static str,
        id: &str,
        settings: &serde_json::Value,
        relay: Relay,
    ) -> io::Result<()> {
        let path = options.folder.join(format!("{id}.json"));
        std::fs::write(&path, settings.to_string())?;
        let node = Node::start(&options.program, role, path)?;
        self.nodes.push(RefCell::new(node));
        self.store_relays.push(relay);
        Ok(())
    }

    /// Starts a fault.
    pub fn start_fault(&self, fault: &Fault) -> io::Result<()> {
        let target = fault.target % self.nodes.len();
        let worker = &self.workers[fault.target % self.workers.len()];
        match fault.kind {
            FaultKind::Kill if self.is_lost(target) => {}
            FaultKind::Kill => self.nodes[target].borrow_mut().kill()?,
            FaultKind::Terminate => self.signal(target, Signal::TERM)?,
            FaultKind::Freeze => self.signal(target, Signal::STOP)?,
            FaultKind::HangUp => self.signal(target, Signal::HUP)?,
            FaultKind::CutFromStore => self.store_relays[target].set_mode(RelayMode::Block),
            FaultKind::SilenceLinks => self.store_relays[target].set_mode(RelayMode::SilenceOpen),
            FaultKind::ResetLinks => self.store_relays[target].set_mode(RelayMode::CutOpen),
            FaultKind::Store(kind) => self.store_faults.borrow_mut().push(kind),
            FaultKind::DropHistory => self.store.compact(),
            FaultKind::ChangeConfig => self.change_config(),
            FaultKind::CrashWorker => {
                worker.set_muted(returns_unannounced(fault));
                worker.crash();
            }
            FaultKind::LoseStart => worker.lose_next_start(),
            FaultKind::OddAgentRow(kind) => self.store.leave_odd_row("agents", "all", kind),
            FaultKind::KillAll => self.for_each_node(Node::kill)?,
            FaultKind::LoseAgent(loss) => self.lose(target, loss)?,
            FaultKind::Evacuate => self.evacuate(domain_of(fault.target)),
        }
        self.set_store_mode();
        Ok(())
    }

    /// Ends a fault: restarts, resumes or reconnects what it affected.
    pub fn end_fault(&self, fault: &Fault) -> io::Result<()> {
        let target = fault.target % self.nodes.len();
        match fault.kind {
            FaultKind::Kill | FaultKind::Terminate => self.restart(target)?,
            FaultKind::Freeze => self.signal(target, Signal::CONT)?,
            FaultKind::CutFromStore | FaultKind::SilenceLinks | FaultKind::ResetLinks => {
                self.store_relays[target].set_mode(RelayMode::Pass);
            }
            FaultKind::Store(kind) => {
                let mut faults = self.store_faults.borrow_mut();
                if let Some(at) = faults.iter().position(|other| *other == kind) {
                    faults.remove(at);
                }
            }
            FaultKind::KillAll => self.for_each_node(Node::restart)?,
            FaultKind::Evacuate => self.end_evacuation(domain_of(fault.target)),
            FaultKind::CrashWorker => {
                self.workers[fault.target % self.workers.len()].set_muted(false);
            }
            FaultKind::HangUp
            | FaultKind::DropHistory
            | FaultKind::ChangeConfig
            | FaultKind::OddAgentRow(_)
            | FaultKind::LoseAgent(_)
            | FaultKind::LoseStart => {}
        }
        self.set_store_mode();
        Ok(())
    }

    /// Loses a process for good.
    fn lose(&self, target: usize, loss: AgentLoss) -> io::Result<()> {
        match loss {
            AgentLoss::Killed => self.nodes[target].borrow_mut().kill()?,
            AgentLoss::Hangs => self.signal(target, Signal::STOP)?,
        }
        self.lost.borrow_mut().insert(target);
        Ok(())
    }

    fn is_lost(&self, target: usize) -> bool {
        self.lost.borrow().contains(&target)
    }

    fn restart(&self, target: usize) -> io::Result<()> {
        if self.is_lost(target) {
            return Ok(());
        }
        self.nodes[target].borrow_mut().restart()
    }

    fn signal(&self, target: usize, signal: Signal) -> io::Result<()> {
        if self.is_lost(target) {
            return Ok(());
        }
        self.nodes[target].borrow_mut().signal(signal)
    }

    /// Applies a change to all processes that are not lost.
    fn for_each_node(&self, change: impl Fn(&mut Node) -> io::Result<()>) -> io::Result<()> {
        let numbered = self.nodes.iter().enumerate();
        let mut present = numbered.filter(|(number, _)| !self.is_lost(*number));
        present.try_for_each(|(_, node)| change(&mut node.borrow_mut()))
    }

    fn evacuate(&self, domain: &'static str) {
        self.store.evacuate(domain);
        self.evacuations.borrow_mut().push(Evacuation {
            domain,
            stored: Instant::now(),
            ended: None,
        });
    }

    fn end_evacuation(&self, domain: &str) {
        let mut evacuations = self.evacuations.borrow_mut();
        let mut standing = evacuations.iter_mut().filter(|own| own.ended.is_none());
        if let Some(evacuation) = standing.find(|own| own.domain == domain) {
            evacuation.ended = Some(Instant::now());
        }
        self.store.end_evacuation(domain);
    }

    /// Evacuations so far, each with all executions of the domain's workers.
    pub fn evacuations(&self) -> Vec<(Evacuation, Vec<Execution>)> {
        let evacuations = self.evacuations.borrow();
        let with_executions = evacuations.iter().map(|evacuation| {
            let workers = self.workers.iter().enumerate();
            let own = workers.filter(|(number, _)| domain_of(*number) == evacuation.domain);
            let executions = own.flat_map(|(_, worker)| worker.executions());
            (*evacuation, executions.collect())
        });
        with_executions.collect()
    }

    fn change_config(&self) {
        let version = self.config.get() + 1;
        self.config.set(version);
        self.store.configure(version);
    }

    fn set_store_mode(&self) {
        let faults = self.store_faults.borrow();
        self.store
            .set_mode(faults.last().copied().unwrap_or_default());
    }

    /// Indexes of the processes that are not running, once all faults have ended.
    pub fn exited_nodes(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(number, _)| !self.is_lost(*number))
            .filter(|(_, node)| !node.borrow_mut().is_running())
            .map(|(number, _)| number)
            .collect()
    }
}

/// Failure domain with an index, or of the worker with a number.
fn domain_of(number: usize) -> &'static str {
    DOMAINS[number % DOMAINS.len()]
}

/// Policies in the entries' settings. Admission is off, as a refused job breaks no promise but
/// reduces the load.
fn policies() -> serde_json::Value {
    json!({
        "evacuation_bound_ms": EVACUATION_BOUND.as_millis() as u64, "learned_run_times": true,
        "overload_order": true, "duplicates": true, "remote_factor": REMOTE_FACTOR,
        "damped_pacing": true
    })
}

/// Starts a relay to the store for one process, so that it can be cut off alone.
async fn relay_to(store: SocketAddr) -> io::Result<Relay> {
    let listen = cluster::free_ports(1)?;
    Relay::start(listen[0], store).await
}
