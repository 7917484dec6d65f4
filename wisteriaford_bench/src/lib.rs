//! Tests and benchmarks of the fleet: as real processes over TCP, and simulated in virtual time.

pub mod capacity;
pub mod latency;
pub mod measure;
pub mod processes;
pub mod quickstart;
