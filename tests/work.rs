//! Guarantees of batch work and tickets while processes and the platform fail.

mod common;

use backing::AttemptStatus;
use batch::ShardRow;
use common::{Fleet, FleetSpec, WAIT_LIMIT, first_ticket, job, sleep_ms, wait_until};
use futures::future::join_all;
use model::Resources;
use serde_json::{Value, json};
use settings::BatchSettings;
use standin::{Faults, Relay, RelayMode, RunRecord};
use std::collections::{HashMap, HashSet};
use wire::{AgentLink, ShardOwner, StartOrder, StartResult};

/// Submits a job whose tasks all fit on the workers at once, and waits until they run.
async fn start_rebuild(fleet: &Fleet, tasks: u32, run_ms: u64) {
    let rebuild = job("timetabling", "rebuild", tasks, run_ms);
    fleet.submit(0, &rebuild).await.unwrap();
    let is_running = async || fleet.platform.runs().len() >= tasks as usize;
    wait_until("tasks run", is_running).await;
}

/// Waits until at least one run has been checkpointed.
async fn wait_until_checkpointed(fleet: &Fleet) {
    let is_checkpointed = |run: &RunRecord| run.status == AttemptStatus::Checkpointed;
    let has_one = async || fleet.platform.runs().iter().any(is_checkpointed);
    wait_until("tasks are checkpointed", has_one).await;
}

/// Asserts by the runtime's own record that `tasks` tasks succeeded exactly once each, that no task
/// ran in two places, and that no worker was committed beyond its capacity.
fn assert_each_task_succeeded_once(fleet: &Fleet, tasks: usize) {
    let runs = fleet.platform.runs();
    let mut succeeded: HashMap<String, usize> = HashMap::new();
    for run in runs
        .iter()
        .filter(|run| run.status == AttemptStatus::Succeeded)
    {
        *succeeded.entry(run.attempt.task.to_string()).or_default() += 1;
    }
    assert_eq!(succeeded.len(), tasks, "every task succeeds");
    assert!(
        succeeded.values().all(|count| *count == 1),
        "once: {succeeded:?}"
    );
    assert_no_concurrent_runs(&runs);
    assert_eq!(fleet.platform.breaches(), Vec::<String>::new());
}

/// Asserts that the runs of each task do not overlap and each has its own attempt number.
fn assert_no_concurrent_runs(runs: &[RunRecord]) {
    let mut by_task: HashMap<String, Vec<&RunRecord>> = HashMap::new();
    for run in runs {
        by_task
            .entry(run.attempt.task.to_string())
            .or_default()
            .push(run);
    }
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started_ms);
        for pair in runs.windows(2) {
            let ended = pair[0].ended_ms.expect("an older run has ended");
            assert!(ended <= pair[1].started_ms, "{task} ran in two places");
        }
        let attempts: HashSet<u32> = runs.iter().map(|run| run.attempt.attempt).collect();
        assert_eq!(
            attempts.len(),
            runs.len(),
            "{task} started one attempt twice"
        );
    }
}

/// Guards against tasks that are lost or run twice when their agent is killed.
#[actix_rt::test]
async fn tasks_of_a_killed_agent_resume_once_elsewhere() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    start_rebuild(&fleet, 18, 4_000).await;
    fleet.agents[0].process.kill();
    let status = fleet.job_end(1, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 18, "{status}");
    assert_each_task_succeeded_once(&fleet, 18);
}

/// Guards against an agent that is suspended until its leases expire and, when it resumes,
/// continues tasks that run elsewhere by then.
#[actix_rt::test]
async fn a_paused_agent_that_wakes_runs_no_reassigned_task() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    start_rebuild(&fleet, 12, 6_000).await;
    fleet.agents[0].process.signal("STOP");
    wait_until("a lease of the paused agent expires", async || {
        fleet
            .platform
            .runs()
            .iter()
            .any(|run| run.status == AttemptStatus::Lapsed)
    })
    .await;
    fleet.agents[0].process.signal("CONT");
    let status = fleet.job_end(1, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 12, "{status}");
    assert_each_task_succeeded_once(&fleet, 12);
}

