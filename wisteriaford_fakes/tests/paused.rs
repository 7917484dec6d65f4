//! An instance that resumes after a pause serves no requests under an outdated revision.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Revision;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply::Reply;
use wisteriaford_fakes::Fleet;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::Configuration;

use crate::small_fleet::configuration;
use crate::small_fleet::fleet;
use crate::small_fleet::generation;

fn publish_without_portal(fleet: &mut Fleet) {
    let mut next: Configuration = configuration();
    next.callers.retain(|caller| caller.name != "portal");
    let id = PublicationId::from("p-2");
    let publication = publish(&id, Revision(1), next, "operator");
    let kind = Some(Kind::Publication(publication));
    fleet.append(LogStream::Configuration, &Record { kind });
}

/// Publishes a revision without the caller while an instance is paused. Returns the reasons for
/// which the instance refused calls sent during the pause, right after it and a second later.
fn refusal_after_pause(fleet: &mut Fleet, pause: Duration) -> Vec<Option<RefusalReason>> {
    let paused = fleet.instances()[0].clone();
    fleet.pause(&paused);
    fleet.run_for(pause);
    publish_without_portal(fleet);
    fleet.call(&paused, generation("while paused")).unwrap();
    fleet.run_for(Duration::from_millis(500));
    fleet.resume(&paused);
    fleet.call(&paused, generation("right after")).unwrap();
    fleet.run_for(Duration::from_secs(1));
    fleet.call(&paused, generation("a second later")).unwrap();
    fleet.run_for(Duration::from_secs(30));
    let answers = fleet.take_answers();
    let reasons = answers.iter().map(|answer| match &answer.reply {
        Reply::Refused(_, refusal) => Some(refusal.reason),
        _ => None,
    });
    reasons.collect()
}

#[rstest]
#[case::short(Duration::from_secs(3))]
#[case::beyond_suspicion_timeout(Duration::from_secs(20))]
fn paused_instance_refuses_what_the_newest_revision_refuses(#[case] pause: Duration) {
    let (mut fleet, _) = fleet();

    let reasons = refusal_after_pause(&mut fleet, pause);

    assert_eq!(reasons.len(), 3);
    for reason in &reasons {
        let is_refused = matches!(
            reason,
            Some(RefusalReason::NoConfiguration | RefusalReason::UnknownCaller)
        );
        assert!(is_refused, "{reasons:?}");
    }
}

#[test]
fn paused_instance_serves_again_while_the_log_is_down() {
    let (mut fleet, instances) = fleet();
    fleet.pause(&instances[0]);
    fleet.run_for(Duration::from_secs(20));
    fleet.log.is_down = true;
    fleet.resume(&instances[0]);
    fleet.run_for(Duration::from_secs(10));

    fleet.call(&instances[0], generation("hello")).unwrap();
    fleet.run_for(Duration::from_secs(30));

    let answers = fleet.take_answers();
    assert!(matches!(answers[0].reply, Reply::Generated(_)));
}
