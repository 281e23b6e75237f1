//! What must always hold of requests, while processes die, freeze and lose each other.

mod common;

use common::{Fleet, LIMIT, Plan, Told, pause, wait_until};
use futures::StreamExt;
use futures::future::join_all;
use serde_json::json;
use standin::{Relay, RelayMode};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Sends bookings and searches through both entries while `disturb` does its work.
async fn load_while(
    fleet: &Fleet,
    count: usize,
    rest: &str,
    disturb: impl AsyncFnOnce(),
) -> Vec<(String, Told)> {
    let calls = (0..count).map(|number| async move {
        pause(number as u64 * 8).await;
        let mark = format!("m{number}");
        let method = if number % 3 == 0 { "GET" } else { "POST" };
        let told = fleet.call(number % 2, method, rest, &mark).await;
        (mark, told)
    });
    let (history, ()) = futures::join!(join_all(calls), disturb());
    history
}

/// Sends requests from so many callers, each one after the other until `disturb` has done its work
/// and `each` of its requests were whole. What is on its way at once does not depend on speed.
async fn callers_while(
    fleet: &Fleet,
    callers: usize,
    each: usize,
    rest: &str,
    disturb: impl AsyncFnOnce(),
) -> Vec<(String, Told)> {
    let is_over = Cell::new(false);
    let is_over = &is_over;
    let calls = (0..callers).map(|caller| async move {
        let started = Instant::now();
        let mut history: Vec<(String, Told)> = Vec::new();
        while !is_over.get() || whole(&history) < each {
            assert!(started.elapsed() < LIMIT, "caller {caller}: {history:?}");
            let number = history.len();
            let mark = format!("m{number}-{caller}");
            let method = if number.is_multiple_of(3) {
                "GET"
            } else {
                "POST"
            };
            let told = fleet.call(caller % 2, method, rest, &mark).await;
            if !told.is_whole() {
                pause(50).await;
            }
            history.push((mark, told));
        }
        history
    });
    let disturbed = async {
        disturb().await;
        is_over.set(true);
    };
    let (histories, ()) = futures::join!(join_all(calls), disturbed);
    histories.into_iter().flatten().collect()
}

fn whole(history: &[(String, Told)]) -> usize {
    history.iter().filter(|(_, told)| told.is_whole()).count()
}

#[actix_rt::test]
async fn a_killed_agent_loses_and_doubles_nothing() {
    let mut fleet = Fleet::start(&Plan {
        work_ms: 60,
        ..Plan::default()
    })
    .await;
    let mut victim = std::mem::replace(
        &mut fleet.agents[0].process,
        common::Process::start(&["--version"]),
    );
    let history = callers_while(&fleet, 10, 30, "/book?size=50", async || {
        pause(800).await;
        victim.kill();
    })
    .await;
    for (mark, told) in &history {
        assert!(*told != Told::Broken, "{mark} got no answer at all");
    }
    let number = |mark: &str| mark[1..].split('-').next().unwrap().parse::<usize>();
    let is_search = |mark: &str| number(mark).unwrap().is_multiple_of(3);
    for (mark, told) in history.iter().filter(|(mark, _)| is_search(mark)) {
        assert!(
            told.is_whole(),
            "{mark} may be retried and was told {told:?}"
        );
    }
    let history: Vec<_> = history
        .into_iter()
        .filter(|(mark, _)| !is_search(mark))
        .collect();
    fleet.check_history(&history).await;
    assert!(
        whole(&history) > 150,
        "most bookings go on: {}",
        whole(&history)
    );
}

#[actix_rt::test]
async fn a_killed_backend_server_is_never_told_as_not_run_when_it_ran() {
    let mut fleet = Fleet::start(&Plan {
        work_ms: 60,
        ..Plan::default()
    })
    .await;
    let mut victim = std::mem::replace(
        &mut fleet.backends[0].process,
        common::Process::start(&["--version"]),
    );
    let history = load_while(&fleet, 200, "/book?size=50", async || {
        pause(700).await;
        victim.kill();
    })
    .await;
    assert!(history.iter().all(|(_, told)| *told != Told::Broken));
    let uncertain = history
        .iter()
        .filter(|(_, told)| told.verdict() == "may-have-run");
    for (mark, _) in uncertain {
        assert!(
            !mark[1..].parse::<usize>().unwrap().is_multiple_of(3),
            "{mark} may be retried"
        );
    }
    fleet.check_history(&history).await;
}

