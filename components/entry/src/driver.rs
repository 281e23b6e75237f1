//! Drives the shards that this entry owns: placement, commits, orders to agents.

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

/// Time between two rounds of placement and commits.
const ROUND: Duration = Duration::from_millis(50);
/// Time between two looks for orders that are due.
const ORDERS_EVERY: Duration = Duration::from_millis(500);
/// Commits that one shard's backlog may grow ahead of, so that placement keeps pace with writes.
const BACKLOG_COMMITS: usize = 2;
/// Time between two readings of an own shard's summaries.
const POLL_SUMMARIES_EVERY: Duration = Duration::from_secs(3_600);
/// Time between two readings of an own shard's jobs.
const POLL_JOBS_EVERY: Duration = Duration::from_millis(5_000);

/// What drives the shards that this entry owns.
pub(crate) struct Driver {
    /// The table service.
    pub table: Rc<HttpTable>,
    /// The worker runtime.
    pub runtime: Rc<HttpRuntime>,
    /// Leases of all shards, as last seen.
    pub watch: LeaseWatch,
    /// Shards that this entry owns.
    pub shards: BTreeMap<u16, Shard>,
    /// Workers by name.
    pub workers: Workers,
    /// What teams use of their quotas.
    pub usage: TeamUsage,
    /// What is learnt of kinds of work.
    pub kinds: Kinds,
    /// When each shard's last commit was sent.
    pub sent_ms: Map<u16, u64>,
    /// Pauses after failed commits, and when each is over.
    pub pauses: Map<u16, (Backoff, u64)>,
}

impl Driver {
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
            sent_ms: Map::default(),
            pauses: Map::default(),
        }
    }

    pub fn is_paused(&self, now_ms: u64, shard: u16) -> bool {
        self.pauses
            .get(&shard)
            .is_some_and(|(_, until_ms)| now_ms < *until_ms)
    }
}

impl Control {
    /// Starts the driver's timers.
    pub(crate) fn start_driver(&mut self, context: &mut Context<Self>) {
        context.run_interval(ROUND, super::control::Control::round);
        context.run_interval(ORDERS_EVERY, |control, context| {
            control.send_due_orders(context);
        });
        context.run_interval(POLL_JOBS_EVERY, |control, context| {
            let own: Vec<u16> = control.driver.shards.keys().copied().collect();
            for shard in own {
                control.poll_jobs(shard, context);
            }
        });
        context.run_interval(POLL_SUMMARIES_EVERY, |control, context| {
            let own: Vec<u16> = control.driver.shards.keys().copied().collect();
            for shard in own {
                control.poll_summaries(shard, context);
            }
        });
        self.start_leases(context);
    }

    /// One round of placement and commits.
    pub(crate) fn round(&mut self, context: &mut Context<Self>) {
        if self.driver.shards.is_empty() {
            return;
        }
        self.place();
        self.commit_all(context);
    }

    fn place(&mut self) {
        let now_ms = self.clock.now_ms();
        let max_backlog = self.settings.batch.max_rows * BACKLOG_COMMITS;
        if self.is_leaving() {
            return;
        }
        let Driver {
            shards,
            workers,
            usage,
            kinds,
            ..
        } = &mut self.driver;
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

    /// Forgets a shard that another entry owns or may take.
    pub(crate) fn drop_shard(&mut self, shard: u16) {
        let Some(state) = self.driver.shards.remove(&shard) else {
            return;
        };
        state.release_usage(&mut self.driver.usage);
        self.driver.pauses.remove(&shard);
        self.metrics.shards.set(self.driver.shards.len() as i64);
        log_event!(info, Event::ShardLost, shard, entry = %self.settings.id);
    }
}
