//! Command-line tool of the wisteriaford rollout service.

pub mod configuration_file;
pub mod place;
