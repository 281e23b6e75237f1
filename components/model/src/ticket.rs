//! Numbered tickets that change the configuration.

use crate::{Config, ServiceName, ServiceSpec, TeamName, TeamSpec};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// Longest name of a service, team or job key, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Most objects that one ticket may change, so that it fits into one transaction of the table.
const MAX_OBJECTS: usize = 90;

/// One change of the configuration, with the whole new state of each object that it sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number of the ticket, one above the newest accepted one.
    #[garde(range(min = 1))]
    pub number: u64,
    /// Operator who wrote the ticket.
    #[garde(length(min = 1, max = 128))]
    pub author: String,
    /// Reason for the change, for later readers; may be empty.
    #[serde(default)]
    #[garde(length(max = 2_000))]
    pub reason: String,
    /// Services to add or replace.
    #[serde(default)]
    #[garde(dive)]
    pub services: Vec<ServiceSpec>,
    /// Teams to add or replace.
    #[serde(default)]
    #[garde(dive)]
    pub teams: Vec<TeamSpec>,
    /// Names of services to remove.
    #[serde(default)]
    #[garde(skip)]
    pub remove_services: Vec<ServiceName>,
    /// Names of teams to remove.
    #[serde(default)]
    #[garde(skip)]
    pub remove_teams: Vec<TeamName>,
}

/// Why a ticket can't be applied to the current configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// A field is out of its range; holds the field and the range.
    #[error("{0}")]
    Invalid(String),
    /// The ticket changes more objects than fit into one transaction; holds their number.
    #[error("the ticket touches {0} objects and may touch at most {MAX_OBJECTS}; split it")]
    TooManyObjects(usize),
    /// The ticket names the same object twice, or both sets and removes it.
    #[error("{0} is named twice")]
    DuplicateName(String),
    /// A service would refer to a team that doesn't exist after the change.
    #[error("service {service} names team {team}, which the ticket leaves undefined")]
    UnknownTeam {
        /// Service that refers to the team.
        service: ServiceName,
        /// Team that would not exist.
        team: TeamName,
    },
}

impl Ticket {
    /// Checks the ticket by itself and against the configuration that it would change.
    ///
    /// # Errors
    /// The first violation that is found.
    ///
    /// ```
    /// use model::{Config, Ticket};
    /// let ticket: Ticket = serde_json::from_str(r#"{"number": 1, "author": ""}"#).unwrap();
    /// assert!(ticket.check(&Config::default()).is_err());
    /// ```
    pub fn check(&self, config: &Config) -> Result<(), TicketError> {
        self.validate()
            .map_err(|report| TicketError::Invalid(report.to_string().trim().to_owned()))?;
        let names = self.affected_names();
        if names.len() > MAX_OBJECTS {
            return Err(TicketError::TooManyObjects(names.len()));
        }
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(TicketError::DuplicateName(pair[0].clone()));
        }
        let mut after = config.clone();
        after.number = self.number - 1;
        after.apply(self);
        match after
            .services
            .values()
            .find(|service| !after.teams.contains_key(&service.team))
        {
            None => Ok(()),
            Some(service) => Err(TicketError::UnknownTeam {
                service: service.name.clone(),
                team: service.team.clone(),
            }),
        }
    }

    /// Sorted names of all objects that the ticket sets or removes, each with its type in front.
    ///
    /// ```
    /// let ticket: model::Ticket =
    ///     serde_json::from_str(r#"{"number": 1, "author": "ann", "remove_teams": ["x"]}"#).unwrap();
    /// assert_eq!(ticket.affected_names(), ["team x"]);
    /// ```
    pub fn affected_names(&self) -> Vec<String> {
        let services = self
            .services
            .iter()
            .map(|service| &service.name)
            .chain(&self.remove_services);
        let teams = self
            .teams
            .iter()
            .map(|team| &team.name)
            .chain(&self.remove_teams);
        let mut names: Vec<String> = services.map(|name| format!("service {name}")).collect();
        names.extend(teams.map(|name| format!("team {name}")));
        names.sort();
        names
    }
}

/// Checks that a name is safe in a URL path, a table key and a log line.
pub(crate) fn is_name<T: ToString>(name: &T, _context: &()) -> garde::Result {
    let text = name.to_string();
    let has_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let has_valid_chars = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_');
    if has_valid_length && has_valid_chars {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "a name has 1 to {MAX_NAME_BYTES} letters, digits, '-' or '_', not {text:?}"
    )))
}
