//! Diagnostics that report quarantined requests to operators.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::time::Duration;

use wisteriaford_core::diagnostic::Diagnostic;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply::Reply;
use wisteriaford_fakes::Fleet;

use crate::small_fleet::fleet;
use crate::small_fleet::generation;

/// Returns the fingerprints of the requests that diagnostics report as quarantined.
fn quarantined(fleet: &Fleet) -> Vec<u64> {
    let diagnostics = fleet.diagnostics.iter();
    diagnostics
        .filter_map(|(_, _, diagnostic)| match diagnostic {
            Diagnostic::RequestQuarantined { fingerprint } => Some(*fingerprint),
            _ => None,
        })
        .collect()
}

#[test]
fn request_that_crashes_two_endpoints_is_reported_once() {
    let (mut fleet, instances) = fleet();
    for engine in fleet.engines.values_mut() {
        engine.crash_marker = Some("poison".into());
    }

    fleet.call(&instances[0], generation("poison")).unwrap();
    fleet.run_for(Duration::from_secs(60));

    let fingerprints = quarantined(&fleet);
    assert_eq!(fingerprints.len(), 1, "{fingerprints:?}");
    let answers = fleet.take_answers();
    let [answer] = answers.as_slice() else {
        panic!("{} answers", answers.len());
    };
    assert!(matches!(
        &answer.reply,
        Reply::Refused(_, refusal) if refusal.reason == RefusalReason::Quarantined
    ));
}

#[test]
fn request_that_crashes_no_endpoint_is_not_reported() {
    let (mut fleet, instances) = fleet();

    fleet.call(&instances[0], generation("hello")).unwrap();
    fleet.run_for(Duration::from_secs(30));

    assert!(quarantined(&fleet).is_empty());
}
