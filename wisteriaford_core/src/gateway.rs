//! Decisions of the gateway: which endpoint a request goes to, and how batch jobs are kept and run.
//!
//! A gateway is an instance whose configuration, endpoint list and lasting state come from a
//! shared log. Nothing here does input or output.

pub mod duty;
pub mod endpoint;
pub mod fleet;
pub mod job;
pub mod job_fold;
pub mod record;
pub mod route;
pub mod schedule;
pub mod weights;