/// Guards against duplicate runs when one of three owners of shards is killed and another one is
/// suspended for nine seconds and then resumes.
#[actix_rt::test]
async fn a_killed_or_paused_owner_of_shards_duplicates_no_run() {
    let mut fleet = Fleet::start(&FleetSpec {
        entries: 3,
        ..FleetSpec::default()
    })
    .await;
    for team in ["timetabling", "exams"] {
        fleet
            .submit(0, &job(team, "rebuild", 30, 1_500))
            .await
            .unwrap();
    }
    wait_until("tasks run", async || fleet.platform.runs().len() >= 6).await;
    fleet.entries[0].process.kill();
    fleet.entries[1].process.signal("STOP");
    sleep_ms(9_000).await;
    fleet.entries[1].process.signal("CONT");
    for team in ["timetabling", "exams"] {
        let status = fleet.job_end(2, &format!("{team}.rebuild")).await;
        assert_eq!(status["succeeded"], 30, "{status}");
    }
    assert_each_task_succeeded_once(&fleet, 60);
}

/// Guards against jobs that are lost when both entries and two of three agents are killed together
/// and restarted.
#[actix_rt::test]
async fn entries_and_agents_replaced_together_lose_no_job() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    fleet
        .submit(0, &job("timetabling", "rebuild", 20, 1_500))
        .await
        .unwrap();
    wait_until("tasks run", async || fleet.platform.runs().len() >= 8).await;
    for index in 0..2 {
        fleet.entries[index].process.kill();
        fleet.agents[index].process.kill();
    }
    for index in 0..2 {
        fleet.restart_entry(index);
        fleet.restart_agent(index);
    }
    fleet.wait_until_ready(fleet.entries[1].admin).await;
    let status = fleet.job_end(1, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 20, "{status}");
    assert_each_task_succeeded_once(&fleet, 20);
}

/// Guards against tasks that are checkpointed by a draining agent and then restart from the
/// beginning, or are resumed twice.
#[actix_rt::test]
async fn a_drained_agent_hands_its_tasks_on_with_their_checkpoints() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    start_rebuild(&fleet, 9, 5_000).await;
    sleep_ms(1_000).await;
    fleet.agents[2].process.signal("TERM");
    assert!(fleet.agents[2].process.exits_successfully().await);
    let status = fleet.job_end(0, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 9, "{status}");
    assert_each_task_succeeded_once(&fleet, 9);
    let runs = fleet.platform.runs();
    let evicted: Vec<&RunRecord> = runs
        .iter()
        .filter(|run| run.status == AttemptStatus::Checkpointed)
        .collect();
    assert!(!evicted.is_empty(), "the drained agent had tasks");
    for run in evicted {
        let successors = runs.iter().filter(|next| {
            next.attempt.task == run.attempt.task && next.attempt.attempt > run.attempt.attempt
        });
        let resumed: Vec<&RunRecord> = successors.filter(|next| next.resumed_ms > 0).collect();
        assert_eq!(resumed.len(), 1, "one resume from the checkpoint");
    }
}

/// Guards against lost or duplicate tasks when the platform first loses answers, then is down and
/// then is slow. While it is down, a new job must be refused and at most 20 more runs may start,
/// because a start needs a committed record.
#[actix_rt::test]
async fn work_continues_after_an_outage_and_lost_answers() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.platform.set_faults(Faults {
        lose_answer_every: 3,
        ..Faults::default()
    });
    fleet
        .submit(0, &job("timetabling", "lossy", 20, 300))
        .await
        .unwrap();
    fleet
        .submit(1, &job("exams", "lossy", 20, 300))
        .await
        .unwrap();
    wait_until("some tasks ran", async || fleet.platform.runs().len() >= 10).await;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let before = fleet.platform.runs().len();
    let refused = fleet
        .submit(0, &job("timetabling", "hope", 1, 100))
        .await
        .unwrap_err();
    assert_eq!(refused.0, 503, "{refused:?}");
    sleep_ms(9_000).await;
    assert!(
        fleet.platform.runs().len() <= before + 20,
        "nothing starts without a committed record"
    );
    fleet.platform.set_faults(Faults {
        delay_ms: 500,
        ..Faults::default()
    });
    for name in ["timetabling.lossy", "exams.lossy"] {
        let status = fleet.job_end(1, name).await;
        assert_eq!(status["succeeded"], 20, "{status}");
    }
    assert_each_task_succeeded_once(&fleet, 40);
}

