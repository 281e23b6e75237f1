//! Stand-in for a worker: runs tasks under a lease, and sends heartbeats to the agent on its machine.

use crate::http::{Request, Server, call};
use crate::json::{Json, object};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between two heartbeats, as the settings of the site state it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest lease that the worker grants (`holdMaxMs`).
const LONGEST_LEASE_MS: u64 = 6_000;
/// Time for which a member of a gang waits for the others (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A run that the worker began.
#[derive(Debug, Clone)]
pub struct Execution {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    /// How it ended, in the words of the pages; `lost` if its worker crashed.
    pub how: &'static str,
    /// When its end was taken note of: acknowledged, and the worker's lease had not lapsed since.
    pub noted: Option<Instant>,
}

struct Run {
    run: u64,
    began: Instant,
    length: Duration,
    /// The gang's run that it is a member of, if there is one.
    gang: Option<GangRun>,
}

/// A gang's run: its step, and the number that all members share.
pub type GangRun = (String, u64);

/// What the workers know of a gang's run.
pub struct Gang {
    members: u64,
    present: u64,
    /// When all were present; they work from then on.
    whole: Option<Instant>,
    /// Whether a member ended otherwise than with all others.
    is_broken: bool,
}

/// The gangs' runs on all workers.
pub type Gangs = Arc<Mutex<BTreeMap<GangRun, Gang>>>;

struct State {
    born_ms: u64,
    clock: Instant,
    lease_until_ms: u64,
    fence: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    closed: BTreeMap<String, u64>,
    next_end: u64,
    sequence: u64,
    server: Option<Server>,
    /// Answers every start with 503 and does nothing.
    is_unhealthy: bool,
    /// Starts tasks, each of which fails at once.
    is_failing: bool,
    /// When its lease was last seen to have lapsed.
    lapsed: Option<Instant>,
    /// No heartbeat is sent before.
    silent_until: Instant,
    is_over: bool,
}

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub kind: String,
    pub rack: String,
    pub address: SocketAddr,
    /// Address of the agent on its machine.
    pub agent: SocketAddr,
    state: Arc<Mutex<State>>,
    executions: Arc<Mutex<Vec<Execution>>>,
    /// How far the time of day of its machine is ahead of the true time, in milliseconds.
    ahead_ms: Arc<Mutex<u64>>,
    gangs: Gangs,
    record: Record,
}

