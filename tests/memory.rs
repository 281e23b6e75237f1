//! Memory of entries that callers set, in sum: real processes with stand-ins for the platform.

mod common;

use common::entry_memory::{
    SMALL_REQUEST_LIMIT, assert_entries_keep_their_memory, assert_own_peaks_are_below,
    assert_peaks_are_below, send_parts, status_kib,
};
use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::caller::request_head;
use platform_standin::{job, long_names_job, long_payload_job};
use serde_json::Value;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Memory that an entry may use beside accepted jobs alone, in kibibytes: their share, 35 % of it, and 24 MB that
/// an entry takes without any.
const JOBS_KIB: u64 = (56 + 24) * 1_024;
/// Memory of its own that an entry may use beside bodies in part alone, in kibibytes: their share, a tenth of it,
/// 8 MB that an entry takes without any, and 64 KB for what the HTTP library keeps of each of 460 connections.
const BODIES_KIB: u64 = (16 + 8) * 1_024 + 460 * 64;
/// Time after which no connection may be open whose body does not arrive: five times the caller's deadline,
/// as an entry without processor time is late to read what has arrived.
const BODY_LIMIT: Duration = Duration::from_secs(15);

/// Held by each test: each measures entries under a load of its own, and would measure the others' too.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Whether the server has closed a connection; what it has sent before is dropped.
fn is_closed(mut connection: &TcpStream) -> bool {
    connection.set_nonblocking(true).unwrap();
    let mut bytes = vec![0; 1 << 20];
    loop {
        match connection.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Asserts that an entry accepts a small job and shows it, without delay.
async fn assert_serves_small_requests(fleet: &Fleet, entry: usize, id: &str) {
    for method in ["POST", "GET"] {
        let began = Instant::now();
        let body = if method == "POST" {
            job(1, 50)
        } else {
            Value::Null
        };
        let (status, answer) = fleet.call(method, entry, id, &body).await;
        let spent = began.elapsed();
        println!("{method} beside the wave: {status} in {spent:?}");
        assert_eq!(status, 200, "{method}: {answer}");
        assert!(spent < SMALL_REQUEST_LIMIT, "{method} took {spent:?}");
    }
}

/// Guards against bodies that callers send in part: an entry kept what had arrived, without limit in
/// sum or time, and exceeded its memory.
#[actix_rt::test]
async fn bodies_sent_in_part_take_a_bounded_memory_and_time() {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut fleet = Fleet::start(1, 1).await;
    let front = fleet.entries[0].0.front;
    let ids = ids(3);
    let head = request_head("POST", &ids[0], 299_999);
    let part = [head.into_bytes(), vec![b' '; 290_000]].concat();
    let mut connections = send_parts(front, 460, &part);
    assert_serves_small_requests(&fleet, 0, &ids[1]).await;
    assert_own_peaks_are_below(&mut fleet, BODIES_KIB);
    let began = Instant::now();
    while connections.iter().any(|each| !is_closed(each)) {
        assert!(
            began.elapsed() < BODY_LIMIT,
            "connections are open whose bodies never arrive"
        );
        sleep_ms(100).await;
    }
    println!("all are closed after {:?}", began.elapsed());
    connections = send_parts(front, 460, &part);
    assert_serves_small_requests(&fleet, 0, &ids[2]).await;
    assert_own_peaks_are_below(&mut fleet, BODIES_KIB);
    drop(connections);
    fleet.wait_until_completed(&ids[1..]).await;
}

/// Guards against callers that send requests and read no answers: an entry kept all answers and
/// exceeded its memory.
#[actix_rt::test]
async fn answers_that_are_not_read_take_a_bounded_memory() {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut fleet = Fleet::start(1, 1).await;
    let front = fleet.entries[0].0.front;
    let ids = ids(2);
    let request = request_head("GET", &ids[0], 0);
    let requests = request.repeat(20_000).into_bytes();
    let connections = send_parts(front, 300, &requests);
    for _ in 0..10 {
        sleep_ms(500).await;
        assert_entries_keep_their_memory(&mut fleet);
    }
    assert_serves_small_requests(&fleet, 0, &ids[1]).await;
    drop(connections);
    fleet.wait_until_completed(&ids[1..]).await;
}

/// Guards against one connection to the store for each caller that waits for it, which took the
/// descriptors and the memory of an entry while the store was slow.
#[actix_rt::test]
async fn callers_that_wait_for_a_slow_store_take_few_connections_to_it() {
    /// Callers that wait at once.
    const CALLERS: usize = 600;
    /// Descriptors of the entry besides these callers' connections and 256 calls of the store.
    const OTHER_DESCRIPTORS: usize = 100;
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = Fleet::start(1, 1).await;
    let front = fleet.entries[0].0.front;
    let ids = ids(2);
    fleet.store.answer_reads_late("flows", 1_500);
    let request = request_head("GET", &ids[0], 0);
    let connections = send_parts(front, CALLERS, request.as_bytes());
    let folder = format!("/proc/{}/fd", fleet.entries[0].1.process.child.id());
    let mut most = 0;
    for _ in 0..20 {
        most = most.max(std::fs::read_dir(&folder).unwrap().count());
        sleep_ms(50).await;
    }
    println!("{most} descriptors");
    assert!(
        most < CALLERS + 256 + OTHER_DESCRIPTORS,
        "{most} descriptors"
    );
    drop(connections);
}

/// Submits jobs with this body under `ids` at the first entry; returns how many were accepted before
/// one was refused for some seconds.
async fn submit_until_refused(fleet: &Fleet, ids: &[String], body: &Value) -> usize {
    for (number, id) in ids.iter().enumerate() {
        let mut refusals = 0;
        while refusals < 6 {
            let (status, answer) = fleet.call("POST", 0, id, body).await;
            if status == 200 {
                break;
            }
            println!("{status} after {number} jobs: {answer}");
            assert_eq!(status, 503);
            assert_eq!(answer["retry_after_s"], "1");
            refusals += 1;
            sleep_ms(500).await;
        }
        if refusals == 6 {
            return number;
        }
    }
    ids.len()
}

/// Guards against accepted jobs whose whole text the scheduler keeps for as long as they wait.
#[actix_rt::test]
async fn a_job_that_waits_takes_less_memory_than_its_text() {
    const JOBS: usize = 500;
    let _only = ONE_AT_A_TIME.lock().await;
    let mut fleet = Fleet::start(1, 1).await;
    let before_kib = status_kib(&mut fleet, 0, "VmRSS");
    let body = long_names_job(30, 1_060);
    assert_eq!(submit_until_refused(&fleet, &ids(JOBS), &body).await, JOBS);
    sleep_ms(1_000).await;
    let grown_kib = status_kib(&mut fleet, 0, "VmRSS") - before_kib;
    println!(
        "{JOBS} jobs of {} bytes: {grown_kib} KiB",
        body.to_string().len()
    );
    assert!(grown_kib < 16 * JOBS as u64, "{grown_kib} KiB");
    assert_entries_keep_their_memory(&mut fleet);
}

/// Guards against a sum of stored jobs that ends each scheduler while it loads them, for ever.
#[actix_rt::test]
async fn many_large_stored_jobs_are_loaded_by_any_entry() {
    const JOBS: usize = 2_000;
    let _only = ONE_AT_A_TIME.lock().await;
    let mut fleet = Fleet::start(2, 1).await;
    let ids = ids(JOBS + 2);
    let body = long_names_job(30, 1_060);
    assert_eq!(fleet.submit(0, &ids[0], &body).await, 200);
    let (_, value) = fleet.store.values("flows").remove(0);
    for (_, node) in &mut fleet.entries {
        node.process.kill();
    }
    for id in &ids[1..JOBS] {
        // Flows are in four parts, by a hash of their identifiers.
        let part = (utils::hash64(id) % 4).to_string();
        fleet
            .store
            .put("flows", &part, id, &value.replace(&ids[0], id));
    }
    for (_, node) in &mut fleet.entries {
        node.restart();
    }
    fleet.wait_until_ready().await;
    let small = &ids[JOBS..];
    assert_eq!(fleet.submit(1, &small[0], &job(1, 100)).await, 200);
    fleet.wait_until_completed(&small[..1]).await;
    for id in [&ids[1], &ids[JOBS - 1]] {
        let (status, answer) = fleet.call("GET", 0, id, &Value::Null).await;
        assert_eq!((status, answer["state"].as_str()), (200, Some("queued")));
    }
    let loaded = fleet.call("GET", 0, "", &Value::Null).await;
    println!("{} jobs wait", loaded.1);
    assert_eq!(loaded.1["waiting"], JOBS);
    assert_peaks_are_below(&mut fleet, JOBS_KIB);
}

/// Guards against accepted jobs that exceed the scheduler's memory in sum, and against answers about
/// accepted ones that change while no further one is accepted.
#[actix_rt::test]
async fn jobs_beyond_the_memory_for_them_are_refused_and_accepted_ones_go_on() {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut fleet = Fleet::start_with_memory(2, 1, 64).await;
    let ids = ids(1_000);
    let body = long_payload_job(40_000);
    let accepted = submit_until_refused(&fleet, &ids, &body).await;
    // Each takes some 41 KB of 22 MB.
    assert!((400..570).contains(&accepted), "{accepted} are accepted");
    for entry in 0..2 {
        let (status, _) = fleet.call("POST", entry, &ids[0], &body).await;
        assert_eq!(status, 200, "a repeated submission of an accepted job");
        assert_eq!(fleet.state(entry, &ids[0]).await, "queued");
    }
    let refused = &ids[accepted];
    assert_eq!(fleet.call("GET", 1, refused, &Value::Null).await.0, 410);
    let peak_kib = status_kib(&mut fleet, 0, "VmHWM").max(status_kib(&mut fleet, 1, "VmHWM"));
    assert!(peak_kib < 80 * 1_024, "an entry used {peak_kib} KiB");
    for id in &ids[..accepted] {
        assert_eq!(fleet.call("DELETE", 0, id, &Value::Null).await.0, 200);
    }
    assert_eq!(fleet.submit(1, refused, &job(1, 100)).await, 200);
    fleet
        .wait_until_completed(std::slice::from_ref(refused))
        .await;
}
