//! A worker without a network, and an agent beside it.

use async_trait::async_trait;
use flow::{
    Incarnation, PaceOrder, PollReply, PollRequest, StartOrder, StartOutcome, StopOrder, TaskKey,
    WorkerReport,
};
use flow_agent::{WorkerClient, WorkerConnection, WorkerError, WorkerPoll};
use settings::{Settings, parse};
use standin::MemoryTable;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wire::{LinkError, WorkerControlClient, WorkerLink};

/// Time limit of a call.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Attempts until the agent must serve calls, 5 ms apart.
const START_ATTEMPTS: u32 = 400;
/// Name of the worker, whatever its incarnation.
const WORKER: &str = "w";

/// State of the worker.
#[derive(Default)]
struct State {
    /// Start of each incarnation so far, in milliseconds since the Unix epoch. A later one may state an
    /// earlier start.
    born_ms: Vec<u64>,
    /// Number of connections so far.
    connections: usize,
    /// Connections up to this number are silent.
    silent: usize,
    /// Calls that reached an incarnation that they were not meant for.
    strays: Vec<String>,
    /// Number of calls that were not answered.
    unanswered: usize,
}

/// A worker that can crash and return under its name; clones share it.
#[derive(Clone, Default)]
pub struct Worker(Rc<RefCell<State>>);

impl Worker {
    /// Crashes and returns as an incarnation that states this start; its connections end.
    pub fn restart(&self, born_ms: u64) {
        self.0.borrow_mut().born_ms.push(born_ms);
    }

    /// Lets all open connections go silent, without an end.
    pub fn silence(&self) {
        let mut state = self.0.borrow_mut();
        state.silent = state.connections;
    }

    /// Number of the present incarnation, from 1 on.
    pub fn present(&self) -> usize {
        self.0.borrow().born_ms.len()
    }

    /// An incarnation by its number.
    pub fn incarnation(&self, number: usize) -> Incarnation {
        Incarnation {
            worker: WORKER.to_owned(),
            born_ms: self.0.borrow().born_ms[number - 1],
        }
    }

    /// Number of connections so far.
    pub fn connections(&self) -> usize {
        self.0.borrow().connections
    }

    /// Number of calls so far that were not answered.
    pub fn unanswered(&self) -> usize {
        self.0.borrow().unanswered
    }

    /// Calls that reached an incarnation that they were not meant for.
    pub fn strays(&self) -> Vec<String> {
        self.0.borrow().strays.clone()
    }
}

/// Connection to one incarnation of the worker.
struct Connection {
    worker: Worker,
    number: usize,
    incarnation: usize,
}

impl Connection {
    /// Carries out a call that is meant for an incarnation; `None` for any.
    async fn call(&self, kind: &str, meant: Option<usize>) -> Result<(), WorkerError> {
        actix_rt::task::yield_now().await;
        let mut state = self.worker.0.borrow_mut();
        if self.number <= state.silent {
            state.unanswered += 1;
            return Err(WorkerError::NoAnswer("silent".to_owned()));
        }
        if self.incarnation != state.born_ms.len() {
            return Err(WorkerError::Disconnected);
        }
        if meant.is_some_and(|meant| meant != self.incarnation) {
            let stray = format!("{kind} for {meant:?} reached {}", self.incarnation);
            state.strays.push(stray);
        }
        Ok(())
    }

    /// Number of the incarnation that an order names.
    fn meant(&self, incarnation: &Incarnation) -> Option<usize> {
        let state = self.worker.0.borrow();
        let position = state
            .born_ms
            .iter()
            .position(|born_ms| *born_ms == incarnation.born_ms);
        position.map(|position| position + 1)
    }
}

#[async_trait(?Send)]
impl WorkerClient for Worker {
    async fn connect(&self) -> Result<Box<dyn WorkerConnection>, WorkerError> {
        let mut state = self.0.borrow_mut();
        state.connections += 1;
        Ok(Box::new(Connection {
            worker: self.clone(),
            number: state.connections,
            incarnation: state.born_ms.len(),
        }))
    }
}

#[async_trait(?Send)]
impl WorkerConnection for Connection {
    async fn poll(&self, poll: &WorkerPoll) -> Result<WorkerReport, WorkerError> {
        let acknowledged = poll.acknowledged as usize;
        let lease = poll.lease_until_clock_ms.map(|until_ms| until_ms as usize);
        self.call("lease", lease).await?;
        self.call(
            "acknowledgement",
            (acknowledged > 0).then_some(acknowledged),
        )
        .await?;
        Ok(WorkerReport {
            born_ms: self.worker.incarnation(self.incarnation).born_ms,
            clock_ms: 1,
            running: Vec::new(),
            ended: Vec::new(),
            has_more_ends: false,
        })
    }