/// Guards against a repeated submission that runs twice or is refused, and against a different job
/// that is accepted under a used key.
#[actix_rt::test]
async fn a_job_submitted_twice_runs_once_and_another_with_its_key_is_refused() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let spec = job("timetabling", "once", 5, 200);
    let both = join_all([fleet.submit(0, &spec), fleet.submit(1, &spec)]).await;
    assert!(both.iter().all(Result::is_ok), "{both:?}");
    assert_eq!(fleet.job_end(0, "timetabling.once").await["succeeded"], 5);
    wait_until("the job has a summary", async || {
        fleet.platform.rows("done/").len() == 1
    })
    .await;
    fleet
        .submit(0, &spec)
        .await
        .expect("a repeated submission is the same job");
    let refused = fleet
        .submit(1, &job("timetabling", "once", 6, 200))
        .await
        .unwrap_err();
    assert_eq!((refused.0, &refused.1["verdict"]), (409, &json!("not-run")));
    assert_each_task_succeeded_once(&fleet, 5);
}

/// Guards against orphaned runs and leftover rows when many jobs are cancelled at once, each twice.
#[actix_rt::test]
async fn a_wave_of_cancellations_leaves_nothing_running() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let names: Vec<String> = (0..1_000).map(|number| format!("wave{number}")).collect();
    let submitted = join_all(
        names
            .iter()
            .map(async |name| fleet.submit(0, &job("exams", name, 2, 60_000)).await),
    )
    .await;
    assert!(submitted.iter().all(Result::is_ok));
    wait_until("tasks run", async || fleet.platform.runs().len() >= 20).await;
    for _ in 0..2 {
        let cancelled = join_all(names.iter().map(async |name| {
            let path = format!("/v1/jobs/exams.{name}");
            fleet
                .admin_call("DELETE", fleet.entries[1].admin, &path, None)
                .await
        }))
        .await;
        assert!(cancelled.iter().all(Result::is_ok), "{cancelled:?}");
    }
    for name in &names {
        let status = fleet.job_end(0, &format!("exams.{name}")).await;
        assert_eq!(
            (&status["failed"], &status["reason"]),
            (&json!(2), &json!("cancelled"))
        );
    }
    let running = |run: &RunRecord| run.status == AttemptStatus::Running;
    assert!(!fleet.platform.runs().iter().any(running), "no run is left");
    for prefix in ["task/", "cancel/", "job/"] {
        wait_until("rows are removed", async || {
            fleet.platform.rows(prefix).is_empty()
        })
        .await;
    }
    let path = "/v1/jobs/exams.wave0";
    let again = fleet
        .admin_call("DELETE", fleet.entries[0].admin, path, None)
        .await;
    assert!(again.is_ok(), "cancelling again has the same effect");
}

/// Guards against a worker committed beyond its capacity when tasks use less or more than they
/// request, entries place at the same time and an agent restarts.
#[actix_rt::test]
async fn wrong_sizes_and_racing_placements_overcommit_no_worker() {
    let fleet_spec = FleetSpec {
        entries: 3,
        capacity: Resources::new(4_000, 8_000, 0),
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&fleet_spec).await;
    for (number, team) in ["timetabling", "exams"].iter().cycle().take(8).enumerate() {
        let mut spec = job(team, &format!("j{number}"), 10, 400);
        let uses = json!({ "processors_milli": 250, "memory_mb": 1_900 });
        spec["kind"] = json!(format!("kind{}", number % 3));
        spec["payload"] = json!(json!({ "run_ms": 400, "uses": uses }).to_string());
        fleet.submit(number % 3, &spec).await.unwrap();
    }
    sleep_ms(1_000).await;
    fleet.agents[0].process.kill();
    fleet.restart_agent(0);
    for (number, team) in ["timetabling", "exams"].iter().cycle().take(8).enumerate() {
        let status = fleet.job_end(1, &format!("{team}.j{number}")).await;
        assert_eq!(status["succeeded"], 10, "{status}");
    }
    assert_each_task_succeeded_once(&fleet, 80);
}

