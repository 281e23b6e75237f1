//! Validation of settings files, of the example files, and of the operators' page on settings.

use settings::{Settings, load, parse};
use std::path::Path;

/// Entry settings with an error of each kind: wrong types, unknown names and values out of range.
const ENTRY: &str = r#"{
  // An entry with faults.
  "role": "entry",
  "id": "e1",
  "domain": "a",
  "listen": "nowhere",
  "admin_listen": "127.0.0.1:1",
  "control_listen": "127.0.0.1:2",
  "admin_token": "short",
  "colour": "green",
  "threads": 0,
  "platform": { "url": "ftp://x", "timeout_ms": "soon" },
  "routing": { "policy": "astrology", "max_tries": 99 },
}"#;

/// Guards against reports that stop at the first error or point to the wrong line. Decoding errors
/// hide range errors, so the decoding errors are repaired before the second report.
#[test]
fn every_fault_is_named_with_its_line() {
    let faults = parse("entry.json", ENTRY).expect_err("there are faults");
    insta::assert_snapshot!(faults);
    let repaired = ENTRY
        .replace("\"nowhere\"", "\"127.0.0.1:3\"")
        .replace("  \"colour\": \"green\",\n", "");
    let repaired = repaired
        .replace("\"soon\"", "5")
        .replace("astrology", "random");
    insta::assert_snapshot!(parse("entry.json", &repaired).expect_err("ranges are wrong"));
    insta::assert_snapshot!(
        parse("x.json", "{\n \"role\": \"agent\",\n \"id\" \n}").expect_err("no JSON")
    );
}

/// Guards against example files that a change of the settings has made invalid.
#[test]
fn the_examples_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for user in ["dunmore", "lantern"] {
        let entry = load(&root.join(user).join("entry.json"));
        assert!(matches!(entry, Ok(Settings::Entry(_))), "{entry:?}");
        let agent = load(&root.join(user).join("agent.json"));
        assert!(matches!(agent, Ok(Settings::Agent(_))), "{agent:?}");
    }
}

/// Appends the dotted paths of all settings in a serialized example to `all`.
fn collect_setting_paths(value: &serde_json::Value, prefix: &str, all: &mut Vec<String>) {
    for (name, value) in value.as_object().into_iter().flatten() {
        let path = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        match value {
            serde_json::Value::Object(_) => collect_setting_paths(value, &path, all),
            _ => all.push(path),
        }
    }
}

/// Guards against a setting that is added, renamed or removed without its row in SETTINGS.md.
#[test]
fn the_settings_page_describes_exactly_the_known_settings() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/operators/SETTINGS.md")).expect("the page");
    let mut all = Vec::new();
    for role in ["entry", "agent", "flow-entry", "flow-agent"] {
        let file = root.join(format!("examples/dunmore/{role}.json"));
        let value = match load(&file).expect("the example is good") {
            Settings::Entry(settings) => serde_json::to_value(*settings),
            Settings::Agent(settings) => serde_json::to_value(*settings),
            Settings::FlowEntry(settings) => serde_json::to_value(*settings),
            Settings::FlowAgent(settings) => serde_json::to_value(*settings),
        };
        collect_setting_paths(&value.expect("settings are JSON"), "", &mut all);
    }
    all.sort();
    all.dedup();
    let described: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect();
    for name in &all {
        assert!(
            described.contains(&name.as_str()),
            "{name} is not described"
        );
    }
    for name in described {
        assert!(
            all.iter().any(|known| known == name),
            "{name} is described and not known"
        );
    }
}

/// Guards against weights that the scheduler does not apply as they are written, and against a section that is
/// on without being stated.
#[test]
fn weights_of_queues_are_checked() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let file = root.join("dunmore/flow-entry.json");
    let text = std::fs::read_to_string(file).expect("the example");
    let parse_with = |policies: &str| {
        let changed = text.replacen('{', &format!("{{ \"policies\": {policies},"), 1);
        parse("flow-entry.json", &changed)
    };
    let shares = |policies: &str| match parse_with(policies) {
        Ok(Settings::FlowEntry(settings)) => settings.policies.fair_shares.clone(),
        other => panic!("{policies}: {other:?}"),
    };
    assert_eq!(shares("{}"), None);
    assert_eq!(shares(r#"{ "fair_shares": {} }"#), Some(Default::default()));
    let weighted = shares(r#"{ "fair_shares": { "weights": { "a.example/q/": 2.0 } } }"#);
    assert_eq!(weighted.unwrap().weights["a.example/q/"], 2.0);
    for weight in ["0", "-1", "0.001", "1000", "\"two\""] {
        let policies = format!(r#"{{ "fair_shares": {{ "weights": {{ "q": {weight} }} }} }}"#);
        assert!(parse_with(&policies).is_err(), "{weight}");
    }
    assert!(parse_with(r#"{ "fair_shares": { "weight": {} } }"#).is_err());
}
