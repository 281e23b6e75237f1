//! The command `explain` against entries with stand-ins for the platform.

mod common;

use common::flow_fleet::{Fleet, ids};
use platform_standin::job;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

/// Job that the documentation shows.
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/dunmore/explain.json");

fn explain(monitoring: SocketAddr, file: &Path, json: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleythread"));
    let url = format!("http://{monitoring}");
    command.args(["explain", "--monitoring", &url]).arg(file);
    if json {
        command.arg("--json");
    }
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a job, and returns the exit status and the error of its explanation.
fn explain_faulty(monitoring: SocketAddr, job: &Value) -> (Option<i32>, String) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("job.json");
    std::fs::write(&path, job.to_string()).unwrap();
    let output = explain(monitoring, &path, false);
    (output.status.code(), text(&output.stderr))
}

/// Guards against an explanation that an entry without the scheduler can't get, that stores or starts the
/// job, or that misses a worker.
#[actix_rt::test]
async fn every_entry_explains_a_job_without_accepting_it() {
    let fleet = Fleet::start(2, 2).await;
    let id = &ids(1)[0];
    assert_eq!(fleet.submit(0, id, &job(1, 100)).await, 200);
    fleet.wait_until_completed(std::slice::from_ref(id)).await;
    let (rows, runs) = (fleet.store.values("flows").len(), fleet.executions().len());
    for (addresses, _) in &fleet.entries {
        let output = explain(addresses.metrics, Path::new(EXAMPLE), true);
        assert!(output.status.success(), "{}", text(&output.stderr));
        let answer: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(
            (&answer["position"], &answer["queued_jobs"]),
            (&json!(1), &json!(1))
        );
        let steps = answer["steps"].as_array().unwrap();
        assert_eq!(steps.len(), 1, "the second step is not ready");
        assert_eq!(steps[0]["placed"].as_array().unwrap().len(), 4);
        assert_eq!(steps[0]["workers"].as_array().unwrap().len(), 2);
        let shown = text(&explain(addresses.metrics, Path::new(EXAMPLE), false).stdout);
        assert!(shown.starts_with("position 1 of 1 "), "{shown}");
        assert!(shown.contains("4 of 4 tasks start now"), "{shown}");
    }
    assert_eq!((fleet.store.values("flows").len(), rows), (1, 1));
    assert_eq!(fleet.executions().len(), runs);
}

/// Guards against faults of a job that look like a missing scheduler, and against steps whose misspelt fields
/// are ignored.
#[actix_rt::test]
async fn a_faulty_job_is_refused_with_its_fault() {
    let fleet = Fleet::start(1, 1).await;
    let monitoring = fleet.entries[0].0.metrics;
    let of = |prefix: &str, step: Value| json!({ "host": "a.example", "prefix": prefix, "steps": [step] });
    let (status, error) = explain_faulty(monitoring, &of("/none/", json!({ "tasks": 1 })));
    assert_eq!(status, Some(3), "{error}");
    assert!(
        error.contains("no queue has this host and prefix"),
        "{error}"
    );
    let (status, error) = explain_faulty(monitoring, &of("/q/", json!({ "task": 1 })));
    assert_eq!(status, Some(3), "{error}");
    assert!(error.contains("steps[0]: unknown field task"), "{error}");
    let (status, error) = explain_faulty(monitoring, &of("/q/", json!({ "tasks": 0 })));
    assert_eq!(status, Some(3), "{error}");
    assert!(error.contains("steps[0]"), "{error}");
    let (status, _) = explain_faulty("127.0.0.1:9".parse().unwrap(), &json!({}));
    assert_eq!(status, Some(4));
}
