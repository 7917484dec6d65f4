//! Gateway of the wisteriaford rollout service.
//!
//! Performs the I/O around the decision logic in `wisteriaford_core::gateway`: sockets, timers and
//! the shared log. Adapters implement the protocols of callers, endpoints and the log through the
//! traits in [`adapter`].

pub mod adapter;
pub mod app;
pub mod body_buffer;
mod budgeted_stream;
mod call_shares;
mod caller_jobs;
mod carrier;
mod carry;
pub mod client;
pub mod clock;
mod connection_pool;
mod contents;
mod crash_reports;
mod departure_reports;
mod directory;
mod duty_task;
pub mod event_stream;
mod follow;
mod forward;
mod item_stream;
mod job_admission;
mod job_log;
mod large_bodies;
mod leadership_task;
mod logger;
mod metrics;
mod order_guard;
mod orders;
mod organisations;
mod origin_log;
mod outbox;
mod peers;
mod permits;
mod placement;
mod progress;
mod reach;
mod recovery_limits;
mod refusal;
mod relay;
mod relay_message;
mod run;
mod runner;
mod scaling;
mod score;
mod sends;
mod server;
pub mod settings;
mod shutdown;
mod state;
mod stream;
mod stream_origins;
pub mod supervision;
mod tunnel;
mod unread_events;
mod usage;
