//! State that exists only in the scheduler, and how an entry becomes the scheduler and steps down.

use crate::acceptance::FlowMemory;
use crate::agents::AgentConnection;
use crate::coordinator::Coordinator;
use crate::evacuations::EvacuationWatch;
use crate::feed_watch;
use crate::former::Claim;
use crate::isolation::Isolation;
use crate::learned_rows::restore_learned;
use crate::messages::{
    ChangedFlow, ClaimDone, FlowsLoaded, InFlightCommit, LearnedRows, StateLoaded, StoredRows,
};
use crate::metric_labels::MemoryUse;
use crate::reads::{read_all, read_flow_pages, read_row};
use crate::record_reads::{group_records, parse_record};
use crate::rows::{
    FlowKey, LEARNED_KEY, LEASE_KEY, LeaseRow, RECORD_PREFIX, RUN_TIMES_KEY, flow_key, record_key,
};
use actix::{Addr, AsyncContext, Context, Handler};
use admission::Backlog;
use backing::{Row, StoreError, TableStore, Transaction};
use flow::{
    AwayWorker, FairSharePolicy, FlowEnd, FlowJob, FlowPhase, FlowRow, LeaseLimit, LeaseTerms,
    Policies, RecordFault, Scheduler, WaitWatch,
};
use model::{AgentId, JobId};
use settings::PolicySettings;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{boot_ms, wall_ms};

/// Length of a worker's lease while the table answers, in milliseconds. It is long enough to
/// survive a short pause of the scheduler, and short enough that the work of a VM that is cut off
/// can soon be placed again.
const TERM_MS: u64 = 4_000;
/// Longest lease while the table does not answer, in milliseconds. With the time until another entry
/// has seen the last commit (0.9 s), the workers' slack and a start, all tasks of a worker that is
/// lost together with the scheduler run again within the 9 s that tasks may stand still.
const MAX_OUTAGE_TERM_MS: u64 = 6_000;
/// Margin below the longest lease that a worker grants, in milliseconds.
const LONGEST_MARGIN_MS: u64 = 300;
/// Age of the last confirmation of leadership from which workers get the longer leases that bridge
/// an outage of the table, in milliseconds.
const OUTAGE_AFTER_MS: u64 = 900;
/// Pause before a failed load of the stored state is retried.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// State of the scheduler, from winning the lease to losing it.
pub(crate) struct Leadership {
    /// Epoch of the lease, and fencing token of all orders.
    pub epoch: u64,
    /// Version of the lease's row, on which the next commit is conditional.
    pub version: u64,
    /// Sequence number of the last commit of this epoch.
    pub sequence: u64,
    /// When the newest commit that took effect was sent; no other entry was the scheduler then.
    pub confirmed_ms: u64,
    /// Placement state of all flows and workers.
    pub scheduler: Scheduler,
    /// Whether the state that earlier schedulers wrote is loaded; nothing is placed before.
    pub is_loaded: bool,
    /// Cancellations that the feed reported before that.
    pub early_cancels: Vec<ChangedFlow>,
    /// Memory that flows take.
    pub memory: FlowMemory,
    /// Last measured backlog; `None` before the first measurement.
    pub backlog: Option<Backlog>,
    /// When this entry became the scheduler.
    pub acquired_ms: u64,
    /// When a part of the stored state last arrived, from `acquired_ms` on.
    pub load_progress_ms: u64,
    /// Commit whose outcome is not known yet; at most one at a time.
    pub in_flight: Option<InFlightCommit>,
    /// Records of a refused commit that are written alone; `None` while no commit is refused.
    pub isolation: Option<Isolation>,
    /// When the last commit was first sent.
    pub last_commit_ms: u64,
    /// Registered agents and the state of their polls.
    pub agents: BTreeMap<AgentId, AgentConnection>,
    /// When the last read of the registered agents was sent.
    pub agents_read_ms: u64,
    /// Lengths of the leases that workers get.
    pub lease_terms: LeaseTerms,
    /// Ended flows whose rows are not yet replaced by one small row; garbage collection does so.
    pub uncollected: VecDeque<(JobId, FlowEnd)>,
    /// Ended flows whose state can still be queried, oldest first, each with the time of its end.
    pub ended: VecDeque<(JobId, u64)>,
    /// Whether a garbage collection of ended rows is in flight.
    pub is_collecting: bool,
    /// When the last garbage collection of ended rows started.
    pub collected_ms: u64,
    /// When the learned pressures of pairs were last added to a commit.
    pub learned_written_ms: u64,
    /// Progress of the evacuations, for metrics and the log.
    pub evacuation_watch: EvacuationWatch,
    /// When the learned run times were last added to a commit.
    pub run_times_written_ms: u64,
    /// Finds flows that wait, for the log.
    pub wait_watch: WaitWatch,
    /// When it last looked for them.
    pub waits_searched_ms: u64,
    /// Whether a scheduling pass is already in the mailbox.
    pub is_pass_requested: bool,
}

