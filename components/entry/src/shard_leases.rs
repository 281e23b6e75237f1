//! Watching of shard leases, and takeover and release of shards.

use crate::control::Control;
use crate::messages::StoreHealth;
use actix::{AsyncContext, Context, Handler, Message};
use backing::{HttpTable, Row, ScanRange, StoreError, TableStore};
use batch::{Shard, ShardRow, claim_transaction, shard_key};
use model::EntryId;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::rank;

/// Interval at which all leases are read.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Delay of the first read after startup.
const FIRST_LEASE_POLL: Duration = Duration::from_millis(100);
/// Maximum number of rows in one page of a scan.
const PAGE_ROWS: usize = 1_000;
/// Half of the time for which a claimable shard is left to the entry that ranks first for it. Other
/// entries claim it once its lease has not changed for twice this value.
const HALF_UNPREFERRED_DELAY_MS: u64 = 6_000;

/// All lease rows that were read from the table.
#[derive(Message)]
#[rtype(result = "()")]
struct LeasesRead(Result<Vec<Row>, StoreError>);

/// A shard whose lease this entry has claimed, with the rows that its previous owner left.
#[derive(Message)]
#[rtype(result = "()")]
struct ShardClaimed {
    /// Shard number.
    shard: u16,
    /// The lease row as claimed.
    row: ShardRow,
    /// Version of the lease row.
    version: u64,
    /// Rows of jobs, tasks and cancellations.
    rows: [Vec<Row>; 3],
}

impl Control {
    /// Starts the periodic read of all leases.
    pub(crate) fn start_lease_polls(&self, context: &mut Context<Self>) {
        context.run_later(FIRST_LEASE_POLL, |control, context| {
            control.poll_leases(context);
            context.run_interval(LEASE_POLL_INTERVAL, |control, context| {
                control.poll_leases(context);
            });
        });
    }

    fn poll_leases(&self, context: &mut Context<Self>) {
        let (table, control) = (self.batch.table.clone(), context.address());
        actix_rt::spawn(async move {
            let range = ScanRange {
                prefix: "shard/".to_owned(),
                after: None,
                limit: PAGE_ROWS,
            };
            control.do_send(LeasesRead(table.scan(&range).await));
        });
    }

    /// Entries that may own shards: live and not draining, this one included.
    fn candidates(&self) -> Vec<EntryId> {
        let live = self.peers.live(self.clock.now_ms());
        let open = live
            .filter(|peer| !peer.state.draining)
            .map(|peer| peer.state.entry.clone());
        open.chain(std::iter::once(self.settings.id.clone()))
            .collect()
    }

    /// Whether this entry ranks first for a shard among the candidates.
    fn is_preferred(&self, shard: u16) -> bool {
        let candidates = self.candidates();
        let ranked = rank(&shard_key(shard), candidates.iter(), |entry| entry.as_str());
        ranked
            .first()
            .is_some_and(|first| **first == self.settings.id)
    }

    /// Claims a shard's lease and loads its rows.
    fn take_over(&self, shard: u16, context: &mut Context<Self>) {
        let control_address = self.settings.control_listen;
        let (txn, row) =
            claim_transaction(&self.batch.watch, shard, &self.settings.id, control_address);
        let (table, control) = (self.batch.table.clone(), context.address());
        actix_rt::spawn(async move {
            // If the answer is lost, the next read of the leases shows whether the claim took
            // effect.
            let Ok(version) = table.commit(&txn).await else {
                return;
            };
            if let Ok(rows) = load_rows(&table, shard).await {
                control.do_send(ShardClaimed {
                    shard,
                    row,
                    version,
                    rows,
                });
            }
        });
    }
}

async fn load_rows(table: &HttpTable, shard: u16) -> Result<[Vec<Row>; 3], StoreError> {
    let [jobs, tasks, cancels] = Shard::prefixes(shard);
    let jobs = scan_all(table, jobs).await?;
    let tasks = scan_all(table, tasks).await?;
    let cancels = scan_all(table, cancels).await?;
    Ok([jobs, tasks, cancels])
}

/// Reads all rows with a prefix, page by page.
async fn scan_all(table: &HttpTable, prefix: String) -> Result<Vec<Row>, StoreError> {
    let mut all: Vec<Row> = Vec::new();
    loop {
        let after = all.last().map(|row| row.key.clone());
        let range = ScanRange {
            prefix: prefix.clone(),
            after,
            limit: PAGE_ROWS,
        };
        let page = table.scan(&range).await?;
        let is_last = page.len() < PAGE_ROWS;
        all.extend(page);
        if is_last {
            return Ok(all);
        }
    }
}

impl Handler<LeasesRead> for Control {
    type Result = ();

    fn handle(&mut self, LeasesRead(read): LeasesRead, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let Ok(rows) = read else {
            context.notify(StoreHealth { up: false });
            return;
        };
        context.notify(StoreHealth { up: true });
        self.batch.watch.observe(now_ms, &rows);
        if self.is_draining {
            return;
        }
        for shard in self.batch.watch.claimable(now_ms, &self.settings.id) {
            let is_own = self.batch.shards.contains_key(&shard);
            let waited =
                self.batch.watch.unchanged_ms(now_ms, shard) >= HALF_UNPREFERRED_DELAY_MS * 2;
            if !is_own && (self.is_preferred(shard) || waited) {
                self.take_over(shard, context);
            }
        }
        self.release_unpreferred();
    }
}

impl Control {
    /// Releases shards for which another live entry ranks first, to balance load.
    fn release_unpreferred(&mut self) {
        let own: Vec<u16> = self.batch.shards.keys().copied().collect();
        for id in own {
            if !self.is_preferred(id)
                && let Some(shard) = self.batch.shards.get_mut(&id)
            {
                shard.release();
            }
        }
    }
}

impl Handler<ShardClaimed> for Control {
    type Result = ();

    fn handle(&mut self, claimed: ShardClaimed, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let mut shard = Shard::new(claimed.shard, claimed.row, claimed.version, now_ms);
        let [jobs, tasks, cancels] = &claimed.rows;
        shard.load(jobs, tasks, cancels, &mut self.batch.usage);
        if self.is_draining {
            shard.release();
        }
        log_event!(info, Event::ShardTaken, shard = claimed.shard, epoch = shard.epoch(), tasks = tasks.len(), entry = %self.settings.id);
        self.batch.shards.insert(claimed.shard, shard);
        self.metrics.shards.set(self.batch.shards.len() as i64);
        let agents: Vec<model::AgentId> = self
            .members
            .iter()
            .map(|member| member.heartbeat.agent.clone())
            .collect();
        for agent in agents {
            self.send_adoptions(&agent, context);
        }
    }
}
