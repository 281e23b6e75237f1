//! Acceptance of tickets under lost answers and racing operators.

use model::{Config, Ticket};
use proptest::prelude::*;
use standin::{MemoryTable, ScriptedOutcome};
use tickets::{Refusal, accept, catch_up, load};

fn ticket(number: u64, author: u32, team: u32) -> Ticket {
    let text = serde_json::json!({
        "number": number, "author": format!("operator{author}"),
        "teams": [{ "name": format!("team{team}"), "quota": { "processors_milli": author, "memory_mb": 1 } }],
    });
    serde_json::from_value(text).expect("a ticket")
}

fn any_outcome() -> impl Strategy<Value = ScriptedOutcome> {
    prop_oneof![
        4 => Just(ScriptedOutcome::Answered),
        3 => Just(ScriptedOutcome::AnswerLost),
        1 => Just(ScriptedOutcome::Lost),
        1 => Just(ScriptedOutcome::Refused),
    ]
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    /// Guards against two tickets with one number, against conflicts that don't name the accepted
    /// ticket, and against nodes whose configuration moves back or differs from the table.
    /// Operators race for the same numbers while the table refuses commits or loses them or their
    /// answers.
    #[test]
    fn each_number_has_one_ticket_for_ever(
        outcomes in prop::collection::vec(any_outcome(), 0..40),
        sent in prop::collection::vec((1..6_u64, 0..4_u32, 0..3_u32), 1..40),
    ) {
        block_on(async {
            let table = MemoryTable::with_outcomes(outcomes);
            let mut accepted: Vec<Ticket> = Vec::new();
            let mut follower = Config::default();
            for (number, author, team) in sent {
                let ticket = ticket(number, author, team);
                let outcome = accept(&table, &ticket).await;
                let winner = accepted.iter().find(|winner| winner.number == number);
                match (&outcome, winner) {
                    (Ok(()), Some(winner)) => assert_eq!(winner, &ticket, "a number never changes"),
                    (Ok(()), None) => accepted.push(ticket.clone()),
                    (Err(Refusal::Conflict(conflict)), Some(winner)) => {
                        assert_ne!(winner, &ticket);
                        assert_eq!(conflict.held_by.as_deref(), Some(winner.author.as_str()));
                        assert!(!conflict.differences.is_empty());
                    }
                    (Err(Refusal::Conflict(_) | Refusal::Store(_)), _) => {}
                    (Err(error), _) => panic!("{error}"),
                }
                let before = follower.number;
                catch_up(&table, &mut follower).await.expect("reads are answered");
                assert!(follower.number >= before, "a node only moves forward");
                assert_eq!(follower, load(&table).await.expect("reads are answered"));
            }
        });
    }
}
