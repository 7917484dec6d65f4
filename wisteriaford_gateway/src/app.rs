//! Startup, settings reload and shutdown of a gateway.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use indexmap::IndexMap;
use opentelemetry_sdk::error::OTelSdkError;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use wisteriaford_core::gateway::leadership::Leadership;
use wisteriaford_core::time::Timestamp;

use crate::caller_jobs;
use crate::crash_reports;
use crate::crash_reports::QuarantineFollower;
use crate::directory::EndpointFollower;
use crate::directory::PublicationFollower;
use crate::duty_task;
use crate::follow::follow;
use crate::job_log::JobFollower;
use crate::leadership_task;
use crate::leadership_task::LeadershipFollower;
pub use crate::logger::LoggerError;
pub use crate::logger::start as start_logger;
use crate::metrics::Metrics;
use crate::orders;
use crate::origin_log;
use crate::outbox;
use crate::peers;
use crate::peers::PeerFollower;
use crate::permits;
use crate::progress;
use crate::reach;
use crate::recovery_limits;
use crate::runner;
use crate::scaling;
use crate::server;
use crate::settings::GatewaySettings;
use crate::shutdown;
pub use crate::state::Adapters;
use crate::state::Gateway;
use crate::stream_origins;
use crate::supervision::restart_on_panic;
use crate::usage;

/// Interval of the check for changed settings, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of pruning idle connections.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Share of a whole processor, in thousandths.
const WHOLE_PROCESSOR_MILLI: u32 = 1_000;

/// Error starting a gateway.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// Failed to set up a socket or a signal handler.
    #[display("{_0}")]
    Io(io::Error),
    /// Failed to set up metrics.
    #[display("metrics: {_0}")]
    Metrics(OTelSdkError),
}

/// Source of changed settings after startup.
pub trait SettingsSource: Send {
    /// Returns the settings if they changed since the last call; errors are logged by the source.
    fn changed(&mut self) -> Option<GatewaySettings>;
}

