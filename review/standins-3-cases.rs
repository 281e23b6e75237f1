// The scripted cases; included by `standins-3.rs`.

/// Runs a case. Returns how the rule was broken, or `None` if it held.
fn run_case(case: &str, folder: &Path) -> Option<String> {
    match case {
        "flap" => flap(folder, "plain"),
        "flap-lasting" => flap(folder, "lasting"),
        "waiting" => waiting(folder),
        "near" => near(folder),
        "reuse" => reuse(folder),
        "long" => long(folder),
        "odd" => odd(folder),
        other => cannot_run(&format!("no case {other}")),
    }
}

const ZONES: [&str; 3] = ["tw-north-a", "tw-north-b", "tw-north-c"];
const RACKS: [&str; 4] = ["r1-1", "r1-2", "r1-3", "r1-4"];
const WORKERS: usize = 11;
const ROOM: Need = (16_000, 64_000);

/// A small deployment: 3 entries in 3 zones, and 11 workers, 3 a rack. The first worker has the kind
/// `b`, the others have `a`.
fn small_system(folder: &Path) -> System {
    small_system_of(folder, "1.5")
}

/// As [`small_system`], with this `remoteFactor`.
fn small_system_of(folder: &Path, remote_factor: &'static str) -> System {
    let mut system = System::start(folder);
    system.remote_factor = remote_factor;
    system.configure(3);
    for zone in ZONES {
        system.add_entry(zone);
    }
    for number in 0..WORKERS {
        let kind = if number == 0 { "b" } else { "a" };
        system.add_worker(ZONES[number % 3], &[kind, RACKS[number / 3]], ROOM);
    }
    system.wait_until_ready();
    system
}

/// A worker goes down and up by turns while a task waits that only it may run. LOST: the job is shown as
/// `failed` though none of its runs ended `failed`.
fn flap(folder: &Path, queue: &str) -> Option<String> {
    const GAP_MS: u64 = 800;
    const FOR_MS: u64 = 6_100;
    /// Time that the worker's process takes to start.
    const BOOT_MS: u64 = 100;
    let system = small_system(folder);
    let lasts = queue == "lasting";
    let job = "5c0e7a21d94b36f8";
    let path = format!("/{queue}/{job}");
    let length = if lasts { String::new() } else { "ms=2000".to_owned() };
    let kind = if lasts { ",\"longRunning\":true" } else { "" };
    let body = format!(
        "{{\"taskSpec\":\"{length}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":2000,\"requirements\":\"b\"{kind}}}]}}"
    );
    let flapping = &system.workers[0];
    let begin = now_ms();
    if has_trouble() {
        flapping.crash();
    }
    system.submit(0, &path, &body);
    if has_trouble() {
        let mut cycle = 0;
        while (cycle + 1) * GAP_MS <= FOR_MS {
            wait_until(begin + cycle * GAP_MS + GAP_MS / 2 + BOOT_MS);
            flapping.up();
            wait_until(begin + (cycle + 1) * GAP_MS);
            flapping.crash();
            cycle += 1;
        }
        wait_until(begin + FOR_MS);
        flapping.up();
    }
    let until = now_ms() + 20_000;
    let mut last = (0, String::new());
    while now_ms() < until {
        for entry in 0..system.entries.len() {
            let seen = system.state(entry, &path);
            if seen != last {
                note(format!("client GET {path} at {}: {} {}", system.entries[entry].name, seen.0, seen.1));
            }
            last = seen;
            let failed = runs_of(job).iter().filter(|run| run.how == "failed").count();
            if last.1 == "failed" && failed == 0 {
                let began = runs_of(job).len();
                return Some(format!(
                    "LOST: {job} is shown as failed; {began} runs of it began, and none ended failed"
                ));
            }
        }
        if last.1 == "completed" {
            return None;
        }
        pause(500);
    }
    note(format!("at the end: {} {}", last.0, last.1));
    None
}

