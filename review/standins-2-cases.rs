//! The cases.

use crate::Verdict;
use crate::fleet::{Fleet, MAX_ATTEMPTS, config, gang_job, job, near_job, pause_ms};
use crate::http::call;
use crate::json::Json;
use crate::record::Record;
use std::time::{Duration, Instant};

/// Identifier of the job that the rule is about.
const JOB: &str = "5c0e7a21d94b36f8";
/// Label of the only worker of its kind.
const RARE: &str = "b";

/// Kinds and racks of the workers of a small deployment: 12 of them, 3 a rack. Only the first may be of
/// another kind.
fn workers(first: &'static str) -> Vec<(&'static str, &'static str)> {
    let racks = ["r1-1", "r1-2", "r1-3", "r1-4"];
    let mut workers: Vec<_> = (0..12).map(|index| ("a", racks[index / 3])).collect();
    workers[0].0 = first;
    workers
}

/// State of a job as an entry shows it; empty if it shows none.
fn state(fleet: &Fleet, entry: usize, path: &str) -> String {
    let (status, body) = fleet.request(entry, "GET", path, "");
    let state = Json::parse(&body).map(|body| body.get("state").text().to_owned());
    if status == 200 {
        state.unwrap_or_default()
    } else {
        String::new()
    }
}

/// Hands a job in until it is accepted; whether it was.
fn submit(fleet: &Fleet, path: &str, body: &str) -> bool {
    (0..3).any(|attempt| {
        let (status, _) = fleet.request(attempt % fleet.entries.len(), "POST", path, body);
        status == 200
    })
}

/// Asks for a job's state until it has ended, or the time is over. Returns the last state.
fn last_state(fleet: &Fleet, path: &str, limit: Duration) -> String {
    let until = Instant::now() + limit;
    let mut last = String::new();
    let mut entry = 0;
    while Instant::now() < until {
        last = state(fleet, entry % fleet.entries.len(), path);
        if ["completed", "failed", "cancelled"].contains(&last.as_str()) {
            return last;
        }
        entry += 1;
        pause_ms(500);
    }
    last
}

/// Waits for the first run of a job; the rule is broken if there is none although its worker is idle.
fn first_run(fleet: &Fleet, limit_s: u64, what: &str) -> Verdict {
    match fleet.next_run(JOB, 0, Duration::from_secs(limit_s)) {
        Some(_) => Verdict::Held,
        None => Verdict::Broken(format!(
            "in {limit_s} s no task of the job has started, though {what} is up and runs nothing"
        )),
    }
}

/// LOST: a worker that started earlier than before, by its time of day, gets nothing to run any more.
pub fn earlier_born(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers(RARE), &config(1, &["/q/"]), record.clone());
    let worker = &fleet.workers[0];
    if has_trouble {
        worker.set_ahead_ms(2_000);
        pause_ms(200);
        worker.crash();
        pause_ms(400);
        worker.start();
        pause_ms(800);
        worker.set_ahead_ms(0);
        pause_ms(100);
        worker.crash();
        pause_ms(400);
        worker.start();
    }
    // Longer than the span after which calm machines are in touch, and the 4 s of the rule.
    pause_ms(10_000);
    let path = format!("/q/{JOB}");
    if !submit(&fleet, &path, &job(1, 1, 500, RARE)) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let verdict = first_run(&fleet, 30, "the only worker with its label");
    last_state(&fleet, &path, Duration::from_secs(2));
    verdict
}

/// LOST: the tasks of an accepted job never start after its route was removed.
pub fn route_removed(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers("a"), &config(1, &["/q/", "/r/"]), record.clone());
    let path = format!("/q/{JOB}");
    if !submit(&fleet, &path, &job(2, 2, 1_000, "")) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if fleet.next_run(JOB, 1, Duration::from_secs(5)).is_none() {
        return Verdict::NotRun("the first step has not begun".to_owned());
    }
    if has_trouble {
        record.note("the operator writes version 2, without the route /q/");
        fleet.store.write("op", "config", &config(2, &["/r/"]));
    }
    let has_second = fleet.next_run(JOB, 2, Duration::from_secs(25)).is_some();
    let done = fleet.runs_of(JOB).iter().filter(|run| run.how == "done").count();
    last_state(&fleet, &path, Duration::from_secs(3));
    match (has_second, done) {
        (true, _) => Verdict::Held,
        (false, 2) => Verdict::Broken(
            "the first step is done; in 20 s no task of the second has started, though all workers are idle"
                .to_owned(),
        ),
        (false, _) => Verdict::NotRun("the first step is not done".to_owned()),
    }
}

