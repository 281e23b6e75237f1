//! HTTP clients of the platform's services.

use crate::{
    AttemptRef, AttemptReport, AttemptStatus, KeyList, LeaseList, ObjectStore, Row, RuntimeRefusal,
    ScanRange, StartAttempt, StopMode, StoreError, TableStore, ThrottleAttempt, Transaction,
    WorkerRuntime,
};
use async_trait::async_trait;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::{Client, ClientResponse};
use client::{ClientLimits, is_never_sent};
use model::AgentId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Largest accepted response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Time after which an idle connection is not reused.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// HTTP client and address, which the three service clients are built on.
#[derive(Clone)]
struct Connection {
    /// HTTP client of the current thread.
    client: Client,
    /// Base URL of the service.
    url: String,
}

impl Connection {
    fn new(url: &str, timeout_ms: u64) -> Self {
        let call = Duration::from_millis(timeout_ms);
        let limits = ClientLimits {
            connect: call,
            keep_alive: KEEP_ALIVE,
            call: Some(call),
        };
        Self {
            client: client::build(limits),
            url: url.to_owned(),
        }
    }

    /// Posts `body` as JSON and parses the JSON response.
    async fn post<A: Serialize, B: DeserializeOwned>(
        &self,
        path: &str,
        body: &A,
    ) -> Result<B, StoreError> {
        let sent = self
            .client
            .post(format!("{}{path}", self.url))
            .send_json(body)
            .await;
        let mut answer = sent.map_err(|error| classify(&error))?;
        check_status(&mut answer).await?;
        let body = answer.json().limit(MAX_ANSWER_BYTES);
        body.await
            .map_err(|error| StoreError::Unknown(error.to_string()))
    }
}

/// Converts a client error. If no connection was made, the call certainly had no effect.
fn classify(error: &SendRequestError) -> StoreError {
    if is_never_sent(error) {
        return StoreError::Unavailable(error.to_string());
    }
    StoreError::Unknown(error.to_string())
}

/// Converts a response without a success status into an error.
async fn check_status<S>(answer: &mut ClientResponse<S>) -> Result<(), StoreError>
where
    S: futures_core::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let status = answer.status();
    if status.is_success() {
        return Ok(());
    }
    let body = answer.body().await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    Err(match status {
        StatusCode::CONFLICT => StoreError::Conflict { key: text },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            StoreError::Unavailable(text)
        }
        status if status.is_client_error() => StoreError::Invalid(text),
        _ => StoreError::Unknown(format!("{status}: {text}")),
    })
}

/// HTTP client of the table service.
#[derive(Clone)]
pub struct HttpTable(Connection);

impl HttpTable {
    /// Creates a client of the service at `url`, whose calls time out after `timeout_ms`.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self(Connection::new(url, timeout_ms))
    }
}

#[async_trait(?Send)]
impl TableStore for HttpTable {
    async fn commit(&self, txn: &Transaction) -> Result<u64, StoreError> {
        self.0.post("/table/commit", txn).await
    }

    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        self.0
            .post(
                "/table/read",
                &KeyList {
                    keys: keys.to_vec(),
                },
            )
            .await
    }

    async fn scan(&self, range: &ScanRange) -> Result<Vec<Row>, StoreError> {
        self.0.post("/table/scan", range).await
    }
}

/// HTTP client of the object store.
#[derive(Clone)]
pub struct HttpObjects(Connection);

impl HttpObjects {
    /// Creates a client of the service at `url`, whose calls time out after `timeout_ms`.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self(Connection::new(url, timeout_ms))
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpObjects {
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError> {
        let address = format!("{}/objects/{key}", self.0.url);
        let sent = self.0.client.put(address).send_body(content).await;
        let mut answer = sent.map_err(|error| classify(&error))?;
        check_status(&mut answer).await
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let address = format!("{}/objects/{key}", self.0.url);
        let sent = self.0.client.get(address).send().await;
        let mut answer = sent.map_err(|error| classify(&error))?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(&mut answer).await?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        body.map(|bytes| Some(bytes.to_vec()))
            .map_err(|error| StoreError::Unknown(error.to_string()))
    }
}

/// HTTP client of the worker runtime.
#[derive(Clone)]
pub struct HttpRuntime(Connection);

impl HttpRuntime {
    /// Creates a client of the service at `url`, whose calls time out after `timeout_ms`.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self(Connection::new(url, timeout_ms))
    }
}

#[async_trait(?Send)]
impl WorkerRuntime for HttpRuntime {
    async fn start(&self, worker: &AgentId, start: &StartAttempt) -> Result<(), RuntimeRefusal> {
        match self
            .0
            .post(&format!("/workers/{worker}/start"), start)
            .await
        {
            Ok(()) => Ok(()),
            Err(StoreError::Conflict { key }) if key == "no-room" => Err(RuntimeRefusal::NoRoom),
            Err(StoreError::Conflict { .. }) => Err(RuntimeRefusal::Fenced),
            Err(error) => Err(error.into()),
        }
    }

    async fn renew(
        &self,
        worker: &AgentId,
        leases: &LeaseList,
    ) -> Result<Vec<AttemptReport>, StoreError> {
        self.0
            .post(&format!("/workers/{worker}/renew"), leases)
            .await
    }

    async fn stop(
        &self,
        worker: &AgentId,
        attempt: &AttemptRef,
        mode: StopMode,
    ) -> Result<AttemptStatus, StoreError> {
        self.0
            .post(&format!("/workers/{worker}/stop"), &(attempt, mode))
            .await
    }

    async fn throttle(&self, worker: &AgentId, change: &ThrottleAttempt) -> Result<(), StoreError> {
        self.0
            .post(&format!("/workers/{worker}/throttle"), change)
            .await
    }
}
