//! Handling of callers' requests on the traffic threads.

use crate::answer;
use crate::body::CallerBody;
use crate::caller;
use crate::control::Control;
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;
use actix::Addr;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use arc_swap::ArcSwap;
use awc::Client;
use client::ClientLimits;
use errors::{Code, Failure};
use http_server::Budget;
use model::RequestId;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::tracing::{Instrument, info_span};
use utils::Clock;

/// Timeout for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection to an agent is not reused.
const AGENT_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// State of one traffic thread, shared by its handlers.
#[derive(Clone)]
pub(crate) struct TrafficState {
    /// Mailbox of the control thread.
    pub control: Addr<Control>,
    /// Latest state published by the control thread.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Metrics, shared with the other threads.
    pub metrics: Metrics,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Silence after which the agent is first probed about a request in flight.
    pub probe: Duration,
    /// Memory budget for request bodies, shared by all threads.
    pub bodies: Budget,
    /// HTTP client of this thread, with its connection pool.
    client: Rc<RefCell<Client>>,
}

impl TrafficState {
    pub fn new(
        control: Addr<Control>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        metrics: Metrics,
        clock: Clock,
        probe: Duration,
        bodies: Budget,
    ) -> Self {
        let client = Rc::new(RefCell::new(new_client()));
        Self {
            control,
            snapshot,
            metrics,
            clock,
            probe,
            bodies,
            client,
        }
    }

    /// Returns the current HTTP client of this thread.
    pub fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Replaces the client, and with it all idle connections: if one went silent, others of the
    /// same age may have too.
    pub fn renew_client(&self) {
        *self.client.borrow_mut() = new_client();
    }
}

/// Creates a client with an empty connection pool.
pub(crate) fn new_client() -> Client {
    client::build(ClientLimits {
        connect: CONNECT_TIMEOUT,
        keep_alive: AGENT_KEEP_ALIVE,
        call: None,
    })
}

/// Handles one request of a caller, in a span that continues the caller's trace.
pub(crate) async fn serve(
    request: HttpRequest,
    payload: Payload,
    traffic: Data<TrafficState>,
) -> HttpResponse {
    let span = info_span!(target: "parsleythread", "entry");
    let parent = request
        .headers()
        .get("traceparent")
        .and_then(|value| value.to_str().ok());
    if let Some(parent) = parent {
        telemetry::set_remote_parent(&span, parent);
    }
    traffic.metrics.requests.inc();
    let id = RequestId::new();
    let served = serve_in_span(&request, payload, &traffic, id)
        .instrument(span)
        .await;
    served.unwrap_or_else(|failure| answer::failure(&traffic.metrics, &failure, Some(id)))
}

async fn serve_in_span(
    request: &HttpRequest,
    payload: Payload,
    traffic: &TrafficState,
    id: RequestId,
) -> Result<HttpResponse, Failure> {
    let snapshot = traffic.snapshot.load_full();
    if snapshot.refuses_requests {
        return Err(Failure::not_run(
            Code::Draining,
            "the entry is shutting down",
        ));
    }
    let destination = caller::parse_destination(request)?;
    let spec = snapshot
        .config
        .services
        .get(&destination.service)
        .ok_or_else(|| {
            Failure::not_run(
                Code::NotFound,
                format!("there is no service {:?}", destination.service),
            )
        })?;
    let options = caller::parse_options(request, &destination, spec)?;
    let body = CallerBody::read(
        request,
        payload,
        spec.max_body_bytes,
        traffic.bodies.reserve(),
    )
    .await?;
    let weight = snapshot
        .config
        .teams
        .get(&options.team)
        .map_or(1, |team| team.weight);
    let exchange = Exchange {
        request,
        traffic,
        id,
        destination: &destination,
        spec,
        options: &options,
        body: &body,
        weight,
    };
    match &options.key {
        None => exchange.run().await,
        Some(key) => exchange.run_once(key).await,
    }
}
