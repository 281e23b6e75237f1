//! Guarantees of requests while processes are killed or suspended and connections break.

mod common;

use common::{CallOutcome, Fleet, FleetSpec, WAIT_LIMIT, sleep_ms, wait_until};
use futures::StreamExt;
use futures::future::join_all;
use serde_json::json;
use standin::{Relay, RelayMode};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Sends `count` requests at fixed intervals through both entries while `inject_fault` runs: every
/// third is a search, which may be retried, the others are bookings.
async fn send_load_during(
    fleet: &Fleet,
    count: usize,
    path: &str,
    inject_fault: impl AsyncFnOnce(),
) -> Vec<(String, CallOutcome)> {
    let calls = (0..count).map(|number| async move {
        sleep_ms(number as u64 * 8).await;
        let mark = format!("m{number}");
        let method = if number % 3 == 0 { "GET" } else { "POST" };
        let outcome = fleet.call(number % 2, method, path, &mark).await;
        (mark, outcome)
    });
    let (history, ()) = futures::join!(join_all(calls), inject_fault());
    history
}

/// Runs `callers` callers at once. Each sends one request after the other until `inject_fault` has
/// ended and at least `each` of its answers were whole. The number of requests in flight is bounded
/// by the callers, so it does not depend on the machine's speed.
async fn run_callers_during(
    fleet: &Fleet,
    callers: usize,
    each: usize,
    path: &str,
    inject_fault: impl AsyncFnOnce(),
) -> Vec<(String, CallOutcome)> {
    let is_fault_done = Cell::new(false);
    let is_fault_done = &is_fault_done;
    let calls = (0..callers).map(|caller| async move {
        let started = Instant::now();
        let mut history: Vec<(String, CallOutcome)> = Vec::new();
        while !is_fault_done.get() || count_whole(&history) < each {
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "caller {caller}: {history:?}"
            );
            let number = history.len();
            let mark = format!("m{number}-{caller}");
            let method = if number.is_multiple_of(3) {
                "GET"
            } else {
                "POST"
            };
            let outcome = fleet.call(caller % 2, method, path, &mark).await;
            if !outcome.is_whole() {
                sleep_ms(50).await;
            }
            history.push((mark, outcome));
        }
        history
    });
    let fault = async {
        inject_fault().await;
        is_fault_done.set(true);
    };
    let (histories, ()) = futures::join!(join_all(calls), fault);
    histories.into_iter().flatten().collect()
}

fn count_whole(history: &[(String, CallOutcome)]) -> usize {
    history
        .iter()
        .filter(|(_, outcome)| outcome.is_whole())
        .count()
}

/// Guards against searches that fail and bookings that run twice, or run after `not-run`, when an
/// agent is killed with requests in flight.
#[actix_rt::test]
async fn a_killed_agent_causes_no_lost_or_duplicate_request() {
    let mut fleet = Fleet::start(&FleetSpec {
        work_ms: 60,
        ..FleetSpec::default()
    })
    .await;
    let mut victim = std::mem::replace(
        &mut fleet.agents[0].process,
        common::Process::start(&["--version"]),
    );
    let history = run_callers_during(&fleet, 10, 30, "/book?size=50", async || {
        sleep_ms(800).await;
        victim.kill();
    })
    .await;
    for (mark, outcome) in &history {
        assert!(
            *outcome != CallOutcome::Broken,
            "{mark} got no answer at all"
        );
    }
    let number = |mark: &str| mark[1..].split('-').next().unwrap().parse::<usize>();
    let is_search = |mark: &str| number(mark).unwrap().is_multiple_of(3);
    for (mark, outcome) in history.iter().filter(|(mark, _)| is_search(mark)) {
        assert!(
            outcome.is_whole(),
            "{mark} may be retried and got {outcome:?}"
        );
    }
    let history: Vec<_> = history
        .into_iter()
        .filter(|(mark, _)| !is_search(mark))
        .collect();
    fleet.assert_outcomes_match_executions(&history).await;
    assert!(
        count_whole(&history) > 150,
        "most bookings succeed: {}",
        count_whole(&history)
    );
}

