//! Checks that the pages for callers and operators document every code, event, metric and setting.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::CommandFactory;
use rstest::rstest;
use wisteriaford_core::diagnostic::Diagnostic;
use wisteriaford_core::explain::Decision;
use wisteriaford_core::id::Revision;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::refusal::RetryReason;
use wisteriafordd::arguments::Arguments;
use wisteriafordd::metrics::Metrics;
use wisteriafordd::runtime::SharedState;

const DIAGNOSTIC_SOURCE: &str = include_str!("../../wisteriaford_core/src/diagnostic.rs");
const DECISION_SOURCE: &str = include_str!("../../wisteriaford_core/src/explain.rs");
const MESSAGE_SOURCE: &str = include_str!("../../wisteriaford_client/src/message.rs");
const SETTINGS_SCHEMA: &str =
    include_str!("../../wisteriaford_proto/proto/wisteriaford/settings.proto");

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(name);
    fs::read_to_string(path).unwrap()
}

/// Returns the texts that a page formats as inline code.
fn code_words(name: &str) -> BTreeSet<String> {
    let page = page(name);
    let quoted = page.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

fn missing<'a>(words: impl IntoIterator<Item = &'a str>, page: &str) -> Vec<&'a str> {
    let documented = code_words(page);
    let words = words.into_iter();
    words.filter(|word| !documented.contains(*word)).collect()
}

/// Returns the variant names of an enum in snake case, extracted from its source code.
fn variants(source: &str, name: &str) -> Vec<String> {
    let start = source.find(&format!("pub enum {name} {{")).unwrap();
    let body = &source[start..];
    let body = &body[..body.find("\n}").unwrap()];
    let variant = |line: &str| {
        let line = line.strip_prefix("    ")?;
        let first = line.chars().next()?;
        let name: String = line.chars().take_while(|c| c.is_alphanumeric()).collect();
        first.is_ascii_uppercase().then(|| snake_case(&name))
    };
    body.lines().filter_map(variant).collect()
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for character in name.chars() {
        if character.is_ascii_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.push(character.to_ascii_lowercase());
    }
    text
}

fn metrics() -> String {
    let shared = Arc::new(SharedState::new(Arc::new(AtomicBool::new(false))));
    let metrics = Metrics::start(&shared).unwrap();
    String::from_utf8(metrics.text()).unwrap()
}

#[rstest]
#[case("API.md")]
#[case("OPERATIONS.md")]
fn every_refusal_reason_is_documented(#[case] page: &str) {
    let codes = RefusalReason::ALL.iter().map(|reason| reason.code());

    assert_eq!(missing(codes, page), Vec::<&str>::new());
}

#[test]
fn every_retry_reason_is_documented() {
    let codes = RetryReason::ALL.iter().map(|reason| reason.code());

    assert_eq!(missing(codes, "OPERATIONS.md"), Vec::<&str>::new());
}

#[test]
fn every_event_is_documented() {
    let events = variants(DIAGNOSTIC_SOURCE, "Diagnostic");

    let missing = missing(events.iter().map(String::as_str), "OPERATIONS.md");

    assert!(events.len() > 10, "{events:?}");
    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn extracted_event_names_match_logged_ones() {
    let diagnostic = Diagnostic::RevisionInForce {
        revision: Revision(1),
        source: "log",
    };

    let line = serde_json::to_value(&diagnostic).unwrap();

    assert_eq!(line["event"], "revision_in_force");
    assert!(variants(DIAGNOSTIC_SOURCE, "Diagnostic").contains(&"revision_in_force".to_owned()));
}

#[test]
fn every_decision_is_documented() {
    let kinds = variants(DECISION_SOURCE, "Decision");

    let missing = missing(kinds.iter().map(String::as_str), "API.md");

    assert!(kinds.contains(&Decision::Claimed.kind().to_owned()));
    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn every_field_of_a_message_is_documented() {
    let field = |line: &'static str| {
        let (name, _) = line.strip_prefix("    pub ")?.split_once(':')?;
        let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
        name.chars().all(is_name).then_some(name)
    };
    let fields: BTreeSet<&str> = MESSAGE_SOURCE.lines().filter_map(field).collect();
    let page = page("API.md");
    let words = page.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    let words: BTreeSet<&str> = words.collect();

    let missing: Vec<_> = fields.difference(&words).collect();

    assert!(fields.len() > 40, "{fields:?}");
    assert_eq!(missing, Vec::<&&str>::new());
}

#[test]
fn every_metric_is_documented() {
    let text = metrics();
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_whitespace().next())
        .collect();

    assert!(names.len() > 15, "{names:?}");
    assert_eq!(missing(names, "OPERATIONS.md"), Vec::<&str>::new());
}

#[test]
fn every_reason_is_counted() {
    let text = metrics();

    for reason in RefusalReason::ALL {
        let counter = format!("wisteriaford_refusals_total{{reason=\"{reason}\"");
        assert!(text.contains(&counter), "{counter}");
    }
    for reason in RetryReason::ALL {
        let counter = format!("wisteriaford_retries_total{{reason=\"{reason}\"");
        assert!(text.contains(&counter), "{counter}");
    }
}

#[test]
fn every_setting_is_documented() {
    let command = Arguments::command();
    let flags = command.get_arguments().filter_map(clap::Arg::get_long);
    let flags = flags.map(|flag| format!("--{flag}"));
    let variables = command.get_arguments().filter_map(clap::Arg::get_env);
    let variables = variables.map(|name| name.to_string_lossy().into_owned());
    let words: Vec<String> = flags.chain(variables).collect();

    let missing = missing(words.iter().map(String::as_str), "OPERATIONS.md");

    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn every_field_of_the_configuration_is_documented() {
    let field = |line: &'static str| {
        let (declared, _) = line.strip_prefix("  ")?.split_once(" = ")?;
        declared.split_once(' ')?;
        declared.rsplit(' ').next()
    };
    let fields: BTreeSet<&str> = SETTINGS_SCHEMA.lines().filter_map(field).collect();

    assert!(fields.len() > 20, "{fields:?}");
    assert_eq!(missing(fields, "OPERATIONS.md"), Vec::<&str>::new());
}

#[test]
fn documented_example_matches_the_shipped_file() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/example.toml");
    let example = fs::read_to_string(example).unwrap();

    let page = page("OPERATIONS.md");

    assert!(page.contains(&format!("```toml\n{example}```\n")));
}
