//! Queries all daemons and aggregates their answers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Serialize;
use wisteriaford_client::client::Client;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::message::SharesAnswer;
use wisteriaford_client::message::StatusAnswer;

use crate::table;

/// Daemon that could not be queried.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MissingDaemon {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Error of the request.
    pub reason: String,
}

impl fmt::Display for MissingDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "no answer from {}: {}", self.address, self.reason)
    }
}

/// Status of a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Status that it reports.
    pub status: StatusAnswer,
}

/// Result of `status`: the status of every daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Daemons that responded.
    pub daemons: Vec<DaemonStatus>,
    /// Daemons that did not respond.
    pub missing: Vec<MissingDaemon>,
}

impl FleetStatus {
    /// Fetches the status of every daemon.
    #[must_use]
    pub fn fetch(client: &Client) -> Self {
        let (answers, missing) = query_all(client, Client::status);
        let daemons = answers
            .into_iter()
            .map(|(address, status)| DaemonStatus { address, status })
            .collect();
        Self { daemons, missing }
    }

    /// Returns the highest weight version that any daemon reports for the endpoints of a pool.
    #[must_use]
    pub fn pool_version(&self, pool: &str) -> Option<u64> {
        let endpoints = self.daemons.iter().flat_map(|d| &d.status.endpoints);
        let pool_endpoints = endpoints.filter(|endpoint| endpoint.pool == pool);
        pool_endpoints.map(|endpoint| endpoint.version).max()
    }

    fn daemon_rows(&self) -> Vec<Vec<String>> {
        let header = [
            "DAEMON", "INSTANCE", "ZONE", "REVISION", "READY", "LEAVING", "LOG",
        ];
        let rows = self.daemons.iter().map(|daemon| {
            let status = &daemon.status;
            vec![
                daemon.address.to_string(),
                status.instance.clone(),
                status.availability_zone.clone(),
                status.revision.to_string(),
                yes_or_no(status.ready),
                yes_or_no(status.leaving),
                status.log.to_string(),
            ]
        });
        with_header(&header, rows)
    }

    /// Returns one row for each member that each daemon reports.
    fn member_rows(&self) -> Vec<Vec<String>> {
        let header = ["SEEN BY", "MEMBER", "ZONE", "STATE", "ADDRESS"];
        let rows = self.daemons.iter().flat_map(|daemon| {
            daemon.status.members.iter().map(|member| {
                vec![
                    daemon.status.instance.clone(),
                    member.id.clone(),
                    member.availability_zone.clone(),
                    member.state.clone(),
                    member.address.clone(),
                ]
            })
        });
        with_header(&header, rows)
    }

    fn endpoint_rows(&self) -> Vec<Vec<String>> {
        let header = [
            "SEEN BY",
            "ENDPOINT",
            "POOL",
            "VERSION",
            "IN FLIGHT",
            "QUEUED",
            "STATE",
            "STEWARD",
        ];
        let rows = self.daemons.iter().flat_map(|daemon| {
            daemon.status.endpoints.iter().map(|endpoint| {
                vec![
                    daemon.status.instance.clone(),
                    endpoint.endpoint.clone(),
                    endpoint.pool.clone(),
                    endpoint.version.to_string(),
                    endpoint.in_flight.to_string(),
                    endpoint.queued.to_string(),
                    endpoint.availability.clone(),
                    endpoint.steward.clone(),
                ]
            })
        });
        with_header(&header, rows)
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", table::format(&self.daemon_rows()))?;
        write!(f, "\n{}", table::format(&self.member_rows()))?;
        write!(f, "\n{}", table::format(&self.endpoint_rows()))?;
        self.missing
            .iter()
            .try_for_each(|missing| write!(f, "{missing}"))
    }
}

/// Entitlement and usage of a caller, summed over the fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CallerTotal {
    /// Name of the caller.
    pub caller: String,
    /// Name of its priority.
    pub priority: String,
    /// Tokens that the caller was entitled to.
    pub entitled_tokens: u64,
    /// Tokens that the caller received.
    pub received_tokens: u64,
    /// Entitled tokens that the caller did not receive.
    pub shortfall_tokens: u64,
    /// Reasons for the shortfall, with the instances that report each of them.
    pub shortfall_reasons: BTreeMap<String, Vec<String>>,
}