impl Leadership {
    /// Latest end of a lease that a worker may get now.
    pub(crate) fn lease_limit(&self, now_ms: u64) -> LeaseLimit {
        LeaseLimit {
            until_ms: self.lease_terms.until_ms(now_ms, self.confirmed_ms),
            slack_ms: self.lease_terms.slack_ms,
        }
    }
}

impl Coordinator {
    fn lease_terms(&self) -> LeaseTerms {
        let leases = &self.settings.leases;
        let longest_ms = leases.longest_ms.saturating_sub(LONGEST_MARGIN_MS);
        LeaseTerms {
            term_ms: TERM_MS.min(longest_ms),
            outage_term_ms: MAX_OUTAGE_TERM_MS.min(longest_ms),
            outage_after_ms: OUTAGE_AFTER_MS,
            slack_ms: leases.slack_ms,
        }
    }

    /// Claims the lease for the next epoch, on condition that its row is unchanged.
    pub(crate) fn claim(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let epoch = self.election.next_epoch();
        let claim = self.next_claim(now_ms, epoch);
        let away = claim.former.still_away(now_ms);
        self.claim = Some(claim);
        let row = self.lease_row(now_ms, epoch, 0, false, away);
        let txn = Transaction::default()
            .require(LEASE_KEY, self.election.version)
            .put(LEASE_KEY, encode(&row));
        let before = self.election.row.as_ref().map(|row| row.owner.clone());
        log_event!(info, Event::SchedulerClaimed, epoch, before = ?before,
            version = ?self.election.version);
        self.is_claiming = true;
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let result = table.commit(&txn).await;
            control.do_send(ClaimDone {
                sent_ms: now_ms,
                epoch,
                result,
            });
        });
    }

    /// The claim of `epoch` over the row as last read; its first sending is that of an earlier claim
    /// over the same version, which may still take effect.
    fn next_claim(&self, now_ms: u64, epoch: u64) -> Claim {
        let version = self.election.version;
        let earlier = self.claim.as_ref();
        let same = earlier.filter(|claim| claim.epoch == epoch && claim.version == version);
        same.cloned().unwrap_or_else(|| Claim {
            epoch,
            version,
            first_sent_ms: now_ms,
            former: self.election.former_leases(self.longest_former_ms()),
        })
    }

    /// Longest time for which a lease of a former scheduler of any version may last after its last
    /// commit, in milliseconds.
    fn longest_former_ms(&self) -> u64 {
        self.settings.leases.longest_ms + self.settings.leases.slack_ms
    }

    /// Longest time from `now_ms` for which leases of the scheduler of `epoch`, or of those before it,
    /// may last, in milliseconds. An earlier version may have granted longer ones.
    fn longest_lease_ms(&self, now_ms: u64, epoch: u64) -> u64 {
        let claim = self.claim.as_ref().filter(|claim| claim.epoch == epoch);
        let former_ms = claim.map_or(0, |claim| claim.former.expired_ms);
        let own_ms = self.lease_terms().longest_ms();
        own_ms.max(former_ms.saturating_sub(now_ms))
    }

    /// Row of the lease as this entry writes it.
    pub(crate) fn lease_row(
        &self,
        now_ms: u64,
        epoch: u64,
        sequence: u64,
        released: bool,
        away: Vec<AwayWorker>,
    ) -> LeaseRow {
        LeaseRow {
            owner: self.own_id().to_owned(),
            incarnation: self.incarnation,
            control: self.settings.control_listen,
            epoch,
            sequence,
            released,
            longest_lease_ms: Some(self.longest_lease_ms(now_ms, epoch)),
            away,
        }
    }

    /// Handles a row of the lease that names this process although it is not the scheduler, as
    /// after a claim that took effect but whose answer was lost.
    pub(crate) fn adopt_claim(&mut self, context: &mut Context<Self>) {
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch);
        let has_no_commits = self
            .election
            .row
            .as_ref()
            .is_some_and(|row| row.sequence == 0);
        let (Some(version), claim) = (self.election.version, self.claim.as_ref()) else {
            return;
        };
        let claim = claim.filter(|claim| claim.epoch == epoch && epoch > self.started_epoch);
        if let Some(claim) = claim.filter(|_| has_no_commits) {
            // When it took effect is not known: others may have seen the row long before this read.
            self.become_scheduler(claim.first_sent_ms, epoch, version, context);
        } else if !self.is_claiming {
            // The row is of an earlier term of this process, whose orders only a new epoch fences
            // off.
            self.claim(boot_ms(), context);
        }
    }

    /// Becomes the scheduler of `epoch`. A process does so once per epoch: messages of a term carry
    /// only its epoch, so that those of two terms of one epoch could not be distinguished.
    fn become_scheduler(
        &mut self,
        confirmed_ms: u64,
        epoch: u64,
        version: u64,
        context: &mut Context<Self>,
    ) {
        let now_ms = boot_ms();
        self.started_epoch = epoch;
        let mut scheduler = Scheduler::default();
        let claim = self.claim.as_ref().filter(|claim| claim.epoch == epoch);
        match claim {
            Some(claim) => claim.former.apply(&mut scheduler),
            None => scheduler.set_former_leases_expired_ms(now_ms + self.longest_former_ms()),
        }
        scheduler.set_task_limit(self.flow_bytes / 2);
        scheduler.set_config(flow::FlowConfig::clone(&self.config.load()));
        scheduler.set_policies(policies(&self.settings.policies));
        self.evacuations.apply(now_ms, &mut scheduler);
        log_event!(info, Event::SchedulerTaken, entry = %self.settings.id, epoch, version);
        self.metrics.is_scheduler.set(1);
        self.metrics.terms_started.inc();
        self.leadership = Some(Leadership {
            epoch,
            version,
            sequence: 0,
            confirmed_ms,
            scheduler,
            is_loaded: false,
            early_cancels: Vec::new(),
            memory: FlowMemory::default(),
            backlog: None,
            acquired_ms: now_ms,
            load_progress_ms: now_ms,
            in_flight: None,
            isolation: None,
            last_commit_ms: now_ms,
            agents: BTreeMap::new(),
            agents_read_ms: 0,
            lease_terms: self.lease_terms(),
            uncollected: VecDeque::new(),
            ended: VecDeque::new(),
            is_collecting: false,
            collected_ms: now_ms,
            learned_written_ms: now_ms,
            evacuation_watch: EvacuationWatch::default(),
            run_times_written_ms: now_ms,
            wait_watch: WaitWatch::default(),
            waits_searched_ms: now_ms,
            is_pass_requested: false,
        });
        self.load(epoch, context);
        self.read_agents(now_ms, context);
        let (feed, table) = (self.feed.clone(), self.table.clone());
        let watch = feed_watch::run(feed, table, context.address(), epoch, version);
        actix_rt::spawn(watch);
    }

    /// Loads the state that earlier schedulers wrote; the result arrives as [`StateLoaded`].
    fn load(&self, epoch: u64, context: &mut Context<Self>) {
        let (table, control) = (self.table.clone(), context.address());
        let has_run_times = self.settings.policies.learned_run_times;
        actix_rt::spawn(async move {
            let rows = load_rows(table.as_ref(), &control, epoch, has_run_times).await;
            control.do_send(StateLoaded { epoch, rows });
        });
    }

    /// Drops the scheduler's state and reads the lease anew. `reason` is for the log.
    pub(crate) fn step_down(&mut self, reason: &str, context: &mut Context<Self>) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        log_event!(warn, Event::SchedulerLost, entry = %self.settings.id, epoch = leadership.epoch,
            reason);
        self.metrics.is_scheduler.set(0);
        self.metrics.evacuations.set(0);
        self.metrics.evacuation_runs_left.set(0);
        self.metrics.set_outlooks(flow::Outlooks::default());
        self.metrics.set_queue_shares(&[]);
        for kind in [MemoryUse::Flows, MemoryUse::Tasks, MemoryUse::Ended] {
            self.metrics.set_memory(kind, 0);
        }
        self.election = crate::election::Election::new(self.settings.processor_share);
        self.read_lease(context);
    }
}

