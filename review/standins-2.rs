//! Runs one case of the review: `stand-2 CASE RECORD`. Ends with status 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With TROUBLE=0 in the environment, nothing is disrupted.

#[path = "standins-2-cases.rs"]
mod cases;
#[path = "standins-2-fleet.rs"]
mod fleet;
#[path = "standins-2-http.rs"]
mod http;
#[path = "standins-2-json.rs"]
mod json;
#[path = "standins-2-proxy.rs"]
mod proxy;
#[path = "standins-2-record.rs"]
mod record;
#[path = "standins-2-store.rs"]
mod store;
#[path = "standins-2-worker.rs"]
mod worker;

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, and how.
    Broken(String),
    /// The case did not come to the point at which the rule is checked.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: stand-2 CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("{path} can't be written");
        std::process::exit(2);
    };
    record.note(&format!("case {name}, trouble: {has_trouble}"));
    let verdict = match name.as_str() {
        "earlier-born" => cases::earlier_born(has_trouble, &record),
        "route-removed" => cases::route_removed(has_trouble, &record),
        "other-writer" => cases::other_writer(has_trouble, &record),
        "gang-failed-once" => cases::gang_failed_once(has_trouble, &record),
        "hot-rack" => cases::hot_rack(has_trouble, &record),
        "silent-connections" => cases::silent_connections(has_trouble, &record),
        "returned-under-its-id" => cases::returned_under_its_id(has_trouble, &record),
        "waiting-after-takeover" => cases::waiting_after_takeover(has_trouble, &record),
        _ => Verdict::NotRun("there is no such case".to_owned()),
    };
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.note(&text);
    println!("{name}: {text}");
    std::process::exit(status);
}
