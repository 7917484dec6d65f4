//! Typed client of the wisteriaford caller interface.

pub mod index_set;
pub mod message;
