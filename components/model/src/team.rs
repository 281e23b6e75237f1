//! Teams and their quotas.

use crate::{Resources, TeamName};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// Specification of a team, as an operator writes it in a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name of the team, unique among teams.
    #[garde(custom(crate::ticket::is_name))]
    pub name: TeamName,
    /// Resources that all running batch tasks of the team may use together.
    #[garde(skip)]
    pub quota: Resources,
    /// Weight of the team's share when requests compete for slots.
    #[serde(default = "default_weight")]
    #[garde(range(min = 1, max = 1_000))]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
