//! What only the scheduler keeps, and how an entry becomes and ceases to be it.

use crate::coordinator::Coordinator;
use crate::feed_watch;
use crate::messages::{ClaimDone, InFlight, LeftRows, Loaded};
use crate::node::Node;
use crate::reads::{read_all, read_flows, read_row};
use crate::rows::{FlowKey, LEARNT_KEY, LEASE_KEY, LeaseRow, RECORD_PREFIX};
use actix::{AsyncContext, Context, Handler};
use backing::{Row, StoreError, TableStore, Transaction};
use flow::{FlowEnd, FlowJob, FlowPhase, FlowRecord, FlowRow, LeaseTerms, Pairs, Scheduler};
use model::{AgentId, JobId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{boot_ms, wall_ms};

/// Length of a worker's lease while the table answers, in milliseconds: outlasts a scheduler
/// that stands still for a moment, and returns the work of a VM that is cut off.
const TERM_MS: u64 = 4_000;
/// Distance from the longest lease that a worker grants, in milliseconds.
const LONGEST_MARGIN_MS: u64 = 300;
/// Age of the proof from which leases are made longer, in milliseconds.
const OUTAGE_AFTER_MS: u64 = 900;
/// Pause before what could not be read is read again.
const LOAD_PAUSE: Duration = Duration::from_millis(150);

/// What only the scheduler keeps.
pub(crate) struct Lead {
    /// Epoch of the lease; fencing token of all orders.
    pub epoch: u64,
    /// Version of the lease's row.
    pub version: u64,
    /// Number of the last commit.
    pub sequence: u64,
    /// When the newest commit that took effect was sent: nobody else was the scheduler then.
    pub proof_ms: u64,
    /// Flows and workers.
    pub scheduler: Scheduler,
    /// Whether everything that a former scheduler left was read.
    pub loaded: bool,
    /// When the lease was taken over.
    pub taken_ms: u64,
    /// The commit on its way.
    pub in_flight: Option<InFlight>,
    /// When the last commit was built.
    pub committed_ms: u64,
    /// Agents by name.
    pub nodes: BTreeMap<AgentId, Node>,
    /// When agents were last read.
    pub nodes_read_ms: u64,
    /// Lengths of leases.
    pub terms: LeaseTerms,
    /// Ended flows whose rows are to be tidied.
    pub untidied: VecDeque<(JobId, FlowEnd)>,
    /// Ended flows whose state can still be asked for, oldest first, and since when they are over.
    pub ended: VecDeque<(JobId, u64)>,
    /// Whether tidying is on its way.
    pub tidying: bool,
    /// When rows were last tidied.
    pub tidied_ms: u64,
    /// When what was learnt was last written.
    pub learnt_ms: u64,
    /// Whether a look at what can be placed is planned.
    pub pump_planned: bool,
}

impl Coordinator {
    fn lease_terms(&self) -> LeaseTerms {
        let leases = &self.settings.leases;
        let longest_ms = leases.longest_ms.saturating_sub(LONGEST_MARGIN_MS);
        LeaseTerms {
            term_ms: TERM_MS.min(longest_ms),
            outage_term_ms: longest_ms,
            outage_after_ms: OUTAGE_AFTER_MS,
            slack_ms: leases.slack_ms,
        }
    }

    /// Takes the lease over, if its row is still as it was seen.
    pub(crate) fn claim(&mut self, now_ms: u64, context: &mut Context<Self>) {
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch) + 1;
        let row = self.lease_row(epoch, 0, false);
        let txn = Transaction::default()
            .require(LEASE_KEY, self.election.version)
            .put(LEASE_KEY, encode(&row));
        let before = self.election.row.as_ref().map(|row| row.owner.clone());
        log_event!(info, Event::SchedulerClaimed, epoch, before = ?before, version = ?self.election.version);
        self.claim_waits = true;
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

    pub(crate) fn lease_row(&self, epoch: u64, sequence: u64, released: bool) -> LeaseRow {
        LeaseRow {
            owner: self.me().to_owned(),
            incarnation: self.incarnation,
            control: self.settings.control_listen,
            epoch,
            sequence,
            released,
        }
    }

    /// A claim whose answer was lost has taken effect after all.
    pub(crate) fn adopt_claim(&mut self, asked_ms: u64, context: &mut Context<Self>) {
        let epoch = self.election.row.as_ref().map_or(0, |row| row.epoch);
        let is_fresh = self
            .election
            .row
            .as_ref()
            .is_some_and(|row| row.sequence == 0);
        let Some(version) = self.election.version else {
            return;
        };
        if is_fresh && epoch > self.begun_epoch {
            self.begin(asked_ms, epoch, version, context);
        } else if !self.claim_waits {
            // An earlier term of this process: only a new epoch fences its orders off.
            self.claim(boot_ms(), context);
        }
    }

    /// Becomes the scheduler of an epoch. What was sent in a term carries only its epoch, so that a
    /// process begins each epoch once.
    fn begin(&mut self, proof_ms: u64, epoch: u64, version: u64, context: &mut Context<Self>) {
        let now_ms = boot_ms();
        self.begun_epoch = epoch;
        let mut scheduler = Scheduler::default();
        scheduler.set_config(flow::FlowConfig::clone(&self.config.load()));
        log_event!(info, Event::SchedulerTaken, entry = %self.settings.id, epoch, version);
        self.metrics.is_scheduler.set(1);
        self.metrics.terms.inc();
        self.lead = Some(Lead {
            epoch,
            version,
            sequence: 0,
            proof_ms,
            scheduler,
            loaded: false,
            taken_ms: now_ms,
            in_flight: None,
            committed_ms: now_ms,
            nodes: BTreeMap::new(),
            nodes_read_ms: 0,
            terms: self.lease_terms(),
            untidied: VecDeque::new(),
            ended: VecDeque::new(),
            tidying: false,
            tidied_ms: now_ms,
            learnt_ms: now_ms,
            pump_planned: false,
        });
        self.load(epoch, context);
        self.read_agents(now_ms, context);
        let (feed, table) = (self.feed.clone(), self.table.clone());
        let watch = feed_watch::run(feed, table, context.address(), epoch, version);
        actix_rt::spawn(watch);
    }

    /// Reads what a former scheduler left. Records come before flows: a flow whose record is
    /// already tidied away is then seen as ended.
    fn load(&self, epoch: u64, context: &mut Context<Self>) {
        let (table, control) = (self.table.clone(), context.address());
        actix_rt::spawn(async move {
            let rows = load_rows(table.as_ref()).await;
            control.do_send(Loaded { epoch, rows });
        });
    }

    /// Gives up being the scheduler.
    pub(crate) fn step_down(&mut self, reason: &str, context: &mut Context<Self>) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        log_event!(warn, Event::SchedulerLost, entry = %self.settings.id, epoch = lead.epoch, reason);
        self.metrics.is_scheduler.set(0);
        self.election = crate::election::Election::new(self.settings.processor_share);
        self.read_lease(context);
    }
}

