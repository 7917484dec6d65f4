//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_core::gateway::duties::DutyKind;
use wisteriaford_core::gateway::job_memory::JobLimits;
use wisteriaford_core::gateway::request_rate::RequestRate;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::InstanceId;
use wisteriaford_http::budget::BudgetLimits;

/// Memory of the ports for readiness and metrics, which have a few clients, in bytes.
const PROBE_BYTES: u64 = 12 * 1024 * 1024;
/// Maximum number of connections to the ports for readiness and metrics.
const MAX_PROBE_CONNECTIONS: usize = 256;
/// Delay beyond which a connection of these ports may be evicted; a probe arrives in one piece.
const PROBE_GRACE: Duration = Duration::from_millis(50);

/// Settings of a gateway, applied at startup and on reload.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// Id of this run of the daemon.
    pub instance: InstanceId,
    /// Name of the host, which stays the same when the daemon restarts.
    pub host: CompactString,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for readiness probes.
    pub readiness_address: SocketAddr,
    /// Listen address for relayed calls of other instances.
    pub peer_address: Option<SocketAddr>,
    /// Listen address for metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Maximum time between the stop signal and the end of the process.
    pub shutdown_timeout: Duration,
    /// Minimum time between the orders of successive leaders on different hosts.
    pub order_gap: Duration,
    /// Retention of a batch job's results after its submission.
    pub result_retention: Duration,
    /// Time within which every instance must know an accepted batch job.
    pub propagation_timeout: Duration,
    /// Maximum age of the configuration for which keys are relied on, if revocation is strict.
    pub revocation_timeout: Duration,
    /// Whether an instance refuses requests that need a key while its configuration may be older than
    /// [`Self::revocation_timeout`].
    pub strict_revocation: bool,
    /// CPU share of the instance, in thousandths of a core.
    pub cpu_share_milli: u32,
    /// Duties toward the platform's API, if there are any.
    pub duties: Option<DutySettings>,
    /// Memory of the machine in bytes; `None` for no limit on what is held for callers.
    pub memory_bytes: Option<u64>,
    /// Maximum number of open files and sockets; `None` for no limit on callers' connections.
    pub file_descriptors: Option<usize>,
    /// Whether items are moved from slow engines only if a step may wait for them.
    pub moves_only_awaited_items: bool,
    /// Whether endpoints that start or were ejected are limited until they answer as before.
    pub limit_recovered_endpoints: bool,
}

/// Settings of the duties toward the platform's API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutySettings {
    /// Duties that the fleet performs.
    pub kinds: Vec<DutyKind>,
    /// Maximum rate of calls of all instances together.
    pub max_rate: RequestRate,
    /// Length of the windows of usage reports.
    pub report_window: Duration,
    /// Time after the end of its window at which a usage report is due.
    pub report_due: Duration,
}

impl GatewaySettings {
    /// Returns the limits on what is held for callers.
    pub(crate) fn caller_budget(&self) -> BudgetLimits {
        BudgetLimits::for_machine(self.memory_bytes, self.file_descriptors)
    }

    /// Returns the limits on the memory of batch jobs.
    pub(crate) fn job_limits(&self) -> JobLimits {
        JobLimits::for_machine(self.memory_bytes)
    }

    /// Returns the limits on what is held for clients of the ports for readiness and metrics.
    pub(crate) fn probe_budget(&self) -> BudgetLimits {
        if self.memory_bytes.is_none() {
            return BudgetLimits::UNLIMITED;
        }
        BudgetLimits {
            total_bytes: PROBE_BYTES,
            max_connections: MAX_PROBE_CONNECTIONS,
            eviction_grace: PROBE_GRACE,
        }
    }
}
