//! Agents that tell one entry of themselves, and are known to all.

mod common;

use common::{Fleet, Plan, Told, job, pause, wait_until};
use futures::future::join_all;
use serde_json::{Value, json};

/// More entries than an agent tells of itself.
fn plan() -> Plan {
    Plan {
        entries: 5,
        agents: 6,
        agent_extra: json!({ "heartbeat_homes": 1 }),
        ..Plan::default()
    }
}

/// Names of the agents that an entry knows.
async fn agents_at(fleet: &Fleet, entry: usize) -> Vec<String> {
    let status = fleet.get(fleet.entries[entry].admin, "/v1/status").await;
    let status = status.unwrap_or(Value::Null);
    let agents = status["agents"].as_array().cloned().unwrap_or_default();
    let name = |agent: &Value| agent["agent"].as_str().unwrap_or_default().to_owned();
    agents.iter().map(name).collect()
}

/// The entry that hears most agents itself.
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

#[actix_rt::test]
async fn every_entry_serves_by_agents_that_tell_another() {
    let fleet = Fleet::start(&plan()).await;
    let calls = (0..100).map(|number| {
        let fleet = &fleet;
        async move {
            pause(number as u64 * 10).await;
            let mark = format!("m{number}");
            let told = fleet.call(number % 5, "POST", "/book?size=50", &mark).await;
            (mark, told)
        }
    });
    let history = join_all(calls).await;
    for (mark, told) in &history {
        assert!(told.is_whole(), "{mark} was told {told:?}");
    }
    fleet.check_history(&history).await;
    let rebuild = job("timetabling", "rebuild", 60, 300);
    fleet.submit(3, &rebuild).await.unwrap();
    let status = fleet.job_end(4, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 60, "{status}");
    assert_eq!(fleet.platform.breaches(), Vec::<String>::new());
    let mut ticket = common::first_ticket();
    ticket["number"] = json!(2);
    fleet.apply(&ticket).await;
    fleet.wait_serving(6).await;
}

#[actix_rt::test]
async fn a_lost_home_costs_no_agent_and_a_lost_agent_is_gone_everywhere() {
    let mut fleet = Fleet::start(&plan()).await;
    let home = busiest_home(&fleet).await;
    fleet.entries[home].process.kill();
    let live: Vec<usize> = (0..5).filter(|entry| *entry != home).collect();
    for number in 0..60 {
        pause(100).await;
        for entry in &live {
            let known = agents_at(&fleet, *entry).await;
            assert_eq!(known.len(), 6, "entry {entry} after {number}: {known:?}");
        }
        let told = fleet.call(live[number % 4], "GET", "/free", "free").await;
        assert!(matches!(told, Told::Whole { .. }), "{told:?}");
    }
    let victim = fleet.agents[2].id.to_string();
    fleet.agents[2].process.kill();
    for entry in &live {
        wait_until("a lost agent is gone everywhere", async || {
            !agents_at(&fleet, *entry).await.contains(&victim)
        })
        .await;
    }
    fleet.restart_agent(2);
    fleet.entries.remove(home);
    fleet.wait_serving(6).await;
}

#[actix_rt::test]
async fn a_frozen_agent_gets_no_new_work_from_any_entry_after_three_seconds() {
    let fleet = Fleet::start(&plan()).await;
    fleet.agents[1].process.signal("STOP");
    pause(3_000).await;
    let calls = (0..100).map(|number| {
        let (fleet, mark) = (&fleet, format!("late{number}"));
        async move { fleet.call(number % 5, "POST", "/book", &mark).await }
    });
    let told = join_all(calls).await;
    assert!(told.iter().all(Told::is_whole), "{told:?}");
    fleet.agents[1].process.signal("CONT");
    pause(500).await;
    let url = format!("http://{}/metrics", fleet.agents[1].local);
    let body = fleet.client.get(url).send().await.unwrap().body().await;
    let page = String::from_utf8_lossy(&body.unwrap()).into_owned();
    let came = page.lines().filter(|line| {
        line.starts_with("parsleythread_agent_requests_admitted_total ")
            || line.starts_with("parsleythread_agent_requests_refused_total ")
    });
    let came: Vec<&str> = came.collect();
    assert_eq!(came.len(), 2, "{page}");
    assert!(came.iter().all(|line| line.ends_with(" 0")), "{came:?}");
}
