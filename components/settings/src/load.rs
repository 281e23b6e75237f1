//! Reads and validates a settings file.

use crate::locate::line_of;
use crate::{
    AgentSettings, EntrySettings, FieldError, FlowAgentSettings, FlowEntrySettings, SettingsErrors,
};
use garde::Validate;
use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;

/// Upper bound on the decoding errors reported for one file.
const MAX_ERRORS: usize = 50;

/// Settings of one process, by the `role` field of its file.
#[derive(Debug, Clone)]
pub enum Settings {
    /// Role `entry`: routes requests and schedules batch jobs.
    Entry(Box<EntrySettings>),
    /// Role `agent`: runs on a backend server VM.
    Agent(Box<AgentSettings>),
    /// Role `flow-entry`: accepts and schedules flows.
    FlowEntry(Box<FlowEntrySettings>),
    /// Role `flow-agent`: runs beside a worker of flows.
    FlowAgent(Box<FlowAgentSettings>),
}

/// Reads and validates the settings file at `path`.
///
/// # Errors
/// Returns every error found in the file, each with line and field, or that it can't be read.
pub fn load(path: &Path) -> Result<Settings, SettingsErrors> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => Err(single_error(
            &file,
            1,
            "(file)",
            &format!("can't be read: {error}"),
        )),
    }
}

/// Validates the settings in `text`; `file` is only used in error messages.
///
/// # Errors
/// Returns every error found, each with line and field.
///
/// ```
/// let errors = settings::parse("x.json", "{\n  \"role\": \"cook\"\n}").unwrap_err();
/// assert_eq!(errors.to_string(), "x.json:2: role: must be \"entry\", \"agent\", \"flow-entry\" or \"flow-agent\", not \"cook\"");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).map_err(
        |error| {
            single_error(
                file,
                error.line_display(),
                "(syntax)",
                &error.kind().to_string(),
            )
        },
    )?;
    let root = parsed.value;
    let mut value: Value =
        parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
            single_error(
                file,
                error.line_display(),
                "(syntax)",
                &error.kind().to_string(),
            )
        })?;
    let role = value
        .as_object_mut()
        .and_then(|object| object.remove("role"));
    let document = Document {
        file,
        text,
        root: root.as_ref(),
    };
    match role.as_ref().and_then(Value::as_str) {
        Some("entry") => document
            .decode_and_validate(value)
            .map(|entry| Settings::Entry(Box::new(entry))),
        Some("agent") => document
            .decode_and_validate(value)
            .map(|agent| Settings::Agent(Box::new(agent))),
        Some("flow-entry") => document
            .decode_and_validate(value)
            .map(|entry| Settings::FlowEntry(Box::new(entry))),
        Some("flow-agent") => document
            .decode_and_validate(value)
            .map(|agent| Settings::FlowAgent(Box::new(agent))),
        _ => {
            let given = role.map_or("nothing".to_owned(), |role| role.to_string());
            let message = format!(
                "must be \"entry\", \"agent\", \"flow-entry\" or \"flow-agent\", not {given}"
            );
            Err(single_error(
                file,
                line_of(text, root.as_ref(), "role"),
                "role",
                &message,
            ))
        }
    }
}

fn single_error(file: &str, line: usize, field: &str, message: &str) -> SettingsErrors {
    let error = FieldError {
        line,
        field: field.to_owned(),
        message: message.to_owned(),
    };
    SettingsErrors {
        file: file.to_owned(),
        errors: vec![error],
    }
}

/// A parsed file, used to find the lines of errors.
struct Document<'a> {
    /// Name of the file in error messages.
    file: &'a str,
    /// Text of the file.
    text: &'a str,
    /// Syntax tree of the file; `None` if it holds no value.
    root: Option<&'a ast::Value<'a>>,
}

impl Document<'_> {
    fn decode_and_validate<T: DeserializeOwned + Validate<Context = ()>>(
        &self,
        value: Value,
    ) -> Result<T, SettingsErrors> {
        let mut errors = Vec::new();
        let settings: Option<T> = self.decode_collecting_errors(value, &mut errors);
        if let Some(Err(report)) = settings.as_ref().map(Validate::validate) {
            let found = report.iter();
            errors.extend(
                found.map(|(path, error)| self.error_at(&path.to_string(), error.message())),
            );
        }
        errors.sort_by_key(|error| error.line);
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors {
                file: self.file.to_owned(),
                errors,
            }),
        }
    }

    /// Decodes `value`. Each field with an error is removed before the next try, so that all errors
    /// are found. Returns `None` if no complete settings can be decoded.
    fn decode_collecting_errors<T: DeserializeOwned>(
        &self,
        mut value: Value,
        errors: &mut Vec<FieldError>,
    ) -> Option<T> {
        while errors.len() < MAX_ERRORS {
            let error = match serde_path_to_error::deserialize(&value) {
                Ok(decoded) => return Some(decoded),
                Err(error) => error,
            };
            let path = error.path().to_string();
            let message = error.inner().to_string();
            // A required field that was removed after an error is reported as missing next.
            let is_removed_field = message.starts_with("missing field")
                && errors
                    .iter()
                    .any(|error| message.contains(&format!("`{}`", last_segment(&error.field))));
            if is_removed_field {
                return None;
            }
            errors.push(self.error_at(&path, &message));
            if !remove_field(&mut value, &path) {
                return None;
            }
        }
        None
    }

    fn error_at(&self, path: &str, message: &str) -> FieldError {
        FieldError {
            line: line_of(self.text, self.root, path),
            field: path.to_owned(),
            message: message.to_owned(),
        }
    }
}

fn last_segment(path: &str) -> &str {
    path.rsplit('.').next().unwrap_or(path)
}

fn remove_field(value: &mut Value, path: &str) -> bool {
    let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
    let parent = parent.split('.').filter(|part| !part.is_empty());
    let target = parent
        .into_iter()
        .try_fold(value, |value, part| value.get_mut(part));
    let object = target.and_then(Value::as_object_mut);
    object.is_some_and(|object| object.remove(name).is_some())
}