#[actix_rt::test]
async fn a_frozen_agent_gets_no_new_work_and_runs_nothing_twice_when_it_wakes() {
    let fleet = Fleet::start(&Plan {
        work_ms: 40,
        ..Plan::default()
    })
    .await;
    let history = load_while(&fleet, 700, "/book?size=50&work_ms=40", async || {
        pause(500).await;
        fleet.agents[1].process.signal("STOP");
        pause(3_500).await;
        fleet.agents[1].process.signal("CONT");
    })
    .await;
    assert!(history.iter().all(|(_, told)| *told != Told::Broken));
    let number = |mark: &str| mark[1..].parse::<usize>().unwrap();
    let bookings: Vec<_> = history
        .iter()
        .filter(|(mark, _)| !number(mark).is_multiple_of(3))
        .cloned()
        .collect();
    fleet.check_history(&bookings).await;
}

#[actix_rt::test]
async fn a_frozen_entry_lets_nothing_run_twice() {
    let fleet = Fleet::start(&Plan {
        work_ms: 40,
        ..Plan::default()
    })
    .await;
    let history = load_while(&fleet, 300, "/book?size=50", async || {
        pause(500).await;
        fleet.entries[0].process.signal("STOP");
        pause(4_000).await;
        fleet.entries[0].process.signal("CONT");
    })
    .await;
    fleet.check_history(&history).await;
    assert!(whole(&history) > 150);
}

#[actix_rt::test]
async fn a_killed_entry_leaves_the_other_serving() {
    let mut fleet = Fleet::start(&Plan {
        work_ms: 40,
        ..Plan::default()
    })
    .await;
    let mut victim = std::mem::replace(
        &mut fleet.entries[0].process,
        common::Process::start(&["--version"]),
    );
    let history = load_while(&fleet, 300, "/book?size=50", async || {
        pause(500).await;
        victim.kill();
    })
    .await;
    let other = history
        .iter()
        .filter(|(mark, _)| mark[1..].parse::<usize>().unwrap() % 2 == 1);
    assert!(
        other.into_iter().all(|(_, told)| told.is_whole()),
        "the other entry serves on"
    );
    fleet.check_history(&history).await;
}

/// A system whose entries reach the only agent through a relay.
async fn behind_relay() -> (Fleet, Relay) {
    let plan = Plan {
        agents: 0,
        ..Plan::default()
    };
    let mut fleet = Fleet::start_empty(&plan).await;
    let ports = cluster::free_ports(2).unwrap();
    let relay = Relay::start(ports[0], ports[1]).await.unwrap();
    let plan = Plan {
        agent_extra: json!({ "listen": ports[1], "advertise": relay.address }),
        slots: 64,
        ..Plan::default()
    };
    let control: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.control).collect();
    fleet.start_agent(&plan, 0, &control);
    fleet.apply(&common::first_ticket()).await;
    fleet.wait_serving(1).await;
    (fleet, relay)
}

#[actix_rt::test]
async fn open_connections_that_go_silent_lose_no_answer() {
    let (fleet, relay) = behind_relay().await;
    for round in 0..3 {
        let warm = fleet
            .call(0, "POST", "/book", &format!("warm{round}"))
            .await;
        assert!(warm.is_whole(), "{warm:?}");
        let history = load_while(&fleet, 40, "/book?size=300&work_ms=400", async || {
            pause(350).await;
            relay.set_mode(RelayMode::SilenceOpen);
        })
        .await;
        let history: Vec<_> = history
            .into_iter()
            .map(|(mark, told)| (mark, round, told))
            .collect();
        for (mark, _, told) in &history {
            assert!(told.is_whole(), "round {round}: {mark} was told {told:?}");
        }
        relay.set_mode(RelayMode::Pass);
    }
    let mut marks = std::collections::HashMap::new();
    for execution in fleet.executions().await {
        *marks.entry(execution.mark).or_insert(0) += 1;
    }
    let posts = (0..40)
        .filter(|number| number % 3 != 0)
        .map(|number| format!("m{number}"));
    for mark in posts {
        assert_eq!(marks.get(&mark), Some(&3), "{mark} runs once a round");
    }
}

