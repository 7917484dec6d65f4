//! Decision logic of the wisteriaford rollout service, without input or output.
//!
//! Nothing in this crate reads a clock, opens a socket, starts a thread or draws an unseeded random
//! number: time and seeds are passed in, and actions are returned as effects.

pub mod admission;
pub mod budget;
pub mod claim;
pub mod configuration;
pub mod coordinator;
pub mod counters;
pub mod diagnostic;
pub mod effect;
pub mod event;
pub mod exchange;
pub mod explain;
pub mod gateway;
mod gossip;
pub mod hash;
pub mod id;
pub mod index_set;
pub mod instance;
pub mod label;
pub mod lease;
pub mod leaving;
pub mod limits;
pub mod max_min;
pub mod membership;
pub mod pause;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod reply;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod scoring;
pub mod settings;
pub mod shares;
pub mod step;
pub mod time;
pub mod validation;
pub mod work;
