//! The command line, and the commands and calls that the documentation shows.

mod common;

use common::{Fleet, FleetSpec, TOKEN};
use std::path::Path;
use std::process::{Command, Output};

/// Runs the program without the environment variables for the admin address and token.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_parsleythread"))
        .args(args)
        .env_remove("PARSLEYTHREAD_ADMIN")
        .env_remove("PARSLEYTHREAD_TOKEN")
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against a command or exit status that the help text omits.
#[test]
fn help_names_every_command_and_exit_status() {
    insta::assert_snapshot!(text(&run(&["--help"]).stdout));
}

/// Guards against a process that starts with wrong settings instead of exiting with status 2 and the
/// name of the file, and against a check that exits with another status if the file is missing.
#[test]
fn a_faulty_settings_file_starts_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("entry.json");
    std::fs::write(&path, "{\n  \"role\": \"entry\",\n  \"threads\": 0\n}").unwrap();
    for command in ["check", "entry", "agent"] {
        let output = run(&[command, "--settings", path.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(2), "{command}");
        assert!(
            text(&output.stderr).contains("entry.json:"),
            "{}",
            text(&output.stderr)
        );
    }
    let missing = run(&["check", "--settings", "nowhere.json"]);
    assert_eq!(missing.status.code(), Some(2));
}

/// Guards against example settings that the program no longer accepts, and against shell completions
/// that fail.
#[test]
fn the_examples_pass_the_check() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for file in [
        "dunmore/entry.json",
        "dunmore/agent.json",
        "lantern/entry.json",
        "lantern/agent.json",
    ] {
        let output = run(&["check", "--settings", root.join(file).to_str().unwrap()]);
        assert!(output.status.success(), "{file}: {}", text(&output.stderr));
    }
    assert!(run(&["completions", "bash"]).status.success());
}

/// Guards against a call without an answer that looks like a refusal: it exits with status 4 and
/// says how to check the address.
#[test]
fn an_unreachable_entry_has_another_exit_status_than_a_refusal() {
    let output = run(&["status", "--admin", "http://127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(4));
    assert!(text(&output.stderr).contains("check --admin"));
}

/// Guards against commands and example files for tickets and jobs that do not work together on a
/// new system.
#[actix_rt::test]
async fn the_example_ticket_and_job_work_on_the_command_line() {
    let fleet = Fleet::start_empty(&FleetSpec::default()).await;
    let admin = format!("http://{}", fleet.entries[0].admin);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/dunmore");
    let call = async |args: &[&str]| {
        let mut args: Vec<String> = args.iter().map(ToString::to_string).collect();
        args.extend(["--admin", &admin, "--token", TOKEN].map(ToOwned::to_owned));
        let ran = actix_rt::task::spawn_blocking(move || {
            run(&args.iter().map(String::as_str).collect::<Vec<_>>())
        });
        ran.await.unwrap()
    };
    let ticket = root.join("ticket-1.json");
    let applied = call(&["ticket", "apply", ticket.to_str().unwrap()]).await;
    assert!(applied.status.success(), "{}", text(&applied.stderr));
    common::wait_until("the ticket is in force on all nodes", async || {
        text(&call(&["ticket", "status"]).await.stdout)
            .contains("ticket 1 is in force on 5 of 5 nodes")
    })
    .await;
    let shown = call(&["ticket", "show", "1"]).await;
    assert!(text(&shown.stdout).contains("operator@dunmore.example"));
    let job = root.join("job.json");
    assert!(
        call(&["job", "submit", job.to_str().unwrap()])
            .await
            .status
            .success()
    );
    let ended = call(&["job", "status", "timetabling.nightly-2026-12-04", "--wait"]).await;
    assert!(ended.status.success(), "{}", text(&ended.stderr));
    assert!(text(&ended.stdout).contains("\"succeeded\": 4"));
    let status = text(&call(&["status"]).await.stdout);
    assert!(
        status.contains("worker-0") && status.contains("timetabling"),
        "{status}"
    );
    let unknown = call(&["job", "cancel", "timetabling.nothing"]).await;
    assert_eq!(unknown.status.code(), Some(3), "{}", text(&unknown.stderr));
}

/// Splits one `curl` line of the documentation into its method, headers, body and address.
fn parse_curl(line: &str) -> (String, Vec<(String, String)>, Option<String>, String) {
    let mut words = Vec::new();
    for (index, part) in line.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(ToOwned::to_owned));
        }
    }
    let (mut method, mut headers, mut body, mut address) =
        ("GET".to_owned(), Vec::new(), None, String::new());
    let mut words = words.into_iter().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "-i" => {}
            "-X" => method = words.next().unwrap(),
            "-d" => body = words.next(),
            "-H" => {
                let header = words.next().unwrap();
                let (name, value) = header.split_once(": ").unwrap();
                headers.push((name.to_owned(), value.to_owned()));
            }
            _ => address = word,
        }
    }
    (method, headers, body, address)
}

/// Guards against an API page whose `curl` lines fail when they are run as written.
#[actix_rt::test]
async fn every_curl_line_of_the_api_page_works() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let page = include_str!("../docs/API.md");
    let lines: Vec<&str> = page
        .lines()
        .map(str::trim)
        .filter(|line| line.starts_with("curl "))
        .collect();
    assert!(lines.len() >= 4);
    for line in lines {
        let (method, headers, body, address) = parse_curl(line);
        let address = address
            .replace("127.0.0.1:8100", &fleet.entries[0].traffic.to_string())
            .replace("127.0.0.1:8101", &fleet.entries[0].admin.to_string())
            .replace("127.0.0.1:8201", &fleet.agents[0].local.to_string());
        let mut request = fleet.client.request(method.parse().unwrap(), address);
        for (name, value) in headers {
            request = request.insert_header((name, value.replace("change-this-token", TOKEN)));
        }
        let answer = request.send_body(body.unwrap_or_default()).await.unwrap();
        assert!(answer.status().is_success(), "{line}: {}", answer.status());
    }
}

/// Guards against a metric that is missing on the operators' page, or one described there that
/// neither entry nor agent exports.
#[actix_rt::test]
async fn the_metrics_page_describes_exactly_the_exported_metrics() {
    let fleet = Fleet::start(&FleetSpec {
        entries: 1,
        agents: 1,
        ..FleetSpec::default()
    })
    .await;
    // A counter with labels is exported only after its first increment.
    let nowhere = format!("http://{}/nowhere", fleet.entries[0].traffic);
    assert_eq!(
        fleet.client.get(nowhere).send().await.unwrap().status(),
        404
    );
    let mut names: Vec<String> = Vec::new();
    for address in [fleet.entries[0].admin, fleet.agents[0].local] {
        let sent = fleet
            .client
            .get(format!("http://{address}/metrics"))
            .send()
            .await;
        let body = sent.unwrap().body().await.unwrap();
        let text = text(&body);
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        names.extend(types.map(|line| {
            let (name, kind) = line.split_once(' ').unwrap();
            if kind == "counter" {
                format!("{name}_total")
            } else {
                name.to_owned()
            }
        }));
    }
    names.sort();
    let page = include_str!("../docs/operators/METRICS.md");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `parsleythread")?.split('`').next());
    let mut described: Vec<String> = rows.map(|rest| format!("parsleythread{rest}")).collect();
    described.sort();
    assert_eq!(names, described);
}
