//! Failed runs of gangs. All members of a run share its number, and several may fail in it.

use crate::{FlowState, StepState, TaskKey};
use std::collections::BTreeMap;

/// Failed runs of a gang.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GangFailures {
    /// Number of runs in which a member failed.
    pub runs: u32,
    /// Number of the newest of them; 0 if there is none.
    pub last_run: u32,
}

/// Failed runs of the gangs of a flow, by occurrence and step; gangs that have not failed are left out.
pub type GangsFailures = BTreeMap<(u32, u32), GangFailures>;

impl GangFailures {
    /// Counts the failure of a member in a run, unless one in this run was counted before.
    ///
    /// ```
    /// let mut failures = flow::GangFailures::default();
    /// failures.count(1);
    /// failures.count(1);
    /// failures.count(2);
    /// assert_eq!(failures.runs, 2);
    /// ```
    pub fn count(&mut self, run: u32) {
        if run > self.last_run {
            self.runs += 1;
            self.last_run = run;
        }
    }

    /// Failed runs of a gang by those of its members, as former versions recorded no others. Failures of
    /// other members in the newest run are taken to be counted, as their ends may not have been applied yet.
    /// `None` if no member has failed.
    fn of_members(step: &StepState) -> Option<Self> {
        let runs = most_failures(step);
        let ended = step.tasks.iter().filter(|task| task.placement.is_none());
        let failed = ended.filter(|task| task.failures > 0);
        let last_run = failed.map(|task| task.run).max().unwrap_or(0);
        (runs > 0).then_some(Self { runs, last_run })
    }
}

/// Most failed runs of any one member of a gang.
fn most_failures(step: &StepState) -> u32 {
    let failures = step.tasks.iter().map(|task| task.failures);
    failures.max().unwrap_or(0)
}

impl FlowState {
    /// Counts a run of a gang in which a member failed.
    pub(crate) fn count_gang_failure(&mut self, key: &TaskKey, run: u32) {
        let gang = self.gang_failures.entry((key.occurrence, key.step));
        gang.or_default().count(run);
    }

    /// Number of failed runs of a member's gang: at least as many as of any one member.
    pub(crate) fn failed_gang_runs(&self, key: &TaskKey) -> u32 {
        let occurrence = self.occurrences.get(key.occurrence as usize);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(key.step as usize));
        let counted = self.gang_failures.get(&(key.occurrence, key.step));
        let runs = counted.map_or(0, |failures| failures.runs);
        runs.max(step.map_or(0, most_failures))
    }

    /// Sets the failed runs of gangs by those of their members.
    pub(crate) fn restore_gang_failures(&mut self) {
        for (number, occurrence) in self.occurrences.iter().enumerate() {
            let steps = self.job.spec.steps.iter().zip(&occurrence.steps);
            let gangs = steps.enumerate().filter(|(_, (spec, _))| spec.gang);
            let failed = gangs.filter_map(|(step, (_, state))| {
                let failures = GangFailures::of_members(state)?;
                Some(((number as u32, step as u32), failures))
            });
            self.gang_failures.extend(failed);
        }
    }

    /// Drops the failed runs of gangs that are done.
    pub(crate) fn drop_gang_failures(&mut self) {
        let occurrences = &self.occurrences;
        self.gang_failures.retain(|(occurrence, step), _| {
            let occurrence = occurrences.get(*occurrence as usize);
            let step = occurrence.and_then(|occurrence| occurrence.steps.get(*step as usize));
            step.is_some_and(|step| !step.is_done())
        });
    }
}
