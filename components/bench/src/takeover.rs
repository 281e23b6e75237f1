//! Case `takeover`: time and table reads until other entries own the shards of killed ones.

use crate::hops::{admin_call, apply_ticket};
use crate::results::Results;
use cluster::{Cluster, ClusterOptions};
use std::time::{Duration, Instant};

/// Number of shards of the system.
const SHARDS: usize = 16;
/// Entries of the measured system.
const ENTRIES: usize = 6;
/// Longest time until all shards have an owner.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Measures with one killed entry, then with all entries of a failure domain killed at once.
pub fn run(results: &mut Results) {
    let options = ClusterOptions {
        entries: ENTRIES,
        ..ClusterOptions::default()
    };
    for (name, killed) in [("one entry", vec![0]), ("a failure domain", vec![0, 3])] {
        let mut cluster = Cluster::start(&options).expect("the system starts");
        apply_ticket(&cluster, 3);
        wait_until_owned(&cluster, &[]);
        let (_, reads_before) = cluster.platform.table_calls();
        let lost = owned_shards(&cluster, &killed);
        let started = Instant::now();
        for index in &killed {
            cluster.entries[*index].kill();
        }
        wait_until_owned(&cluster, &killed);
        let took_s = started.elapsed().as_secs_f64();
        let (_, reads_after) = cluster.platform.table_calls();
        results.add("takeover", name, "shards to take over", lost as f64, None);
        results.add("takeover", name, "until all are owned, s", took_s, None);
        results.add(
            "takeover",
            name,
            "reads a second meanwhile",
            (reads_after - reads_before) as f64 / took_s,
            None,
        );
    }
}

/// Number of shards that these entries own, by their own status.
fn owned_shards(cluster: &Cluster, entries: &[usize]) -> usize {
    let owned = |index: &usize| {
        let status = admin_call(cluster.addresses[*index].admin, "/v1/status", None)?;
        status["shards"].as_array().map(Vec::len)
    };
    entries.iter().filter_map(owned).sum()
}

/// Waits until the entries outside of `killed` own all shards.
fn wait_until_owned(cluster: &Cluster, killed: &[usize]) {
    let live: Vec<usize> = (0..ENTRIES)
        .filter(|index| !killed.contains(index))
        .collect();
    let started = Instant::now();
    while owned_shards(cluster, &live) < SHARDS {
        assert!(
            started.elapsed() < TAKEOVER_TIMEOUT,
            "not all shards have an owner after {TAKEOVER_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}
