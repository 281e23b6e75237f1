//! Teams and their quotas.

use crate::{Resources, TeamName};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// What an operator states of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name, unique among teams.
    #[garde(custom(crate::ticket::is_name))]
    pub name: TeamName,
    /// What the team's running batch tasks may hold together.
    #[garde(skip)]
    pub quota: Resources,
    /// Weight of the team's requests when slots are scarce.
    #[serde(default = "default_weight")]
    #[garde(range(min = 1, max = 1_000))]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