/// Policies of the scheduler by the settings.
fn policies(settings: &PolicySettings) -> Policies {
    Policies {
        evacuation_bound_ms: settings.evacuation_bound_ms,
        learned_run_times: settings.learned_run_times,
        overload_order: settings.overload_order,
        duplicates: settings.duplicates,
        remote_factor: settings.remote_factor,
        fair_shares: settings.fair_shares.as_ref().map(|shares| FairSharePolicy {
            weights: shares.weights.clone(),
        }),
        preemption: settings.preemption,
        damped_pacing: settings.damped_pacing,
    }
}

/// JSON text of a row.
pub(crate) fn encode(row: &impl serde::Serialize) -> String {
    // Rows are plain data, whose serialization does not fail.
    serde_json::to_string(row).unwrap_or_default()
}

/// Reads the rows of [`StoredRows`], and sends those of flows to the control thread page by page.
/// Records are read before flows, so that a flow whose record was deleted in the meantime is then read
/// as ended.
async fn load_rows(
    table: &dyn TableStore,
    control: &Addr<Coordinator>,
    epoch: u64,
    has_run_times: bool,
) -> Result<StoredRows, StoreError> {
    let pressures = read_row(table, LEARNED_KEY).await?;
    let run_times = match has_run_times {
        true => read_row(table, RUN_TIMES_KEY).await?,
        false => None,
    };
    let learned = LearnedRows {
        pressures,
        run_times,
    };
    let records = read_all(table, RECORD_PREFIX).await?;
    let flows = read_flow_pages(table, |rows| async move {
        let sent = control.send(FlowsLoaded { epoch, rows }).await;
        sent.unwrap_or(false)
    });
    let flows = flows.await?;
    Ok(StoredRows {
        learned,
        records,
        flows,
    })
}

