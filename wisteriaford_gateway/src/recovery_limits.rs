//! Limits of endpoints that started or were ejected: settings, log lines and metrics.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::load_balancer::LimitChange;

use crate::clock;
use crate::settings::GatewaySettings;
use crate::state::Gateway;

/// Interval at which changes are reported; it only delays log lines and metrics.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Enables or disables the limits.
pub(crate) fn apply_settings(gateway: &Gateway, settings: &GatewaySettings) {
    let is_enabled = settings.limit_recovered_endpoints;
    gateway.load_balancer().set_recovery_limits(is_enabled);
}

/// Reports limits that begin and end, and ends those of endpoints that are no longer used.
pub(crate) async fn report(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = clock::now();
        let mut load_balancer = gateway.load_balancer();
        let changes = load_balancer.take_limit_changes(now);
        let limited = load_balancer.limited_count();
        drop(load_balancer);
        if changes.is_empty() {
            continue;
        }
        gateway.metrics.record_limited_endpoints(limited);
        for change in changes {
            gateway.metrics.record_limit_change(&change);
            match change {
                LimitChange::Started {
                    endpoint,
                    cause,
                    max_in_flight,
                } => log::info!(
                    endpoint:% = endpoint, cause:% = cause, max_in_flight = max_in_flight;
                    "endpoint limited until it answers as before"
                ),
                LimitChange::Ended {
                    endpoint,
                    end,
                    began_at,
                } => log::info!(
                    endpoint:% = endpoint, reason:% = end,
                    limited_ms = now.since(began_at).as_millis();
                    "limit of endpoint ended"
                ),
            }
        }
    }
}
