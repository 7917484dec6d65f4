//! Tests of claims: refusals of keys that are taken, log outages by route, bounded memory.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::claim::APPEND_RETRY_INTERVAL;
use wisteriaford_core::claim::ClaimEnd;
use wisteriaford_core::claim::ClaimKey;
use wisteriaford_core::claim::ClaimOutput;
use wisteriaford_core::claim::ClaimRequest;
use wisteriaford_core::claim::ClaimSettings;
use wisteriaford_core::claim::Claims;
use wisteriaford_core::claim::IN_USE_RETRY_AFTER;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::ClaimId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::RouteId;
use wisteriaford_core::refusal::Outcome;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::record::Claim;
use wisteriaford_proto::record::ClaimOutcome;
use wisteriaford_proto::record::ClaimResult;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::LogOutagePolicy;

const NOW: Timestamp = Timestamp::from_millis(1_700_000_000_000);
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_CLAIMS: usize = 10;

fn claims() -> Claims {
    let settings = ClaimSettings {
        retention: Duration::from_secs(3_600),
        clock_skew: Duration::from_secs(1),
        max_claims: MAX_CLAIMS,
    };
    Claims::new(InstanceId::from("ingress"), &settings)
}

fn request(claim: &str, key: &str) -> ClaimRequest {
    ClaimRequest {
        claim: ClaimId::from(claim),
        key: ClaimKey {
            route: RouteId::from("passes"),
            caller: CallerId::from("portal"),
            key: key.into(),
        },
        first_attempt: false,
        deadline: NOW + TIMEOUT,
        timeout: TIMEOUT,
        log_outage: LogOutagePolicy::Refuse,
    }
}

fn first_attempt(claim: &str, log_outage: LogOutagePolicy) -> ClaimRequest {
    ClaimRequest {
        first_attempt: true,
        log_outage,
        ..request(claim, "key")
    }
}

fn claim_record(claim: &str, key: &str) -> Kind {
    Kind::Claim(Claim {
        route: String::from("passes"),
        caller: String::from("portal"),
        key: String::from(key),
        claim_id: String::from(claim),
        holder: String::from("other"),
    })
}

fn result_record(claim: &str, outcome: ClaimOutcome) -> Kind {
    Kind::ClaimResult(ClaimResult {
        claim_id: String::from(claim),
        outcome: outcome.into(),
    })
}

/// Passes records to `claims`, with times one second apart from `NOW`.
fn observe(claims: &mut Claims, records: &[Kind]) {
    for (index, record) in (0..).zip(records) {
        let at_ms = NOW.as_millis() + index * 1_000;
        claims.observe(NOW, Offset(index + 1), at_ms, Some(record));
    }
}

fn poll(claims: &mut Claims, now: Timestamp) -> Vec<ClaimOutput> {
    let mut outputs = Vec::new();
    claims.poll(now, &mut outputs);
    outputs
}

#[rstest]
#[case::open(None, 0, RefusalReason::KeyInUse, Some(IN_USE_RETRY_AFTER))]
#[case::open_past_timeout(None, 9, RefusalReason::ClaimUnresolved, None)]
#[case::sent(Some(ClaimOutcome::Sent), 0, RefusalReason::ClaimUnresolved, None)]
#[case::answered(Some(ClaimOutcome::Answered), 0, RefusalReason::KeyAlreadyRun, None)]
fn refusal_of_a_taken_key_depends_on_the_winning_claim(
    #[case] result: Option<ClaimOutcome>,
    #[case] later_records: usize,
    #[case] reason: RefusalReason,
    #[case] retry_after: Option<Duration>,
) {
    // Arrange
    let mut claims = claims();
    let mut records = vec![claim_record("theirs", "key")];
    records.extend(result.map(|outcome| result_record("theirs", outcome)));
    records.extend((0..later_records).map(|_| claim_record("theirs", "key")));

    // Act
    observe(&mut claims, &records);
    let refusal = claims.begin(NOW, request("mine", "key")).unwrap_err();

    // Assert
    let expected = Refusal {
        reason,
        outcome: Outcome::OutcomeUnknown,
        retry_after,
    };
    assert_eq!(refusal, expected);
}

