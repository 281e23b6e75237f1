//! Resource usage of teams, which is compared with their quotas.

use model::{Resources, TeamName};
use utils::Map;

/// Resources of the placed tasks of each team, in the shards that this entry owns.
#[derive(Debug, Default)]
pub struct TeamUsage {
    /// Usage by team; a team without placed tasks may be absent.
    by_team: Map<TeamName, Resources>,
}

impl TeamUsage {
    /// Resources of a team's placed tasks together.
    ///
    /// ```
    /// let usage = batch::TeamUsage::default();
    /// assert_eq!(usage.of(&"t".into()), model::Resources::default());
    /// ```
    pub fn of(&self, team: &TeamName) -> Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// Adds the need of a task that was placed.
    pub fn add(&mut self, team: &TeamName, need: &Resources) {
        let usage = self.by_team.entry(team.clone()).or_default();
        *usage = usage.plus(need);
    }

    /// Subtracts the need of a task that is not placed any more.
    pub fn remove(&mut self, team: &TeamName, need: &Resources) {
        if let Some(usage) = self.by_team.get_mut(team) {
            *usage = usage.minus(need);
        }
    }
}
