//! Routing and batch scheduling of the gateway.
//!
//! Selects the endpoint for each request, and stores, schedules and tracks batch jobs. A gateway is
//! an instance whose configuration, endpoint list and persistent state come from a shared log.
//! Nothing in this module performs I/O.

pub mod announced_limits;
pub mod answer_match;
pub mod attempts;
pub mod body_budget;
pub mod call_durations;
pub mod carriers;
pub mod departures;
pub mod duties;
pub mod endpoint;
pub mod event_sequence;
pub mod fair_shares;
pub mod fingerprint;
pub mod job;
pub mod job_fold;
pub mod job_memory;
pub mod job_retention;
pub mod leadership;
pub mod line_limit;
pub mod links;
pub mod load_balancer;
pub mod organisations;
pub mod pace;
pub mod permits;
pub mod record;
pub mod request_rate;
pub mod route;
pub mod scaling;
pub mod schedule;
pub mod software_history;
pub mod stored_origins;
pub mod stream_origins;
pub mod suspects;
pub mod usage;
pub mod version_label;
pub mod weights;
