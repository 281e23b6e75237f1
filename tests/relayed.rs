//! Agents that send heartbeats to only one entry, their home, and are known to all by relaying.

mod common;

use common::{CallOutcome, Fleet, FleetSpec, job, sleep_ms, wait_until};
use futures::future::join_all;
use serde_json::{Value, json};

/// A system with five entries, in which each agent sends its heartbeats to only one.
fn fleet_spec() -> FleetSpec {
    FleetSpec {
        entries: 5,
        agents: 6,
        agent_extra: json!({ "heartbeat_homes": 1 }),
        ..FleetSpec::default()
    }
}

/// Names of the agents that an entry knows; empty if it does not answer.
async fn agents_at(fleet: &Fleet, entry: usize) -> Vec<String> {
    let status = fleet.get(fleet.entries[entry].admin, "/v1/status").await;
    let status = status.unwrap_or(Value::Null);
    let agents = status["agents"].as_array().cloned().unwrap_or_default();
    let name = |agent: &Value| agent["agent"].as_str().unwrap_or_default().to_owned();
    agents.iter().map(name).collect()
}

/// Index of the entry that is the home of most agents.
async fn busiest_home(fleet: &Fleet) -> usize {
    let mut direct = Vec::new();
    for entry in &fleet.entries {
        let url = format!("http://{}/metrics", entry.admin);
        let body = fleet.client.get(url).send().await.unwrap().body().await;
        let text = String::from_utf8_lossy(&body.unwrap()).into_owned();
        let line = text
            .lines()
            .find(|line| line.starts_with("parsleythread_entry_agents_direct "));
        let count = line.and_then(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
        direct.push(count.expect("the metric is there"));
    }
    assert_eq!(direct.iter().sum::<usize>(), 6, "{direct:?}: one home each");
    (0..direct.len())
        .max_by_key(|entry| direct[*entry])
        .unwrap()
}

/// Guards against an entry that does not use the agents that report to other entries. Requests are
/// sent through every entry, a job is submitted at one and queried at another, and a ticket must be
/// in force at every entry and agent.
#[actix_rt::test]
async fn every_entry_serves_through_agents_that_report_to_another() {
    let fleet = Fleet::start(&fleet_spec()).await;
    let calls = (0..100).map(|number| {
        let fleet = &fleet;
        async move {
            sleep_ms(number as u64 * 10).await;
            let mark = format!("m{number}");
            let outcome = fleet.call(number % 5, "POST", "/book?size=50", &mark).await;
            (mark, outcome)
        }
    });
    let history = join_all(calls).await;
    for (mark, outcome) in &history {
        assert!(outcome.is_whole(), "{mark} got {outcome:?}");
    }
    fleet.assert_outcomes_match_executions(&history).await;
    let rebuild = job("timetabling", "rebuild", 60, 300);
    fleet.submit(3, &rebuild).await.unwrap();
    let status = fleet.job_end(4, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 60, "{status}");
    assert_eq!(fleet.platform.breaches(), Vec::<String>::new());
    let mut ticket = common::first_ticket();
    ticket["number"] = json!(2);
    fleet.apply(&ticket).await;
    fleet.wait_until_serving(6).await;
}

/// Guards against entries that drop live agents when their home is killed, or that keep a killed
/// agent.
#[actix_rt::test]
async fn a_lost_home_loses_no_agent_and_a_lost_agent_is_removed_everywhere() {
    let mut fleet = Fleet::start(&fleet_spec()).await;
    let home = busiest_home(&fleet).await;
    fleet.entries[home].process.kill();
    let live: Vec<usize> = (0..5).filter(|entry| *entry != home).collect();
    for number in 0..60 {
        sleep_ms(100).await;
        for entry in &live {
            let known = agents_at(&fleet, *entry).await;
            assert_eq!(known.len(), 6, "entry {entry} after {number}: {known:?}");
        }
        let outcome = fleet.call(live[number % 4], "GET", "/free", "free").await;
        assert!(matches!(outcome, CallOutcome::Whole { .. }), "{outcome:?}");
    }
    let victim = fleet.agents[2].id.to_string();
    fleet.agents[2].process.kill();
    for entry in &live {
        wait_until("no entry lists the killed agent", async || {
            !agents_at(&fleet, *entry).await.contains(&victim)
        })
        .await;
    }
    fleet.restart_agent(2);
    fleet.entries.remove(home);
    fleet.wait_until_serving(6).await;
}

/// Guards against entries that still send requests to an agent three seconds after it was
/// suspended.
#[actix_rt::test]
async fn a_frozen_agent_gets_no_new_work_from_any_entry_after_three_seconds() {
    let fleet = Fleet::start(&fleet_spec()).await;
    fleet.agents[1].process.signal("STOP");
    sleep_ms(3_000).await;
    let calls = (0..100).map(|number| {
        let (fleet, mark) = (&fleet, format!("late{number}"));
        async move { fleet.call(number % 5, "POST", "/book", &mark).await }
    });
    let outcomes = join_all(calls).await;
    assert!(outcomes.iter().all(CallOutcome::is_whole), "{outcomes:?}");
    fleet.agents[1].process.signal("CONT");
    sleep_ms(500).await;
    let url = format!("http://{}/metrics", fleet.agents[1].local);
    let body = fleet.client.get(url).send().await.unwrap().body().await;
    let page = String::from_utf8_lossy(&body.unwrap()).into_owned();
    let received = page.lines().filter(|line| {
        line.starts_with("parsleythread_agent_requests_admitted_total ")
            || line.starts_with("parsleythread_agent_requests_refused_total ")
    });
    let received: Vec<&str> = received.collect();
    assert_eq!(received.len(), 2, "{page}");
    assert!(
        received.iter().all(|line| line.ends_with(" 0")),
        "{received:?}"
    );
}