/// Runs a gateway until it receives a stop signal and its requests have ended or the shutdown
/// timeout is over.
///
/// # Errors
///
/// Fails if a socket, a signal handler or the metrics can't be set up.
pub async fn run(
    settings: GatewaySettings,
    adapters: Adapters,
    source: Box<dyn SettingsSource>,
) -> Result<(), StartError> {
    let callers = TcpListener::bind(settings.caller_address).await?;
    let readiness = TcpListener::bind(settings.readiness_address).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let (stop_sender, stop) = watch::channel(false);
    let mut leadership = Leadership::new(
        settings.instance.clone(),
        settings.host.clone(),
        settings.order_gap,
    );
    // Those of the others are not known yet.
    leadership.set_processor_shares(settings.cpu_share_milli, WHOLE_PROCESSOR_MILLI);
    log::info!(
        instance:% = settings.instance, availability_zone:% = settings.availability_zone,
        callers:% = settings.caller_address, readiness:% = settings.readiness_address;
        "gateway starting"
    );
    let metrics = Metrics::start()?;
    let gateway = Arc::new(Gateway::new(settings, adapters, leadership, metrics, stop));
    gateway.metrics.observe_callers(&gateway.caller_guard);
    recovery_limits::apply_settings(&gateway, &gateway.settings.load());
    start_tasks(&gateway, callers, readiness, hangup, source);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shutdown::shut_down(&gateway, &stop_sender).await;
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
    supervise(gateway, "publications", |gateway| async move {
        let follower = PublicationFollower {
            gateway: Arc::clone(&gateway),
        };
        follow(&gateway, follower).await;
    });
    supervise(gateway, "endpoints", |gateway| async move {
        let follower = EndpointFollower {
            gateway: Arc::clone(&gateway),
            recovered_at: None,
            last_answer: Timestamp(0),
            has_list: false,
        };
        follow(&gateway, follower).await;
    });
    supervise(gateway, "recovery limits", recovery_limits::report);
    supervise(gateway, "batch jobs", |gateway| async move {
        let follower = JobFollower {
            gateway: Arc::clone(&gateway),
            is_live: false,
        };
        follow(&gateway, follower).await;
    });
    supervise(gateway, "leadership records", |gateway| async move {
        let follower = LeadershipFollower {
            gateway: Arc::clone(&gateway),
        };
        follow(&gateway, follower).await;
    });
    supervise(gateway, "instances", |gateway| async move {
        let follower = PeerFollower {
            gateway: Arc::clone(&gateway),
            cpu_shares_milli: IndexMap::new(),
        };
        follow(&gateway, follower).await;
    });
    supervise(gateway, "quarantine", |gateway| async move {
        let follower = QuarantineFollower {
            gateway: Arc::clone(&gateway),
        };
        follow(&gateway, follower).await;
    });
    if let Some(address) = gateway.settings.load().peer_address {
        tokio::spawn(peers::serve(Arc::clone(gateway), address));
        tokio::spawn(peers::publish(Arc::clone(gateway)));
    }
    supervise(gateway, "log probe", |gateway| async move {
        gateway.log.probe().await;
    });
    supervise(gateway, "leadership", leadership_task::run);
    supervise(gateway, "runner", runner::run);
    supervise(gateway, "progress", progress::save);
    supervise(gateway, "orders", orders::run);
    supervise(gateway, "outbox", outbox::run);
    if gateway.usage.is_enabled() {
        supervise(gateway, "usage counts", usage::append_counts);
        supervise(gateway, "usage reports", usage::fix_reports);
    }
    if gateway.scaling.is_enabled() {
        supervise(gateway, "work reports", scaling::report);
        supervise(gateway, "work of pools", scaling::observe);
    }
    if gateway.usage.is_enabled() || gateway.scaling.is_enabled() {
        supervise(gateway, "duties", duty_task::run);
    }
    supervise(gateway, "crash reports", crash_reports::publish);
    supervise(
        gateway,
        "clean-up of crash reports",
        crash_reports::delete_expired,
    );
    supervise(
        gateway,
        "clean-up of batch jobs",
        caller_jobs::delete_expired,
    );
    supervise(gateway, "limits", permits::report);
    supervise(gateway, "origins of streams", stream_origins::report);
    supervise(
        gateway,
        "origins to the leader",
        stream_origins::report_to_leader,
    );
    supervise(gateway, "origins in the log", origin_log::append);
    tokio::spawn(origin_log::restore(Arc::clone(gateway)));
    supervise(gateway, "connections", prune_connections);
    supervise(gateway, "links", reach::watch_cut);
    tokio::spawn(watch_settings(Arc::clone(gateway), hangup, source));
}

fn supervise<F>(gateway: &Arc<Gateway>, name: &'static str, task: fn(Arc<Gateway>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let gateway = Arc::clone(gateway);
    tokio::spawn(restart_on_panic(name, move || task(Arc::clone(&gateway))));
}

async fn prune_connections(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        let view = gateway.view.load();
        let is_endpoint = |peer: &str| view.endpoints.get(&peer.into()).is_some();
        gateway
            .links()
            .retain(|endpoint| view.endpoints.get(endpoint).is_some());
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
            _ = hangup.recv() => log::info!("SIGHUP received, reloading settings"),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        let Some(settings) = source.changed() else {
            continue;
        };
        let before = gateway.settings.load_full();
        if before.caller_address != settings.caller_address
            || before.readiness_address != settings.readiness_address
        {
            log::warn!("changed listen addresses take effect after a restart");
        }
        log::info!(
            order_gap_ms = settings.order_gap.as_millis(), grace_ms = settings.shutdown_timeout.as_millis(),
            result_retention_ms = settings.result_retention.as_millis();
            "settings in force"
        );
        gateway.caller_guard.set_limits(settings.caller_budget());
        gateway.probe_guard.set_limits(settings.probe_budget());
        recovery_limits::apply_settings(&gateway, &settings);
        gateway.settings.store(Arc::new(GatewaySettings {
            instance: before.instance.clone(),
            ..settings
        }));
    }
}