/// Guards against a failing job that is retried without end, and against a worker that fails every
/// task, is not quarantined and so makes other jobs fail.
#[actix_rt::test]
async fn a_failing_job_reports_its_reason_and_a_failing_worker_is_quarantined() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.platform.set_failing(&fleet.agents[0].id, true);
    let mut bad = job("timetabling", "bad", 2, 100);
    bad["payload"] = json!(json!({ "run_ms": 100, "fails": true }).to_string());
    fleet.submit(0, &bad).await.unwrap();
    for number in 0..6 {
        fleet
            .submit(0, &job("exams", &format!("good{number}"), 10, 500))
            .await
            .unwrap();
    }
    let status = fleet.job_end(0, "timetabling.bad").await;
    assert_eq!(
        (&status["failed"], &status["reason"]),
        (&json!(2), &json!("failed"))
    );
    for number in 0..6 {
        let status = fleet.job_end(0, &format!("exams.good{number}")).await;
        assert_eq!(status["succeeded"], 10, "{status}");
    }
    let mut is_quarantined = false;
    for entry in &fleet.entries {
        let status = fleet.get(entry.admin, "/v1/status").await.unwrap();
        let worker = status["agents"]
            .as_array()
            .unwrap()
            .iter()
            .find(|a| a["agent"] == "worker-0");
        is_quarantined |= worker.is_some_and(|worker| worker["quarantined"] == true);
    }
    assert!(is_quarantined, "the failing worker is quarantined");
}

/// Guards against a job that is accepted and stays queued for ever, because it needs more than any
/// worker has or hardware that none has.
#[actix_rt::test]
async fn a_job_that_can_never_run_is_refused_with_the_reason() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let mut spec = job("timetabling", "huge", 1, 100);
    spec["need"] = json!({ "processors_milli": 9_000, "memory_mb": 100 });
    let refused = fleet.submit(0, &spec).await.unwrap_err();
    assert_eq!(
        (refused.0, &refused.1["code"]),
        (422, &json!("unplaceable"))
    );
    spec["need"] = json!({ "processors_milli": 100, "memory_mb": 100, "accelerators": 1 });
    assert_eq!(fleet.submit(0, &spec).await.unwrap_err().0, 422);
}

/// Guards against urgent work that stays queued while other work fills all workers, and against
/// preempted tasks that are lost or run twice.
#[actix_rt::test]
async fn urgent_work_preempts_other_work_that_resumes_once() {
    let fleet = Fleet::start(&FleetSpec {
        agents: 2,
        ..FleetSpec::default()
    })
    .await;
    fleet
        .submit(0, &job("exams", "filler", 16, 8_000))
        .await
        .unwrap();
    wait_until("the workers are full", async || {
        fleet.platform.runs().len() >= 16
    })
    .await;
    let mut urgent = job("timetabling", "now", 4, 200);
    urgent["urgent"] = json!(true);
    urgent["kind"] = json!("urgent");
    fleet.submit(1, &urgent).await.unwrap();
    let status = fleet.job_end(0, "timetabling.now").await;
    assert_eq!(status["succeeded"], 4, "{status}");
    let filler = fleet
        .get(fleet.entries[0].admin, "/v1/jobs/exams.filler")
        .await
        .unwrap();
    assert_eq!(
        filler["phase"], "active",
        "urgent work ends before the other job"
    );
    assert_eq!(fleet.job_end(0, "exams.filler").await["succeeded"], 16);
    assert_each_task_succeeded_once(&fleet, 20);
}

/// A ticket that sets the quota of the team `exams`, in thousandths of a processor.
fn ticket(number: u64, author: &str, quota: u32) -> Value {
    json!({
        "number": number, "author": author,
        "teams": [{ "name": "exams", "quota": { "processors_milli": quota, "memory_mb": 1 } }],
    })
}

