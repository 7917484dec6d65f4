//! Daemon of the wisteriaford rollout service.
//!
//! All code is in this library so that integration tests can use it; the binary only calls
//! [`app::main`].

pub mod app;
pub mod arguments;
mod clock;
mod endpoint;
mod http;
pub mod http_refusals;
mod logger;
pub mod metrics;
pub mod pages;
mod peers;
mod platform;
pub mod runtime;
pub mod server;
pub mod stream;
mod worker;