#[actix_rt::test]
async fn cut_connections_lose_no_answer() {
    let (fleet, relay) = behind_relay().await;
    let history = load_while(&fleet, 150, "/book?size=300&work_ms=100", async || {
        for _ in 0..4 {
            pause(250).await;
            relay.set_mode(RelayMode::CutOpen);
        }
    })
    .await;
    for (mark, told) in &history {
        assert!(told.is_whole(), "{mark} was told {told:?}");
    }
    let number = |mark: &str| mark[1..].parse::<usize>().unwrap();
    let bookings: Vec<_> = history
        .into_iter()
        .filter(|(mark, _)| !number(mark).is_multiple_of(3))
        .collect();
    fleet.check_history(&bookings).await;
}

#[actix_rt::test]
async fn a_silent_live_stream_is_ended_as_cut() {
    let (fleet, relay) = behind_relay().await;
    let address = format!(
        "http://{}/s/rooms/live?pieces=400&work_ms=40000",
        fleet.entries[0].traffic
    );
    let mut answer = fleet.client.get(address).send().await.unwrap();
    let first = answer.next().await.unwrap().unwrap();
    assert_eq!(first, "piece 0\n");
    relay.set_mode(RelayMode::SilenceOpen);
    let mut last = Some(Ok(first));
    let watch = async {
        while let Some(piece) = answer.next().await {
            let is_cut = piece.is_err();
            last = Some(piece);
            if is_cut {
                return;
            }
        }
        last = None;
    };
    actix_rt::time::timeout(LIMIT, watch)
        .await
        .expect("the silence is noticed");
    assert!(
        matches!(last, Some(Err(_))),
        "a cut never looks like an end"
    );
}

#[actix_rt::test]
async fn an_answer_that_is_cut_or_too_short_is_never_shown_as_whole() {
    let fleet = Fleet::start(&Plan::default()).await;
    for (rest, name) in [
        ("/report?size=5000&cut_after=100", "small"),
        ("/report?size=3000000&cut_after=1000000", "large"),
    ] {
        let told = fleet.call(0, "POST", rest, name).await;
        assert!(!told.is_whole(), "{name}: {told:?}");
        assert_ne!(told.verdict(), "not-run", "{name} did run");
    }
}

#[actix_rt::test]
async fn the_same_key_through_another_entry_runs_once() {
    let fleet = Fleet::start(&Plan::default()).await;
    let key = [("idempotency-key", "hall-3")];
    let first = fleet
        .call_with(0, "POST", "/book?size=80", "keyed", &key)
        .await;
    let second = fleet
        .call_with(1, "POST", "/book?size=80", "keyed", &key)
        .await;
    assert!(first.is_whole(), "{first:?}");
    assert_eq!(first, second, "the repetition gets the answer to the first");

    let key = [("idempotency-key", "hall-4")];
    let at_once = (0..6).map(|n| fleet.call_with(n % 2, "POST", "/book?work_ms=300", "race", &key));
    let told = join_all(at_once).await;
    assert!(told.iter().any(Told::is_whole), "{told:?}");
    let count = fleet
        .executions()
        .await
        .iter()
        .filter(|execution| execution.mark == "race")
        .count();
    assert_eq!(count, 1);
}

#[actix_rt::test]
async fn a_key_survives_the_agent_that_ran_it() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    for number in 0..12 {
        let (mark, key) = (format!("k{number}"), format!("key-{number}"));
        let told = fleet
            .call_with(0, "POST", "/book", &mark, &[("idempotency-key", &key)])
            .await;
        assert!(told.is_whole());
    }
    fleet.agents[0].process.kill();
    for number in 0..12 {
        let (mark, key) = (format!("k{number}"), format!("key-{number}"));
        let told = fleet
            .call_with(1, "POST", "/book", &mark, &[("idempotency-key", &key)])
            .await;
        assert_ne!(told.verdict(), "not-run", "it ran before");
    }
    for number in 0..12 {
        let mark = format!("k{number}");
        let count = fleet
            .executions()
            .await
            .iter()
            .filter(|e| e.mark == mark)
            .count();
        assert!(count <= 1, "{mark} ran {count} times");
    }
}

