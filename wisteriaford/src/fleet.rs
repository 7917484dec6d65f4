//! Answers of several daemons, put together.

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

/// A daemon that gave no answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Missing {
    /// Daemon.
    pub address: SocketAddr,
    /// Why there is no answer.
    pub reason: String,
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "no answer from {}: {}", self.address, self.reason)
    }
}

/// State of a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// Daemon.
    pub address: SocketAddr,
    /// Its state.
    pub status: StatusAnswer,
}

/// States of the daemons.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Daemons that answered.
    pub daemons: Vec<DaemonStatus>,
    /// Daemons that did not.
    pub missing: Vec<Missing>,
}

impl FleetStatus {
    /// Asks every daemon.
    #[must_use]
    pub fn ask(client: &Client) -> Self {
        let (answers, missing) = ask_all(client, Client::status);
        let daemons = answers
            .into_iter()
            .map(|(address, status)| DaemonStatus { address, status })
            .collect();
        Self { daemons, missing }
    }

    /// Returns the highest version that any daemon reports for the engines of a pool.
    #[must_use]
    pub fn version_of(&self, pool: &str) -> Option<u64> {
        let endpoints = self.daemons.iter().flat_map(|d| &d.status.endpoints);
        let of_pool = endpoints.filter(|endpoint| endpoint.pool == pool);
        of_pool.map(|endpoint| endpoint.version).max()
    }

    fn daemon_rows(&self) -> Vec<Vec<String>> {
        let heading = [
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
        with_heading(&heading, rows)
    }

    /// Returns each member as each daemon sees it.
    fn member_rows(&self) -> Vec<Vec<String>> {
        let heading = ["SEEN BY", "MEMBER", "ZONE", "STATE", "ADDRESS"];
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
        with_heading(&heading, rows)
    }

    fn endpoint_rows(&self) -> Vec<Vec<String>> {
        let heading = [
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
        with_heading(&heading, rows)
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

/// What a caller got of the whole fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CallerTotal {
    /// Caller.
    pub caller: String,
    /// Priority, by name.
    pub priority: String,
    /// Tokens that it was entitled to.
    pub entitled_tokens: u64,
    /// Tokens that it received.
    pub received_tokens: u64,
    /// Tokens short of what it was entitled to.
    pub shortfall_tokens: u64,
    /// Why it fell short, with the instances that say so.
    pub shortfall_reasons: BTreeMap<String, Vec<String>>,
}

impl CallerTotal {
    /// Returns the reasons on one line.
    fn reasons(&self) -> String {
        let reasons = self.shortfall_reasons.iter();
        let texts =
            reasons.map(|(reason, instances)| format!("{reason} ({})", instances.join(", ")));
        texts.collect::<Vec<_>>().join("; ")
    }
}

/// What the callers got, summed over the daemons.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetShares {
    /// Longest window that an instance sums over, in milliseconds.
    pub window_ms: u64,
    /// Instances whose answers are in the sums.
    pub instances: Vec<String>,
    /// Callers, by name.
    pub callers: Vec<CallerTotal>,
    /// Daemons that are missing from the sums.
    pub missing: Vec<Missing>,
}

impl FleetShares {
    /// Asks every daemon and sums up the answers, each instance once.
    #[must_use]
    pub fn ask(client: &Client) -> Self {
        let (answers, missing) = ask_all(client, Client::shares);
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
            add(&mut totals, &answer);
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
        let heading = ["CALLER", "PRIORITY", "ENTITLED", "RECEIVED", "SHORT", "WHY"];
        let rows = self.callers.iter().map(|total| {
            vec![
                total.caller.clone(),
                total.priority.clone(),
                total.entitled_tokens.to_string(),
                total.received_tokens.to_string(),
                total.shortfall_tokens.to_string(),
                total.reasons(),
            ]
        });
        let instances = self.instances.len();
        let window_ms = self.window_ms;
        writeln!(
            f,
            "tokens of the last {window_ms} ms, {instances} instances"
        )?;
        write!(f, "{}", table::format(&with_heading(&heading, rows)))?;
        self.missing
            .iter()
            .try_for_each(|missing| write!(f, "{missing}"))
    }
}

fn add(totals: &mut IndexMap<String, CallerTotal>, answer: &SharesAnswer) {
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

/// Answers by daemon, and the daemons that gave none.
type Answers<T> = (Vec<(SocketAddr, T)>, Vec<Missing>);

fn ask_all<T>(client: &Client, ask: fn(&Client) -> Result<T, ClientError>) -> Answers<T> {
    let mut answers = Vec::new();
    let mut missing = Vec::new();
    for &address in client.addresses() {
        match ask(&client.only(address)) {
            Ok(answer) => answers.push((address, answer)),
            Err(error) => missing.push(Missing {
                address,
                reason: error.to_string(),
            }),
        }
    }
    (answers, missing)
}

fn with_heading(heading: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Vec<Vec<String>> {
    let heading = heading.iter().map(ToString::to_string).collect();
    std::iter::once(heading).chain(rows).collect()
}

fn yes_or_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}
