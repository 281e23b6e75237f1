//! Refusals of flows that can't end in time, by an entry beside a stand-in for the scheduler.

mod common;

use common::overload::{
    LIMIT_MS, backlog, config, flow, is_stored, slow_table_with_scheduler, start, start_as, submit,
    table_with_scheduler, wait_for_refusal,
};
use common::scheduler::{Answers, StandIn, serve_earlier_version};
use common::{Entry, Reads, lease, pause};
use flow::Schedule;
use std::time::{Duration, Instant};
use wire::SubmitOutcome;

/// Guards against a refusal that is not true, one without a bounded time for a retry, and against stored,
/// recurring or long-running flows that are refused.
#[actix_rt::test]
async fn a_new_flow_that_is_too_late_is_refused_and_not_stored() {
    let scheduler = StandIn::start(Answers::Backlog(backlog(60_000))).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    let (refused, overloaded) = wait_for_refusal(&entry).await;
    assert!((1..=30).contains(&overloaded.retry_after_s), "{overloaded}");
    assert!(!is_stored(&table, &refused));
    let stored = entry
        .handle
        .submit(flow("00000000000000aa"), LIMIT_MS)
        .await;
    assert_eq!(stored, SubmitOutcome::Accepted);
    for entry in [&entry, &start_as("b", &table).await] {
        wait_for_refusal(entry).await;
        let again = submit(entry, "00000000000000aa").await;
        assert_eq!(again, Ok(SubmitOutcome::Accepted), "it is stored");
    }
    let mut recurring = flow("00000000000000bb");
    recurring.spec.schedule = Some(Schedule {
        first_wall_ms: 0,
        interval_ms: 1_000,
        occurrences: 2,
    });
    let mut lasting = flow("00000000000000cc");
    lasting.spec.steps[0].long_running = true;
    for job in [recurring, lasting] {
        let outcome = entry.handle.submit_if_admitted(job, LIMIT_MS).await;
        assert_eq!(outcome, Ok(SubmitOutcome::Accepted));
    }
    let metrics = entry.handle.metrics();
    assert!(
        metrics.contains("parsleythread_flow_refusals_total{priority=\"0\"}"),
        "{metrics}"
    );
    let seconds = "parsleythread_flow_backlog_seconds{kind=\"ordinary\"} 60.0";
    assert!(metrics.contains(seconds), "{metrics}");
}

/// Guards against refusals by what a scheduler said before it was paused.
#[actix_rt::test]
async fn a_paused_scheduler_means_that_flows_are_accepted() {
    let scheduler = StandIn::start(Answers::Backlog(backlog(60_000))).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    wait_for_refusal(&entry).await;
    scheduler.set(Answers::Nothing);
    pause(2_700).await;
    for number in 0..20 {
        let id = format!("{number:015x}f");
        assert_eq!(submit(&entry, &id).await, Ok(SubmitOutcome::Accepted));
        assert!(is_stored(&table, &id));
    }
    let metrics = entry.handle.metrics();
    let name = "parsleythread_flow_backlog_seconds{";
    assert!(
        !metrics.contains(name),
        "an old backlog is shown: {metrics}"
    );
}

/// Guards against refusals while there is no scheduler or the one that there is knows no backlog.
#[actix_rt::test]
async fn without_a_scheduler_or_a_backlog_flows_are_accepted() {
    let absent = table_with_scheduler("127.0.0.1:9".parse().unwrap());
    let scheduler = StandIn::start(Answers::NotMeasured).await;
    let loading = table_with_scheduler(scheduler.address);
    for table in [absent, loading] {
        let entry = start(&table).await;
        for number in 0..20 {
            let id = format!("{number:016x}");
            assert_eq!(submit(&entry, &id).await, Ok(SubmitOutcome::Accepted));
            pause(50).await;
        }
    }
}

/// Guards against an earlier version of the scheduler that makes entries refuse flows, or that answers probes late
/// as the unknown call closes their connection.
#[actix_rt::test]
async fn an_earlier_version_of_the_scheduler_counts_as_unknown_and_stays_connected() {
    let (control, connections) = serve_earlier_version().await;
    let table = table_with_scheduler(control);
    let entry = start(&table).await;
    for number in 0..80 {
        let id = format!("{number:016x}");
        assert_eq!(submit(&entry, &id).await, Ok(SubmitOutcome::Accepted));
        pause(50).await;
    }
    assert_eq!(lease(&table).await.owner, "stand-in");
    let connections = connections.lock().unwrap();
    assert_eq!(connections.probed.len(), 1, "{connections:?}");
    assert!(connections.opened >= 3, "{connections:?}");
}

/// Guards against refusals, or calls that earlier versions don't know, where the settings don't ask for them.
#[actix_rt::test]
async fn without_the_setting_nothing_is_refused_or_fetched() {
    let scheduler = StandIn::start(Answers::Backlog(backlog(60_000))).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = Entry::start_with("a", &table, config(), |_| {}).await;
    for number in 0..30 {
        let id = format!("{number:016x}");
        assert_eq!(submit(&entry, &id).await, Ok(SubmitOutcome::Accepted));
        pause(50).await;
    }
    assert_eq!(scheduler.fetches(), 0);
}

/// Guards against a refusal where the table is not asked whether the flow is stored, as the caller's time is up.
#[actix_rt::test]
async fn a_submission_whose_time_is_up_is_answered_as_without_admission() {
    let scheduler = StandIn::start(Answers::Backlog(backlog(60_000))).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    wait_for_refusal(&entry).await;
    let late = entry
        .handle
        .submit_if_admitted(flow("00000000000000dd"), 0)
        .await;
    let plain = entry.handle.submit(flow("00000000000000ee"), 0).await;
    assert_eq!(late, Ok(plain));
}

/// Guards against a refusal that is not known to be true, as the table does not answer whether the flow is stored.
#[actix_rt::test]
async fn without_an_answer_of_the_table_the_submission_goes_on() {
    let scheduler = StandIn::start(Answers::Backlog(backlog(60_000))).await;
    let table = table_with_scheduler(scheduler.address);
    let entry = start(&table).await;
    wait_for_refusal(&entry).await;
    let cases = [
        (Reads::Failed, "00000000000000aa"),
        (Reads::Silent, "00000000000000bb"),
    ];
    for (reads, id) in cases {
        table.set_reads(reads);
        let began = Instant::now();
        assert_eq!(submit(&entry, id).await, Ok(SubmitOutcome::Accepted));
        assert!(began.elapsed() < Duration::from_millis(LIMIT_MS));
        assert!(is_stored(&table, id));
    }
}

/// Guards against a refusal of a flow whose row is still on its way to the table, which then runs.
#[actix_rt::test]
async fn a_repetition_of_a_submission_in_progress_is_not_refused() {
    let scheduler = StandIn::start(Answers::NotMeasured).await;
    let table = slow_table_with_scheduler(scheduler.address, 3_000);
    let entry = start(&table).await;
    pause(300).await;
    let handle = entry.handle.clone();
    let first = actix_rt::spawn(async move {
        let job = flow("00000000000000aa");
        handle.submit_if_admitted(job, 5_000).await
    });
    pause(200).await;
    scheduler.set(Answers::Backlog(backlog(60_000)));
    pause(1_000).await;
    assert!(submit(&entry, "00000000000000bb").await.is_err());
    let again = entry
        .handle
        .submit_if_admitted(flow("00000000000000aa"), 5_000);
    assert_eq!(again.await, Ok(SubmitOutcome::Accepted));
    assert_eq!(first.await.unwrap(), Ok(SubmitOutcome::Accepted));
}
