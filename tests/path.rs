//! Requests, tickets and jobs through a whole system, each process started separately.

mod common;

use common::{CallOutcome, Fleet, FleetSpec, first_ticket, job, sleep_ms, wait_until};
use futures::StreamExt;
use serde_json::json;

/// Guards against a break anywhere on the way of small, large and streamed requests, a ticket and a
/// job, against task rows that remain after the job, and against a drain that cuts a request.
#[actix_rt::test]
async fn a_request_a_ticket_and_a_job_pass_through_the_whole_system() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;

    let outcome = fleet.call(0, "GET", "/free?size=100", "get").await;
    assert!(
        matches!(&outcome, CallOutcome::Whole { status: 200, body } if body.len() == 100),
        "{outcome:?}"
    );
    let outcome = fleet.call(1, "POST", "/book?size=10000000", "large").await;
    assert!(
        matches!(&outcome, CallOutcome::Whole { status: 200, body } if body.len() == 10_000_000)
    );

    let large = vec![b'x'; 10 << 20];
    let address = format!("http://{}/s/rooms/upload", fleet.entries[0].traffic);
    let sent = fleet
        .client
        .post(address)
        .insert_header(("x-mark", "upload"))
        .send_body(large)
        .await;
    let answer = sent.unwrap();
    assert_eq!(answer.headers().get("x-received").unwrap(), "10485760");

    let address = format!(
        "http://{}/s/rooms/live?pieces=5&work_ms=500",
        fleet.entries[1].traffic
    );
    let answer = fleet
        .client
        .get(address)
        .insert_header(("x-mark", "live"))
        .send()
        .await
        .unwrap();
    let pieces: Vec<_> = answer.collect().await;
    assert!(pieces.iter().all(Result::is_ok));
    let text: Vec<u8> = pieces.into_iter().flatten().flatten().collect();
    assert_eq!(text, b"piece 0\npiece 1\npiece 2\npiece 3\npiece 4\n");

    let shown = fleet
        .get(fleet.entries[1].admin, "/v1/tickets/1")
        .await
        .unwrap();
    assert_eq!(shown["author"], first_ticket()["author"]);

    fleet
        .submit(0, &job("timetabling", "nightly", 6, 300))
        .await
        .unwrap();
    let status = fleet.job_end(1, "timetabling.nightly").await;
    assert_eq!(status["succeeded"], 6);
    assert_eq!(fleet.platform.runs().len(), 6);
    assert!(fleet.platform.breaches().is_empty());
    wait_until("the job has a summary", async || {
        fleet.platform.rows("done/").len() == 1
    })
    .await;
    wait_until("ended tasks leave the table", async || {
        fleet.platform.rows("task/").is_empty()
    })
    .await;

    drain_everything(&mut fleet).await;
}

/// Sends SIGTERM to every agent and entry while a request is in flight, and asserts that the
/// request completes and every process exits successfully.
async fn drain_everything(fleet: &mut Fleet) {
    let address = format!(
        "http://{}/s/rooms/slow?work_ms=2500&size=50",
        fleet.entries[0].traffic
    );
    let client = fleet.client.clone();
    let slow = actix_rt::spawn(async move {
        let mut answer = client
            .get(address)
            .insert_header(("x-mark", "slow"))
            .send()
            .await
            .unwrap();
        answer.body().await.map(|body| body.len())
    });
    sleep_ms(300).await;
    for agent in &fleet.agents {
        agent.process.signal("TERM");
    }
    for entry in &fleet.entries {
        entry.process.signal("TERM");
    }
    assert_eq!(slow.await.unwrap().unwrap(), 50);
    for entry in &mut fleet.entries {
        assert!(entry.process.exits_successfully().await);
    }
    for agent in &mut fleet.agents {
        assert!(agent.process.exits_successfully().await);
    }
}

/// Guards against an admin call that is carried out without the token.
#[actix_rt::test]
async fn admin_calls_without_the_token_are_refused() {
    let fleet = Fleet::start_empty(&FleetSpec {
        agents: 0,
        entries: 1,
        ..FleetSpec::default()
    })
    .await;
    let address = format!("http://{}/v1/tickets", fleet.entries[0].admin);
    let sent = fleet
        .client
        .post(address)
        .send_json(&first_ticket())
        .await
        .unwrap();
    assert_eq!(sent.status(), 401);
    assert_eq!(
        sent.headers().get("x-parsleythread-verdict").unwrap(),
        "not-run"
    );
    let missing = fleet
        .get(fleet.entries[0].admin, "/v1/tickets/1")
        .await
        .unwrap_err();
    assert_eq!((missing.0, &missing.1["code"]), (404, &json!("not-found")));
}

/// Trace spans in a log, as (trace id, span id, parent id, name).
fn spans(log: &std::path::Path) -> Vec<[String; 4]> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let fields = lines
        .map(|line| line["fields"].clone())
        .filter(|fields| fields["event"] == 900);
    let field = |fields: &serde_json::Value, name: &str| {
        fields[name].as_str().unwrap_or_default().to_owned()
    };
    fields
        .map(|f| ["trace_id", "span_id", "parent_id", "span"].map(|name| field(&f, name)))
        .collect()
}

/// Guards against a hop that drops the caller's `traceparent` or names the wrong parent span.
#[actix_rt::test]
async fn the_spans_of_all_hops_join_into_the_callers_trace() {
    let mut fleet = Fleet::start(&FleetSpec {
        entries: 1,
        agents: 1,
        ..FleetSpec::default()
    })
    .await;
    let logs = [
        fleet.dir.path().join("entry.log"),
        fleet.dir.path().join("agent.log"),
    ];
    let settings = [
        fleet.entries[0].settings.clone(),
        fleet.agents[0].settings.clone(),
    ];
    fleet.entries[0].process.kill();
    fleet.agents[0].process.kill();
    let start = |role: &str, index: usize| {
        let path = settings[index].to_str().unwrap();
        common::Process::start_logged(&[role, "--settings", path], &logs[index])
    };
    fleet.entries[0].process = start("entry", 0);
    fleet.agents[0].process = start("agent", 1);
    fleet.wait_until_ready(fleet.entries[0].admin).await;
    fleet.wait_until_serving(1).await;
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let parent = format!("00-{trace}-b7ad6b7169203331-01");
    let outcome = fleet
        .call_with_headers(0, "GET", "/free", "traced", &[("traceparent", &parent)])
        .await;
    assert!(outcome.is_whole());
    wait_until("all spans are logged", async || {
        spans(&logs[0]).len() + spans(&logs[1]).len() >= 3
    })
    .await;
    let of_entry = spans(&logs[0])
        .into_iter()
        .find(|span| span[3] == "entry")
        .unwrap();
    let of_agent = spans(&logs[1])
        .into_iter()
        .find(|span| span[3] == "agent")
        .unwrap();
    let of_call = spans(&logs[1])
        .into_iter()
        .find(|span| span[3] == "backend-call")
        .unwrap();
    assert_eq!([&of_entry[0], &of_agent[0], &of_call[0]], [trace; 3]);
    assert_eq!(of_entry[2], "b7ad6b7169203331");
    assert_eq!((&of_agent[2], &of_call[2]), (&of_entry[1], &of_agent[1]));
}
