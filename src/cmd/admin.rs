//! Admin calls to an entry.

use awc::http::StatusCode;
use awc::{Client, ClientRequest, SendClientRequest};
use clap::ArgMatches;
use errors::ExitStatus;
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;

/// Time for one admin call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// What an admin call gave.
pub type Answer = Result<Value, ExitStatus>;

/// A connection to the admin interface of an entry.
pub struct Admin {
    /// Base address.
    url: String,
    /// Admin token.
    token: String,
    /// HTTP client of this thread.
    client: Client,
}

impl Admin {
    /// The entry that the arguments name.
    pub fn new(args: &ArgMatches) -> Self {
        let text = |name| args.get_one::<String>(name).cloned().unwrap_or_default();
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        Self {
            url: text("admin").trim_end_matches('/').to_owned(),
            token: text("token"),
            client,
        }
    }

    fn authorized(&self, request: ClientRequest) -> ClientRequest {
        request.insert_header(("authorization", format!("Bearer {}", self.token)))
    }

    /// Reads a resource.
    pub async fn get(&self, path: &str) -> Answer {
        let request = self.client.get(format!("{}{path}", self.url));
        self.finish(self.authorized(request).send()).await
    }

    /// Sends a document.
    pub async fn post(&self, path: &str, body: &Value) -> Answer {
        let request = self.client.post(format!("{}{path}", self.url));
        self.finish(self.authorized(request).send_json(body)).await
    }

    /// Deletes a resource.
    pub async fn delete(&self, path: &str) -> Answer {
        let request = self.client.delete(format!("{}{path}", self.url));
        self.finish(self.authorized(request).send()).await
    }

    async fn finish(&self, sent: SendClientRequest) -> Answer {
        let mut answer = sent.await.map_err(|error| {
            eprintln!("no answer from {}: {error}", self.url);
            eprintln!("check --admin; sending the same again is safe");
            ExitStatus::Unreachable
        })?;
        let status = answer.status();
        let body = answer.body().await.unwrap_or_default();
        let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if status.is_success() {
            return Ok(value);
        }
        print_refusal(status, &value);
        Err(refusal_status(status))
    }
}

fn refusal_status(status: StatusCode) -> ExitStatus {
    if status.is_server_error() {
        ExitStatus::Unreachable
    } else {
        ExitStatus::Refused
    }
}

fn print_refusal(status: StatusCode, body: &Value) {
    let text = |name| body.get(name).and_then(Value::as_str).unwrap_or_default();
    eprintln!(
        "refused ({status}, {}): {}",
        text("verdict"),
        text("message")
    );
    if let Some(conflict) = body.get("conflict") {
        eprintln!(
            "{}",
            serde_json::to_string_pretty(conflict).unwrap_or_default()
        );
    }
    if status == StatusCode::UNAUTHORIZED {
        eprintln!("give the token with --token or PARSLEYTHREAD_TOKEN");
    }
}

/// Reads the document that the arguments name.
pub fn read_document(args: &ArgMatches) -> Answer {
    let path: &PathBuf = args.get_one("file").ok_or(ExitStatus::BadSettings)?;
    let text = std::fs::read_to_string(path).map_err(|error| {
        eprintln!("{}: can't be read: {error}", path.display());
        ExitStatus::BadSettings
    })?;
    parse_to_serde_value(&text, &ParseOptions::default()).map_err(|error| {
        eprintln!(
            "{}:{}: {}",
            path.display(),
            error.line_display(),
            error.kind()
        );
        ExitStatus::BadSettings
    })
}

/// Runs admin calls on a runtime of their own.
pub fn block_on(calls: impl Future<Output = Result<(), ExitStatus>>) -> ExitStatus {
    match actix_rt::System::new().block_on(calls) {
        Ok(()) => ExitStatus::Success,
        Err(status) => status,
    }
}

/// Prints a document.
pub fn print_json(value: &Value) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
