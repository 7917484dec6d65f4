//! Serialisation of enum values by name.

use rstest::rstest;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Priority;

#[rstest]
#[case(Priority::Interactive, "interactive")]
#[case(Priority::Batch, "batch")]
fn priority_is_serialised_by_name(#[case] priority: Priority, #[case] name: &str) {
    let caller = Caller {
        priority: priority.into(),
        ..Caller::default()
    };

    let json = serde_json::to_value(&caller).unwrap();

    assert_eq!(json["priority"], name);
    assert_eq!(serde_json::from_value::<Caller>(json).unwrap(), caller);
}

#[test]
fn unknown_name_is_refused() {
    let json = r#"{"priority": "urgent"}"#;

    let error = serde_json::from_str::<Caller>(json).unwrap_err();

    assert!(error.to_string().contains("unknown name \"urgent\""));
}
