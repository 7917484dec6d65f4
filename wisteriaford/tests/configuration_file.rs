//! Checks the faults reported for configuration files, and their locations.

use std::path::Path;

use rstest::rstest;
use wisteriaford::configuration_file::CheckedFile;
use wisteriaford::configuration_file::FileError;
use wisteriaford::location::LineIndex;
use wisteriaford::location::Location;
use wisteriaford::report::ShowReport;

const EXAMPLE: &str = include_str!("../../extra/example.toml");

fn faults_of(text: &str) -> Vec<String> {
    let checked = CheckedFile::from_text(text);
    checked.faults.iter().map(ToString::to_string).collect()
}

/// Returns the example file with the first occurrence of `from` replaced.
fn example_with(from: &str, to: &str) -> String {
    assert!(
        EXAMPLE.contains(from),
        "the example does not contain {from:?}"
    );
    EXAMPLE.replacen(from, to, 1)
}

#[test]
fn example_has_no_faults() {
    let checked = CheckedFile::from_text(EXAMPLE);

    assert_eq!(checked.faults, []);
    assert_eq!(checked.configuration.pools.len(), 2);
    assert_eq!(checked.configuration.endpoints.len(), 4);
    assert_eq!(checked.configuration.callers.len(), 3);
    assert_eq!(checked.configuration.routes.len(), 2);
}

#[test]
fn reader_agrees_with_whole_file_deserialization() {
    let deserialized = toml::from_str(EXAMPLE).unwrap();

    let checked = CheckedFile::from_text(EXAMPLE);

    assert_eq!(checked.configuration, deserialized);
}

#[test]
fn every_fault_is_reported_with_its_location() {
    let text = r#"
[[pools]]
name = "restoration"
modle = "restorer"
queue_limit = "many"
interactive_cap_percent = 180
quarantine_ms = 600000

[[endpoints]]
name = "engine-1"
pool = "restoratio"
kind = "plain_servce"
address = "not an address"
availability_zone = "a"
region = "r"
slots = -4

[[endpoints]]
name = "engine-1"
pool = "restoration"
kind = "plain_service"
address = "127.0.0.1:7101"
availability_zone = "a"
region = "r"
slots = 4

[[caller]]
name = "portal"
"#;

    let faults = faults_of(text);

    let prefixes = [
        "4:1: pools[0]: unknown field `modle`; did you mean `model`?",
        "5:15: pools[0] queue_limit: invalid type: string \"many\", expected u32",
        "6:27: pools[0] \"restoration\" interactive_cap_percent: 180 is out of range",
        "12:8: endpoints[0] kind: unknown name \"plain_servce\"",
        "13:11: endpoints[0] \"engine-1\" address: \"not an address\" is no IP number",
        "16:9: endpoints[0] slots: invalid value: integer `-4`, expected u32",
        "19:8: endpoints[1] \"engine-1\" name: \"engine-1\" is the name of entry 0 too",
        "27:3: unknown section `caller`; did you mean `callers`?",
    ];
    assert_eq!(faults.len(), prefixes.len(), "{faults:#?}");
    for (fault, prefix) in faults.iter().zip(prefixes) {
        assert!(fault.starts_with(prefix), "{fault}\n{prefix}");
    }
}

#[test]
fn multiple_syntax_faults_are_reported() {
    let text = "[[pools]]\nname = \nqueue_limit = 1x\nslots = 4\n\n[[callers]\nname = \"a\"\n";

    let faults = faults_of(text);

    let lines: Vec<_> = faults
        .iter()
        .map(|f| f.split(':').next().unwrap())
        .collect();
    assert!(lines.contains(&"2"), "{faults:#?}");
    assert!(lines.contains(&"3"), "{faults:#?}");
    assert!(lines.contains(&"4"), "{faults:#?}");
    assert!(lines.contains(&"6"), "{faults:#?}");
}

#[rstest]
#[case("pool = \"badges\"\nkind", "pool = \"badge\"\nkind", "badge")]
#[case(
    "log_outage = \"first_attempt_only\"",
    "log_outage = \"refuses\"",
    "refuses"
)]
#[case("rate_limit_per_s = 500", "rate_limit_per_s = 0", "0 is out of range")]
#[case("timeout_ms = 2000", "timeout_ms = 2.5", "floating point")]
#[case("idempotent = true", "idempotent = \"yes\"", "boolean")]
#[case("slots = 8", "slots = 4294967296", "4294967296")]
fn single_fault_is_reported_at_its_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let text = example_with(from, to);
    let line = text[..text.find(to).unwrap()].matches('\n').count() + 1;

    let faults = faults_of(&text);

    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].starts_with(&format!("{line}:")), "{faults:#?}");
    assert!(faults[0].contains(message), "{faults:#?}");
}

#[test]
fn missing_field_is_reported_at_its_entry() {
    let text = example_with("slots = 8\n", "");
    let line = text[..text.find("[[endpoints]]").unwrap()]
        .matches('\n')
        .count()
        + 1;

    let faults = faults_of(&text);

    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(
        faults[0].starts_with(&format!("{line}:1: endpoints[0]")),
        "{faults:#?}"
    );
}

#[test]
fn duplicate_field_is_reported() {
    let text = example_with("slots = 8\n", "slots = 8\nslots = 9\n");

    let faults = faults_of(&text);

    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].contains("duplicate key"), "{faults:#?}");
}

#[rstest]
#[case("[pools]\nname = \"a\"\n", "1:1: `pools` must be written as [[pools]]")]
#[case("pools = 3\n", "1:9: `pools` must be written as [[pools]]")]
#[case("pools = [3]\n", "1:10: `pools` must be written as [[pools]]")]
fn sections_that_are_not_arrays_of_tables_are_rejected(#[case] text: &str, #[case] prefix: &str) {
    let faults = faults_of(text);

    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].starts_with(prefix), "{faults:#?}");
}

#[test]
fn empty_file_has_a_fault() {
    assert_eq!(faults_of(""), ["1:1: pools: must have at least one entry"]);
}

#[rstest]
#[case(0, 1, 1)]
#[case(3, 2, 1)]
#[case(5, 2, 2)]
#[case(99, 2, 4)]
fn columns_count_characters(#[case] offset: usize, #[case] line: usize, #[case] column: usize) {
    let text = "ab\néàx";

    assert_eq!(
        LineIndex::new(text).location(offset),
        Location { line, column }
    );
}

#[test]
fn show_output_is_a_valid_configuration_file() {
    let configuration = CheckedFile::from_text(EXAMPLE).configuration;
    let report = ShowReport {
        revision: 3,
        publication_id: "p".to_owned(),
        author: Some("ann\n[[pools]]".to_owned()),
        configuration: configuration.clone(),
    };

    let checked = CheckedFile::from_text(&report.to_string());

    assert_eq!(checked.faults, []);
    assert_eq!(checked.configuration, configuration);
}

#[test]
fn invalid_utf8_is_reported_with_its_location() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("invalid_utf8.toml");
    std::fs::write(&path, b"a = 1\nb\xff").unwrap();

    let error = CheckedFile::open(&path).unwrap_err();

    assert!(
        error
            .to_string()
            .contains("invalid_utf8.toml:2:2: the file is not valid UTF-8")
    );
}

#[test]
fn missing_file_is_reported() {
    let error = CheckedFile::open(Path::new("no/such/file.toml")).unwrap_err();

    assert!(matches!(error, FileError::Unreadable { .. }));
    assert!(error.to_string().contains("no/such/file.toml"));
}