impl CallerTotal {
    /// Formats the shortfall reasons on one line.
    fn format_reasons(&self) -> String {
        let reasons = self.shortfall_reasons.iter();
        let texts =
            reasons.map(|(reason, instances)| format!("{reason} ({})", instances.join(", ")));
        texts.collect::<Vec<_>>().join("; ")
    }
}

/// Result of `shares`: the shares of all callers, summed over the instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetShares {
    /// Longest time window reported by any instance, in milliseconds.
    pub window_ms: u64,
    /// Instances included in the sums.
    pub instances: Vec<String>,
    /// Totals of the callers, sorted by name.
    pub callers: Vec<CallerTotal>,
    /// Daemons that did not respond and are missing from the sums.
    pub missing: Vec<MissingDaemon>,
}

impl FleetShares {
    /// Fetches the shares of every daemon and sums them. An instance that answers at several
    /// addresses is counted once.
    #[must_use]
    pub fn fetch(client: &Client) -> Self {
        let (answers, missing) = query_all(client, Client::shares);
        let answers = answers.into_iter().map(|(_, answer)| answer);
        Self {
            missing,
            ..Self::sum(answers)
        }
    }

    fn sum(answers: impl Iterator<Item = SharesAnswer>) -> Self {
        let mut sums = Self::default();
        let mut totals: IndexMap<String, CallerTotal> = IndexMap::new();
        for answer in answers {
            if sums.instances.contains(&answer.instance) {
                continue;
            }
            sums.window_ms = sums.window_ms.max(answer.window_ms);
            add_shares(&mut totals, &answer);
            sums.instances.push(answer.instance);
        }
        totals.sort_keys();
        sums.callers = totals.into_values().collect();
        for total in &mut sums.callers {
            total.shortfall_tokens = total.entitled_tokens.saturating_sub(total.received_tokens);
        }
        sums
    }
}

impl fmt::Display for FleetShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ["CALLER", "PRIORITY", "ENTITLED", "RECEIVED", "SHORT", "WHY"];
        let rows = self.callers.iter().map(|total| {
            vec![
                total.caller.clone(),
                total.priority.clone(),
                total.entitled_tokens.to_string(),
                total.received_tokens.to_string(),
                total.shortfall_tokens.to_string(),
                total.format_reasons(),
            ]
        });
        let instances = self.instances.len();
        let window_ms = self.window_ms;
        writeln!(
            f,
            "tokens of the last {window_ms} ms, {instances} instances"
        )?;
        write!(f, "{}", table::format(&with_header(&header, rows)))?;
        self.missing
            .iter()
            .try_for_each(|missing| write!(f, "{missing}"))
    }
}

fn add_shares(totals: &mut IndexMap<String, CallerTotal>, answer: &SharesAnswer) {
    for share in &answer.callers {
        let total = totals.entry(share.caller.clone()).or_default();
        total.caller.clone_from(&share.caller);
        total.priority.clone_from(&share.priority);
        total.entitled_tokens = total.entitled_tokens.saturating_add(share.entitled_tokens);
        total.received_tokens = total.received_tokens.saturating_add(share.received_tokens);
        if let Some(reason) = &share.shortfall_reason {
            let instances = total.shortfall_reasons.entry(reason.clone()).or_default();
            instances.push(answer.instance.clone());
        }
    }
}

/// Answers with the address of their daemon, and the daemons that did not respond.
type Answers<T> = (Vec<(SocketAddr, T)>, Vec<MissingDaemon>);

fn query_all<T>(client: &Client, query: fn(&Client) -> Result<T, ClientError>) -> Answers<T> {
    let mut answers = Vec::new();
    let mut missing = Vec::new();
    for &address in client.addresses() {
        match query(&client.for_daemon(address)) {
            Ok(answer) => answers.push((address, answer)),
            Err(error) => missing.push(MissingDaemon {
                address,
                reason: error.to_string(),
            }),
        }
    }
    (answers, missing)
}

fn with_header(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Vec<Vec<String>> {
    let header = header.iter().map(ToString::to_string).collect();
    std::iter::once(header).chain(rows).collect()
}

fn yes_or_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}
