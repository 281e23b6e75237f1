//! Compares the events with their catalogue. Operators look a log line up by number and name, so a
//! missing, outdated or reused entry would mislead them.

use std::collections::HashSet;
use strum::IntoEnumIterator;
use telemetry::Event;

#[test]
fn the_catalogue_lists_exactly_the_known_events() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).expect("the catalogue");
    let rows: HashSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains('`'))
        .map(|line| {
            line.split('|')
                .take(3)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
                .trim()
                .to_owned()
        })
        .collect();
    let events: HashSet<String> = Event::iter()
        .map(|event| format!("{} `{}`", event.number(), event.name()))
        .collect();
    assert_eq!(rows, events);
    let numbers: HashSet<u16> = Event::iter().map(Event::number).collect();
    assert_eq!(numbers.len(), events.len(), "numbers are unique");
}
