//! Startup and graceful shutdown of an entry.

use crate::admin::{self, AdminState};
use crate::config_watch;
use crate::control::Control;
use crate::messages::{DigestReceived, Drain, PulseReceived, QueryRemaining, RefuseRequests};
use crate::metrics::Metrics;
use crate::rpc::Rpc;
use crate::snapshot::Snapshot;
use crate::traffic::{self, TrafficState};
use actix::{Actor, Addr};
use actix_web::web::{self, Data};
use actix_web::{App, HttpServer};
use arc_swap::ArcSwap;
use backing::HttpTable;
use http_server::Budget;
use settings::EntrySettings;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{Clock, wait_until_drained};
use wire::{Datagram, PeerState, PeerView, PulseAck, serve_datagrams, serve_entry};

/// Timeout for receiving the head of a caller's request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which a caller's connection is closed.
const CALLER_KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Bytes of each body that are not counted, so that large bodies can't crowd out small ones.
const UNCOUNTED_BODY_BYTES: usize = 16 << 10;
/// Maximum time for the HTTP servers to stop, after all requests have ended.
const STOP_TIMEOUT_S: u64 = 2;

/// Runs an entry until `stop` resolves, then drains it: new requests are refused, those in flight
/// end and shards are released, within the limit from the settings.
///
/// # Errors
/// Returns an error if an address can't be bound.
pub async fn run(settings: EntrySettings, stop: impl Future<Output = ()>) -> std::io::Result<()> {
    let clock = Clock::start();
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let metrics = Metrics::default();
    let state = Control::new(settings.clone(), clock, snapshot.clone(), metrics.clone());
    let meter = state.gossip.meter.clone();
    let control = state.start();
    let rpc = Rpc {
        control: control.clone(),
        terminated: terminated_view(&settings),
    };
    serve_entry(settings.control_listen, rpc).await?;
    let receiver = control.clone();
    serve_datagrams(settings.control_listen, meter, move |message| {
        handle_datagram(receiver.clone(), message)
    })
    .await?;
    let platform = settings.platform.clone();
    let table = Rc::new(HttpTable::new(&platform.url, platform.timeout_ms));
    let interval = Duration::from_millis(settings.batch.head_poll_ms);
    actix_web::rt::spawn(config_watch::run(
        control.clone(),
        snapshot.clone(),
        table,
        interval,
    ));
    let servers = start_servers(&settings, clock, &control, &snapshot, &metrics)?;
    log_event!(info, Event::Started, role = "entry", id = %settings.id, listen = %settings.listen);
    stop.await;
    drain(&settings, &control).await;
    for server in servers {
        server.stop(true).await;
    }
    log_event!(info, Event::DrainEnded, id = %settings.id);
    Ok(())
}

/// View of this entry for its peers once its control thread has ended: draining, without agents.
fn terminated_view(settings: &EntrySettings) -> PeerView {
    let state = PeerState {
        entry: settings.id.clone(),
        control: settings.control_listen,
        domain: settings.domain.clone(),
        config: 0,
        draining: true,
    };
    PeerView {
        state,
        tag: 0,
        beats: Vec::new(),
    }
}

/// Handles a datagram; only a [`Datagram::Pulse`] gets a reply.
async fn handle_datagram(control: Addr<Control>, message: Datagram) -> Option<PulseAck> {
    match message {
        Datagram::Pulse(pulse) => control.send(PulseReceived(pulse)).await.ok(),
        Datagram::UnacknowledgedPulse(pulse) => {
            control.do_send(PulseReceived(pulse));
            None
        }
        Datagram::Digest(digest) => {
            control.do_send(DigestReceived(digest));
            None
        }
    }
}

/// Starts the HTTP servers for callers and for operators, each on its own threads.
fn start_servers(
    settings: &EntrySettings,
    clock: Clock,
    control: &Addr<Control>,
    snapshot: &Arc<ArcSwap<Snapshot>>,
    metrics: &Metrics,
) -> std::io::Result<Vec<actix_web::dev::ServerHandle>> {
    let probe = Duration::from_millis(settings.routing.probe_ms);
    let bodies = Budget::new(settings.held_body_bytes as usize, UNCOUNTED_BODY_BYTES);
    let shared = (control.clone(), snapshot.clone(), metrics.clone());
    let traffic_server = HttpServer::new(move || {
        let (control, snapshot, metrics) = shared.clone();
        let traffic = TrafficState::new(control, snapshot, metrics, clock, probe, bodies.clone());
        App::new()
            .app_data(Data::new(traffic))
            .default_service(web::to(traffic::serve))
    })
    .workers(settings.threads)
    .max_connections(settings.max_connections)
    .keep_alive(CALLER_KEEP_ALIVE)
    .client_request_timeout(HEAD_TIMEOUT)
    .disable_signals()
    .shutdown_timeout(STOP_TIMEOUT_S)
    .bind(settings.listen)?
    .run();
    let shared = (control.clone(), snapshot.clone(), metrics.clone());
    let (token, shards) = (settings.admin_token.clone(), settings.batch.shards);
    let platform = settings.platform.clone();
    let admin_server = HttpServer::new(move || {
        let (control, snapshot, metrics) = shared.clone();
        let table = HttpTable::new(&platform.url, platform.timeout_ms);
        let admin = AdminState {
            control,
            snapshot,
            metrics,
            token: token.clone(),
            table,
            shards,
        };
        App::new()
            .app_data(Data::new(admin))
            .configure(admin::routes)
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(STOP_TIMEOUT_S)
    .bind(settings.admin_listen)?
    .run();
    let handles = vec![traffic_server.handle(), admin_server.handle()];
    actix_web::rt::spawn(traffic_server);
    actix_web::rt::spawn(admin_server);
    Ok(handles)
}

/// Turns readiness off, gives load balancers time to notice, then refuses new requests and waits
/// for those in flight and for the release of shards.
async fn drain(settings: &EntrySettings, control: &Addr<Control>) {
    control.do_send(Drain);
    actix_web::rt::time::sleep(Duration::from_millis(settings.drain.notice_ms)).await;
    control.do_send(RefuseRequests);
    let limit = settings.drain.limit_ms.map(Duration::from_millis);
    wait_until_drained(limit, async || {
        control.send(QueryRemaining).await.unwrap_or(0)
    })
    .await;
}