/// Guards against the verdict `not-run` for a request that a killed backend server executed, and
/// against an uncertain verdict for a search, which may be retried.
#[actix_rt::test]
async fn a_killed_backend_server_never_causes_a_false_not_run_verdict() {
    let mut fleet = Fleet::start(&FleetSpec {
        work_ms: 60,
        ..FleetSpec::default()
    })
    .await;
    let mut victim = std::mem::replace(
        &mut fleet.backends[0].process,
        common::Process::start(&["--version"]),
    );
    let history = send_load_during(&fleet, 200, "/book?size=50", async || {
        sleep_ms(700).await;
        victim.kill();
    })
    .await;
    assert!(
        history
            .iter()
            .all(|(_, outcome)| *outcome != CallOutcome::Broken)
    );
    let uncertain = history
        .iter()
        .filter(|(_, outcome)| outcome.verdict() == "may-have-run");
    for (mark, _) in uncertain {
        assert!(
            !mark[1..].parse::<usize>().unwrap().is_multiple_of(3),
            "{mark} may be retried"
        );
    }
    fleet.assert_outcomes_match_executions(&history).await;
}

/// Guards against bookings that were repeated elsewhere and run again when a suspended agent
/// resumes.
#[actix_rt::test]
async fn a_frozen_agent_runs_nothing_twice_when_it_resumes() {
    let fleet = Fleet::start(&FleetSpec {
        work_ms: 40,
        ..FleetSpec::default()
    })
    .await;
    let history = send_load_during(&fleet, 700, "/book?size=50&work_ms=40", async || {
        sleep_ms(500).await;
        fleet.agents[1].process.signal("STOP");
        sleep_ms(3_500).await;
        fleet.agents[1].process.signal("CONT");
    })
    .await;
    assert!(
        history
            .iter()
            .all(|(_, outcome)| *outcome != CallOutcome::Broken)
    );
    let number = |mark: &str| mark[1..].parse::<usize>().unwrap();
    let bookings: Vec<_> = history
        .iter()
        .filter(|(mark, _)| !number(mark).is_multiple_of(3))
        .cloned()
        .collect();
    fleet.assert_outcomes_match_executions(&bookings).await;
}

/// Guards against a request that runs twice when an entry is suspended for four seconds and
/// resumes.
#[actix_rt::test]
async fn a_frozen_entry_lets_nothing_run_twice() {
    let fleet = Fleet::start(&FleetSpec {
        work_ms: 40,
        ..FleetSpec::default()
    })
    .await;
    let history = send_load_during(&fleet, 300, "/book?size=50", async || {
        sleep_ms(500).await;
        fleet.entries[0].process.signal("STOP");
        sleep_ms(4_000).await;
        fleet.entries[0].process.signal("CONT");
    })
    .await;
    fleet.assert_outcomes_match_executions(&history).await;
    assert!(count_whole(&history) > 150);
}

/// Guards against a killed entry that disturbs the requests through the other one.
#[actix_rt::test]
async fn a_killed_entry_leaves_the_other_serving() {
    let mut fleet = Fleet::start(&FleetSpec {
        work_ms: 40,
        ..FleetSpec::default()
    })
    .await;
    let mut victim = std::mem::replace(
        &mut fleet.entries[0].process,
        common::Process::start(&["--version"]),
    );
    let history = send_load_during(&fleet, 300, "/book?size=50", async || {
        sleep_ms(500).await;
        victim.kill();
    })
    .await;
    let other = history
        .iter()
        .filter(|(mark, _)| mark[1..].parse::<usize>().unwrap() % 2 == 1);
    assert!(
        other.into_iter().all(|(_, outcome)| outcome.is_whole()),
        "the other entry still serves"
    );
    fleet.assert_outcomes_match_executions(&history).await;
}

/// Starts a system whose entries reach the only agent through a relay.
async fn fleet_behind_relay() -> (Fleet, Relay) {
    let fleet_spec = FleetSpec {
        agents: 0,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start_empty(&fleet_spec).await;
    let ports = cluster::free_ports(2).unwrap();
    let relay = Relay::start(ports[0], ports[1]).await.unwrap();
    let fleet_spec = FleetSpec {
        agent_extra: json!({ "listen": ports[1], "advertise": relay.address }),
        slots: 64,
        ..FleetSpec::default()
    };
    let control: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.control).collect();
    fleet.start_agent(&fleet_spec, 0, &control);
    fleet.apply(&common::first_ticket()).await;
    fleet.wait_until_serving(1).await;
    (fleet, relay)
}

