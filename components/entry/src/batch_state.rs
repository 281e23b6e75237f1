//! Batch work of the shards that this entry owns: timers, placement and loss of a shard.

use crate::control::Control;
use actix::{AsyncContext, Context};
use backing::{HttpRuntime, HttpTable};
use batch::{Kinds, LeaseWatch, PlaceLimits, PlacementOrder, Placer, Shard, TeamUsage, Workers};
use settings::EntrySettings;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{Backoff, Map};

/// Interval of passes that place tasks and send commits.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which orders to agents are sent again if due.
const ORDERS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum backlog of a shard, in full commits, so that placement does not outrun the writes.
const BACKLOG_COMMITS: usize = 2;
/// Interval at which an own shard's summaries are read, to discard expired ones.
const SUMMARIES_POLL_INTERVAL: Duration = Duration::from_secs(3_600);
/// Interval at which an own shard's jobs are read, in case a hint was lost.
const JOBS_POLL_INTERVAL: Duration = Duration::from_millis(5_000);

/// State of the batch work of this entry.
pub(crate) struct BatchState {
    /// Client of the table service.
    pub table: Rc<HttpTable>,
    /// Client of the platform's worker runtime.
    pub runtime: Rc<HttpRuntime>,
    /// Leases of all shards, as last read from the table.
    pub watch: LeaseWatch,
    /// Shards that this entry owns, by number.
    pub shards: BTreeMap<u16, Shard>,
    /// Capacity and health of workers, by agent.
    pub workers: Workers,
    /// Quota usage of teams, over the tasks of own shards.
    pub usage: TeamUsage,
    /// Learned statistics of each kind of work.
    pub kinds: Kinds,
    /// Time at which each shard's last commit was sent.
    pub commit_sent_ms: Map<u16, u64>,
    /// Backoff of shards whose last commit failed, with the end of the pause.
    pub pauses: Map<u16, (Backoff, u64)>,
}

impl BatchState {
    pub fn new(settings: &EntrySettings) -> Self {
        let platform = &settings.platform;
        Self {
            table: Rc::new(HttpTable::new(&platform.url, platform.timeout_ms)),
            runtime: Rc::new(HttpRuntime::new(&platform.url, platform.timeout_ms)),
            watch: LeaseWatch::new(settings.batch.shards, settings.batch.shard_lease_ms),
            shards: BTreeMap::new(),
            workers: Workers::default(),
            usage: TeamUsage::default(),
            kinds: Kinds::default(),
            commit_sent_ms: Map::default(),
            pauses: Map::default(),
        }
    }

    /// Whether commits of this shard wait for the end of a backoff.
    pub fn is_paused(&self, now_ms: u64, shard: u16) -> bool {
        self.pauses
            .get(&shard)
            .is_some_and(|(_, until_ms)| now_ms < *until_ms)
    }
}

impl Control {
    /// Starts the timers of batch work.
    pub(crate) fn start_batch_timers(&mut self, context: &mut Context<Self>) {
        context.run_interval(PASS_INTERVAL, Self::run_pass);
        context.run_interval(ORDERS_INTERVAL, |control, context| {
            control.send_due_orders(context);
        });
        context.run_interval(JOBS_POLL_INTERVAL, |control, context| {
            let own: Vec<u16> = control.batch.shards.keys().copied().collect();
            for shard in own {
                control.poll_jobs(shard, context);
            }
        });
        context.run_interval(SUMMARIES_POLL_INTERVAL, |control, context| {
            let own: Vec<u16> = control.batch.shards.keys().copied().collect();
            for shard in own {
                control.poll_summaries(shard, context);
            }
        });
        self.start_lease_polls(context);
    }

    /// Runs one pass of placement and commits over the own shards.
    pub(crate) fn run_pass(&mut self, context: &mut Context<Self>) {
        if self.batch.shards.is_empty() {
            return;
        }
        self.place_tasks();
        self.commit_shards(context);
    }

    /// Places tasks of shards whose backlog of writes is below its limit; none during shutdown.
    fn place_tasks(&mut self) {
        let now_ms = self.clock.now_ms();
        let max_backlog = self.settings.batch.max_rows * BACKLOG_COMMITS;
        if self.is_draining {
            return;
        }
        let BatchState {
            shards,
            workers,
            usage,
            kinds,
            ..
        } = &mut self.batch;
        let mut open: Vec<&mut Shard> = shards
            .values_mut()
            .filter(|shard| shard.backlog() < max_backlog && !shard.is_released())
            .collect();
        let mut placer = Placer {
            workers,
            usage,
            kinds,
            config: &self.config,
            order: PlacementOrder::ShortestFirst,
        };
        let limits = PlaceLimits {
            max_tasks: max_backlog,
        };
        let placed = placer.place(now_ms, &mut open, limits, &mut self.rng);
        self.metrics.placements.inc_by(placed as u64);
    }

    /// Drops a shard that another entry owns or may take over, with its quota usage.
    pub(crate) fn drop_shard(&mut self, shard: u16) {
        let Some(state) = self.batch.shards.remove(&shard) else {
            return;
        };
        state.release_usage(&mut self.batch.usage);
        self.batch.pauses.remove(&shard);
        self.metrics.shards.set(self.batch.shards.len() as i64);
        log_event!(info, Event::ShardLost, shard, entry = %self.settings.id);
    }
}
