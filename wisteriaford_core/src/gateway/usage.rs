//! Reports of the requests that endpoints ran for each organisation.
//!
//! Each instance counts in windows of true time ([`window`], [`work_time`]) and appends its totals to a
//! topic of the log ([`counter`]). The leader adds the totals of all instances up, and fixes the report
//! of a window by a conditional append to a second topic before it sends it ([`ledger`]), so that any
//! later leader sends the same.

pub mod counter;
pub mod ledger;
pub mod window;
pub mod work_time;

use std::collections::BTreeMap;

use wisteriaford_proto::usage as proto;

use crate::id::OrganisationId;
use crate::id::WindowNumber;

/// Requests of each organisation.
pub type UsageCounts = BTreeMap<OrganisationId, u64>;

/// Report of a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// Window.
    pub window: WindowNumber,
    /// Requests that endpoints began to run in the window.
    pub counts: UsageCounts,
}

fn encode_counts(counts: &UsageCounts) -> Vec<proto::OrganisationCount> {
    let counts = counts.iter();
    counts
        .map(|(organisation, requests)| proto::OrganisationCount {
            organisation: organisation.to_string(),
            requests: *requests,
        })
        .collect()
}

fn decode_counts(counts: Vec<proto::OrganisationCount>) -> UsageCounts {
    let counts = counts.into_iter();
    counts
        .map(|count| (OrganisationId::from(count.organisation), count.requests))
        .collect()
}
