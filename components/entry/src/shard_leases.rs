//! Takes shards over and loads them.

use crate::control::Control;
use crate::messages::StoreHealth;
use actix::{AsyncContext, Context, Handler, Message};
use backing::{HttpTable, Row, ScanRange, StoreError, TableStore};
use batch::{Shard, ShardRow, claim_transaction, shard_key};
use model::EntryId;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::rank;

/// Time between two readings of all leases.
const WATCH_EVERY: Duration = Duration::from_millis(2_000);
/// First reading after the start.
const FIRST_WATCH: Duration = Duration::from_millis(100);
/// Rows in one page of a scan.
const PAGE_ROWS: usize = 1_000;
/// Time for which a shard is left to the entry that ranks first for it.
const PREFERENCE_MS: u64 = 6_000;

/// All leases, as read from the table.
#[derive(Message)]
#[rtype(result = "()")]
struct LeasesRead(Result<Vec<Row>, StoreError>);

/// A shard that was taken over, with the rows that its former owner left.
#[derive(Message)]
#[rtype(result = "()")]
struct Taken {
    /// Number of the shard.
    shard: u16,
    /// The lease row.
    row: ShardRow,
    /// Version of the row.
    version: u64,
    /// Rows of the table.
    rows: [Vec<Row>; 3],
}

impl Control {
    /// Starts watching leases.
    pub(crate) fn start_leases(&self, context: &mut Context<Self>) {
        context.run_later(FIRST_WATCH, |control, context| {
            control.watch_leases(context);
            context.run_interval(WATCH_EVERY, |control, context| {
                control.watch_leases(context);
            });
        });
    }

    fn watch_leases(&self, context: &mut Context<Self>) {
        let (table, control) = (self.driver.table.clone(), context.address());
        actix_rt::spawn(async move {
            let range = ScanRange {
                prefix: "shard/".to_owned(),
                after: None,
                limit: PAGE_ROWS,
            };
            control.do_send(LeasesRead(table.scan(&range).await));
        });
    }

    /// Entries that take work, this one included.
    fn rivals(&self) -> Vec<EntryId> {
        let live = self.peers.live(self.clock.now_ms());
        let open = live
            .filter(|peer| !peer.state.draining)
            .map(|peer| peer.state.entry.clone());
        open.chain(std::iter::once(self.settings.id.clone()))
            .collect()
    }

    fn is_preferred(&self, shard: u16) -> bool {
        let rivals = self.rivals();
        let ranked = rank(&shard_key(shard), rivals.iter(), |entry| entry.as_str());
        ranked
            .first()
            .is_some_and(|first| **first == self.settings.id)
    }

    fn take_over(&self, shard: u16, context: &mut Context<Self>) {
        let control_address = self.settings.control_listen;
        let (txn, row) = claim_transaction(
            &self.driver.watch,
            shard,
            &self.settings.id,
            control_address,
        );
        let (table, control) = (self.driver.table.clone(), context.address());
        actix_rt::spawn(async move {
            // After a lost answer the next reading of the leases shows whether it took effect.
            let Ok(version) = table.commit(&txn).await else {
                return;
            };
            if let Ok(rows) = load_rows(&table, shard).await {
                control.do_send(Taken {
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
        self.driver.watch.observe(now_ms, &rows);
        if self.is_leaving() {
            return;
        }
        for shard in self.driver.watch.claimable(now_ms, &self.settings.id) {
            let is_own = self.driver.shards.contains_key(&shard);
            let waited = self.driver.watch.unchanged_ms(now_ms, shard) >= PREFERENCE_MS * 2;
            if !is_own && (self.is_preferred(shard) || waited) {
                self.take_over(shard, context);
            }
        }
        self.give_away();
    }
}

impl Control {
    /// Releases shards for which another live entry ranks first, so that load spreads.
    fn give_away(&mut self) {
        let own: Vec<u16> = self.driver.shards.keys().copied().collect();
        for id in own {
            if !self.is_preferred(id)
                && let Some(shard) = self.driver.shards.get_mut(&id)
            {
                shard.release();
            }
        }
    }
}

impl Handler<Taken> for Control {
    type Result = ();

    fn handle(&mut self, taken: Taken, context: &mut Self::Context) {
        let now_ms = self.clock.now_ms();
        let mut shard = Shard::new(taken.shard, taken.row, taken.version, now_ms);
        let [jobs, tasks, cancels] = &taken.rows;
        shard.load(jobs, tasks, cancels, &mut self.driver.usage);
        if self.is_leaving() {
            shard.release();
        }
        log_event!(info, Event::ShardTaken, shard = taken.shard, epoch = shard.epoch(), tasks = tasks.len(), entry = %self.settings.id);
        self.driver.shards.insert(taken.shard, shard);
        self.metrics.shards.set(self.driver.shards.len() as i64);
        let agents: Vec<model::AgentId> = self
            .members
            .iter()
            .map(|member| member.beat.agent.clone())
            .collect();
        for agent in agents {
            self.adopt_on(&agent, context);
        }
    }
}
