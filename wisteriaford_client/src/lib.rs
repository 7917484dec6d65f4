//! Typed clients for the wisteriaford caller API and the platform's log.

pub mod client;
pub mod log;
pub mod message;
pub mod placement;
pub mod step;
pub mod trainer;
pub mod transport;
