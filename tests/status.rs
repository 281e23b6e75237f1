//! The command `status` against flow entries with stand-ins for the platform, and against earlier versions.

mod common;

use common::flow_fleet::{Fleet, ids};
use common::wait_until;
use platform_standin::sized_job;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;

/// Time after the request from which nothing may start in the domain, in milliseconds.
const BOUND_MS: u64 = 2_500;

fn status(monitoring: SocketAddr, json: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleythread"));
    let url = format!("http://{monitoring}/");
    command.args(["status", "--monitoring", &url]);
    if json {
        command.arg("--json");
    }
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Status of an entry as JSON.
fn json_of(fleet: &Fleet, entry: usize) -> Value {
    let output = status(fleet.entries[entry].0.metrics, true);
    assert!(output.status.success(), "{}", text(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Answers one call with this response, as an entry of an earlier version.
fn answer_once(response: &'static str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = body.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).unwrap();
        let length = body.len();
        let head =
            format!("HTTP/1.1 {response}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
        stream.write_all((head + &body).as_bytes()).unwrap();
    });
    address
}

/// Guards against a domain that is missing at an entry, runs that an entry other than the scheduler invents,
/// and a domain that is shown as empty before it is, or not once it is.
#[actix_rt::test]
async fn every_entry_shows_evacuated_domains_and_the_scheduler_their_runs() {
    let fleet = Fleet::start_in_zones(2, 2, &["d1", "d2"], BOUND_MS).await;
    let id = &ids(1)[0];
    // One worker has no room for all tasks, so that both get some.
    let job = sized_job(12, 2_000, 25_000);
    assert_eq!(fleet.submit(0, id, &job).await, 200);
    wait_until("all tasks run", async || fleet.executions().len() == 12).await;
    assert_eq!(json_of(&fleet, 0)["evacuations"], json!([]));
    fleet.store.evacuate("d1");
    fleet.store.evacuate("nowhere");
    let lists_both = |entry: usize| {
        json_of(&fleet, entry)["evacuations"]
            .as_array()
            .unwrap()
            .len()
            == 2
    };
    wait_until("the requests are read", async || {
        lists_both(0) && lists_both(1)
    })
    .await;
    let scheduler = fleet.scheduler();
    let shown = json_of(&fleet, scheduler);
    assert_eq!(shown["scheduler"], json!(true));
    let [emptied, nowhere] = shown["evacuations"].as_array().unwrap().as_slice() else {
        panic!("{shown}");
    };
    assert_eq!(emptied["domain"], json!("d1"));
    assert!(emptied["requested_ago_ms"].as_u64() < Some(30_000));
    let runs = &emptied["runs"];
    assert_eq!(
        (&runs["workers"], &runs["empty"]),
        (&json!(1), &json!(false))
    );
    assert!(runs["left"].as_u64() > Some(0), "{runs}");
    assert_eq!(runs["staying"]["saves_no_progress"], runs["left"]);
    let runs = &nowhere["runs"];
    assert_eq!(
        (&runs["workers"], &runs["empty"]),
        (&json!(0), &json!(true))
    );
    let table = text(&status(fleet.entries[scheduler].0.metrics, false).stdout);
    assert!(table.contains(": the scheduler;"), "{table}");
    assert!(
        table.contains("can't be moved now:") && table.contains(" save no progress\n"),
        "{table}"
    );
    assert!(table.contains("0 workers, empty"), "{table}");

    let other = json_of(&fleet, 1 - scheduler);
    assert_eq!(other["scheduler"], json!(false));
    for evacuation in other["evacuations"].as_array().unwrap() {
        assert_eq!(evacuation["runs"], Value::Null);
    }
    let table = text(&status(fleet.entries[1 - scheduler].0.metrics, false).stdout);
    assert!(
        table.contains("d1 ") && table.contains("runs are known to the scheduler only"),
        "{table}"
    );

    fleet.call("DELETE", 0, id, &Value::Null).await;
    let is_empty = || json_of(&fleet, scheduler)["evacuations"][0]["runs"]["empty"] == json!(true);
    wait_until("the domain is empty", async || is_empty()).await;
    fleet.store.end_evacuation("d1");
    fleet.store.end_evacuation("nowhere");
    let lists_none = |entry: usize| json_of(&fleet, entry)["evacuations"] == json!([]);
    wait_until("the requests are taken back", async || {
        lists_none(0) && lists_none(1)
    })
    .await;
}

/// Guards against a command that fails on what an earlier version does not state.
#[test]
fn answers_of_earlier_versions_are_read() {
    let address = answer_once("200 OK", &json!({ "entry": "e7" }).to_string());
    let output = status(address, false);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let table = text(&output.stdout);
    assert!(
        table.starts_with("e7: not the scheduler; configuration 0 in force\n"),
        "{table}"
    );
    assert!(
        table.contains("evacuated domains (not read yet)"),
        "{table}"
    );
    let evacuations = json!([{ "domain": "d1", "runs": { "left": 3, "staying": { "gang": 2 } } }]);
    let address = answer_once(
        "200 OK",
        &json!({ "entry": "e7", "scheduler": true, "evacuations": evacuations }).to_string(),
    );
    let table = text(&status(address, false).stdout);
    assert!(table.contains("3 runs left\n"), "{table}");
    assert!(
        table.contains("2 can't be moved now: 2 in a gang\n"),
        "{table}"
    );
}

/// Guards against an entry without this call that looks as if it had no evacuated domains.
#[test]
fn an_entry_without_a_status_is_told_from_one_without_evacuations() {
    let output = status(answer_once("404 Not Found", ""), false);
    assert_eq!(output.status.code(), Some(3));
    let error = text(&output.stderr);
    assert!(error.contains("earlier version"), "{error}");
    let output = status("127.0.0.1:9".parse().unwrap(), false);
    assert_eq!(output.status.code(), Some(4));
    assert!(text(&output.stderr).contains("check --monitoring"));
}
