//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::InstanceId;

/// What a gateway is told at its start, and again when its settings change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// This run of the daemon.
    pub instance: InstanceId,
    /// Name of its machine, which stays the same when the daemon starts again.
    pub host: CompactString,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that is asked for readiness.
    pub readiness_address: SocketAddr,
    /// Address that other instances send relayed calls to.
    pub peer_address: Option<SocketAddr>,
    /// Address that metrics are served at.
    pub metrics_address: Option<SocketAddr>,
    /// Time between the signal to stop and the end of the process.
    pub shutdown_grace: Duration,
    /// Time between the orders of holders of different machines.
    pub order_gap: Duration,
    /// Time that results of a batch job are kept after its submission.
    pub result_retention: Duration,
    /// Time within which an accepted batch job must be known at every instance.
    pub settle: Duration,
    /// Part of a core that the instance has, in thousandths.
    pub processor_share_milli: u32,
}
