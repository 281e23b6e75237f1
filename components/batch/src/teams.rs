//! What teams use of their quotas.

use model::{Resources, TeamName};
use utils::Map;

/// What the running tasks of each team hold.
#[derive(Debug, Default)]
pub struct TeamUsage {
    /// Usage by team.
    by_team: Map<TeamName, Resources>,
}

impl TeamUsage {
    /// What a team's running tasks hold.
    ///
    /// ```
    /// let usage = batch::TeamUsage::default();
    /// assert_eq!(usage.of(&"t".into()), model::Resources::default());
    /// ```
    pub fn of(&self, team: &TeamName) -> Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }

    /// Counts a placed task.
    pub fn add(&mut self, team: &TeamName, need: &Resources) {
        let usage = self.by_team.entry(team.clone()).or_default();
        *usage = usage.plus(need);
    }

    /// Counts a task that holds nothing any more.
    pub fn remove(&mut self, team: &TeamName, need: &Resources) {
        if let Some(usage) = self.by_team.get_mut(team) {
            *usage = usage.minus(need);
        }
    }
}