/// Guards against two tickets accepted under one number, or an accepted one that is replaced, while
/// operators race and answers of the platform are lost.
#[actix_rt::test]
async fn fifty_racing_operators_get_one_ticket_per_number_and_none_reverts() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.platform.set_faults(Faults {
        lose_answer_every: 4,
        ..Faults::default()
    });
    let mut accepted: HashMap<u64, Vec<String>> = HashMap::new();
    let outcomes = join_all((0..50_u32).map(async |operator| {
        let author = format!("operator-{operator}");
        let number = 2 + u64::from(operator % 3);
        let sent = ticket(number, &author, operator);
        loop {
            let admin = fleet.entries[operator as usize % 2].admin;
            match fleet
                .admin_call("POST", admin, "/v1/tickets", Some(&sent))
                .await
            {
                Ok(_) => return (number, author, true),
                Err((409, body)) if body["conflict"]["held_by"].is_null() => sleep_ms(100).await,
                Err((409, body)) => {
                    assert_eq!(body["verdict"], "not-run");
                    assert_ne!(body["conflict"]["held_by"], json!(author));
                    assert!(
                        !body["conflict"]["differences"]
                            .as_array()
                            .unwrap()
                            .is_empty()
                    );
                    return (number, author, false);
                }
                Err((503, _)) => sleep_ms(50).await,
                Err(other) => panic!("{other:?}"),
            }
        }
    }))
    .await;
    for (number, author, _) in outcomes.into_iter().filter(|(.., won)| *won) {
        accepted.entry(number).or_default().push(author);
    }
    fleet.platform.set_faults(Faults::default());
    assert_eq!(accepted.len(), 3);
    for (number, winners) in &accepted {
        assert_eq!(winners.len(), 1, "one winner for {number}");
        let shown = fleet
            .get(fleet.entries[0].admin, &format!("/v1/tickets/{number}"))
            .await
            .unwrap();
        assert_eq!(shown["author"], json!(winners[0]));
    }
    fleet.wait_until_serving(3).await;
    let status = fleet
        .get(fleet.entries[1].admin, "/v1/status")
        .await
        .unwrap();
    assert_eq!(status["config"], 4);
}

/// Guards against a restarted node that uses an older configuration than its peers because the
/// platform is down.
#[actix_rt::test]
async fn a_node_that_starts_in_an_outage_is_never_older_than_its_peers() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    fleet.apply(&ticket(2, "bob", 7_000)).await;
    fleet.wait_until_serving(3).await;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = fleet
        .admin_call(
            "POST",
            fleet.entries[0].admin,
            "/v1/tickets",
            Some(&ticket(3, "bob", 1)),
        )
        .await;
    assert_eq!(refused.unwrap_err().0, 503);
    fleet.entries[1].process.kill();
    fleet.agents[0].process.kill();
    fleet.restart_entry(1);
    fleet.restart_agent(0);
    fleet.wait_until_ready(fleet.entries[1].admin).await;
    fleet.wait_until_serving(3).await;
    let status = fleet
        .get(fleet.entries[1].admin, "/v1/status")
        .await
        .unwrap();
    assert_eq!(status["config"], 2);
    assert!(fleet.call(1, "POST", "/book", "after").await.is_whole());
}

/// Guards against a refused ticket that changes the configuration or does not name its conflict.
#[actix_rt::test]
async fn a_refused_ticket_says_why_and_changes_nothing() {
    let fleet = Fleet::start(&FleetSpec {
        agents: 0,
        ..FleetSpec::default()
    })
    .await;
    let admin = fleet.entries[0].admin;
    let apply = async |ticket: Value| {
        fleet
            .admin_call("POST", admin, "/v1/tickets", Some(&ticket))
            .await
    };
    apply(first_ticket())
        .await
        .expect("a repeated ticket is accepted");
    let gap = apply(ticket(5, "eve", 1)).await.unwrap_err();
    assert_eq!((gap.0, &gap.1["conflict"]["head"]), (409, &json!(1)));
    let mut team_removal = first_ticket();
    team_removal["number"] = json!(2);
    team_removal["teams"] = json!([]);
    team_removal["remove_teams"] = json!(["timetabling"]);
    let refused = apply(team_removal).await.unwrap_err();
    insta::assert_json_snapshot!(refused.1);
    let status = fleet.get(admin, "/v1/status").await.unwrap();
    assert_eq!(status["config"], 1);
}