/// The only worker of a kind refuses starts with 503 for a while; then the scheduler is killed. MIXED: a
/// count gives under half of the jobs that were accepted over `visible_ms` + 2 s before and of which no
/// task has begun.
fn waiting(folder: &Path) -> Option<String> {
    const JOBS: usize = 12;
    const GREY_MS: u64 = 6_500;
    const COUNTED_AFTER_MS: u64 = 5_000;
    const KILLED_AFTER_MS: u64 = 1_500;
    const DOWN_MS: u64 = 3_500;
    let system = small_system(folder);
    let begin = now_ms();
    system.workers[0].lock().is_unhealthy = true;
    note("side-1's worker answers starts with 503");
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let job = format!("{number:016x}");
        let path = format!("/plain/{job}");
        system.submit(
            number % 3,
            &path,
            "{\"taskSpec\":\"ms=500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":500,\"requirements\":\"b\"}]}",
        );
        accepted.push((job, now_ms()));
    }
    for entry in 0..system.entries.len() {
        let answer = system.ask(entry, "GET", "/plain/", "").unwrap_or_default();
        note(format!("client GET /plain/ at {}: {} {}", system.entries[entry].name, answer.0, answer.1));
    }
    wait_until(begin + KILLED_AFTER_MS);
    let Some(owner) = system.scheduler() else {
        cannot_run("no scheduler");
    };
    if has_trouble() {
        system.kill(system.entries[owner].child);
    }
    let mut is_down = has_trouble();
    let mut broken = None;
    while now_ms() < begin + GREY_MS {
        if is_down && now_ms() >= begin + KILLED_AFTER_MS + DOWN_MS {
            system.start_again("entry", &system.entries[owner].name);
            is_down = false;
        }
        for entry in 0..system.entries.len() {
            // The entry that was killed is not in touch.
            if has_trouble() && entry == owner {
                continue;
            }
            let asked = now_ms();
            let Some((200, body)) = system.ask(entry, "GET", "/plain/", "") else {
                continue;
            };
            let count = Json::parse(&body).map_or(0, |body| body.get("waiting").num());
            let due = accepted.iter().filter(|(job, at)| {
                *at + COUNTED_AFTER_MS < asked && runs_of(job).is_empty()
            });
            let due = due.count() as u64;
            note(format!(
                "client GET /plain/ at {}: waiting {count}, of {due} that were accepted over 5 s before and have not begun",
                system.entries[entry].name
            ));
            if count * 2 < due {
                broken.get_or_insert(format!("MIXED: waiting {count} of {due}"));
            }
        }
        pause(200);
    }
    system.workers[0].lock().is_unhealthy = false;
    broken
}

/// Many jobs want the same rack, which is busy. LOST: 14 s after the end of the traffic, a job has had
/// nothing running for 3 s, while its task's turn has come, there is room for it many times over, and
/// under half of the service is in use.
fn near(folder: &Path) -> Option<String> {
    let system = small_system_of(folder, "3");
    let step = |count: u32, rack: &str| {
        format!(
            "{{\"taskSpec\":\"ms=24000\",\"steps\":[{{\"count\":{count},\"cpu\":3500,\"requestedMemoryMb\":6400,\"estimatedMs\":24000,\"dataRack\":\"{rack}\"}}]}}"
        )
    };
    // Four tasks a worker fill the three workers of the rack.
    system.submit(0, "/plain/00000000000000a1", &step(12, "r1-1"));
    pause(1_000);
    let rack = if has_trouble() { "r1-1" } else { "r1-2" };
    let job = "00000000000000b1";
    system.submit(1, "/plain/00000000000000b1", &step(1, rack));
    let end = now_ms();
    note("the traffic ends");
    judge_at_end(&system, job, end, 2 * IDLE_MS)
}

/// When nothing of a job has run for `IDLE_MS`, while its task's turn has come.
struct IdleWatch {
    job: &'static str,
    since_ms: Option<u64>,
}

/// Time after the end of the traffic at which jobs are judged (`finish_s`).
const FINISH_MS: u64 = 14_000;
/// Time without a run from which LOST is broken.
const IDLE_MS: u64 = 3_000;

impl IdleWatch {
    fn new(job: &'static str) -> Self {
        Self { job, since_ms: None }
    }

    /// Looks at the runs now. Returns for how long nothing of the job has run.
    fn idle_ms(&mut self) -> u64 {
        let now = now_ms();
        if runs_of(self.job).iter().any(|run| run.ended_ms.is_none() || run.how == "done") {
            self.since_ms = None;
            return 0;
        }
        now - *self.since_ms.get_or_insert(now)
    }
}