/// LOST: heartbeats of another writer, with a service that no configuration names, keep a worker from
/// getting anything to run.
pub fn other_writer(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers(RARE), &config(1, &["/q/"]), record.clone());
    let worker = fleet.workers[0].clone();
    let record = record.clone();
    let mut odd = worker.heartbeat();
    let mut send = move |ahead: u64| {
        if let Json::Object(fields) = &mut odd {
            fields.insert("service".to_owned(), "elsewhere".into());
            fields.insert("sequence".to_owned(), (1_000 + ahead).into());
        }
        let url = format!("/-/instances/{}/heartbeat", worker.name);
        let body = odd.to_string();
        let answer = call(
            worker.agent,
            "POST",
            &url,
            "host: agent\r\n",
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |(status, _)| status);
        record.note(&format!("another writer sends {url} {body}: {status}"));
    };
    let is_over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(!has_trouble));
    let over = is_over.clone();
    let sending = std::thread::spawn(move || {
        let mut ahead = 0;
        while !over.load(std::sync::atomic::Ordering::SeqCst) {
            send(ahead);
            ahead += 1;
            pause_ms(4_000);
        }
    });
    pause_ms(2_500);
    let path = format!("/q/{JOB}");
    let is_accepted = submit(&fleet, &path, &job(1, 1, 500, RARE));
    let verdict = first_run(&fleet, 30, "the only worker with its label");
    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    let _ = sending.join();
    match is_accepted {
        true => verdict,
        false => Verdict::NotRun("the job was not accepted".to_owned()),
    }
}

/// MIXED: after a change of the scheduler, jobs that have not begun are missing from `waiting`.
pub fn waiting_after_takeover(has_trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::start(3, &workers(RARE), &config(1, &["/q/"]), record.clone());
    let Some(scheduler) = fleet.scheduler() else {
        return Verdict::NotRun("there is no scheduler".to_owned());
    };
    if has_trouble {
        fleet.workers[0].set_unhealthy(true);
    }
    let jobs: Vec<String> = (0..4).map(|number| format!("5c0e7a21d94b36f{number}")).collect();
    for id in &jobs {
        if !submit(&fleet, &format!("/q/{id}"), &job(1, 1, 500, RARE)) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
    }
    let accepted = Instant::now();
    // Each of them is placed and refused at least once.
    pause_ms(1_000);
    let other = (scheduler + 1) % fleet.entries.len();
    fleet.request(other, "GET", "/q/", "");
    if has_trouble {
        let entry = &mut fleet.entries[scheduler];
        record.note(&format!(
            "SIGKILL to {}, which last wrote under a condition",
            entry.node.name
        ));
        entry.node.kill();
        pause_ms(1_000);
        entry.node.restart();
        record.note("it starts again");
    }
    // visible_ms and 2 s more.
    let asked = Duration::from_millis(5_300);
    std::thread::sleep(asked.saturating_sub(accepted.elapsed()));
    let begun = |id: &String| !fleet.runs_of(id).is_empty();
    let not_begun = jobs.iter().filter(|id| !begun(id)).count() as u64;
    let (status, body) = fleet.request(other, "GET", "/q/", "");
    let still_not_begun = jobs.iter().filter(|id| !begun(id)).count() as u64;
    for id in &jobs {
        fleet.request(other, "GET", &format!("/q/{id}"), "");
    }
    fleet.workers[0].set_unhealthy(false);
    let waiting = Json::parse(&body).map(|body| body.get("waiting").number());
    match (status, waiting) {
        (200, Some(waiting)) if waiting * 2 < not_begun.min(still_not_begun) => Verdict::Broken(format!(
            "`waiting` is {waiting}, and {not_begun} jobs that were accepted over 5 s before have not begun"
        )),
        (200, Some(_)) => Verdict::Held,
        _ => Verdict::NotRun(format!("the count was answered by {status}")),
    }
}

/// LOST: a job is shown as failed after its gang has failed once, as several members were on one worker
/// that fails all that it starts.
pub fn gang_failed_once(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers("a"), &config(1, &["/q/"]), record.clone());
    if has_trouble {
        fleet.workers[0].set_failing(true);
    }
    let began = Instant::now();
    let path = format!("/q/{JOB}");
    if !submit(&fleet, &path, &gang_job(9, 1_000)) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let shown = last_state(&fleet, &path, Duration::from_secs(6));
    std::thread::sleep(Duration::from_millis(6_500).saturating_sub(began.elapsed()));
    fleet.workers[0].set_failing(false);
    let shown = match shown.as_str() {
        "failed" | "completed" => shown,
        _ => last_state(&fleet, &path, Duration::from_secs(20)),
    };
    let runs = fleet.runs_of(JOB);
    let mut failed: Vec<u64> = runs
        .iter()
        .filter(|run| run.how == "failed")
        .map(|run| run.run)
        .collect();
    failed.sort_unstable();
    failed.dedup();
    match shown.as_str() {
        "completed" => Verdict::Held,
        "failed" if (failed.len() as u64) < MAX_ATTEMPTS => Verdict::Broken(format!(
            "the job is shown as failed; its gang has failed in {} run, and {MAX_ATTEMPTS} are allowed",
            failed.len()
        )),
        "failed" => Verdict::Held,
        other => Verdict::NotRun(format!("the job is shown as {other:?}")),
    }
}

