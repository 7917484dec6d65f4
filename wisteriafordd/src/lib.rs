//! Daemon of the wisteriaford rollout service.
//!
//! The library holds all of it, so that tests reach what the binary is made of.

pub mod app;
pub mod arguments;
pub mod border;
mod clock;
mod endpoint;
mod http;
mod logger;
pub mod metrics;
pub mod pages;
mod peers;
mod platform;
pub mod runtime;
pub mod server;
pub mod stream;
mod worker;
