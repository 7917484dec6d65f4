//! Gateway of the wisteriaford rollout service.
//!
//! Turns sockets and a shared log into calls of the decisions in `wisteriaford_core::gateway`, and
//! their results back. How callers, endpoints and the log speak is up to the traits in [`border`].

pub mod app;
pub mod border;
mod caller_jobs;
pub mod client;
pub mod clock;
mod connection_pool;
mod contents;
mod directory;
mod duty_task;
mod event_stream;
mod follow;
mod forward;
mod job_log;
mod logger;
mod metrics;
mod orders;
mod outbox;
mod peers;
mod progress;
mod refusal;
mod relay;
mod relay_message;
mod runner;
mod server;
pub mod settings;
mod state;
mod stream;
