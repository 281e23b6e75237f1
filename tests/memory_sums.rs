//! All kinds of memory of entries that callers set, together, beyond the budgets of each: sizes are drawn.

mod common;

use common::entry_memory::{SMALL_REQUEST_LIMIT, assert_entries_keep_their_memory, send_parts};
use common::flow_fleet::{Fleet, ids};
use common::sleep_ms;
use platform_standin::caller::request_head;
use platform_standin::{job, long_payload_job};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::net::TcpStream;
use std::time::Instant;

/// Time in which an entry reads what arrived, in milliseconds.
const READ_AFTER_MS: u64 = 1_000;

/// Ways in which callers set what an entry keeps.
#[derive(Debug, Clone, Copy)]
enum Wave {
    /// Bodies of which a part arrives.
    BodiesInPart,
    /// Requests whose answers are not read.
    UnreadAnswers,
    /// Connections that send nothing.
    SilentConnections,
    /// Jobs that wait.
    Jobs,
}

/// Submits `jobs` of these identifiers, eight at a time; each must be accepted, or refused for a second.
async fn submit_many(fleet: &Fleet, entry: usize, jobs: &[String], body: &Value) -> usize {
    let mut accepted = 0;
    for some in jobs.chunks(8) {
        let calls = some.iter().map(|id| fleet.call("POST", entry, id, body));
        for (status, answer) in futures::future::join_all(calls).await {
            assert!(status == 200 || answer["retry_after_s"] == "1", "{answer}");
            accepted += usize::from(status == 200);
        }
    }
    accepted
}

/// Sends a wave of drawn sizes to a drawn entry; returns the connections that stay open.
async fn send_drawn_wave(
    fleet: &Fleet,
    random: &mut StdRng,
    wave: Wave,
    ids: &[String],
) -> Vec<TcpStream> {
    let entry = random.random_range(0..fleet.entries.len());
    let front = fleet.entries[entry].0.front;
    println!("{wave:?} at entry {entry}");
    match wave {
        Wave::BodiesInPart => {
            let head = request_head("POST", &ids[0], 299_999);
            let sent = vec![b' '; random.random_range(150_000..299_999)];
            let count = random.random_range(200..=460);
            send_parts(front, count, &[head.into_bytes(), sent].concat())
        }
        Wave::UnreadAnswers => {
            let request = request_head("GET", &ids[0], 0);
            let requests = request.repeat(random.random_range(1_000..=20_000));
            let count = random.random_range(10..=100);
            send_parts(front, count, requests.as_bytes())
        }
        Wave::SilentConnections => send_parts(front, random.random_range(100..=400), b""),
        Wave::Jobs => {
            let body = long_payload_job(random.random_range(32_000..=40_000));
            let accepted = submit_many(fleet, entry, &ids[1..], &body).await;
            println!("{accepted} jobs are accepted");
            assert!(accepted < ids.len() - 1, "their sum exceeds the budget");
            Vec::new()
        }
    }
}

/// Guards against kinds of memory that are bounded each and exceed an entry's memory together.
#[actix_rt::test]
async fn drawn_sums_of_all_kinds_keep_each_entry_within_its_memory() {
    const SEEDS: u64 = 2;
    /// Of at least 32,000 bytes, so that they exceed their share, 56 MB.
    const JOBS: usize = 1_900;
    for seed in 1..=SEEDS {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::start(2, 1).await;
        let ids = ids(JOBS);
        assert_eq!(fleet.submit(0, &ids[0], &job(1, 50)).await, 200);
        let mut waves = [
            Wave::BodiesInPart,
            Wave::UnreadAnswers,
            Wave::SilentConnections,
            Wave::Jobs,
        ];
        waves.shuffle(&mut random);
        let mut open = Vec::new();
        for wave in waves {
            open.extend(send_drawn_wave(&fleet, &mut random, wave, &ids).await);
            sleep_ms(READ_AFTER_MS).await;
            assert_entries_keep_their_memory(&mut fleet);
        }
        for entry in 0..fleet.entries.len() {
            let began = Instant::now();
            let (status, answer) = fleet.call("GET", entry, &ids[0], &Value::Null).await;
            let spent = began.elapsed();
            println!("a query beside the waves: {status} in {spent:?}");
            assert_eq!(status, 200, "{answer}");
            assert!(spent < SMALL_REQUEST_LIMIT, "a query took {spent:?}");
        }
        drop(open);
        assert_entries_keep_their_memory(&mut fleet);
    }
}
