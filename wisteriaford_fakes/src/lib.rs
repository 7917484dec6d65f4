//! Deterministic simulation of a fleet: core instances in one process, in virtual time, with fakes
//! in place of external systems.
//!
//! [`Fleet`] drives any number of [`wisteriaford_core::instance::Instance`]s from one event queue.
//! It executes their effects against a fake log, fake endpoints, a fake weight store and a fake
//! scorer, delays messages according to the location of the instances, and injects faults at run
//! time. Runs with the same seed are identical.

mod engine;
mod fleet;
mod layout;
mod log;
mod node;
mod schedule;
mod service;

pub use engine::Engine;
pub use engine::EngineSettings;
pub use engine::expected_text;
pub use engine::expected_tokens;
pub use fleet::Answer;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
pub use fleet::MessageTotals;
pub use layout::Layout;
pub use log::Log;
pub use node::EventHandler;
pub use node::HandlerFactory;
pub use node::NodeState;
pub use service::Service;