pub(crate) fn encode(row: &impl serde::Serialize) -> String {
    // Rows hold plain data, which always has a JSON form.
    serde_json::to_string(row).unwrap_or_default()
}

async fn load_rows(table: &dyn TableStore) -> Result<LeftRows, StoreError> {
    let learnt = read_row(table, LEARNT_KEY).await?;
    let records = read_all(table, RECORD_PREFIX).await?;
    let flows = read_flows(table).await?;
    Ok(LeftRows {
        learnt,
        records,
        flows,
    })
}

impl Handler<ClaimDone> for Coordinator {
    type Result = ();

    fn handle(&mut self, done: ClaimDone, context: &mut Self::Context) {
        self.claim_waits = false;
        self.store.observe(boot_ms(), &done.result);
        match done.result {
            // The row told of the claim before its answer came.
            Ok(_) if done.epoch <= self.begun_epoch => {}
            Ok(version) => {
                let row = self.lease_row(done.epoch, 0, false);
                let row = Row {
                    key: LEASE_KEY.to_owned(),
                    version,
                    value: encode(&row),
                };
                self.election.observe(boot_ms(), Some(&row));
                self.begin(done.sent_ms, done.epoch, version, context);
            }
            Err(error) => {
                log_event!(info, Event::SchedulerClaimFailed, epoch = done.epoch, reason = %error);
                self.read_lease(context);
            }
        }
    }
}