#[actix_rt::test]
async fn a_backend_server_that_leaves_gets_no_new_work_after_three_seconds() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    fleet.backends[0].process.signal("STOP");
    fleet.backends[1].process.kill();
    pause(3_000).await;
    let calls = (0..60).map(|number| {
        let fleet = &fleet;
        async move {
            fleet
                .call(number % 2, "POST", "/book", &format!("late{number}"))
                .await
        }
    });
    let told = join_all(calls).await;
    assert!(told.iter().all(Told::is_whole), "{told:?}");
    fleet.backends[0].process.signal("CONT");
    pause(500).await;
    let url = format!("http://{}/standin/record", fleet.backends[0].address);
    let mut answer = fleet.client.get(url).send().await.unwrap();
    let ran: Vec<standin::Execution> = answer.json().await.unwrap();
    assert!(
        ran.iter()
            .all(|execution| !execution.mark.starts_with("late"))
    );
}

/// Drains one worker's agent and another's backend server while so many callers go on; 8 slots of
/// one worker are left.
async fn drain_two_of_three(callers: usize, each: usize) -> (Fleet, Vec<(String, Told)>) {
    let plan = Plan {
        work_ms: 60,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await;
    let stand_in = || common::Process::start(&["--version"]);
    let mut agent = std::mem::replace(&mut fleet.agents[0].process, stand_in());
    let mut backend = std::mem::replace(&mut fleet.backends[1].process, stand_in());
    let history = callers_while(&fleet, callers, each, "/book?size=50", async || {
        pause(500).await;
        agent.signal("TERM");
        assert!(agent.ended_well().await);
        backend.signal("TERM");
        assert!(backend.ended_well().await);
    })
    .await;
    (fleet, history)
}

#[actix_rt::test]
async fn draining_under_load_cuts_nothing() {
    let (mut fleet, history) = drain_two_of_three(6, 60).await;
    for (mark, told) in &history {
        assert!(told.is_whole(), "{mark} was told {told:?}");
    }
    let slow = fleet.call(0, "POST", "/book?work_ms=1500", "slow");
    let drain = async {
        pause(300).await;
        fleet.entries[0].process.signal("TERM");
        let admin = fleet.entries[0].admin;
        wait_until("the draining entry is not ready", async || {
            let url = format!("http://{admin}/readyz");
            !fleet
                .client
                .get(url)
                .send()
                .await
                .is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    };
    let (told, ()) = futures::join!(slow, drain);
    assert!(told.is_whole(), "{told:?}");
    assert!(fleet.entries[0].process.ended_well().await);
}

#[actix_rt::test]
async fn draining_into_overload_refuses_early_and_cuts_nothing() {
    let (fleet, history) = drain_two_of_three(24, 10).await;
    let refused = history.iter().filter(|(_, told)| !told.is_whole());
    for (mark, told) in refused {
        let code = match told {
            Told::Failed { verdict, code, .. } if verdict == "not-run" => code.as_str(),
            _ => panic!("{mark} was told {told:?}"),
        };
        assert_eq!(code, "deadline-unreachable", "{mark}: {told:?}");
    }
    fleet.check_history(&history).await;
    assert!(whole(&history) >= 240, "each caller is served on");
}

#[actix_rt::test]
async fn a_backend_server_that_leaves_is_told_what_is_on_its_way() {
    let fleet = Fleet::start(&Plan {
        agents: 1,
        ..Plan::default()
    })
    .await;
    let (agent, backend) = (&fleet.agents[0], &fleet.backends[0]);
    let url = format!("http://{}/v1/announce", agent.local);
    let leaving =
        json!({ "service": "rooms", "address": backend.address, "slots": 8, "leaving": true });
    let on_its_way = async || {
        let sent = fleet.client.post(&url).send_json(&leaving).await;
        let answer: serde_json::Value = sent.unwrap().json().await.unwrap_or_default();
        answer["in_flight"].as_u64()
    };
    let slow = fleet.call(0, "POST", "/book?work_ms=1500", "slow");
    let ask = async {
        pause(700).await;
        on_its_way().await
    };
    let (told, before) = futures::join!(slow, ask);
    assert!(told.is_whole(), "{told:?}");
    assert_eq!((before, on_its_way().await), (Some(1), Some(0)));
}

#[actix_rt::test]
async fn requests_go_on_while_the_table_is_down() {
    let fleet = Fleet::start(&Plan::default()).await;
    fleet.platform.set_faults(standin::Faults {
        down: true,
        ..Default::default()
    });
    let history = load_while(&fleet, 300, "/book?size=50", async || {}).await;
    assert_eq!(whole(&history), 300);
    let ready = format!("http://{}/readyz", fleet.entries[0].admin);
    assert!(
        fleet
            .client
            .get(ready)
            .send()
            .await
            .unwrap()
            .status()
            .is_success()
    );
}

/// Sends raw bytes and returns what comes back within a short while.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    drop(stream.write_all(bytes));
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[actix_rt::test]
async fn hostile_callers_are_refused_and_others_are_unharmed() {
    let fleet = Fleet::start(&Plan::default()).await;
    let entry = fleet.entries[0].traffic;
    let hostile: [(&str, Vec<u8>); 7] = [
        ("both framings", b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_vec()),
        ("two lengths", b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde".to_vec()),
        ("bad length", b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ncontent-length: +4\r\n\r\nabcd".to_vec()),
        ("bad chunk", b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabcd\r\n".to_vec()),
        ("unknown coding", b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n".to_vec()),
        ("huge header", [b"GET /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\nx-big: ".to_vec(), vec![b'a'; 300_000], b"\r\n\r\n".to_vec()].concat()),
        ("no protocol", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec()),
    ];
    for (name, bytes) in &hostile {
        let (address, bytes) = (entry, bytes.clone());
        let answer = actix_rt::task::spawn_blocking(move || raw(address, &bytes))
            .await
            .unwrap();
        assert!(!answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
    }
    let declared = b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ncontent-length: 99999999999\r\n\r\n";
    let answer = actix_rt::task::spawn_blocking(move || raw(entry, declared))
        .await
        .unwrap();
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");

    let floods: Vec<TcpStream> = (0..300)
        .filter_map(|_| TcpStream::connect(entry).ok())
        .collect();
    let told = fleet.call(0, "GET", "/free", "good").await;
    assert!(
        told.is_whole(),
        "idle connections keep nobody out: {told:?}"
    );
    drop(floods);
    let evil = fleet
        .executions()
        .await
        .iter()
        .filter(|execution| execution.mark == "evil")
        .count();
    assert_eq!(evil, 0, "nothing malformed reaches a backend server");
    assert_eq!(entry.ip(), Ipv4Addr::LOCALHOST);
}

/// Sends raw bytes slowly, piece by piece, and returns what comes back.
fn raw_slowly(address: SocketAddr, head: &[u8], piece: &[u8], pieces: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.write_all(head).unwrap();
    for _ in 0..pieces {
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    let mut answer = vec![0; 4_096];
    let count = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

#[actix_rt::test]
async fn endless_and_stalled_bodies_are_ended_and_others_are_unharmed() {
    let fleet = Fleet::start(&Plan::default()).await;
    let mut ticket = common::first_ticket();
    ticket["number"] = json!(2);
    ticket["services"][0]["max_body_bytes"] = json!(600_000);
    fleet.apply(&ticket).await;
    fleet.wait_serving(3).await;
    let entry = fleet.entries[0].traffic;
    let head = b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: endless\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [b"4000\r\n".to_vec(), vec![b'z'; 0x4000], b"\r\n".to_vec()].concat();
    let endless = actix_rt::task::spawn_blocking(move || raw_slowly(entry, head, &chunk, 2_000));
    let head =
        b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: stalled\r\ncontent-length: 100\r\n\r\nabc";
    let stalled = actix_rt::task::spawn_blocking(move || raw_slowly(entry, head, b"", 0));
    for number in 0..20 {
        let told = fleet
            .call(0, "POST", "/book", &format!("good{number}"))
            .await;
        assert!(told.is_whole(), "{told:?}");
    }
    let endless = endless.await.unwrap();
    assert!(!endless.starts_with("HTTP/1.1 200"), "{endless}");
    let stalled = stalled.await.unwrap();
    assert!(
        stalled.starts_with("HTTP/1.1 408") && stalled.contains("not-run"),
        "{stalled}"
    );
    let ran = fleet.executions().await;
    assert!(ran.iter().all(|execution| execution.mark != "stalled"));
    assert!(
        ran.iter()
            .all(|execution| execution.mark != "endless" || !execution.finished)
    );
}

/// Resident memory of a process, in bytes.
fn resident_bytes(process: &common::Process) -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let path = format!("/proc/{}/statm", process.child.id());
    let text = std::fs::read_to_string(path).unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

#[actix_rt::test]
async fn a_flood_of_unfinished_bodies_takes_bounded_memory_and_leaves_room_for_others() {
    const LIMIT_BYTES: u64 = 4 << 20;
    const SENDERS: u64 = 300;
    // What the HTTP library reads ahead of a connection before it stops: 128 KiB and 32 KiB.
    const BUFFERS_BYTES: u64 = 160 << 10;
    let fleet = Fleet::start(&Plan {
        entry_extra: json!({ "held_body_bytes": LIMIT_BYTES }),
        ..Plan::default()
    })
    .await;
    let entry = fleet.entries[0].traffic;
    let before = resident_bytes(&fleet.entries[0].process);
    let senders = (0..SENDERS).map(|_| {
        actix_rt::task::spawn_blocking(move || {
            let mut stream = TcpStream::connect(entry).unwrap();
            let head = b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: flood\r\ncontent-length: 250000\r\n\r\n";
            stream.write_all(head).unwrap();
            drop(stream.write_all(&vec![b'z'; 240_000]));
            stream
        })
    });
    let flood = join_all(senders).await;
    pause(1_000).await;
    let grown = resident_bytes(&fleet.entries[0].process).saturating_sub(before);
    let bound = LIMIT_BYTES + SENDERS * BUFFERS_BYTES;
    assert!(grown < bound, "{grown} bytes more, bound {bound}");
    for number in 0..20 {
        let told = fleet
            .call(0, "POST", "/book", &format!("small{number}"))
            .await;
        assert!(told.is_whole(), "{told:?}");
    }
    drop(flood);
    wait_until("a large body is taken again", async || {
        let url = format!("http://{entry}/s/rooms/book");
        let request = fleet.client.post(url).insert_header(("x-mark", "large"));
        let sent = request.send_body("x".repeat(200_000)).await;
        sent.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    let ran = fleet.executions().await;
    assert!(ran.iter().all(|execution| execution.mark != "flood"));
}

#[actix_rt::test]
async fn a_lost_failure_domain_loses_and_doubles_nothing() {
    let mut fleet = Fleet::start(&Plan {
        entries: 3,
        agents: 6,
        work_ms: 40,
        ..Plan::default()
    })
    .await;
    fleet
        .submit(1, &common::job("timetabling", "rebuild", 24, 3_000))
        .await
        .unwrap();
    wait_until("tasks run", async || fleet.platform.runs().len() >= 24).await;
    let stand_in = || common::Process::start(&["--version"]);
    let mut victims = vec![std::mem::replace(&mut fleet.entries[0].process, stand_in())];
    for index in [0, 3] {
        victims.push(std::mem::replace(
            &mut fleet.agents[index].process,
            stand_in(),
        ));
        victims.push(std::mem::replace(
            &mut fleet.backends[index].process,
            stand_in(),
        ));
    }
    let calls = (0..300).map(|number| {
        let fleet = &fleet;
        async move {
            pause(number as u64 * 8).await;
            let mark = format!("m{number}");
            let told = fleet
                .call(1 + number % 2, "POST", "/book?size=50", &mark)
                .await;
            (mark, told)
        }
    });
    let disaster = async {
        pause(700).await;
        victims.iter_mut().for_each(common::Process::kill);
        for index in [0, 3] {
            fleet.platform.terminate_worker(&fleet.agents[index].id);
        }
    };
    let (history, ()) = futures::join!(join_all(calls), disaster);
    assert!(history.iter().all(|(_, told)| *told != Told::Broken));
    assert!(
        whole(&history) > 200,
        "most bookings go on: {}",
        whole(&history)
    );
    fleet.check_history(&history).await;
    let status = fleet.job_end(1, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 24, "{status}");
    assert_eq!(fleet.platform.breaches(), Vec::<String>::new());
}
