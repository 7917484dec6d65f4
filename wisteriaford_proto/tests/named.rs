//! Names of enumerations in configuration files.

use rstest::rstest;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Priority;

#[rstest]
#[case(Priority::Interactive, "interactive")]
#[case(Priority::Batch, "batch")]
fn priority_is_written_by_name(#[case] priority: Priority, #[case] name: &str) {
    let caller = Caller {
        priority: priority.into(),
        ..Caller::default()
    };

    let text = serde_json::to_value(&caller).unwrap();

    assert_eq!(text["priority"], name);
    assert_eq!(serde_json::from_value::<Caller>(text).unwrap(), caller);
}

#[test]
fn unknown_name_is_refused() {
    let text = r#"{"priority": "urgent"}"#;

    let error = serde_json::from_str::<Caller>(text).unwrap_err();

    assert!(error.to_string().contains("unknown name \"urgent\""));
}