#[test]
fn abandoned_claim_frees_the_key_but_a_lost_claim_never_wins() {
    // Arrange
    let mut claims = claims();
    claims.begin(NOW, request("mine", "key")).unwrap();
    let abandoned = result_record("theirs", ClaimOutcome::Abandoned);

    // Act
    let records = [
        claim_record("theirs", "key"),
        claim_record("mine", "key"),
        abandoned,
        claim_record("mine", "key"),
    ];
    observe(&mut claims, &records);
    let outputs = poll(&mut claims, NOW);
    let again = claims.begin(NOW, request("again", "key"));

    // Assert
    assert!(!claims.may_dispatch(NOW, &ClaimId::from("mine")));
    assert!(matches!(outputs[..], [ClaimOutput::Refused(..)]));
    assert!(again.is_ok());
}

#[test]
fn claim_record_after_its_abandoned_result_does_not_take_the_key() {
    // Arrange
    let mut claims = claims();
    let records = [
        result_record("theirs", ClaimOutcome::Abandoned),
        claim_record("theirs", "key"),
        claim_record("mine", "key"),
    ];

    // Act
    claims.begin(NOW, request("mine", "key")).unwrap();
    observe(&mut claims, &records);

    // Assert
    assert!(claims.dispatch(NOW, &ClaimId::from("mine")));
    assert!(!claims.dispatch(NOW, &ClaimId::from("mine")));
}

#[test]
fn claim_is_appended_until_read_back_and_abandoned_at_the_deadline() {
    // Arrange
    let mut claims = claims();
    let mine = ClaimId::from("mine");
    let request = first_attempt("mine", LogOutagePolicy::Refuse);
    claims.begin(NOW, request).unwrap();

    // Act
    let first = poll(&mut claims, NOW);
    let early = poll(&mut claims, NOW);
    let again = poll(&mut claims, NOW + APPEND_RETRY_INTERVAL);
    let late = NOW + TIMEOUT;
    let given_up = poll(&mut claims, late);
    claims.observe(
        late,
        Offset(1),
        late.as_millis(),
        Some(&claim_record("mine", "key")),
    );
    let dispatched = claims.dispatch(late, &mine);
    let abandoned = result_record("mine", ClaimOutcome::Abandoned);
    claims.observe(late, Offset(2), late.as_millis(), Some(&abandoned));

    // Assert
    assert!(matches!(first[..], [ClaimOutput::AppendClaim(_)]));
    assert!(early.is_empty());
    assert_eq!(again, first);
    let refusal = Refusal::not_run(RefusalReason::ClaimUnresolved);
    assert!(given_up.contains(&ClaimOutput::Refused(mine, refusal)));
    assert!(
        given_up
            .iter()
            .any(|o| matches!(o, ClaimOutput::AppendResult(_)))
    );
    assert!(!dispatched);
    assert_eq!(claims.unsettled_len(), 0);
}

#[rstest]
#[case::undecided(false, false, ClaimEnd::Unknown, ClaimOutcome::Abandoned)]
#[case::won(true, false, ClaimEnd::Unknown, ClaimOutcome::Abandoned)]
#[case::sent(true, true, ClaimEnd::Unknown, ClaimOutcome::Sent)]
#[case::answered(true, true, ClaimEnd::Answered, ClaimOutcome::Answered)]
#[case::proven_not_run(true, true, ClaimEnd::NotRun, ClaimOutcome::Abandoned)]
fn result_of_a_claim_tells_whether_it_was_sent(
    #[case] decided: bool,
    #[case] dispatched: bool,
    #[case] end: ClaimEnd,
    #[case] outcome: ClaimOutcome,
) {
    // Arrange
    let mut claims = claims();
    let mine = ClaimId::from("mine");
    claims.begin(NOW, request("mine", "key")).unwrap();
    poll(&mut claims, NOW);
    if decided {
        observe(&mut claims, &[claim_record("mine", "key")]);
    }
    poll(&mut claims, NOW);
    assert_eq!(dispatched && claims.dispatch(NOW, &mine), dispatched);

    // Act
    claims.finish(NOW, &mine, end);
    claims.finish(NOW, &mine, ClaimEnd::Answered);
    let outputs = poll(&mut claims, NOW);

    // Assert
    let expected = ClaimResult {
        claim_id: String::from("mine"),
        outcome: outcome.into(),
    };
    assert_eq!(outputs, [ClaimOutput::AppendResult(expected)]);
}

