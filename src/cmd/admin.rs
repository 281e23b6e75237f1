//! Client of an entry's admin interface, and helpers of the commands that use it.

use awc::http::StatusCode;
use awc::{Client, ClientRequest, SendClientRequest};
use clap::ArgMatches;
use errors::ExitStatus;
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;

/// Timeout of one admin call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// JSON body of a successful answer, or the exit status after the failure was printed.
pub type AdminResult = Result<Value, ExitStatus>;

/// Client of the admin interface of one entry.
pub struct Admin {
    /// Base URL of the admin interface, without a trailing slash.
    url: String,
    /// Bearer token; empty if the arguments give none.
    token: String,
    /// Name of the argument that gives the URL, for messages.
    option: &'static str,
    /// HTTP client, bound to the current thread.
    client: Client,
}

impl Admin {
    /// Creates a client from the arguments `--admin` and `--token`.
    pub fn new(args: &ArgMatches) -> Self {
        let text = |name| args.get_one::<String>(name).cloned().unwrap_or_default();
        Self::at(&text("admin"), "--admin", text("token"))
    }

    /// Creates a client of the monitoring server of a flow entry, which asks for no token.
    pub fn monitoring(url: &str) -> Self {
        Self::at(url, "--monitoring", String::new())
    }

    fn at(url: &str, option: &'static str, token: String) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
            token,
            option,
            client: Client::builder().timeout(CALL_TIMEOUT).finish(),
        }
    }

    fn authorized(&self, request: ClientRequest) -> ClientRequest {
        request.insert_header(("authorization", format!("Bearer {}", self.token)))
    }

    /// Sends a GET request for `path`.
    pub async fn get(&self, path: &str) -> AdminResult {
        let request = self.client.get(format!("{}{path}", self.url));
        self.read_answer(self.authorized(request).send()).await
    }

    /// Sends a POST request to `path` with `body` as JSON.
    pub async fn post(&self, path: &str, body: &Value) -> AdminResult {
        let request = self.client.post(format!("{}{path}", self.url));
        self.read_answer(self.authorized(request).send_json(body))
            .await
    }

    /// Sends a DELETE request for `path`.
    pub async fn delete(&self, path: &str) -> AdminResult {
        let request = self.client.delete(format!("{}{path}", self.url));
        self.read_answer(self.authorized(request).send()).await
    }

    async fn read_answer(&self, sent: SendClientRequest) -> AdminResult {
        let mut answer = sent.await.map_err(|error| {
            eprintln!("no answer from {}: {error}", self.url);
            eprintln!(
                "check {}; it is safe to send the same request again",
                self.option
            );
            ExitStatus::Unreachable
        })?;
        let status = answer.status();
        let body = answer.body().await.unwrap_or_default();
        let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if status.is_success() {
            return Ok(value);
        }
        print_refusal(status, &value);
        Err(exit_status_of(status))
    }
}

fn exit_status_of(status: StatusCode) -> ExitStatus {
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
    if status == StatusCode::NOT_FOUND && body.is_null() {
        eprintln!("this process has no such call; it may be of an earlier version");
    }
    if status == StatusCode::UNAUTHORIZED {
        eprintln!("pass the admin token with --token or PARSLEYTHREAD_TOKEN");
    }
}

/// Reads the JSON file (comments allowed) that the arguments name; prints an error that it finds.
pub fn read_document(args: &ArgMatches) -> AdminResult {
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

/// Runs `calls` on a new runtime and converts their result to an exit status.
pub fn block_on(calls: impl Future<Output = Result<(), ExitStatus>>) -> ExitStatus {
    match actix_rt::System::new().block_on(calls) {
        Ok(()) => ExitStatus::Success,
        Err(status) => status,
    }
}

/// Pretty-prints `value` to standard output.
pub fn print_json(value: &Value) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