impl Handler<Loaded> for Coordinator {
    type Result = ();

    fn handle(&mut self, loaded: Loaded, context: &mut Self::Context) {
        let now_ms = boot_ms();
        self.store.observe(now_ms, &loaded.rows);
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch == loaded.epoch) else {
            return;
        };
        if lead.loaded {
            return;
        }
        let LeftRows {
            learnt,
            records,
            flows,
        } = match loaded.rows {
            Ok(rows) => rows,
            Err(error) => {
                log_event!(warn, Event::SchedulerLoadFailed, epoch = lead.epoch, reason = %error);
                context.run_later(LOAD_PAUSE, move |coordinator, context| {
                    coordinator.load(loaded.epoch, context);
                });
                return;
            }
        };
        for row in &flows {
            take_flow_row(lead, now_ms, &row.key, Some(&row.value));
        }
        for row in &records {
            restore(lead, now_ms, row);
        }
        match learnt.map(|row| Pairs::parse(&row.value)) {
            Some(Ok(pairs)) => lead.scheduler.set_learned(pairs),
            Some(Err(error)) => {
                log_event!(error, Event::RowUnreadable, key = LEARNT_KEY, reason = %error);
            }
            None => {}
        }
        let wait_ms = lead.terms.takeover_wait_ms();
        let agents: Vec<AgentId> = lead
            .scheduler
            .workers()
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in agents {
            lead.scheduler.worker_mut(&agent).lease_expired_ms = lead.taken_ms + wait_ms;
        }
        lead.loaded = true;
        log_event!(
            info,
            Event::SchedulerLoaded,
            epoch = lead.epoch,
            flows = lead.scheduler.flows().count(),
            records = records.len(),
            rows = flows.len(),
            after_ms = now_ms.saturating_sub(lead.taken_ms)
        );
        self.poll_all(context);
        self.pump_soon(context);
    }
}

/// Takes in a row of a flow or of a cancellation.
pub(crate) fn take_flow_row(lead: &mut Lead, now_ms: u64, key: &str, value: Option<&str>) {
    let Some(value) = value else {
        return;
    };
    match FlowKey::parse(key) {
        Some(FlowKey::Flow(job)) => match serde_json::from_str::<FlowRow>(value) {
            Ok(FlowRow::Accepted(flow)) => add_flow(lead, now_ms, flow),
            Ok(FlowRow::Ended(end)) => {
                let is_new = lead.scheduler.phase(&job).is_none();
                if is_new {
                    lead.ended.push_back((job.clone(), now_ms));
                }
                lead.scheduler.add_ended(job, end.phase);
            }
            Err(error) => {
                log_event!(error, Event::RowUnreadable, key, reason = %error);
            }
        },
        Some(FlowKey::Cancel(job)) => {
            lead.scheduler.cancel(now_ms, &job);
        }
        None => log_event!(error, Event::RowUnreadable, key, reason = "unknown key"),
    }
}

/// Takes in an accepted flow.
pub(crate) fn add_flow(lead: &mut Lead, now_ms: u64, job: FlowJob) {
    lead.scheduler.add(now_ms, wall_ms(), job);
}

fn restore(lead: &mut Lead, now_ms: u64, row: &Row) {
    let Some(id) = row.key.strip_prefix(RECORD_PREFIX) else {
        return;
    };
    let job = JobId::from(id);
    match serde_json::from_str::<FlowRecord>(&row.value) {
        Ok(record) => lead.scheduler.restore(now_ms, &job, &record),
        Err(error) => log_event!(error, Event::RowUnreadable, key = %row.key, reason = %error),
    }
    let ended = lead.scheduler.flow(&job).and_then(flow::FlowState::end);
    if let Some(FlowPhase::Completed | FlowPhase::Failed) = ended {
        // The end was recorded and not tidied yet: write it once more, so that it is finished.
        lead.scheduler.rewrite(&job);
    }
}