#[test]
fn claim_id_cannot_be_reused() {
    // Arrange
    let mut claims = claims();
    let mine = ClaimId::from("mine");
    claims.begin(NOW, request("mine", "key")).unwrap();
    poll(&mut claims, NOW);

    // Act
    let while_pending = claims.begin(NOW, request("mine", "key"));
    claims.finish(NOW, &mine, ClaimEnd::NotRun);
    let ending = claims.begin(NOW, request("mine", "key"));
    let abandoned = result_record("mine", ClaimOutcome::Abandoned);
    observe(&mut claims, &[claim_record("mine", "key"), abandoned]);
    let ended = claims.begin(NOW, request("mine", "key"));

    // Assert
    for refused in [while_pending, ending, ended] {
        assert_eq!(refused.unwrap_err().reason, RefusalReason::ClaimIdUsed);
    }
    assert_eq!(claims.unsettled_len(), 0);
}

#[test]
fn log_outage_follows_the_policy_of_the_route() {
    // Arrange
    let mut claims = claims();
    let waiting = first_attempt("waiting", LogOutagePolicy::FirstAttemptOnly);
    claims.begin(NOW, waiting).unwrap();

    // Act
    claims.set_log_up(false);
    let refused = claims.begin(NOW, first_attempt("refused", LogOutagePolicy::Refuse));
    let mut second = first_attempt("second", LogOutagePolicy::FirstAttemptOnly);
    second.first_attempt = false;
    let second = claims.begin(NOW, second);
    let down = poll(&mut claims, NOW);
    let ran = claims.dispatch(NOW, &ClaimId::from("waiting"));
    claims.finish(NOW, &ClaimId::from("waiting"), ClaimEnd::Answered);
    claims.set_log_up(true);
    let up = poll(&mut claims, NOW);

    // Assert
    let refused = refused.unwrap_err();
    assert_eq!(refused.reason, RefusalReason::LogUnavailable);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(second.unwrap_err().outcome, Outcome::OutcomeUnknown);
    assert_eq!(down, [ClaimOutput::Won(ClaimId::from("waiting"))]);
    assert!(ran);
    assert!(matches!(up[..], [ClaimOutput::AppendClaim(_)]));
}

#[test]
fn keys_older_than_the_retained_claims_are_refused() {
    // Arrange
    let mut claims = claims();
    let records: Vec<_> = (0..100)
        .map(|number| claim_record(&format!("claim-{number}"), &format!("key-{number}")))
        .collect();

    // Act
    observe(&mut claims, &records);
    let key = |seconds: u64| format!("{}-key", NOW.as_millis() + seconds * 1_000);
    let mut begin = |key: &str| {
        claims
            .begin(NOW, request("mine", key))
            .map_err(|r| r.reason)
    };
    let without_time = begin("untimed");
    let evicted = begin(&key(50));
    let recent = begin(&key(95));

    // Assert
    assert_eq!(without_time, Err(RefusalReason::KeyExpired));
    assert_eq!(evicted, Err(RefusalReason::KeyExpired));
    assert_eq!(recent, Ok(()));
    assert_eq!(claims.retained_len(), MAX_CLAIMS);
}

#[rstest]
#[case::uuid_version_7("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Some(1_645_557_742_000))]
#[case::uuid_version_4("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", None)]
#[case::millis("1700000000000-badge-7", Some(1_700_000_000_000))]
#[case::plain("badge-7", None)]
fn issue_time_is_read_from_the_key(#[case] key: &str, #[case] issued_ms: Option<u64>) {
    // Arrange
    let key = request("mine", key).key;

    // Act
    let parsed = key.issued_ms();

    // Assert
    assert_eq!(parsed, issued_ms);
}
