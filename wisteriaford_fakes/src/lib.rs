//! Instances of the core in one process, in virtual time, with fakes at their borders.
//!
//! [`Fleet`] drives any number of [`wisteriaford_core::instance::Instance`]s from one queue of
//! events: it carries out their effects against a fake log, fake endpoints, a fake weight store
//! and a fake scorer, delays messages by where instances run, and has faults that are switched
//! while it runs. The same seed gives the same run.

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
pub use fleet::Sent;
pub use layout::Layout;
pub use log::Log;
pub use node::Decide;
pub use node::Maker;
pub use node::NodeState;
pub use service::Service;
