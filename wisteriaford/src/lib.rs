//! Command-line tool of the wisteriaford rollout service.

pub mod app;
pub mod arguments;
pub mod configuration_file;
pub mod exit;
pub mod fleet;
pub mod location;
pub mod log_reader;
pub mod pages;
pub mod placement_report;
pub mod publish;
pub mod report;
pub mod rollout;
pub mod table;