impl Worker {
    pub fn new(
        name: &str,
        kind: &str,
        rack: &str,
        address: SocketAddr,
        agent: SocketAddr,
        executions: Arc<Mutex<Vec<Execution>>>,
        gangs: Gangs,
        record: Record,
    ) -> Worker {
        let state = State {
            born_ms: 0,
            clock: Instant::now(),
            lease_until_ms: 0,
            fence: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            closed: BTreeMap::new(),
            next_end: 1,
            sequence: 0,
            server: None,
            is_unhealthy: false,
            is_failing: false,
            lapsed: None,
            silent_until: Instant::now(),
            is_over: false,
        };
        let worker = Worker {
            name: name.to_owned(),
            kind: kind.to_owned(),
            rack: rack.to_owned(),
            address,
            agent,
            state: Arc::new(Mutex::new(state)),
            executions,
            ahead_ms: Arc::default(),
            gangs,
            record,
        };
        let beating = worker.clone();
        std::thread::spawn(move || beating.send_heartbeats());
        let advancing = worker.clone();
        std::thread::spawn(move || advancing.end_runs());
        worker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts an incarnation, under the same id, and sends its first heartbeat.
    pub fn start(&self) {
        self.listen();
        self.beat();
    }

    /// Starts an incarnation, under the same id, which sends its first heartbeat an interval later.
    pub fn start_before_heartbeat(&self) {
        self.lock().silent_until = Instant::now() + HEARTBEAT_INTERVAL;
        self.listen();
    }

    /// Starts an incarnation.
    fn listen(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born_ms = now.as_millis() as u64 + *self.ahead_ms.lock().unwrap();
        {
            let mut state = self.lock();
            state.born_ms = born_ms;
            state.clock = Instant::now();
            state.lease_until_ms = 0;
            state.fence = 0;
            state.ended.clear();
            state.closed.clear();
            state.next_end = 1;
            state.sequence = 0;
        }
        let shared = self.clone();
        let server = Server::start(self.address, move |request| shared.handle(&request));
        self.lock().server = Some(server.expect("the worker's address is free"));
        self.record
            .note(&format!("worker {} starts, born {born_ms}", self.name));
    }

    /// Crashes: all that runs ends, and connections are refused.
    pub fn crash(&self) {
        let server = self.lock().server.take();
        if let Some(server) = server {
            server.stop();
        }
        let mut state = self.lock();
        let runs = std::mem::take(&mut state.running);
        for (task, run) in runs {
            self.break_gang(run.gang.as_ref());
            self.note_end(&task, run.run, "lost");
        }
        self.record.note(&format!("worker {} crashes", self.name));
    }

    /// Sets how far the time of day of its machine is ahead of the true time.
    pub fn set_ahead_ms(&self, ahead_ms: u64) {
        *self.ahead_ms.lock().unwrap() = ahead_ms;
        self.record
            .note(&format!("time of day at {} is {ahead_ms} ms ahead", self.name));
    }

    /// Lets it answer all starts with 503, or start tasks again.
    pub fn set_unhealthy(&self, is_unhealthy: bool) {
        self.lock().is_unhealthy = is_unhealthy;
        self.record
            .note(&format!("worker {} unhealthy: {is_unhealthy}", self.name));
    }

    /// Lets all that it starts fail at once, or work again.
    pub fn set_failing(&self, is_failing: bool) {
        self.lock().is_failing = is_failing;
        self.record.note(&format!(
            "worker {} fails all that it starts: {is_failing}",
            self.name
        ));
    }

    /// Ends the worker.
    pub fn end(&self) {
        self.lock().is_over = true;
        let server = self.lock().server.take();
        if let Some(server) = server {
            server.stop();
        }
    }

    fn note_end(&self, task: &str, run: u64, how: &'static str) {
        let mut executions = self.executions.lock().unwrap();
        let is_it = |execution: &&mut Execution| {
            execution.task == task && execution.run == run && execution.ended.is_none()
        };
        if let Some(execution) = executions.iter_mut().rfind(is_it) {
            execution.ended = Some(Instant::now());
            execution.how = how;
        }
        self.record
            .note(&format!("worker {} ends {task} run {run}: {how}", self.name));
    }

    /// Body of its next heartbeat.
    pub fn heartbeat(&self) -> Json {
        let mut state = self.lock();
        state.sequence += 1;
        object([
            ("service", "pool".into()),
            ("address", self.address.to_string().into()),
            ("zone", "z1".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0.into()),
            (
                "capacity",
                object([
                    ("cpu", 16_000.into()),
                    ("requestedMemoryMb", 64_000.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            (
                "labels",
                vec![self.kind.as_str().into(), self.rack.as_str().into()].into(),
            ),
            ("clockMs", state.clock_ms().into()),
            ("sequence", state.sequence.into()),
            ("born", state.born_ms.into()),
        ])
    }

    /// Sends a heartbeat to its agent; returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let body = self.heartbeat().to_string();
        let path = format!("/-/instances/{}/heartbeat", self.name);
        let answer = call(
            self.agent,
            "POST",
            &path,
            "host: agent\r\n",
            &body,
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    fn send_heartbeats(&self) {
        loop {
            let (is_up, is_over) = {
                let state = self.lock();
                let is_up = state.server.is_some() && Instant::now() >= state.silent_until;
                (is_up, state.is_over)
            };
            if is_over {
                return;
            }
            if !is_up {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            self.beat();
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Ends runs whose time is over, and all when the lease has lapsed.
    fn end_runs(&self) {
        while !self.lock().is_over {
            std::thread::sleep(Duration::from_millis(5));
            let mut state = self.lock();
            let has_lapsed = state.clock_ms() >= state.lease_until_ms;
            if has_lapsed {
                state.lapsed = Some(Instant::now());
            }
            let runs = state.running.iter();
            let over: Vec<(String, &'static str)> = runs
                .filter_map(|(task, run)| match self.own_end(run) {
                    Some(how) => Some((task.clone(), how)),
                    None => has_lapsed.then(|| (task.clone(), "lapsed")),
                })
                .collect();
            for (task, how) in over {
                self.end_run(&mut state, &task, how);
            }
        }
    }

    /// How a run ends now without an order, or by what became of its gang; `None` if it goes on.
    fn own_end(&self, run: &Run) -> Option<&'static str> {
        let Some(key) = &run.gang else {
            return (run.began.elapsed() >= run.length).then_some("done");
        };
        let gangs = self.gangs.lock().unwrap();
        let gang = gangs.get(key)?;
        match gang.whole {
            _ if gang.is_broken => Some("broken"),
            Some(whole) => (whole.elapsed() >= run.length).then_some("done"),
            None => (run.began.elapsed() >= GANG_TIMEOUT).then_some("alone"),
        }
    }

    /// Counts a member of a gang that is present now.
    fn join_gang(&self, key: &GangRun, members: u64) {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry(key.clone()).or_insert(Gang {
            members,
            present: 0,
            whole: None,
            is_broken: false,
        });
        gang.present += 1;
        if gang.present == gang.members {
            gang.whole = Some(Instant::now());
        }
    }

    fn break_gang(&self, key: Option<&GangRun>) {
        let Some(key) = key else {
            return;
        };
        if let Some(gang) = self.gangs.lock().unwrap().get_mut(key) {
            gang.is_broken = true;
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        if how != "done" {
            self.break_gang(run.gang.as_ref());
        }
        let number = state.next_end;
        state.next_end += 1;
        state.ended.push((number, task.to_owned(), run.run, how));
        state.close(task, run.run);
        self.note_end(task, run.run, how);
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != self.name {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        {
            let mut state = self.lock();
            let fence = body.get("fencingToken").number();
            if fence < state.fence {
                return state.refusal("fence");
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => (200, self.lock().clock_body()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        if state.is_unhealthy {
            self.record.note(&format!(
                "worker {} answers 503 to the start of {task} run {run}",
                self.name
            ));
            return (503, "{}".to_owned());
        }
        let until_ms = body.get("deadlineMs").number();
        if until_ms <= state.clock_ms() {
            return state.refusal("late");
        }
        state.extend_lease(until_ms);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return (200, state.clock_body());
        }
        if state.closed.get(&task).is_some_and(|closed| *closed >= run) {
            return state.refusal("old");
        }
        // The run time in milliseconds; before it, for a gang, its number of members and a colon.
        let spec = body.get("taskSpec").text();
        let (members, length) = spec.split_once(':').unwrap_or(("", spec));
        let began = Instant::now();
        let length = Duration::from_millis(length.parse().unwrap_or(1_000));
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let gang = members.parse().ok().map(|members: u64| {
            let key = (step.to_owned(), run);
            self.join_gang(&key, members);
            key
        });
        state.running.insert(
            task.clone(),
            Run {
                run,
                began,
                length,
                gang,
            },
        );
        self.executions.lock().unwrap().push(Execution {
            task: task.clone(),
            run,
            worker: self.name.clone(),
            began,
            ended: None,
            how: "running",
            noted: None,
        });
        self.record
            .note(&format!("worker {} starts {task} run {run}", self.name));
        if state.is_failing {
            self.end_run(&mut state, &task, "failed");
        }
        (200, state.clock_body())
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        state.close(&task, run);
        if state.running.get(&task).is_some_and(|known| known.run <= run) {
            self.end_run(&mut state, &task, "stopped");
        }
        (200, state.clock_body())
    }

    /// Forgets the ends up to this number.
    fn note_acknowledged(&self, state: &mut State, acknowledged: u64) {
        let (forgotten, left) = state.ended.drain(..).partition(|end| end.0 <= acknowledged);
        state.ended = left;
        let forgotten: Vec<(u64, String, u64, &'static str)> = forgotten;
        let mut executions = self.executions.lock().unwrap();
        for (number, task, run, how) in forgotten {
            self.record.note(&format!(
                "worker {} forgets its end {number}, {task} run {run}: {how}",
                self.name
            ));
            let is_it = |execution: &&mut Execution| {
                execution.task == task && execution.run == run && execution.worker == self.name
            };
            if let Some(execution) = executions.iter_mut().rfind(is_it) {
                let has_lapsed = state.lapsed.is_some_and(|lapsed| execution.ended < Some(lapsed));
                execution.noted = (!has_lapsed).then(Instant::now);
            }
        }
    }

    /// Extends the lease and answers with both lists, once there is an end or the wait is over.
    fn hold(&self, body: &Json) -> (u16, String) {
        let wait = Duration::from_millis(body.get("waitMs").number().min(2_000));
        let until = Instant::now() + wait;
        {
            let mut state = self.lock();
            let acknowledged = body.get("acknowledged").number();
            self.note_acknowledged(&mut state, acknowledged);
            let until_ms = body.get("deadlineMs").number();
            state.extend_lease(until_ms);
        }
        loop {
            {
                let state = self.lock();
                if !state.ended.is_empty() || Instant::now() >= until {
                    return (200, state.report());
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64 + 1
    }

    fn clock_body(&self) -> String {
        object([("clockMs", self.clock_ms().into()), ("born", self.born_ms.into())]).to_string()
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        let body = object([
            ("clockMs", self.clock_ms().into()),
            ("reason", reason.into()),
            ("born", self.born_ms.into()),
        ]);
        (409, body.to_string())
    }

    fn extend_lease(&mut self, until_ms: u64) {
        let longest_ms = self.clock_ms() + LONGEST_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
    }

    fn report(&self) -> String {
        let running = self.running.iter().map(|(task, run)| {
            let percent = run.began.elapsed().as_millis() * 100 / run.length.as_millis().max(1);
            let row: Vec<Json> = vec![
                task.as_str().into(),
                run.run.into(),
                "".into(),
                (percent.min(99) as u64).into(),
                500.into(),
            ];
            Json::List(row)
        });
        let running: Vec<Json> = running.collect();
        let finished = self.ended.iter().map(|(number, task, run, how)| {
            let row: Vec<Json> = vec![
                (*number).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ];
            Json::List(row)
        });
        let finished: Vec<Json> = finished.take(500).collect();
        object([
            ("clockMs", self.clock_ms().into()),
            ("born", self.born_ms.into()),
            ("running", running.into()),
            ("finished", finished.into()),
        ])
        .to_string()
    }
}
