//! Requests of callers.

use crate::answer;
use crate::body::CallerBody;
use crate::caller::{self};
use crate::control::Control;
use crate::exchange::Exchange;
use crate::hold::HeldBodies;
use crate::metrics::Metrics;
use crate::snapshot::Snapshot;
use actix::Addr;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use arc_swap::ArcSwap;
use awc::Client;
use client::ClientLimits;
use errors::{Code, Failure};
use model::RequestId;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::tracing::{Instrument, info_span};
use utils::Clock;

/// Time for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to an agent is not used again.
const AGENT_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// What the handlers of one traffic thread need.
#[derive(Clone)]
pub(crate) struct Traffic {
    /// The control thread, or its address.
    pub control: Addr<Control>,
    /// What traffic threads read.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Silence after which a request in flight is asked about.
    pub probe: Duration,
    /// Memory for bodies, shared by all threads.
    pub bodies: HeldBodies,
    /// HTTP client of this thread.
    client: Rc<RefCell<Client>>,
}

impl Traffic {
    pub fn new(
        control: Addr<Control>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        metrics: Metrics,
        clock: Clock,
        probe: Duration,
        bodies: HeldBodies,
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

    /// The HTTP client of this thread.
    pub fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Leaves idle connections behind, because others of the same age may have gone silent too.
    pub fn renew_client(&self) {
        *self.client.borrow_mut() = new_client();
    }
}

/// A client without connections.
pub(crate) fn new_client() -> Client {
    client::build(ClientLimits {
        connect: CONNECT_TIMEOUT,
        keep_alive: AGENT_KEEP_ALIVE,
        call: None,
    })
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    request: HttpRequest,
    payload: Payload,
    traffic: Data<Traffic>,
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
    traffic: &Traffic,
    id: RequestId,
) -> Result<HttpResponse, Failure> {
    let snapshot = traffic.snapshot.load_full();
    if snapshot.closed {
        return Err(Failure::not_run(
            Code::Draining,
            "the entry is shutting down",
        ));
    }
    let destination = caller::destination(request)?;
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
    let wishes = caller::wishes(request, &destination, spec)?;
    let body =
        CallerBody::read(request, payload, spec.max_body_bytes, traffic.bodies.hold()).await?;
    let weight = snapshot
        .config
        .teams
        .get(&wishes.team)
        .map_or(1, |team| team.weight);
    let exchange = Exchange {
        request,
        traffic,
        id,
        destination: &destination,
        spec,
        wishes: &wishes,
        body: &body,
        weight,
    };
    match &wishes.key {
        None => exchange.run().await,
        Some(key) => exchange.run_once(key).await,
    }
}
