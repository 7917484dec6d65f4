//! Decisions of the wisteriaford rollout service, without input or output.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws a random number of its
//! own: time and seeds are handed in, and what is to be done comes back as effects.

pub mod admission;
pub mod claim;
pub mod hash;
pub mod id;
pub mod limits;
pub mod quarantine;
pub mod refusal;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod shares;
pub mod time;