/// Guards against a lost answer or a second execution of a booking when the connections to the agent
/// go silent, without being closed, while requests are in flight.
#[actix_rt::test]
async fn open_connections_that_go_silent_lose_no_answer() {
    let (fleet, relay) = fleet_behind_relay().await;
    for round in 0..3 {
        let warm = fleet
            .call(0, "POST", "/book", &format!("warm{round}"))
            .await;
        assert!(warm.is_whole(), "{warm:?}");
        let history = send_load_during(&fleet, 40, "/book?size=300&work_ms=400", async || {
            sleep_ms(350).await;
            relay.set_mode(RelayMode::SilenceOpen);
        })
        .await;
        let history: Vec<_> = history
            .into_iter()
            .map(|(mark, outcome)| (mark, round, outcome))
            .collect();
        for (mark, _, outcome) in &history {
            assert!(outcome.is_whole(), "round {round}: {mark} got {outcome:?}");
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

/// Guards against a lost answer or a second execution of a booking when the connections to the agent
/// are cut repeatedly while requests are in flight.
#[actix_rt::test]
async fn cut_connections_lose_no_answer() {
    let (fleet, relay) = fleet_behind_relay().await;
    let history = send_load_during(&fleet, 150, "/book?size=300&work_ms=100", async || {
        for _ in 0..4 {
            sleep_ms(250).await;
            relay.set_mode(RelayMode::CutOpen);
        }
    })
    .await;
    for (mark, outcome) in &history {
        assert!(outcome.is_whole(), "{mark} got {outcome:?}");
    }
    let number = |mark: &str| mark[1..].parse::<usize>().unwrap();
    let bookings: Vec<_> = history
        .into_iter()
        .filter(|(mark, _)| !number(mark).is_multiple_of(3))
        .collect();
    fleet.assert_outcomes_match_executions(&bookings).await;
}

/// Guards against a stream on a silent connection that hangs, or that ends as if it were complete.
#[actix_rt::test]
async fn a_silent_live_stream_is_ended_as_cut() {
    let (fleet, relay) = fleet_behind_relay().await;
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
    actix_rt::time::timeout(WAIT_LIMIT, watch)
        .await
        .expect("the silent connection is detected");
    assert!(
        matches!(last, Some(Err(_))),
        "a cut stream ends with an error"
    );
}

/// Guards against a small or large answer that the backend server cuts and the caller takes for
/// complete, or gets as `not-run` although the request ran.
#[actix_rt::test]
async fn an_answer_that_is_cut_or_too_short_is_never_shown_as_whole() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    for (path, name) in [
        ("/report?size=5000&cut_after=100", "small"),
        ("/report?size=3000000&cut_after=1000000", "large"),
    ] {
        let outcome = fleet.call(0, "POST", path, name).await;
        assert!(!outcome.is_whole(), "{name}: {outcome:?}");
        assert_ne!(outcome.verdict(), "not-run", "{name} did run");
    }
}

/// Guards against two executions of one idempotency key, sent through two entries one after the
/// other or at once.
#[actix_rt::test]
async fn the_same_key_through_another_entry_runs_once() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let key = [("idempotency-key", "hall-3")];
    let first = fleet
        .call_with_headers(0, "POST", "/book?size=80", "keyed", &key)
        .await;
    let second = fleet
        .call_with_headers(1, "POST", "/book?size=80", "keyed", &key)
        .await;
    assert!(first.is_whole(), "{first:?}");
    assert_eq!(first, second, "the repetition gets the answer to the first");

    let key = [("idempotency-key", "hall-4")];
    let at_once =
        (0..6).map(|n| fleet.call_with_headers(n % 2, "POST", "/book?work_ms=300", "race", &key));
    let outcomes = join_all(at_once).await;
    assert!(outcomes.iter().any(CallOutcome::is_whole), "{outcomes:?}");
    let count = fleet
        .executions()
        .await
        .iter()
        .filter(|execution| execution.mark == "race")
        .count();
    assert_eq!(count, 1);
}

/// Guards against a repeated idempotency key that runs again, or gets `not-run`, after the agent
/// that executed it was killed.
#[actix_rt::test]
async fn a_key_survives_the_agent_that_ran_it() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    for number in 0..12 {
        let (mark, key) = (format!("k{number}"), format!("key-{number}"));
        let outcome = fleet
            .call_with_headers(0, "POST", "/book", &mark, &[("idempotency-key", &key)])
            .await;
        assert!(outcome.is_whole());
    }
    fleet.agents[0].process.kill();
    for number in 0..12 {
        let (mark, key) = (format!("k{number}"), format!("key-{number}"));
        let outcome = fleet
            .call_with_headers(1, "POST", "/book", &mark, &[("idempotency-key", &key)])
            .await;
        assert_ne!(outcome.verdict(), "not-run", "it ran before");
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

/// Guards against requests that are sent to a backend server three seconds after it was suspended
/// or killed.
#[actix_rt::test]
async fn a_backend_server_that_leaves_gets_no_new_work_after_three_seconds() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.backends[0].process.signal("STOP");
    fleet.backends[1].process.kill();
    sleep_ms(3_000).await;
    let calls = (0..60).map(|number| {
        let fleet = &fleet;
        async move {
            fleet
                .call(number % 2, "POST", "/book", &format!("late{number}"))
                .await
        }
    });
    let outcomes = join_all(calls).await;
    assert!(outcomes.iter().all(CallOutcome::is_whole), "{outcomes:?}");
    fleet.backends[0].process.signal("CONT");
    sleep_ms(500).await;
    let url = format!("http://{}/standin/record", fleet.backends[0].address);
    let mut answer = fleet.client.get(url).send().await.unwrap();
    let ran: Vec<standin::Execution> = answer.json().await.unwrap();
    assert!(
        ran.iter()
            .all(|execution| !execution.mark.starts_with("late"))
    );
}

/// Drains one worker's agent and then another worker's backend server while `callers` callers send
/// requests, as in [`run_callers_during`]; the 8 slots of the third worker remain. Returns the
/// system and the outcome of each request by its mark.
async fn drain_two_of_three(callers: usize, each: usize) -> (Fleet, Vec<(String, CallOutcome)>) {
    let fleet_spec = FleetSpec {
        work_ms: 60,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&fleet_spec).await;
    let placeholder = || common::Process::start(&["--version"]);
    let mut agent = std::mem::replace(&mut fleet.agents[0].process, placeholder());
    let mut backend = std::mem::replace(&mut fleet.backends[1].process, placeholder());
    let history = run_callers_during(&fleet, callers, each, "/book?size=50", async || {
        sleep_ms(500).await;
        agent.signal("TERM");
        assert!(agent.exits_successfully().await);
        backend.signal("TERM");
        assert!(backend.exits_successfully().await);
    })
    .await;
    (fleet, history)
}

/// Guards against requests that fail while an agent, a backend server and an entry drain, under
/// load that the remaining slots can serve.
#[actix_rt::test]
async fn draining_under_load_cuts_nothing() {
    let (mut fleet, history) = drain_two_of_three(6, 60).await;
    for (mark, outcome) in &history {
        assert!(outcome.is_whole(), "{mark} got {outcome:?}");
    }
    let slow = fleet.call(0, "POST", "/book?work_ms=1500", "slow");
    let drain = async {
        sleep_ms(300).await;
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
    let (outcome, ()) = futures::join!(slow, drain);
    assert!(outcome.is_whole(), "{outcome:?}");
    assert!(fleet.entries[0].process.exits_successfully().await);
}

/// Guards against a drain under more load than the remaining slots can serve that cuts requests
/// instead of refusing them with `deadline-unreachable`.
#[actix_rt::test]
async fn draining_into_overload_refuses_early_and_cuts_nothing() {
    let (fleet, history) = drain_two_of_three(24, 10).await;
    let refused = history.iter().filter(|(_, outcome)| !outcome.is_whole());
    for (mark, outcome) in refused {
        let code = match outcome {
            CallOutcome::Failed { verdict, code, .. } if verdict == "not-run" => code.as_str(),
            _ => panic!("{mark} got {outcome:?}"),
        };
        assert_eq!(code, "deadline-unreachable", "{mark}: {outcome:?}");
    }
    fleet.assert_outcomes_match_executions(&history).await;
    assert!(count_whole(&history) >= 240, "every caller is still served");
}

/// Guards against a leaving backend server that exits too early because the agent answers its
/// announcement with a wrong number of requests in flight.
#[actix_rt::test]
async fn a_backend_server_that_leaves_receives_its_in_flight_count() {
    let fleet = Fleet::start(&FleetSpec {
        agents: 1,
        ..FleetSpec::default()
    })
    .await;
    let (agent, backend) = (&fleet.agents[0], &fleet.backends[0]);
    let url = format!("http://{}/v1/announce", agent.local);
    let leaving =
        json!({ "service": "rooms", "address": backend.address, "slots": 8, "leaving": true });
    let in_flight = async || {
        let sent = fleet.client.post(&url).send_json(&leaving).await;
        let answer: serde_json::Value = sent.unwrap().json().await.unwrap_or_default();
        answer["in_flight"].as_u64()
    };
    let slow = fleet.call(0, "POST", "/book?work_ms=1500", "slow");
    let query = async {
        sleep_ms(700).await;
        in_flight().await
    };
    let (outcome, before) = futures::join!(slow, query);
    assert!(outcome.is_whole(), "{outcome:?}");
    assert_eq!((before, in_flight().await), (Some(1), Some(0)));
}

/// Guards against requests, or an entry's readiness, that depend on the platform's table.
#[actix_rt::test]
async fn requests_are_served_while_the_table_is_unavailable() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.platform.set_faults(standin::Faults {
        down: true,
        ..Default::default()
    });
    let history = send_load_during(&fleet, 300, "/book?size=50", async || {}).await;
    assert_eq!(count_whole(&history), 300);
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

/// Sends raw bytes and returns what is received until the connection ends or is silent for 1.5 s.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
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

/// Guards against malformed requests that reach a backend server, and against many idle connections
/// that block other callers.
#[actix_rt::test]
async fn hostile_callers_are_refused_and_other_callers_are_served() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
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
        let answer = actix_rt::task::spawn_blocking(move || send_raw(address, &bytes))
            .await
            .unwrap();
        assert!(!answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
    }
    let declared = b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: evil\r\ncontent-length: 99999999999\r\n\r\n";
    let answer = actix_rt::task::spawn_blocking(move || send_raw(entry, declared))
        .await
        .unwrap();
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");

    let idle_connections: Vec<TcpStream> = (0..300)
        .filter_map(|_| TcpStream::connect(entry).ok())
        .collect();
    let outcome = fleet.call(0, "GET", "/free", "good").await;
    assert!(
        outcome.is_whole(),
        "idle connections block no other caller: {outcome:?}"
    );
    drop(idle_connections);
    let evil = fleet
        .executions()
        .await
        .iter()
        .filter(|execution| execution.mark == "evil")
        .count();
    assert_eq!(evil, 0, "nothing malformed reaches a backend server");
    assert_eq!(entry.ip(), Ipv4Addr::LOCALHOST);
}

/// Sends a raw head and then a piece `pieces` times, and returns the start of the answer.
fn send_raw_pieces(address: SocketAddr, head: &[u8], piece: &[u8], pieces: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
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

/// Guards against request bodies that never end or stop arriving: they must not be held for ever,
/// be executed as complete or block other callers.
#[actix_rt::test]
async fn endless_and_stalled_bodies_are_ended_and_other_callers_are_served() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let mut ticket = common::first_ticket();
    ticket["number"] = json!(2);
    ticket["services"][0]["max_body_bytes"] = json!(600_000);
    fleet.apply(&ticket).await;
    fleet.wait_until_serving(3).await;
    let entry = fleet.entries[0].traffic;
    let head = b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: endless\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [b"4000\r\n".to_vec(), vec![b'z'; 0x4000], b"\r\n".to_vec()].concat();
    let endless =
        actix_rt::task::spawn_blocking(move || send_raw_pieces(entry, head, &chunk, 2_000));
    let head =
        b"POST /s/rooms/b HTTP/1.1\r\nhost: x\r\nx-mark: stalled\r\ncontent-length: 100\r\n\r\nabc";
    let stalled = actix_rt::task::spawn_blocking(move || send_raw_pieces(entry, head, b"", 0));
    for number in 0..20 {
        let outcome = fleet
            .call(0, "POST", "/book", &format!("good{number}"))
            .await;
        assert!(outcome.is_whole(), "{outcome:?}");
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

/// Guards against unfinished request bodies that fill an entry's memory beyond its limit, reach a
/// backend server or block other callers.
#[actix_rt::test]
async fn a_flood_of_unfinished_bodies_takes_bounded_memory_and_blocks_no_other_caller() {
    const LIMIT_BYTES: u64 = 4 << 20;
    const SENDERS: u64 = 300;
    // The HTTP library buffers up to 128 KiB and 32 KiB of a connection that is not read.
    const BUFFERS_BYTES: u64 = 160 << 10;
    let fleet = Fleet::start(&FleetSpec {
        entry_extra: json!({ "held_body_bytes": LIMIT_BYTES }),
        ..FleetSpec::default()
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
    sleep_ms(1_000).await;
    let grown = resident_bytes(&fleet.entries[0].process).saturating_sub(before);
    let bound = LIMIT_BYTES + SENDERS * BUFFERS_BYTES;
    assert!(grown < bound, "{grown} bytes more, bound {bound}");
    for number in 0..20 {
        let outcome = fleet
            .call(0, "POST", "/book", &format!("small{number}"))
            .await;
        assert!(outcome.is_whole(), "{outcome:?}");
    }
    drop(flood);
    wait_until("a large body is accepted again", async || {
        let url = format!("http://{entry}/s/rooms/book");
        let request = fleet.client.post(url).insert_header(("x-mark", "large"));
        let sent = request.send_body("x".repeat(200_000)).await;
        sent.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    let ran = fleet.executions().await;
    assert!(ran.iter().all(|execution| execution.mark != "flood"));
}

/// Guards against lost or duplicate requests and tasks when an entry, two agents and their backend
/// servers are lost at once with one failure domain.
#[actix_rt::test]
async fn a_lost_failure_domain_causes_no_lost_or_duplicate_work() {
    let mut fleet = Fleet::start(&FleetSpec {
        entries: 3,
        agents: 6,
        work_ms: 40,
        ..FleetSpec::default()
    })
    .await;
    fleet
        .submit(1, &common::job("timetabling", "rebuild", 24, 3_000))
        .await
        .unwrap();
    wait_until("tasks run", async || fleet.platform.runs().len() >= 24).await;
    let placeholder = || common::Process::start(&["--version"]);
    let mut victims = vec![std::mem::replace(
        &mut fleet.entries[0].process,
        placeholder(),
    )];
    for index in [0, 3] {
        victims.push(std::mem::replace(
            &mut fleet.agents[index].process,
            placeholder(),
        ));
        victims.push(std::mem::replace(
            &mut fleet.backends[index].process,
            placeholder(),
        ));
    }
    let calls = (0..300).map(|number| {
        let fleet = &fleet;
        async move {
            sleep_ms(number as u64 * 8).await;
            let mark = format!("m{number}");
            let outcome = fleet
                .call(1 + number % 2, "POST", "/book?size=50", &mark)
                .await;
            (mark, outcome)
        }
    });
    let lose_domain = async {
        sleep_ms(700).await;
        victims.iter_mut().for_each(common::Process::kill);
        for index in [0, 3] {
            fleet.platform.terminate_worker(&fleet.agents[index].id);
        }
    };
    let (history, ()) = futures::join!(join_all(calls), lose_domain);
    assert!(
        history
            .iter()
            .all(|(_, outcome)| *outcome != CallOutcome::Broken)
    );
    assert!(
        count_whole(&history) > 200,
        "most bookings succeed: {}",
        count_whole(&history)
    );
    fleet.assert_outcomes_match_executions(&history).await;
    let status = fleet.job_end(1, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 24, "{status}");
    assert_eq!(fleet.platform.breaches(), Vec::<String>::new());
}