impl Handler<FlowsLoaded> for Coordinator {
    type Result = bool;

    fn handle(&mut self, loaded: FlowsLoaded, _: &mut Self::Context) -> bool {
        let now_ms = boot_ms();
        let leadership = self.leadership.as_mut();
        let loading = leadership.filter(|leadership| leadership.epoch == loaded.epoch);
        let Some(leadership) = loading.filter(|leadership| !leadership.is_loaded) else {
            return false;
        };
        leadership.load_progress_ms = now_ms;
        for row in &loaded.rows {
            apply_flow_row(leadership, now_ms, &row.key, Some(&row.value));
        }
        true
    }
}

impl Handler<ClaimDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: ClaimDone, context: &mut Self::Context) {
        self.is_claiming = false;
        self.store_health.observe(boot_ms(), &done.result);
        match done.result {
            // A read of the lease showed the claim before its answer arrived.
            Ok(_) if done.epoch <= self.started_epoch => {}
            Ok(version) => {
                let row = self.lease_row(done.sent_ms, done.epoch, 0, false, Vec::new());
                let row = Row {
                    key: LEASE_KEY.to_owned(),
                    version,
                    value: encode(&row),
                };
                self.election.observe(boot_ms(), Some(&row));
                self.become_scheduler(done.sent_ms, done.epoch, version, context);
            }
            Err(error) => {
                log_event!(info, Event::SchedulerClaimFailed, epoch = done.epoch, reason = %error);
                self.read_lease(context);
            }
        }
    }
}

impl Handler<StateLoaded> for Coordinator {
    type Result = ();

