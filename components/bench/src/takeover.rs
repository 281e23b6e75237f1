//! Time and reads until the shards of dead entries are owned again.

use crate::hops::{admin, apply_ticket};
use crate::results::Results;
use cluster::{Cluster, ClusterOptions};
use std::time::{Duration, Instant};

/// Shards of a system.
const SHARDS: usize = 16;
/// Entries of the measured system.
const ENTRIES: usize = 6;
/// Longest time for a takeover.
const LIMIT: Duration = Duration::from_secs(60);

/// Runs the measurement: one entry dies, then a failure domain's entries at once.
pub fn run(results: &mut Results) {
    let options = ClusterOptions {
        entries: ENTRIES,
        ..ClusterOptions::default()
    };
    for (name, dead) in [("one entry", vec![0]), ("a failure domain", vec![0, 3])] {
        let mut cluster = Cluster::start(&options).expect("the system starts");
        apply_ticket(&cluster, 3);
        wait_owned(&cluster, &[]);
        let (_, reads) = cluster.platform.table_calls();
        let lost = shards_of(&cluster, &dead);
        let started = Instant::now();
        for index in &dead {
            cluster.entries[*index].kill();
        }
        wait_owned(&cluster, &dead);
        let took_s = started.elapsed().as_secs_f64();
        let (_, after) = cluster.platform.table_calls();
        results.add("takeover", name, "shards to take over", lost as f64, None);
        results.add("takeover", name, "until all are owned, s", took_s, None);
        results.add(
            "takeover",
            name,
            "reads a second meanwhile",
            (after - reads) as f64 / took_s,
            None,
        );
    }
}

fn shards_of(cluster: &Cluster, entries: &[usize]) -> usize {
    let owned = |index: &usize| {
        let status = admin(cluster.addresses[*index].admin, "/v1/status", None)?;
        status["shards"].as_array().map(Vec::len)
    };
    entries.iter().filter_map(owned).sum()
}

fn wait_owned(cluster: &Cluster, dead: &[usize]) {
    let live: Vec<usize> = (0..ENTRIES).filter(|index| !dead.contains(index)).collect();
    let started = Instant::now();
    while shards_of(cluster, &live) < SHARDS {
        assert!(started.elapsed() < LIMIT, "all shards are owned in time");
        std::thread::sleep(Duration::from_millis(100));
    }
}
