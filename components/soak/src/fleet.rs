//! The system under test: entries and agents as processes, the store and workers as stand-ins.

use crate::node::Node;
use crate::{Fault, FaultKind, Options};
use platform_standin::store::{StoreMode, StoreStandIn};
use platform_standin::worker::WorkerStandIn;
use platform_standin::{AgentAddresses, EntryAddresses};
use rustix::process::Signal;
use standin::{Relay, RelayMode};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;

/// Version of the first configuration.
const FIRST_CONFIG: u64 = 3;

/// The system under test.
pub(crate) struct Fleet {
    /// The store.
    store: StoreStandIn,
    /// Entries' addresses for callers.
    pub fronts: Vec<SocketAddr>,
    /// Entries, then agents.
    nodes: Vec<RefCell<Node>>,
    /// Their ways to the store.
    links: Vec<Relay>,
    /// Workers.
    pub workers: Vec<WorkerStandIn>,
    /// Version of the configuration.
    config: Cell<u64>,
    /// Faults of the store that last now, newest last.
    store_faults: RefCell<Vec<StoreMode>>,
}

impl Fleet {
    /// Starts all processes.
    pub async fn start(options: &Options) -> io::Result<Self> {
        let store = StoreStandIn::start();
        store.configure(FIRST_CONFIG);
        let mut fleet = Self {
            fronts: Vec::new(),
            nodes: Vec::new(),
            links: Vec::new(),
            workers: Vec::new(),
            config: Cell::new(FIRST_CONFIG),
            store_faults: RefCell::default(),
            store,
        };
        for number in 0..options.entries {
            let addresses = EntryAddresses::free();
            let id = format!("e{number}");
            let link = link_to(fleet.store.address).await?;
            let settings = addresses.settings(&id, link.address);
            fleet.add(options, "entry", &id, &settings, link)?;
            fleet.fronts.push(addresses.front);
        }
        for number in 0..options.agents {
            let addresses = AgentAddresses::free();
            let id = format!("a{number}");
            let link = link_to(fleet.store.address).await?;
            let settings = addresses.settings(&id, link.address);
            fleet.add(options, "agent", &id, &settings, link)?;
            let worker = WorkerStandIn::start(&format!("w{number}"), addresses);
            fleet.workers.push(worker);
        }
        Ok(fleet)
    }

    fn add(
        &mut self,
        options: &Options,
        role: &'static str,
        id: &str,
        settings: &serde_json::Value,
        link: Relay,
    ) -> io::Result<()> {
        let path = options.folder.join(format!("{id}.json"));
        std::fs::write(&path, settings.to_string())?;
        let node = Node::start(&options.program, role, path)?;
        self.nodes.push(RefCell::new(node));
        self.links.push(link);
        Ok(())
    }

    /// Begins a fault.
    pub fn begin(&self, fault: &Fault) -> io::Result<()> {
        let target = fault.target % self.nodes.len();
        let worker = &self.workers[fault.target % self.workers.len()];
        match fault.kind {
            FaultKind::Kill => self.nodes[target].borrow_mut().end()?,
            FaultKind::Terminate => self.signal(target, Signal::TERM)?,
            FaultKind::Freeze => self.signal(target, Signal::STOP)?,
            FaultKind::HangUp => self.signal(target, Signal::HUP)?,
            FaultKind::CutFromStore => self.links[target].set_mode(RelayMode::Block),
            FaultKind::SilenceLinks => self.links[target].set_mode(RelayMode::SilenceOpen),
            FaultKind::ResetLinks => self.links[target].set_mode(RelayMode::CutOpen),
            FaultKind::Store(kind) => self.store_faults.borrow_mut().push(kind),
            FaultKind::DropHistory => self.store.compact(),
            FaultKind::ChangeConfig => self.change_config(),
            FaultKind::CrashWorker => worker.crash(),
            FaultKind::LoseStart => worker.lose_next_start(),
            FaultKind::KillAll => self.each(Node::end)?,
        }
        self.set_store_mode();
        Ok(())
    }

    /// Ends a fault.
    pub fn end(&self, fault: &Fault) -> io::Result<()> {
        let target = fault.target % self.nodes.len();
        match fault.kind {
            FaultKind::Kill | FaultKind::Terminate => self.nodes[target].borrow_mut().restart()?,
            FaultKind::Freeze => self.signal(target, Signal::CONT)?,
            FaultKind::CutFromStore | FaultKind::SilenceLinks | FaultKind::ResetLinks => {
                self.links[target].set_mode(RelayMode::Pass);
            }
            FaultKind::Store(kind) => {
                let mut faults = self.store_faults.borrow_mut();
                if let Some(at) = faults.iter().position(|other| *other == kind) {
                    faults.remove(at);
                }
            }
            FaultKind::KillAll => self.each(Node::restart)?,
            FaultKind::HangUp
            | FaultKind::DropHistory
            | FaultKind::ChangeConfig
            | FaultKind::CrashWorker
            | FaultKind::LoseStart => {}
        }
        self.set_store_mode();
        Ok(())
    }

    fn signal(&self, target: usize, signal: Signal) -> io::Result<()> {
        self.nodes[target].borrow_mut().signal(signal)
    }

    fn each(&self, change: impl Fn(&mut Node) -> io::Result<()>) -> io::Result<()> {
        let mut nodes = self.nodes.iter();
        nodes.try_for_each(|node| change(&mut node.borrow_mut()))
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

    /// Numbers of processes that have ended by themselves.
    pub fn missing(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| !node.borrow_mut().is_up())
            .map(|(number, _)| number)
            .collect()
    }
}

/// A relay to the store for one process.
async fn link_to(store: SocketAddr) -> io::Result<Relay> {
    let listen = cluster::free_ports(1)?;
    Relay::start(listen[0], store).await
}
