//! Validation and acceptance of tickets.

use crate::load::{HeadRow, load, read_head, read_ticket};
use crate::rows::{HEAD, Head, SERVICES, TEAMS, encode, ticket_key};
use crate::{Conflict, Refusal};
use backing::{StoreError, TableStore, Transaction};
use model::{Config, Ticket};

/// Most attempts to accept one ticket. A further one is needed after another ticket was accepted
/// first, or after an answer of the table was lost.
const MAX_ATTEMPTS: usize = 8;

/// Accepts a ticket. This is idempotent: a ticket that is already accepted succeeds again without
/// any change.
///
/// # Errors
/// [`Refusal::Invalid`] and [`Refusal::Conflict`] if the ticket is refused; it has changed nothing.
/// [`Refusal::Store`] if the table can't be reached or other tickets are accepted first each time.
/// After a lost answer, a failure to read the head or to commit is reported as that lost answer,
/// because the ticket may have been accepted.
pub async fn accept(table: &dyn TableStore, ticket: &Ticket) -> Result<(), Refusal> {
    let mut lost_answer = None;
    for _ in 0..MAX_ATTEMPTS {
        let head = match read_head(table).await {
            Ok(head) => head,
            Err(error) => return Err(lost_answer.unwrap_or(error).into()),
        };
        if head.head.number >= ticket.number {
            return compare_with_accepted(table, ticket, head.head.number).await;
        }
        let config = load(table).await?;
        if config.number != head.head.number {
            continue;
        }
        check_next(ticket, &config)?;
        match table.commit(&transaction(ticket, &head)).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { .. }) => {}
            Err(error @ StoreError::Unknown(_)) => lost_answer = Some(error),
            Err(error) => return Err(lost_answer.unwrap_or(error).into()),
        }
    }
    let busy = StoreError::Unavailable("other tickets kept winning; send it again".to_owned());
    Err(lost_answer.unwrap_or(busy).into())
}

/// Checks that a ticket has the next free number and is valid for this configuration.
fn check_next(ticket: &Ticket, config: &Config) -> Result<(), Refusal> {
    if ticket.number == config.number + 1 {
        return Ok(ticket.check(config)?);
    }
    let next = config.number + 1;
    Err(Refusal::Conflict(Box::new(Conflict {
        number: ticket.number,
        head: config.number,
        held_by: None,
        differences: Vec::new(),
        advice: format!("the next free number is {next}; check what changed and use that"),
    })))
}

/// Builds the transaction that accepts a ticket, on condition that the head has not changed and the
/// number is free.
fn transaction(ticket: &Ticket, head: &HeadRow) -> Transaction {
    let mut txn = Transaction::default()
        .require(HEAD, head.version)
        .require(ticket_key(ticket.number), None)
        .put(
            HEAD,
            encode(&Head {
                number: ticket.number,
            }),
        )
        .put(ticket_key(ticket.number), encode(ticket));
    for service in &ticket.services {
        txn = txn.put(format!("{SERVICES}{}", service.name), encode(service));
    }
    for team in &ticket.teams {
        txn = txn.put(format!("{TEAMS}{}", team.name), encode(team));
    }
    for name in &ticket.remove_services {
        txn = txn.delete(format!("{SERVICES}{name}"));
    }
    for name in &ticket.remove_teams {
        txn = txn.delete(format!("{TEAMS}{name}"));
    }
    txn
}

/// Decides on a ticket whose number is not above the head: success if the accepted ticket is the
/// same, else a conflict.
async fn compare_with_accepted(
    table: &dyn TableStore,
    ticket: &Ticket,
    head: u64,
) -> Result<(), Refusal> {
    let accepted = read_ticket(table, ticket.number).await?;
    let holder = match accepted {
        Some(accepted) if accepted == *ticket => return Ok(()),
        other => other,
    };
    let differences = holder
        .as_ref()
        .map(|other| differences(other, ticket))
        .unwrap_or_default();
    Err(Refusal::Conflict(Box::new(Conflict {
        number: ticket.number,
        head,
        held_by: holder.map(|other| other.author),
        differences,
        advice: format!(
            "the next free number is {}; check what changed and use that",
            head + 1
        ),
    })))
}

/// Describes what two tickets with the same number set differently, one line per difference.
fn differences(accepted: &Ticket, refused: &Ticket) -> Vec<String> {
    let mut lines = Vec::new();
    if accepted.author != refused.author {
        lines.push(format!(
            "author: accepted {}, refused {}",
            accepted.author, refused.author
        ));
    }
    if accepted.reason != refused.reason {
        lines.push("reason".to_owned());
    }
    let (refused_names, accepted_names) = (refused.affected_names(), accepted.affected_names());
    lines.extend(
        accepted_names
            .iter()
            .filter(|name| !refused_names.contains(name))
            .map(|name| format!("only the accepted one touches {name}")),
    );
    lines.extend(
        refused_names
            .iter()
            .filter(|name| !accepted_names.contains(name))
            .map(|name| format!("only the refused one touches {name}")),
    );
    for name in refused_names
        .iter()
        .filter(|name| accepted_names.contains(name))
    {
        if spec_of(accepted, name) != spec_of(refused, name) {
            lines.push(format!("{name} is set differently"));
        }
    }
    lines
}

/// The specification that a ticket sets for one affected object, as JSON; empty if the ticket
/// removes the object.
fn spec_of(ticket: &Ticket, affected_name: &str) -> String {
    let service = ticket
        .services
        .iter()
        .find(|spec| affected_name == format!("service {}", spec.name));
    let team = ticket
        .teams
        .iter()
        .find(|spec| affected_name == format!("team {}", spec.name));
    service
        .map(encode)
        .or_else(|| team.map(encode))
        .unwrap_or_default()
}
