//! Runs an entry from start to a graceful end.

use crate::admin::{self, Admin};
use crate::config_watch;
use crate::control::Control;
use crate::hold::HeldBodies;
use crate::messages::{AskLeft, Beating, Close, Drain, HearDigest};
use crate::metrics::Metrics;
use crate::rpc::Rpc;
use crate::snapshot::Snapshot;
use crate::traffic::{self, Traffic};
use actix::{Actor, Addr};
use actix_web::web::{self, Data};
use actix_web::{App, HttpServer};
use arc_swap::ArcSwap;
use backing::HttpTable;
use settings::EntrySettings;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{Clock, wait_until_drained};
use wire::{Datagram, PeerState, PeerView, PulseAck, serve_datagrams, serve_entry};

/// Time for the head of a caller's request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an idle connection of a caller is closed.
const CALLER_KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Longest time for a graceful stop of the servers, once nothing is left, in seconds.
const STOP_LIMIT_S: u64 = 2;

/// Runs an entry until `stop` resolves and all work in flight is done.
///
/// # Errors
/// An address can't be bound.
pub async fn run(settings: EntrySettings, stop: impl Future<Output = ()>) -> std::io::Result<()> {
    let clock = Clock::start();
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let metrics = Metrics::default();
    let state = Control::new(settings.clone(), clock, snapshot.clone(), metrics.clone());
    let meter = state.gossip.meter.clone();
    let control = state.start();
    let rpc = Rpc {
        control: control.clone(),
        gone: gone(&settings),
    };
    serve_entry(settings.control_listen, rpc).await?;
    let receiver = control.clone();
    serve_datagrams(settings.control_listen, meter, move |message| {
        take_datagram(receiver.clone(), message)
    })
    .await?;
    let platform = settings.platform.clone();
    let table = Rc::new(HttpTable::new(&platform.url, platform.timeout_ms));
    let every = Duration::from_millis(settings.batch.head_poll_ms);
    actix_web::rt::spawn(config_watch::run(
        control.clone(),
        snapshot.clone(),
        table,
        every,
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

/// What other entries are told of this one once its control thread has ended.
fn gone(settings: &EntrySettings) -> PeerView {
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

async fn take_datagram(control: Addr<Control>, message: Datagram) -> Option<PulseAck> {
    match message {
        Datagram::Pulse(pulse) => control.send(Beating(pulse)).await.ok(),
        Datagram::QuietPulse(pulse) => {
            control.do_send(Beating(pulse));
            None
        }
        Datagram::Digest(digest) => {
            control.do_send(HearDigest(digest));
            None
        }
    }
}

fn start_servers(
    settings: &EntrySettings,
    clock: Clock,
    control: &Addr<Control>,
    snapshot: &Arc<ArcSwap<Snapshot>>,
    metrics: &Metrics,
) -> std::io::Result<Vec<actix_web::dev::ServerHandle>> {
    let probe = Duration::from_millis(settings.routing.probe_ms);
    let bodies = HeldBodies::new(settings.held_body_bytes as usize);
    let shared = (control.clone(), snapshot.clone(), metrics.clone());
    let traffic_server = HttpServer::new(move || {
        let (control, snapshot, metrics) = shared.clone();
        let traffic = Traffic::new(control, snapshot, metrics, clock, probe, bodies.clone());
        App::new()
            .app_data(Data::new(traffic))
            .default_service(web::to(traffic::serve))
    })
    .workers(settings.threads)
    .max_connections(settings.max_connections)
    .keep_alive(CALLER_KEEP_ALIVE)
    .client_request_timeout(HEAD_TIMEOUT)
    .disable_signals()
    .shutdown_timeout(STOP_LIMIT_S)
    .bind(settings.listen)?
    .run();
    let shared = (control.clone(), snapshot.clone(), metrics.clone());
    let (token, shards) = (settings.admin_token.clone(), settings.batch.shards);
    let platform = settings.platform.clone();
    let admin_server = HttpServer::new(move || {
        let (control, snapshot, metrics) = shared.clone();
        let table = HttpTable::new(&platform.url, platform.timeout_ms);
        let admin = Admin {
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
    .shutdown_timeout(STOP_LIMIT_S)
    .bind(settings.admin_listen)?
    .run();
    let handles = vec![traffic_server.handle(), admin_server.handle()];
    actix_web::rt::spawn(traffic_server);
    actix_web::rt::spawn(admin_server);
    Ok(handles)
}

/// Turns readiness off, lets balancers notice, and waits for what is in flight.
async fn drain(settings: &EntrySettings, control: &Addr<Control>) {
    control.do_send(Drain);
    actix_web::rt::time::sleep(Duration::from_millis(settings.drain.notice_ms)).await;
    control.do_send(Close);
    let limit = settings.drain.limit_ms.map(Duration::from_millis);
    wait_until_drained(limit, async || control.send(AskLeft).await.unwrap_or(0)).await;
}
