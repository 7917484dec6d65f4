//! Start, reload and shutdown of a gateway.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use opentelemetry_sdk::error::OTelSdkError;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use wisteriaford_core::gateway::duty::Duty;
use wisteriaford_core::time::Timestamp;

use crate::caller_jobs;
use crate::clock;
use crate::directory::EndpointFollower;
use crate::directory::PublicationFollower;
use crate::duty_task;
use crate::duty_task::DutyFollower;
use crate::follow::follow;
use crate::job_log::JobFollower;
pub use crate::logger::LoggerError;
pub use crate::logger::start as start_logger;
use crate::metrics::Metrics;
use crate::orders;
use crate::outbox;
use crate::peers;
use crate::peers::PeerFollower;
use crate::progress;
use crate::runner;
use crate::server;
use crate::settings::GatewaySettings;
pub use crate::state::Borders;
use crate::state::Gateway;

/// Time after the signal to stop until the balancer sends no new callers.
///
/// It asks once a second, and two misses take an instance out.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_300);
/// Part of the grace that is left when the last connections are closed.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);
/// Time between two looks at whether all requests have ended.
const SHUTDOWN_TICK: Duration = Duration::from_millis(50);
/// Time between two looks at the settings, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two clean-ups of idle connections.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a claim of the duty by an instance without any processor share.
const MAX_HANDICAP: Duration = Duration::from_millis(400);

/// Why a gateway could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A socket or signal handler could not be set up.
    #[display("{_0}")]
    Io(io::Error),
    /// Metrics could not be started.
    #[display("metrics: {_0}")]
    Metrics(OTelSdkError),
}

/// Where settings come from again after the start.
pub trait SettingsSource: Send {
    /// Returns the settings if they changed since the last call; a fault is logged by the source.
    fn changed(&mut self) -> Option<GatewaySettings>;
}

/// Runs a gateway until it was told to stop and all its requests have ended.
///
/// # Errors
///
/// Fails if a socket, a signal handler or the metrics can't be set up.
pub async fn run(
    settings: GatewaySettings,
    borders: Borders,
    source: Box<dyn SettingsSource>,
) -> Result<(), StartError> {
    let callers = TcpListener::bind(settings.caller_address).await?;
    let readiness = TcpListener::bind(settings.readiness_address).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let (stop_sender, stop) = watch::channel(false);
    let share = f64::from(settings.processor_share_milli.min(1_000)) / 1_000.0;
    let handicap = MAX_HANDICAP.mul_f64(1.0 - share);
    let duty = Duty::new(
        settings.instance.clone(),
        settings.host.clone(),
        settings.order_gap,
        handicap,
    );
    log::info!(
        instance:% = settings.instance, availability_zone:% = settings.availability_zone,
        callers:% = settings.caller_address, readiness:% = settings.readiness_address;
        "gateway starts"
    );
    let metrics = Metrics::start()?;
    let gateway = Arc::new(Gateway::new(settings, borders, duty, metrics, stop));
    start_tasks(&gateway, callers, readiness, hangup, source);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shut_down(&gateway, &stop_sender).await;
    Ok(())
}

fn start_tasks(
    gateway: &Arc<Gateway>,
    callers: TcpListener,
    readiness: TcpListener,
    hangup: Signal,
    source: Box<dyn SettingsSource>,
) {
    tokio::spawn(server::serve_callers(Arc::clone(gateway), callers));
    tokio::spawn(server::serve_readiness(Arc::clone(gateway), readiness));
    if let Some(address) = gateway.settings.load().metrics_address {
        tokio::spawn(server::serve_metrics(Arc::clone(gateway), address));
    }
    let following = Arc::clone(gateway);
    tokio::spawn(async move {
        let publications = PublicationFollower {
            gateway: Arc::clone(&following),
        };
        let endpoints = EndpointFollower {
            gateway: Arc::clone(&following),
            back_since: None,
            answered: Timestamp(0),
        };
        let jobs = JobFollower {
            gateway: Arc::clone(&following),
            is_live: false,
        };
        let instances = PeerFollower {
            gateway: Arc::clone(&following),
        };
        let duty = DutyFollower {
            gateway: Arc::clone(&following),
        };
        tokio::join!(
            follow(&following, publications),
            follow(&following, endpoints),
            follow(&following, jobs),
            follow(&following, duty),
            follow(&following, instances),
        );
    });
    if let Some(address) = gateway.settings.load().peer_address {
        tokio::spawn(peers::serve(Arc::clone(gateway), address));
        tokio::spawn(peers::publish(Arc::clone(gateway)));
    }
    let relayed = Arc::clone(gateway);
    tokio::spawn(async move { relayed.log.probe().await });
    tokio::spawn(duty_task::run(Arc::clone(gateway)));
    tokio::spawn(runner::run(Arc::clone(gateway)));
    tokio::spawn(progress::save(Arc::clone(gateway)));
    tokio::spawn(orders::run(Arc::clone(gateway)));
    tokio::spawn(outbox::run(Arc::clone(gateway)));
    tokio::spawn(caller_jobs::delete_expired(Arc::clone(gateway)));
    tokio::spawn(prune_connections(Arc::clone(gateway)));
    tokio::spawn(watch_settings(Arc::clone(gateway), hangup, source));
}

async fn prune_connections(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let view = gateway.view.load();
        let is_endpoint = |peer: &str| view.endpoints.get(&peer.into()).is_some();
        let peers = gateway.log.peers();
        let is_peer = |peer: &str| peer.is_empty() || peers.contains_key(peer);
        gateway
            .client
            .prune(|peer| is_peer(peer) || is_endpoint(peer));
    }
}

async fn watch_settings(
    gateway: Arc<Gateway>,
    mut hangup: Signal,
    mut source: Box<dyn SettingsSource>,
) {
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("told to read the settings again"),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        let Some(settings) = source.changed() else {
            continue;
        };
        let before = gateway.settings.load_full();
        if before.caller_address != settings.caller_address
            || before.readiness_address != settings.readiness_address
        {
            log::warn!("addresses changed in the settings; they count from the next start");
        }
        log::info!(
            order_gap_ms = settings.order_gap.as_millis(), grace_ms = settings.shutdown_grace.as_millis(),
            result_retention_ms = settings.result_retention.as_millis();
            "settings in force"
        );
        gateway.settings.store(Arc::new(GatewaySettings {
            instance: before.instance.clone(),
            ..settings
        }));
    }
}

/// Stops taking callers, waits for the requests in progress, and stops all tasks.
async fn shut_down(gateway: &Gateway, stop: &watch::Sender<bool>) {
    let told = clock::now();
    let grace = gateway.settings.load().shutdown_grace;
    log::info!(
        grace_ms = grace.as_millis(),
        requests = gateway.requests_in_progress.load(Ordering::Acquire);
        "gateway stops, asking for no new callers"
    );
    gateway.leaving.store(true, Ordering::Release);
    gateway.duty().resign();
    tokio::time::sleep(BALANCER_NOTICE).await;
    let last = told + grace.saturating_sub(SHUTDOWN_RESERVE);
    // Connections are told to close now; requests in progress still get their answers.
    stop.send_replace(true);
    while clock::now() < last && gateway.requests_in_progress.load(Ordering::Acquire) > 0 {
        tokio::time::sleep(SHUTDOWN_TICK).await;
    }
    tokio::time::sleep(SHUTDOWN_TICK).await;
    log::info!(
        took_ms = clock::now().since(told).as_millis(),
        requests = gateway.requests_in_progress.load(Ordering::Acquire);
        "gateway stopped"
    );
}