/// Judges a job from `FINISH_MS` after the end of the traffic on, for `for_ms`: LOST is broken once nothing of
/// it has run for `IDLE_MS`. The caller sees to it that its task's turn has come and that there is room.
fn judge_at_end(system: &System, job: &'static str, end_ms: u64, for_ms: u64) -> Option<String> {
    wait_until(end_ms + FINISH_MS);
    let mut watch = IdleWatch::new(job);
    while now_ms() < end_ms + FINISH_MS + for_ms {
        let idle_ms = watch.idle_ms();
        if idle_ms >= IDLE_MS {
            let (status, state) = system.state(0, &format!("/plain/{job}"));
            let used = RUNS.lock().unwrap().iter().filter(|run| run.ended_ms.is_none()).count();
            let began = runs_of(job).len();
            return Some(format!(
                "LOST: {} ms after the end of the traffic nothing of {job} ({status} {state}; {began} runs so far) has run for {idle_ms} ms; {used} other runs are at work in the service",
                now_ms() - end_ms
            ));
        }
        pause(20);
    }
    None
}

/// A worker is emptied and taken away with its machine; later an empty one comes, whose machine has the
/// address of the former. BUDGET: a task is started after `maxAttempts` of its runs have ended `failed`
/// and these ends are taken note of. AVAIL: an order stops a task that lasts, of a step with `mayMiss` 1, while the
/// other one is away by such an order. Besides, a job is stopped and started again without end.
fn reuse(folder: &Path) -> Option<String> {
    const ATTEMPTS: usize = 3;
    let mut system = small_system(folder);
    if has_trouble() {
        let born = system.workers[0].lock().life.as_ref().map_or(0, |life| life.born);
        system.workers[0].lock().is_draining = true;
        system.workers[0].beat(born);
        note("i-00000001 says that it drains");
        pause(2_500);
        system.workers[0].leave();
        system.kill(system.agents[0].child);
        pause(10_000);
        let addresses = system.machines[0];
        system.add_worker_at(addresses, ZONES[0], &["b", RACKS[0]], ROOM);
        pause(3_000);
    }
    let body = |spec: &str| {
        format!(
            "{{\"taskSpec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":3000,\"requirements\":\"b\"}}]}}"
        )
    };
    system.submit(0, "/plain/00000000000000a1", &body("ms=3000"));
    system.submit(
        2,
        "/lasting/00000000000000c1",
        "{\"taskSpec\":\"x=1\",\"steps\":[{\"count\":2,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":400,\"requirements\":\"b\",\"longRunning\":true,\"mayMiss\":1}]}",
    );
    let failing = 0xb1..0xb9;
    for number in failing.clone() {
        system.submit(1, &format!("/plain/{number:016x}"), &body("ms=300;fails=1"));
    }
    let end = now_ms();
    note("the traffic ends");
    wait_until(end + FINISH_MS + 2 * IDLE_MS);
    let mut broken = Vec::new();
    for number in failing {
        let job = format!("{number:016x}");
        let runs = runs_of(&job);
        let mut failed_ms: Vec<u64> = runs
            .iter()
            .filter(|run| run.how == "failed" && run.noted_ms.is_some())
            .filter_map(|run| run.ended_ms)
            .collect();
        failed_ms.sort_unstable();
        let Some(last_ms) = failed_ms.get(ATTEMPTS - 1) else {
            continue;
        };
        let late = runs.iter().filter(|run| run.began_ms > *last_ms).count();
        if late > 0 {
            broken.push(format!(
                "BUDGET: {late} starts of {job} after {ATTEMPTS} of its runs had ended failed, all taken note of"
            ));
        }
    }
    let (status, state) = system.state(0, "/plain/00000000000000a1");
    let runs = runs_of("00000000000000a1");
    let stopped = runs.iter().filter(|run| run.how == "stopped").count();
    note(format!("client GET /plain/00000000000000a1: {status} {state}; {} runs began, {stopped} were stopped", runs.len()));
    let both = stops_of_both("00000000000000c1");
    if both > 0 {
        broken.push(format!(
            "AVAIL: {both} times an order stopped a task at work of 00000000000000c1 (mayMiss 1) while the other one was away by such an order"
        ));
    }
    (!broken.is_empty()).then(|| broken.join("; "))
}

