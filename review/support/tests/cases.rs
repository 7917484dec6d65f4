//! The cases, one module each.

mod endless_bodies;
mod extra_order_answers;
mod lost_engine;
mod take_up;
mod wrong_bytes;

use std::io;

use crate::fleet::Fleet;
use crate::fleet::Verdict;

/// Runs a case; `has_trouble` tells whether with its disruption.
pub fn run(case: &str, fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    match case {
        "endless-bodies" => endless_bodies::run(fleet, has_trouble),
        "extra-order-answers" => extra_order_answers::run(fleet, has_trouble),
        "lost-engine" => lost_engine::run(fleet, has_trouble),
        "take-up" => take_up::run(fleet, has_trouble),
        "wrong-bytes" => wrong_bytes::run(fleet, has_trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}