/// LOST: a task waits for a worker near its data while most workers are idle.
pub fn hot_rack(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers("a"), &config(1, &["/q/"]), record.clone());
    if has_trouble {
        // Three jobs fill the workers of the rack.
        for number in 0..3 {
            let id = format!("/q/5c0e7a21d94b36e{number}");
            if !submit(&fleet, &id, &near_job(16_000, 30_000, "r1-1")) {
                return Verdict::NotRun("a job was not accepted".to_owned());
            }
        }
        pause_ms(20_000);
    }
    let path = format!("/q/{JOB}");
    if !submit(&fleet, &path, &near_job(500, 30_000, "r1-1")) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let asked = Instant::now();
    let run = fleet.next_run(JOB, 0, Duration::from_secs(25));
    let waited_s = asked.elapsed().as_secs_f64();
    match run {
        Some(run) if waited_s <= 3.0 => {
            record.note(&format!("began on {} after {waited_s:.1} s", run.worker));
            Verdict::Held
        }
        _ => Verdict::Broken(format!(
            "the job has had nothing running for {waited_s:.1} s, though 9 of 12 workers are idle"
        )),
    }
}

/// LOST: all open connections between agents and workers go silent; long after, nothing starts.
pub fn silent_connections(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers("a"), &config(1, &["/q/"]), record.clone());
    // Jobs of the size that the site's clients send, at once, and one whose tasks go on.
    let wide = job(1, 36, 300, "");
    let are_accepted = std::thread::scope(|scope| {
        let paths = (0..16).map(|number| format!("/q/5c0e7a21d94b36{number:02x}"));
        let sent: Vec<_> = paths
            .map(|path| scope.spawn(|| submit(&fleet, &{ path }, &wide)))
            .collect();
        sent.into_iter().all(|sent| sent.join().unwrap_or(false))
    });
    if !are_accepted || !submit(&fleet, "/q/5c0e7a21d94b36e0", &job(1, 12, 60_000, "")) {
        return Verdict::NotRun("a job was not accepted".to_owned());
    }
    pause_ms(1_500);
    for (worker, proxy) in fleet.workers.iter().zip(&fleet.proxies) {
        record.note(&format!("{}: {} connections so far", worker.name, proxy.opened()));
    }
    if has_trouble {
        fleet.proxies.iter().for_each(|proxy| proxy.silence());
        record.note("all open connections between agents and workers go silent");
    }
    let silent = Instant::now();
    pause_ms(3_500);
    let path = format!("/q/{JOB}");
    if !submit(&fleet, &path, &job(1, 1, 500, "")) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let run = fleet.next_run(JOB, 0, Duration::from_secs(40));
    let lapsed = fleet
        .runs_of("5c0e7a21d94b36e0")
        .iter()
        .filter(|run| run.how == "lapsed")
        .count();
    record.note(&format!(
        "of the 12 tasks that went on, {lapsed} runs have lapsed"
    ));
    let after_s = silent.elapsed().as_secs_f64();
    match run {
        Some(run) if after_s <= 10.0 => {
            record.note(&format!("began on {} {after_s:.1} s after", run.worker));
            Verdict::Held
        }
        _ => Verdict::Broken(format!(
            "nothing has begun until {after_s:.1} s after the connections went silent"
        )),
    }
}

/// TWICE: a worker is dark for a moment and returns under its id; tasks that it has done since start again.
pub fn returned_under_its_id(has_trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(3, &workers("a"), &config(1, &["/q/"]), record.clone());
    // Some ends of each worker are acknowledged.
    if !submit(&fleet, "/q/5c0e7a21d94b36e0", &job(1, 12, 200, "")) {
        return Verdict::NotRun("a job was not accepted".to_owned());
    }
    pause_ms(3_000);
    for (number, count) in [36, 96, 168, 264].into_iter().enumerate() {
        let (worker, proxy) = (&fleet.workers[number], &fleet.proxies[number]);
        if has_trouble {
            proxy.set_dark(true);
            worker.crash();
            pause_ms(250);
            worker.start_before_heartbeat();
            proxy.set_dark(false);
        }
        pause_ms(50);
        let path = format!("/q/5c0e7a21d94b36f{number}");
        if !submit(&fleet, &path, &job(1, count, 200, "")) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
        pause_ms(5_000);
    }
    let executions = fleet.executions.lock().unwrap();
    let again = executions.iter().filter_map(|done| {
        let noted = done.noted.filter(|_| done.how == "done")?;
        let later = executions
            .iter()
            .find(|later| later.task == done.task && done.ended.is_some_and(|ended| later.began > ended))?;
        let after_ms = later.began.saturating_duration_since(noted).as_millis();
        Some(format!(
            "{} run {} on {} was done and taken note of, and run {} began on {} {after_ms} ms after that",
            done.task, done.run, done.worker, later.run, later.worker
        ))
    });
    let again: Vec<String> = again.collect();
    match again.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!("{} tasks; {first}", again.len())),
    }
}
