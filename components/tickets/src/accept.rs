//! Acceptance of a ticket.

use crate::load::{HeadRow, load, read_head, read_ticket};
use crate::rows::{HEAD, Head, SERVICES, TEAMS, encode, is_same, ticket_key};
use crate::{Conflict, Refusal};
use backing::{StoreError, TableStore, Transaction};
use model::{Config, Ticket};

/// Tries of one acceptance, each after another ticket won or an answer was lost.
const MAX_TRIES: usize = 8;

/// Accepts a ticket, or says why not. The same ticket again is accepted again and changes
/// nothing; a refused ticket changes nothing.
///
/// # Errors
/// The ticket is wrong or in conflict, or the table can't be reached.
pub async fn accept(table: &dyn TableStore, ticket: &Ticket) -> Result<(), Refusal> {
    let mut lost_answer = None;
    for _ in 0..MAX_TRIES {
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

async fn compare_with_accepted(
    table: &dyn TableStore,
    ticket: &Ticket,
    head: u64,
) -> Result<(), Refusal> {
    let accepted = read_ticket(table, ticket.number).await?;
    let holder = match accepted {
        Some(accepted) if is_same(&accepted, ticket) => return Ok(()),
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
    let (ours, theirs) = (refused.affected_names(), accepted.affected_names());
    lines.extend(
        theirs
            .iter()
            .filter(|name| !ours.contains(name))
            .map(|name| format!("only the accepted one touches {name}")),
    );
    lines.extend(
        ours.iter()
            .filter(|name| !theirs.contains(name))
            .map(|name| format!("only the refused one touches {name}")),
    );
    for name in ours.iter().filter(|name| theirs.contains(name)) {
        if state_of(accepted, name) != state_of(refused, name) {
            lines.push(format!("{name} is set differently"));
        }
    }
    lines
}

/// The state that a ticket sets for one touched object, as text; empty for a removal.
fn state_of(ticket: &Ticket, touched: &str) -> String {
    let service = ticket
        .services
        .iter()
        .find(|spec| touched == format!("service {}", spec.name));
    let team = ticket
        .teams
        .iter()
        .find(|spec| touched == format!("team {}", spec.name));
    service
        .map(encode)
        .or_else(|| team.map(encode))
        .unwrap_or_default()
}