/// How often one of the two tasks of a job was stopped while the other one was away, stopped by an order too.
fn stops_of_both(job: &str) -> usize {
    let runs = runs_of(job);
    let is_away = |task: &str, at_ms: u64| {
        let begun = runs.iter().filter(|run| run.task == task && run.began_ms <= at_ms);
        let last = begun.max_by_key(|run| (run.began_ms, run.run));
        last.is_some_and(|run| run.how == "stopped" && run.ended_ms.is_some_and(|end| end <= at_ms))
    };
    let stopped = runs.iter().filter(|run| run.how == "stopped");
    let at_work = stopped.filter_map(|run| Some((run, run.ended_ms?)));
    let second = at_work.filter(|(run, at_ms)| {
        let others = runs.iter().filter(|other| other.task != run.task);
        others.map(|other| &other.task).any(|other| is_away(other, *at_ms))
    });
    second.count()
}

/// A job takes longer than its estimate says. LOST: its run is stopped each time before it has made one
/// hundredth of its progress, and nothing of it runs for 3 s though there is room.
fn long(folder: &Path) -> Option<String> {
    const ESTIMATE_MS: u64 = 400_000;
    let times = if has_trouble() { 1.6 } else { 1.0 };
    let length_ms = (ESTIMATE_MS as f64 * times) as u64;
    let system = small_system(folder);
    let job = "00000000000000c1";
    // Twenty jobs come, one of which takes longer.
    for number in 0..19 {
        system.submit(
            number % 3,
            &format!("/plain/{:016x}", 0x100 + number),
            "{\"taskSpec\":\"ms=400\",\"steps\":[{\"count\":1,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":400}]}",
        );
    }
    system.submit(
        0,
        "/plain/00000000000000c1",
        &format!(
            "{{\"taskSpec\":\"ms={length_ms}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":{ESTIMATE_MS},\"requirements\":\"b\"}}]}}"
        ),
    );
    let end = now_ms();
    note("the traffic ends");
    let broken = judge_at_end(&system, job, end, 60_000);
    let runs = runs_of(job);
    let stopped = runs.iter().filter(|run| run.how == "stopped").count();
    note(format!("{} runs began, {stopped} were stopped by orders", runs.len()));
    broken
}

/// Heartbeats of another writer, with a service that no page names, come at the address of an agent. LOST: a
/// job that only that agent's worker may run does not begin, though the worker is well and empty.
fn odd(folder: &Path) -> Option<String> {
    let system = small_system(folder);
    let worker = system.workers[0].clone();
    if has_trouble() {
        spawn(move || {
            let mut number = 1_000;
            loop {
                let born = worker.lock().life.as_ref().map_or(0, |life| life.born);
                let body = format!(
                    "{{\"service\":\"svc-of-another-writer\",\"address\":{},\"zone\":\"tw-north-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":16000,\"requestedMemoryMb\":64000,\"gpu\":0}},\"labels\":[\"b\",\"r1-1\"],\"clockMs\":1,\"sequence\":{number},\"born\":{born}}}",
                    quote(&worker.address.to_string())
                );
                let path = format!("/-/instances/{}/heartbeat", worker.id);
                let host = format!("host: {}\r\n", worker.control);
                let answer = call(worker.control, "POST", &path, &host, &body, Duration::from_secs(1));
                let status = answer.map_or(0, |answer| answer.0);
                note(format!("another writer's heartbeat {number} at side-1: {status}"));
                number += 1;
                pause(4_500);
            }
        });
        pause(4_000);
    }
    let job = "00000000000000d1";
    system.submit(
        0,
        "/plain/00000000000000d1",
        "{\"taskSpec\":\"ms=2000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"requestedMemoryMb\":500,\"estimatedMs\":2000,\"requirements\":\"b\"}]}",
    );
    let end = now_ms();
    note("the traffic ends");
    judge_at_end(&system, job, end, 10_000)
}
