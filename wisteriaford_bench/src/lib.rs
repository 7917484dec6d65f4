//! Trials and measurements of the fleet: as real processes over TCP, and of the decisions alone.

pub mod capacity;
pub mod latency;
pub mod measure;
pub mod processes;
pub mod quickstart;
