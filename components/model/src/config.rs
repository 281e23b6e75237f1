//! The configuration of services and teams.

use crate::{ServiceName, ServiceSpec, TeamName, TeamSpec, Ticket};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Configuration that results from all change tickets up to and including `number`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the newest applied ticket; 0 before the first.
    pub number: u64,
    /// Specifications of all services, by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Specifications of all teams, by name.
    pub teams: BTreeMap<TeamName, TeamSpec>,
}

impl Config {
    /// Applies a ticket if its number is the next one; otherwise returns `false` and changes
    /// nothing.
    ///
    /// ```
    /// use model::{Config, Ticket};
    /// let mut config = Config::default();
    /// let ticket: Ticket = serde_json::from_str(r#"{"number": 1, "author": "ann"}"#).unwrap();
    /// assert!(config.apply(&ticket));
    /// assert!(!config.apply(&ticket));
    /// assert_eq!(config.number, 1);
    /// ```
    pub fn apply(&mut self, ticket: &Ticket) -> bool {
        if ticket.number != self.number + 1 {
            return false;
        }
        for service in &ticket.services {
            self.services.insert(service.name.clone(), service.clone());
        }
        for team in &ticket.teams {
            self.teams.insert(team.name.clone(), team.clone());
        }
        for name in &ticket.remove_services {
            self.services.remove(name);
        }
        for name in &ticket.remove_teams {
            self.teams.remove(name);
        }
        self.number = ticket.number;
        true
    }

    /// Replaces the configuration with `newer`; returns `false` and changes nothing if that is not
    /// newer.
    ///
    /// ```
    /// let mut config = model::Config::default();
    /// assert!(!config.advance_to(&model::Config::default()));
    /// ```
    pub fn advance_to(&mut self, newer: &Self) -> bool {
        if newer.number <= self.number {
            return false;
        }
        self.clone_from(newer);
        true
    }
}
