//! Tests that each kind of configuration error is reported with its location and value.

use rstest::rstest;
use wisteriaford_core::validation::validate;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::LogOutagePolicy;

use self::fixtures::configuration;

#[path = "fixtures/configuration.rs"]
mod fixtures;

#[test]
fn valid_configuration_has_no_errors() {
    assert_eq!(validate(&configuration()), Vec::new());
}

type Mutation = fn(&mut Configuration);

#[rstest]
#[case(|c: &mut Configuration| c.pools.clear(), "pools: must have at least one entry")]
#[case(|c: &mut Configuration| c.pools[1].name = "restoration".into(), r#"pools[1] "restoration" name: "restoration" is the name of entry 0 too"#)]
#[case(|c: &mut Configuration| c.callers[0].name.clear(), r#"callers[0] name: "": an identifier must not be empty"#)]
#[case(|c: &mut Configuration| c.callers[0].name = "a b".into(), r#"callers[0] "a b" name: "a b": character ' ' is not allowed in an identifier"#)]
#[case(|c: &mut Configuration| c.endpoints[0].pool = "other".into(), r#"endpoints[0] "engine-1" pool: pool "other" does not exist"#)]
#[case(|c: &mut Configuration| c.endpoints[0].slots = 0, r#"endpoints[0] "engine-1" slots: 0 is out of range, 1 to 65536 is allowed"#)]
#[case(|c: &mut Configuration| c.endpoints[0].kind = 7, r#"endpoints[0] "engine-1" kind: 7 is not a known value"#)]
#[case(|c: &mut Configuration| c.endpoints[0].kind = 1, r#"endpoints[0] "engine-1" kind: PLAIN_SERVICE does not match pool "restoration", which has a model and holds model engines"#)]
#[case(|c: &mut Configuration| c.endpoints[2].kind = 0, r#"endpoints[2] "badge-1" kind: MODEL_ENGINE does not match pool "badges", which has no model and holds plain services"#)]
#[case(|c: &mut Configuration| c.endpoints[0].address = "engine:80".into(), r#"endpoints[0] "engine-1" address: "engine:80" is no IP number and port that can be connected to, such as 10.0.0.1:8000"#)]
#[case(|c: &mut Configuration| c.endpoints[0].address = "10.0.0.1:0".into(), r#"endpoints[0] "engine-1" address: "10.0.0.1:0" is no IP number and port that can be connected to, such as 10.0.0.1:8000"#)]
#[case(|c: &mut Configuration| c.endpoints[1].address = "10.0.0.1:1".into(), r#"endpoints[1] "engine-2" address: 10.0.0.1:1 is the address of entry 0 too"#)]
#[case(|c: &mut Configuration| c.endpoints[1].region = "qc-east".into(), r#"endpoints[1] "engine-2" region: an earlier endpoint assigns availability zone "ariana" to region "tunis-nord""#)]
#[case(|c: &mut Configuration| c.pools[0].capacity_floor_percent = 101, r#"pools[0] "restoration" capacity_floor_percent: 101 is out of range, 0 to 99 is allowed"#)]
#[case(|c: &mut Configuration| c.pools[0].capacity_floor_percent = 51, r#"pools[0] "restoration" capacity_floor_percent: a floor of 51 % keeps all 2 engines in service, so none can load weights"#)]
#[case(|c: &mut Configuration| c.pools[0].silence_timeout_ms = 1, r#"pools[0] "restoration" silence_timeout_ms: 1 is out of range, 100 to 600000 is allowed"#)]
#[case(|c: &mut Configuration| c.pools[0].scorer_address = "x".into(), r#"pools[0] "restoration" scorer_address: "x" is no IP number and port that can be connected to, such as 10.0.0.1:8000"#)]
#[case(|c: &mut Configuration| c.endpoints.truncate(2), r#"pools[1] "badges" name: the pool has no endpoints"#)]
#[case(|c: &mut Configuration| c.callers[0].share_weight = 0, r#"callers[0] "portal" share_weight: 0 is out of range, 1 to 1000000 is allowed"#)]
#[case(|c: &mut Configuration| c.routes[0].pool = "restoration".into(), r#"routes[0] "scan" pool: pool "restoration" holds model engines, but a route requires a pool of plain services"#)]
#[case(|c: &mut Configuration| c.routes[0].name = "a/b".into(), r#"routes[0] "a/b" name: "a/b" cannot be used in a request path: '/' and ':' are not allowed"#)]
#[case(|c: &mut Configuration| { c.routes[0].idempotent = true; c.routes[0].log_outage = LogOutagePolicy::FirstAttemptOnly.into(); }, r#"routes[0] "scan" log_outage: first_attempt_only conflicts with idempotent = true"#)]
fn error_is_reported_with_its_location(#[case] mutate: Mutation, #[case] expected: &str) {
    let mut configuration = configuration();
    mutate(&mut configuration);

    let errors = validate(&configuration);

    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(
        messages.iter().any(|message| message == expected),
        "{messages:#?}"
    );
}