    fn handle(&mut self, loaded: StateLoaded, context: &mut Self::Context) {
        let now_ms = boot_ms();
        self.store_health.observe(now_ms, &loaded.rows);
        let Some(leadership) = self
            .leadership
            .as_mut()
            .filter(|leadership| leadership.epoch == loaded.epoch)
        else {
            return;
        };
        if leadership.is_loaded {
            return;
        }
        let StoredRows {
            learned,
            records,
            flows,
        } = match loaded.rows {
            Ok(rows) => rows,
            Err(error) => {
                log_event!(warn, Event::SchedulerLoadFailed, epoch = leadership.epoch,
                    reason = %error);
                context.run_later(LOAD_RETRY_PAUSE, move |coordinator, context| {
                    coordinator.load(loaded.epoch, context);
                });
                return;
            }
        };
        for (job, rows) in group_records(&records) {
            restore_record(leadership, now_ms, &job, &rows);
        }
        for (key, value) in std::mem::take(&mut leadership.early_cancels) {
            apply_flow_row(leadership, now_ms, &key, value.as_deref());
        }
        restore_learned(
            leadership,
            learned,
            self.settings.policies.learned_run_times,
        );
        leadership.is_loaded = true;
        log_event!(
            info,
            Event::SchedulerLoaded,
            epoch = leadership.epoch,
            flows = leadership.scheduler.flows().count(),
            records = records.len(),
            rows = flows,
            after_ms = now_ms.saturating_sub(leadership.acquired_ms)
        );
        self.poll_all(context);
        self.request_scheduling_pass(context);
    }
}

/// Applies a row of a flow or of a cancellation; deleted rows (`None`) change nothing.
pub(crate) fn apply_flow_row(
    leadership: &mut Leadership,
    now_ms: u64,
    key: &str,
    value: Option<&str>,
) {
    let Some(value) = value else {
        return;
    };
    match FlowKey::parse(key) {
        Some(FlowKey::Flow(job)) => match serde_json::from_str::<FlowRow>(value) {
            Ok(FlowRow::Accepted(flow)) if flow_key(&flow.id) == key => {
                add_flow(leadership, now_ms, flow);
            }
            Ok(FlowRow::Accepted(flow)) => {
                log_event!(error, Event::RowUnreadable, key, job = %flow.id,
                    reason = "the row of another flow");
            }
            Ok(FlowRow::Ended(end)) => {
                let is_new = leadership.scheduler.phase(&job).is_none();
                if is_new {
                    leadership.ended.push_back((job.clone(), now_ms));
                }
                leadership.scheduler.add_ended(job, end.phase);
            }
            Err(error) => {
                log_event!(error, Event::RowUnreadable, key, reason = %error);
            }
        },
        Some(FlowKey::Cancel(job)) => {
            leadership.scheduler.cancel(now_ms, &job);
        }
        None => log_event!(error, Event::RowUnreadable, key, reason = "unknown key"),
    }
}

/// Adds an accepted flow to the scheduler, unless it is known.
pub(crate) fn add_flow(leadership: &mut Leadership, now_ms: u64, job: FlowJob) {
    leadership.scheduler.add(now_ms, wall_ms(), job);
}

/// Applies a progress record, given by its numbered rows, to its flow.
fn restore_record(leadership: &mut Leadership, now_ms: u64, job: &JobId, rows: &[(usize, &str)]) {
    let numbers = rows.iter().map(|(number, _)| number + 1);
    let row_count = numbers.max().unwrap_or(0);
    leadership.scheduler.set_record_rows(job, row_count);
    match parse_record(rows) {
        Ok(record) => leadership.scheduler.restore(now_ms, job, &record),
        Err(error) => {
            let key = record_key(job, 0);
            log_event!(error, Event::RowUnreadable, key, reason = %error);
            let fault = RecordFault::Unreadable(error.to_string());
            leadership.scheduler.set_aside(now_ms, job, fault);
        }
    }
    let ended = leadership
        .scheduler
        .flow(job)
        .and_then(flow::FlowState::end);
    if let Some(FlowPhase::Completed | FlowPhase::Failed) = ended {
        // The end was recorded, but the rows of the flow were not collected. Writing the record
        // once more completes this.
        leadership.scheduler.request_rewrite(job);
    }
}
