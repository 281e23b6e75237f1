//! The configuration in force.

use crate::{ServiceName, ServiceSpec, TeamName, TeamSpec, Ticket};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Everything that change tickets have set, up to and including `number`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the newest ticket in force; 0 before the first.
    pub number: u64,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamSpec>,
}

impl Config {
    /// Puts a ticket in force if it is the next one; answers whether it was.
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

    /// Takes over a newer configuration whole; an older one is ignored.
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
