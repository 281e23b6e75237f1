//! The system under test: entries and agents as processes, with a stand-in store and workers.

use crate::node::Node;
use crate::{AgentLoss, Fault, FaultKind, Options};
use platform_standin::store::{StoreMode, StoreStandIn};
use platform_standin::worker::WorkerStandIn;
use platform_standin::{AgentAddresses, EntryAddresses};
use rustix::process::Signal;
use standin::{Relay, RelayMode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// Version of the configuration at the start.
const FIRST_CONFIG: u64 = 3;

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
    /// Active faults of the store, oldest first; the newest one is in effect.
    store_faults: RefCell<Vec<StoreMode>>,
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
            store_faults: RefCell::default(),
            store,
        };
        for number in 0..options.entries {
            let addresses = EntryAddresses::free();
            let id = format!("e{number}");
            let relay = relay_to(fleet.store.address).await?;
            let settings = addresses.settings(&id, relay.address);
            fleet.add_node(options, "entry", &id, &settings, relay)?;
            fleet.fronts.push(addresses.front);
        }
        for number in 0..options.agents {
            let addresses = AgentAddresses::free();
            let id = format!("a{number}");
            let relay = relay_to(fleet.store.address).await?;
            let settings = addresses.settings(&id, relay.address);
            fleet.add_node(options, "agent", &id, &settings, relay)?;
            let worker = WorkerStandIn::start(&format!("w{number}"), addresses);
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
            FaultKind::CrashWorker => worker.crash(),
            FaultKind::LoseStart => worker.lose_next_start(),
            FaultKind::OddAgentRow(kind) => self.store.leave_odd_row("agents", "all", kind),
            FaultKind::KillAll => self.for_each_node(Node::kill)?,
            FaultKind::LoseAgent(loss) => self.lose(target, loss)?,
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
            FaultKind::HangUp
            | FaultKind::DropHistory
            | FaultKind::ChangeConfig
            | FaultKind::CrashWorker
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

/// Starts a relay to the store for one process, so that it can be cut off alone.
async fn relay_to(store: SocketAddr) -> io::Result<Relay> {
    let listen = cluster::free_ports(1)?;
    Relay::start(listen[0], store).await
}