/// Guards against checkpoints that are lost or used twice when the owners of the shards are killed
/// while an agent drains.
#[actix_rt::test]
async fn a_drain_while_the_owner_dies_resumes_each_task_once() {
    let mut fleet = Fleet::start(&FleetSpec {
        entries: 3,
        ..FleetSpec::default()
    })
    .await;
    start_rebuild(&fleet, 12, 5_000).await;
    sleep_ms(500).await;
    fleet.agents[2].process.signal("TERM");
    wait_until_checkpointed(&fleet).await;
    fleet.entries[0].process.kill();
    fleet.entries[1].process.kill();
    fleet.restart_entry(0);
    let status = fleet.job_end(2, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 12, "{status}");
    assert!(
        fleet.agents[2].process.exits_successfully().await,
        "the drained agent exits once its ends are durable"
    );
    assert_each_task_succeeded_once(&fleet, 12);
    assert_each_checkpoint_resumed_once(&fleet);
}

/// Asserts that every checkpointed attempt was resumed exactly once from its checkpoint.
fn assert_each_checkpoint_resumed_once(fleet: &Fleet) {
    let runs = fleet.platform.runs();
    let is_checkpointed = |run: &&RunRecord| run.status == AttemptStatus::Checkpointed;
    let checkpointed: Vec<&RunRecord> = runs.iter().filter(is_checkpointed).collect();
    assert!(!checkpointed.is_empty(), "something was checkpointed");
    for run in checkpointed {
        let resumed = runs.iter().filter(|next| {
            next.attempt.task == run.attempt.task
                && next.attempt.attempt > run.attempt.attempt
                && next.resumed_ms > 0
        });
        assert_eq!(resumed.count(), 1, "one resume of {}", run.attempt.task);
    }
}

/// Sends the drained agent start orders for the checkpointed attempts, as an owner does that has
/// not received their ends.
async fn send_starts_of_checkpointed(fleet: &Fleet) -> Vec<StartResult> {
    let runs = fleet.platform.runs();
    let is_checkpointed = |run: &&RunRecord| run.status == AttemptStatus::Checkpointed;
    let orders: Vec<StartOrder> = runs
        .iter()
        .filter(is_checkpointed)
        .map(|run| StartOrder {
            attempt: run.attempt.clone(),
            kind: "build".into(),
            need: Resources::default(),
            urgent: false,
            payload: String::new(),
            checkpoint: None,
        })
        .collect();
    let shards = BatchSettings::default().shards;
    let shard = orders[0].attempt.task.job.shard(shards);
    let rows = fleet.platform.rows(&batch::shard_key(shard));
    let row: ShardRow = serde_json::from_str(&rows[0].value).unwrap();
    let owner = ShardOwner {
        shard,
        shards,
        epoch: row.epoch,
        owner: row.control,
    };
    let link = AgentLink::new(fleet.agents[2].control);
    let call = link.call(WAIT_LIMIT, |client, context| async move {
        client.start_attempts(context, owner, orders).await
    });
    call.await.unwrap()
}

/// Guards against checkpoints that are lost when all owners are suspended while an agent drains, and
/// a start order for an attempt that has ended reaches the agent before an owner learns of the end.
/// The agent must not refuse it: a refusal means that the attempt never ran.
#[actix_rt::test]
async fn a_drain_without_a_live_owner_keeps_its_checkpoints() {
    let mut fleet = Fleet::start(&FleetSpec::default()).await;
    start_rebuild(&fleet, 12, 5_000).await;
    sleep_ms(500).await;
    for entry in &fleet.entries {
        entry.process.signal("STOP");
    }
    fleet.agents[2].process.signal("TERM");
    wait_until_checkpointed(&fleet).await;
    let results = send_starts_of_checkpointed(&fleet).await;
    assert!(
        results
            .iter()
            .all(|result| *result == StartResult::Accepted),
        "starts of attempts that ran are accepted: {results:?}"
    );
    for index in 0..fleet.entries.len() {
        fleet.entries[index].process.kill();
        fleet.restart_entry(index);
    }
    let status = fleet.job_end(0, "timetabling.rebuild").await;
    assert_eq!(status["succeeded"], 12, "{status}");
    assert!(
        fleet.agents[2].process.exits_successfully().await,
        "the drained agent exits once its ends are durable"
    );
    assert_each_task_succeeded_once(&fleet, 12);
    assert_each_checkpoint_resumed_once(&fleet);
}

