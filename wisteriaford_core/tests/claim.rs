//! Claims: what second senders are told, log outages by route, bounded memory.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::claim::APPEND_RETRY;
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
    Claims::new(InstanceId::from("entry"), &settings)
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

/// Feeds records, one a second from `NOW`.
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
#[case::open_for_long(None, 9, RefusalReason::ClaimUnresolved, None)]
#[case::sent(Some(ClaimOutcome::Sent), 0, RefusalReason::ClaimUnresolved, None)]
#[case::answered(Some(ClaimOutcome::Answered), 0, RefusalReason::KeyAlreadyRun, None)]
fn second_sender_is_told_what_the_log_knows(
    #[case] result: Option<ClaimOutcome>,
    #[case] others: usize,
    #[case] reason: RefusalReason,
    #[case] retry_after: Option<Duration>,
) {
    // Arrange
    let mut claims = claims();
    let mut records = vec![claim_record("theirs", "key")];
    records.extend(result.map(|outcome| result_record("theirs", outcome)));
    records.extend((0..others).map(|_| claim_record("theirs", "key")));

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
fn claim_that_was_abandoned_frees_the_key_but_a_loser_never_wins() {
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
fn late_record_of_an_abandoned_claim_blocks_nobody() {
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
fn append_is_repeated_until_read_back_and_given_up_for_good_at_the_deadline() {
    // Arrange
    let mut claims = claims();
    let mine = ClaimId::from("mine");
    let request = first_attempt("mine", LogOutagePolicy::Refuse);
    claims.begin(NOW, request).unwrap();

    // Act
    let first = poll(&mut claims, NOW);
    let early = poll(&mut claims, NOW);
    let again = poll(&mut claims, NOW + APPEND_RETRY);
    let late = NOW + TIMEOUT;
    let given_up = poll(&mut claims, late);
    claims.observe(
        late,
        Offset(1),
        late.as_millis(),
        Some(&claim_record("mine", "key")),
    );
    let allowed = claims.dispatch(late, &mine);
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
    assert!(!allowed);
    assert_eq!(claims.in_progress(), 0);
}

#[rstest]
#[case::undecided(false, false, ClaimEnd::Unknown, ClaimOutcome::Abandoned)]
#[case::won(true, false, ClaimEnd::Unknown, ClaimOutcome::Abandoned)]
#[case::sent(true, true, ClaimEnd::Unknown, ClaimOutcome::Sent)]
#[case::answered(true, true, ClaimEnd::Answered, ClaimOutcome::Answered)]
#[case::proven_not_run(true, true, ClaimEnd::NotRun, ClaimOutcome::Abandoned)]
fn end_of_a_claim_says_whether_it_was_sent(
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
fn id_of_an_earlier_claim_is_refused_also_after_its_end() {
    // Arrange
    let mut claims = claims();
    let mine = ClaimId::from("mine");
    claims.begin(NOW, request("mine", "key")).unwrap();
    poll(&mut claims, NOW);

    // Act
    let twice = claims.begin(NOW, request("mine", "key"));
    claims.finish(NOW, &mine, ClaimEnd::NotRun);
    let ending = claims.begin(NOW, request("mine", "key"));
    let abandoned = result_record("mine", ClaimOutcome::Abandoned);
    observe(&mut claims, &[claim_record("mine", "key"), abandoned]);
    let ended = claims.begin(NOW, request("mine", "key"));

    // Assert
    for refused in [twice, ending, ended] {
        assert_eq!(refused.unwrap_err().reason, RefusalReason::ClaimIdUsed);
    }
    assert_eq!(claims.in_progress(), 0);
}

#[test]
fn log_outage_is_met_as_the_route_says() {
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
fn keys_older_than_what_is_remembered_are_refused() {
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
    let untimed = begin("untimed");
    let dropped = begin(&key(50));
    let recent = begin(&key(95));

    // Assert
    assert_eq!(untimed, Err(RefusalReason::KeyExpired));
    assert_eq!(dropped, Err(RefusalReason::KeyExpired));
    assert_eq!(recent, Ok(()));
    assert_eq!(claims.remembered(), MAX_CLAIMS);
}

#[rstest]
#[case::uuid_version_7("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Some(1_645_557_742_000))]
#[case::uuid_version_4("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", None)]
#[case::millis("1700000000000-badge-7", Some(1_700_000_000_000))]
#[case::plain("badge-7", None)]
fn time_of_a_key_is_read(#[case] key: &str, #[case] issued_ms: Option<u64>) {
    // Arrange
    let key = request("mine", key).key;

    // Act
    let read = key.issued_ms();

    // Assert
    assert_eq!(read, issued_ms);
}
