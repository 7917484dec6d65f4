//! Tests and benchmarks of the fleet: as real processes over TCP, and as a simulation in virtual time.

pub mod capacity;
pub mod latency;
pub mod measure;
pub mod processes;
pub mod quickstart;
