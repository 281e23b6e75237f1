//! Starts an agent, runs it, and shuts it down gracefully.

use crate::control::Control;
use crate::heartbeat;
use crate::local::{self, LocalState};
use crate::messages::{CountInFlight, StartDrain, StopAdmitting};
use crate::metrics::Metrics;
use crate::rpc::Rpc;
use crate::traffic::{self, REPLAY_PATH, TrafficState};
use actix::{Actor, Addr};
use actix_web::web::{self, Data};
use actix_web::{App, HttpServer};
use arc_swap::ArcSwap;
use awc::Client;
use client::ClientLimits;
use membership::HomeSelector;
use model::Config;
use rand::RngExt;
use settings::AgentSettings;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use telemetry::{Event, log_event};
use utils::{Clock, wait_until_drained, wall_ms};
use wire::serve_agent;

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an idle connection to a backend server is not reused.
const BACKEND_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Time after which an idle connection from an entry is closed.
const ENTRY_KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Number of random low bits of an incarnation; the high bits hold the wall-clock start time.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Runs an agent until `stop` resolves, then drains it: returns once the work in flight is done or
/// the drain limit of the settings has passed.
///
/// # Errors
/// Returns an error if an address can't be bound.
pub async fn run(settings: AgentSettings, stop: impl Future<Output = ()>) -> std::io::Result<()> {
    let clock = Clock::start();
    let incarnation = incarnation(wall_ms(), &mut rand::rng());
    let config = Arc::new(ArcSwap::from_pointee(Config::default()));
    let metrics = Metrics::default();
    let state = Control::new(
        settings.clone(),
        clock,
        incarnation,
        config.clone(),
        metrics.clone(),
    );
    let heartbeat_trigger = state.heartbeat_trigger.clone();
    let control = state.start();
    serve_agent(settings.control_listen, Rpc(control.clone())).await?;
    let shared = (control.clone(), config);
    let traffic_server = HttpServer::new(move || {
        let traffic = TrafficState {
            control: shared.0.clone(),
            config: shared.1.clone(),
            client: client(),
            clock,
            incarnation,
        };
        App::new()
            .app_data(Data::new(traffic))
            .route(REPLAY_PATH, web::get().to(traffic::replay))
            .default_service(web::to(traffic::serve))
    })
    .workers(settings.threads)
    .keep_alive(ENTRY_KEEP_ALIVE)
    .client_request_timeout(Duration::from_secs(10))
    .disable_signals()
    .shutdown_timeout(1)
    .bind(settings.listen)?
    .run();
    let local_state = LocalState {
        control: control.clone(),
        metrics,
    };
    let local_server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(local_state.clone()))
            .configure(local::routes)
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .bind(settings.local_listen)?
    .run();
    let (traffic_handle, local_handle) = (traffic_server.handle(), local_server.handle());
    actix_web::rt::spawn(traffic_server);
    actix_web::rt::spawn(local_server);
    let interval = Duration::from_millis(settings.heartbeat_ms);
    let homes = HomeSelector::new(settings.heartbeat_homes);
    let sender =
        heartbeat::HeartbeatSender::new(control.clone(), settings.id.clone(), clock, homes);
    actix_web::rt::spawn(sender.run(interval, heartbeat_trigger));
    log_event!(info, Event::Started, role = "agent", id = %settings.id, listen = %settings.listen);
    stop.await;
    drain(&settings, &control).await;
    traffic_handle.stop(true).await;
    local_handle.stop(true).await;
    log_event!(info, Event::DrainEnded, id = %settings.id);
    Ok(())
}

/// Draws an incarnation: unique among all starts of all agents, and larger for a later start.
fn incarnation(wall_ms: u64, rng: &mut impl RngExt) -> u64 {
    (wall_ms << INCARNATION_RANDOM_BITS) | rng.random_range(0..1 << INCARNATION_RANDOM_BITS)
}

/// Builds the HTTP client of a traffic thread. It has no timeout for whole calls, because each
/// [`crate::backend_call::BackendCall`] has its own limits.
fn client() -> Client {
    client::build(ClientLimits {
        connect: CONNECT_TIMEOUT,
        keep_alive: BACKEND_KEEP_ALIVE,
        call: None,
    })
}

/// Announces the drain to entries, admits requests for the notice period so that entries can
/// react, then refuses new requests and waits for the work in flight.
async fn drain(settings: &AgentSettings, control: &Addr<Control>) {
    control.do_send(StartDrain);
    actix_web::rt::time::sleep(Duration::from_millis(settings.drain.notice_ms)).await;
    control.do_send(StopAdmitting);
    let limit = settings.drain.limit_ms.map(Duration::from_millis);
    wait_until_drained(limit, async || {
        control.send(CountInFlight).await.unwrap_or(0)
    })
    .await;
}
