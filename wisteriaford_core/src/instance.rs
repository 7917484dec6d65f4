//! One instance: all decisions, driven by events, answering with effects.
//!
//! A driver owns an [`Instance`], hands it each [`Event`] with the time at which it happened, and
//! carries out the [`Effect`]s that come back. Nothing else goes in or out: two instances with the
//! same identity, options and events do the same things. [`Event::Tick`] is due at least every
//! [`TICK_INTERVAL`]; a driver in virtual time needs no other timer.

mod callers;
mod claims;
mod fleet;
mod log;
mod requests;
mod status;
mod steps;

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::budget::AppendBudget;
use crate::claim::Claims;
use crate::configuration::Fold;
use crate::counters::Counters;
use crate::effect::Effect;
use crate::event::Event;
use crate::event::Identity;
use crate::event::Ticket;
use crate::exchange::Exchange;
use crate::explain::Explanations;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::RequestId;
use crate::id::Version;
use crate::lease::Leases;
use crate::limits::CallerLimits;
use crate::membership::Membership;
use crate::placement::View as PlacementView;
use crate::quarantine::Quarantine;
use crate::reply::Reply;
use crate::request::Active;
use crate::retry::RetryPolicy;
use crate::rollout::Rollout;
use crate::routing::Router;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::step::Steps;
use crate::steward::Stewards;
use crate::time::Timestamp;

/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What an instance is started with, besides its identity.
#[derive(Clone, Debug)]
pub struct Options {
    /// Peer addresses of some other instances.
    pub seeds: Vec<CompactString>,
    /// Time that a generation has if its caller names none.
    pub default_timeout: Duration,
    /// Seed of all that is drawn at random.
    pub seed: u64,
}

/// Why an instance takes no requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotReady {
    /// It knows no configuration.
    #[display("no configuration yet")]
    NoConfiguration,
    /// It is shutting down.
    #[display("shutting down")]
    Leaving,
}

impl NotReady {
    /// Returns the stable code.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Leaving => "shutting_down",
        }
    }
}
