//! The placed runs of a task: its own, and that of a duplicate while there is one.
//!
//! Each placement has the number of its run. Numbers are never used twice, and the two placements are on
//! different workers, so that either identifies a run. A task without a placement has no duplicate.

use crate::{Placement, TaskState};
use model::AgentId;

/// Placement that was removed from a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Removed {
    /// The only one: nothing of the task is placed any more.
    Only(Placement),
    /// The task's own; that of its duplicate took its place.
    First(Placement),
    /// That of its duplicate.
    Duplicate(Placement),
}

impl Removed {
    /// The placement.
    pub(crate) fn placement(&self) -> &Placement {
        match self {
            Self::Only(placement) | Self::First(placement) | Self::Duplicate(placement) => {
                placement
            }
        }
    }
}

impl TaskState {
    /// The task's placement and that of its duplicate, as far as there are any.
    pub fn placements(&self) -> impl Iterator<Item = &Placement> {
        self.placement.iter().chain(self.duplicate.as_deref())
    }

    fn placements_mut(&mut self) -> impl Iterator<Item = &mut Placement> {
        let duplicate = self.duplicate.as_deref_mut();
        self.placement.iter_mut().chain(duplicate)
    }

    /// Placement of the run with this number; `None` if it is not placed.
    pub(crate) fn placement_of(&self, run: u32) -> Option<&Placement> {
        self.placements().find(|placement| placement.run == run)
    }

    /// Mutable placement of a run; `None` as for [`TaskState::placement_of`].
    pub(crate) fn placement_of_mut(&mut self, run: u32) -> Option<&mut Placement> {
        self.placements_mut().find(|placement| placement.run == run)
    }

    /// Placement on a worker; `None` if no run of the task is placed there.
    pub(crate) fn placement_on(&self, agent: &AgentId) -> Option<&Placement> {
        self.placements()
            .find(|placement| placement.agent == *agent)
    }

    /// Mutable placement on a worker; `None` as for [`TaskState::placement_on`].
    pub(crate) fn placement_on_mut(&mut self, agent: &AgentId) -> Option<&mut Placement> {
        self.placements_mut()
            .find(|placement| placement.agent == *agent)
    }

    /// Notes that the run on a worker has reported a new checkpoint.
    pub(crate) fn note_saved(&mut self, agent: &AgentId, now_ms: u64) {
        if let Some(placement) = self.placement_on_mut(agent) {
            placement.saved_ms = now_ms;
        }
    }

    /// Whether no placed run of the task has made more progress than this, in percent.
    pub(crate) fn is_furthest(&self, percent: u32) -> bool {
        self.placements()
            .all(|placement| placement.percent <= percent)
    }

    /// Adds the placement of the task's newest run: its own, or that of a duplicate if it has one
    /// already.
    pub(crate) fn place(&mut self, placement: Placement) {
        debug_assert!(self.duplicate.is_none() && self.placement_on(&placement.agent).is_none());
        match self.placement {
            None => self.placement = Some(placement),
            Some(_) => self.duplicate = Some(Box::new(placement)),
        }
    }

    /// Removes the placement of a run that has ended or can't start any more. If the task has a
    /// duplicate, the run that is left becomes its only one. `None` if the run is not placed.
    pub(crate) fn remove_placement(&mut self, run: u32) -> Option<Removed> {
        let is_first = self.placement.as_ref()?.run == run;
        let duplicate = self.duplicate.take();
        match duplicate {
            None if is_first => self.placement.take().map(Removed::Only),
            Some(duplicate) if is_first => self.placement.replace(*duplicate).map(Removed::First),
            Some(duplicate) if duplicate.run == run => Some(Removed::Duplicate(*duplicate)),
            other => {
                self.duplicate = other;
                None
            }
        }
    }
}
