//! Numbered change tickets.

use crate::{Config, ServiceName, ServiceSpec, TeamName, TeamSpec};
use garde::Validate;
use serde::{Deserialize, Serialize};

/// Longest name of a service, team or job key, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Most objects that one ticket may touch, so that it fits one transaction of the table.
const MAX_OBJECTS: usize = 90;

/// One change of the configuration, with the whole new state of what it touches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number, one above the newest accepted ticket.
    #[garde(range(min = 1))]
    pub number: u64,
    /// Operator who wrote the ticket.
    #[garde(length(min = 1, max = 128))]
    pub author: String,
    /// Reason, for later readers.
    #[serde(default)]
    #[garde(length(max = 2_000))]
    pub reason: String,
    /// Services with their whole new state.
    #[serde(default)]
    #[garde(dive)]
    pub services: Vec<ServiceSpec>,
    /// Teams with their whole new state.
    #[serde(default)]
    #[garde(dive)]
    pub teams: Vec<TeamSpec>,
    /// Services to remove.
    #[serde(default)]
    #[garde(skip)]
    pub remove_services: Vec<ServiceName>,
    /// Teams to remove.
    #[serde(default)]
    #[garde(skip)]
    pub remove_teams: Vec<TeamName>,
}

/// Why a ticket can't be accepted on the configuration it would change.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// A field is out of range.
    #[error("{0}")]
    Invalid(String),
    /// More objects than one transaction holds.
    #[error("the ticket touches {0} objects and may touch at most {MAX_OBJECTS}; split it")]
    TooManyObjects(usize),
    /// The same name stands twice, or is both set and removed.
    #[error("{0} is named twice")]
    DuplicateName(String),
    /// A service would belong to no team.
    #[error("service {service} names team {team}, which the ticket leaves undefined")]
    UnknownTeam {
        /// The service.
        service: ServiceName,
        /// The missing team.
        team: TeamName,
    },
}

impl Ticket {
    /// Checks the ticket by itself and against the configuration that it would change.
    ///
    /// # Errors
    /// The first fault found.
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

    /// Sorted names of everything that the ticket sets or removes.
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

/// Checks that a name can stand in a path, a key and a log line.
pub(crate) fn is_name<T: ToString>(name: &T, _context: &()) -> garde::Result {
    let text = name.to_string();
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_');
    if fits && plain {
        return Ok(());
    }
    Err(garde::Error::new(format!(
        "a name has 1 to {MAX_NAME_BYTES} letters, digits, '-' or '_', not {text:?}"
    )))
}