    async fn start(&self, order: &StartOrder) -> Result<StartOutcome, WorkerError> {
        self.call("start", self.meant(&order.incarnation)).await?;
        Ok(StartOutcome::Started)
    }

    async fn stop(&self, order: &StopOrder) -> Result<bool, WorkerError> {
        self.call("stop", self.meant(&order.incarnation)).await?;
        Ok(true)
    }

    async fn pace(&self, order: &PaceOrder) -> Result<bool, WorkerError> {
        self.call("pace", self.meant(&order.incarnation)).await?;
        Ok(true)
    }
}

/// An agent beside a worker, as the scheduler calls it.
pub struct Agent {
    worker: Worker,
    link: WorkerLink,
}

impl Agent {
    /// Starts an agent and waits until it serves calls. It has not called the worker.
    pub async fn start(worker: &Worker) -> Self {
        let ports = cluster::free_ports(4).expect("ports are free");
        let text = format!(
            r#"{{ "role": "flow-agent", "id": "a0", "domain": "d1", "local_listen": "{}",
                "worker": "{}", "control_listen": "{}", "metrics_listen": "{}",
                "store": {{ "url": "http://127.0.0.1:9" }} }}"#,
            ports[0], ports[1], ports[2], ports[3]
        );
        let Ok(Settings::FlowAgent(settings)) = parse("agent.json", &text) else {
            panic!("the settings are valid");
        };
        let table = Rc::new(MemoryTable::default());
        let started = flow_agent::start(&settings, Rc::new(worker.clone()), table).await;
        started.expect("the ports are free");
        let agent = Self {
            worker: worker.clone(),
            link: WorkerLink::new(ports[2]),
        };
        for _ in 0..START_ATTEMPTS {
            let call = |client: WorkerControlClient, context| async move {
                client.get_cold_remaining(context).await
            };
            if agent.link.call(CALL_LIMIT, call).await.is_ok() {
                return agent;
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the agent does not start");
    }

    /// Polls the worker for an incarnation, whose number stands for its lease and its acknowledgement.
    /// Returns the start that the report states, or `None` without a report.
    pub async fn poll(&self, number: usize) -> Option<u64> {
        let request = PollRequest {
            fence: 1,
            lease_until_clock_ms: Some(number as u64),
            born_ms: Some(self.worker.incarnation(number).born_ms),
            acknowledged: number as u64,
            wait_ms: 0,
        };
        let call = |client: WorkerControlClient, context| async move {
            client.poll(context, request).await
        };
        match self.answer(self.link.call(CALL_LIMIT, call).await) {
            PollReply::Alive { report, .. } => Some(report.born_ms),
            _ => None,
        }
    }

    /// Orders an incarnation to start a run.
    pub async fn start_run(&self, number: usize) -> StartOutcome {
        let order = StartOrder {
            fence: 1,
            incarnation: self.worker.incarnation(number),
            lease_until_clock_ms: 1,
            task: task(),
            run: 1,
            payload: String::new(),
            checkpoint: None,
        };
        let call = |client: WorkerControlClient, context| async move {
            client.start(context, order).await
        };
        self.answer(self.link.call(CALL_LIMIT, call).await)
    }

    /// Orders an incarnation to stop a run; returns whether it confirmed that.
    pub async fn stop(&self, number: usize) -> bool {
        let order = StopOrder {
            fence: 1,
            incarnation: self.worker.incarnation(number),
            task: task(),
            run: 1,
        };
        let call =
            |client: WorkerControlClient, context| async move { client.stop(context, order).await };
        self.answer(self.link.call(CALL_LIMIT, call).await)
    }

    /// Orders an incarnation to change the pace of a run; returns whether it confirmed that.
    pub async fn pace(&self, number: usize) -> bool {
        let order = PaceOrder {
            fence: 1,
            incarnation: self.worker.incarnation(number),
            task: task(),
            run: 1,
            percent: 50,
        };
        let call =
            |client: WorkerControlClient, context| async move { client.pace(context, order).await };
        self.answer(self.link.call(CALL_LIMIT, call).await)
    }

    fn answer<T>(&self, result: Result<T, LinkError>) -> T {
        result.unwrap_or_else(|error| panic!("the agent does not answer: {error}"))
    }
}

fn task() -> TaskKey {
    TaskKey::parse("f.0.0.0").expect("the key is valid")
}