/// Guards against an entry that stays ready although it can't reach the platform, or that refuses
/// requests which still reach it.
#[actix_rt::test]
async fn a_cut_off_entry_is_not_ready_but_still_serves_requests() {
    let ports = cluster::free_ports(2).unwrap();
    let relay = Relay::start(ports[0], ports[1]).await.unwrap();
    let url = format!("http://{}", relay.address);
    let fleet_spec = FleetSpec {
        entries: 1,
        platform_listen: Some(ports[1]),
        entry_extra: json!({ "platform": { "url": url, "timeout_ms": 500 } }),
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&fleet_spec).await;
    relay.set_mode(RelayMode::Block);
    let admin = fleet.entries[0].admin;
    let is_ready = async || {
        let sent = fleet
            .client
            .get(format!("http://{admin}/readyz"))
            .send()
            .await;
        sent.is_ok_and(|answer| answer.status().is_success())
    };
    assert!(is_ready().await);
    wait_until("the entry is not ready", async || !is_ready().await).await;
    assert!(fleet.call(0, "POST", "/book", "cut-off").await.is_whole());
    relay.set_mode(RelayMode::Pass);
    wait_until("the entry is ready again", async || is_ready().await).await;
}

/// Largest number of a team's tasks that ran at once, by the runtime's own record.
fn max_concurrent_runs(runs: &[RunRecord], team: &str) -> usize {
    let prefix = format!("{team}.");
    let is_own = |run: &&RunRecord| run.attempt.task.job.as_str().starts_with(&prefix);
    let own: Vec<&RunRecord> = runs.iter().filter(is_own).collect();
    let runs_at = |at_ms: u64| {
        let runs = own.iter().filter(|run| {
            run.started_ms <= at_ms && run.ended_ms.is_none_or(|ended_ms| at_ms < ended_ms)
        });
        runs.count()
    };
    let starts = own.iter().map(|run| runs_at(run.started_ms));
    starts.max().unwrap_or(0)
}

/// Guards against placements by several entries that together exceed a team's quota, and against a
/// team that starves.
#[actix_rt::test]
async fn thirty_five_teams_at_their_quotas_never_exceed_them_and_all_finish() {
    const TEAMS: usize = 35;
    let fleet = Fleet::start(&FleetSpec {
        entries: 3,
        agents: 4,
        capacity: Resources::new(64_000, 200_000, 0),
        ..FleetSpec::default()
    })
    .await;
    let quota = |team: usize| (1 + team % 2) as u32;
    let teams: Vec<Value> = (0..TEAMS)
        .map(|team| {
            let processors = quota(team) * 1_000;
            json!({ "name": format!("team{team}"), "quota": { "processors_milli": processors, "memory_mb": 100_000 } })
        })
        .collect();
    fleet
        .apply(&json!({ "number": 2, "author": "ann", "reason": "teams", "teams": teams }))
        .await;
    for entry in &fleet.entries {
        wait_until("the ticket is in force", async || {
            let status = fleet.get(entry.admin, "/v1/status").await;
            status.is_ok_and(|status| status["config"] == 2)
        })
        .await;
    }
    let submitted = (0..TEAMS).map(|team| {
        let fleet = &fleet;
        async move {
            let job = job(&format!("team{team}"), "build", 5, 400);
            fleet.submit(team % 3, &job).await
        }
    });
    for answer in join_all(submitted).await {
        answer.unwrap();
    }
    for team in 0..TEAMS {
        let status = fleet.job_end(0, &format!("team{team}.build")).await;
        assert_eq!(status["succeeded"], 5, "{status}");
    }
    let runs = fleet.platform.runs();
    for team in 0..TEAMS {
        let most = max_concurrent_runs(&runs, &format!("team{team}"));
        assert!(
            (1..=quota(team) as usize).contains(&most),
            "team{team}: {most}"
        );
    }
    assert_eq!(fleet.platform.breaches(), Vec::<String>::new());
}
