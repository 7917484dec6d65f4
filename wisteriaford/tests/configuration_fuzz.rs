//! Compares the fault-tolerant reader with deserializing the whole file, on randomly damaged files.
//!
//! `WISTERIAFORD_FUZZ_CASES` sets the number of cases.

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::sample::Index;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wisteriaford::configuration_file::CheckedFile;
use wisteriaford_core::validation::validate;
use wisteriaford_proto::settings::Configuration;

const EXAMPLE: &str = include_str!("../../extra/example.toml");
const DEFAULT_CASES: u32 = 400;

/// Modification of one line of a file.
#[derive(Clone, Debug)]
enum Damage {
    Remove(Index),
    Repeat(Index),
    Truncate(Index, Index),
    Replace(Index, &'static str),
}

fn damage_strategy() -> impl Strategy<Value = Damage> {
    let texts = prop_oneof![
        Just("name = 3"),
        Just("queue_limit = \"x\""),
        Just("slots = -1"),
        Just("colour = \"red\""),
        Just("[[pool]]"),
        Just("[routes]"),
        Just("= ="),
        Just("name = \"é\u{1F600}"),
        Just("timeout_ms = 1e400"),
        Just("idempotent = false"),
        Just("leaving = true"),
    ];
    prop_oneof![
        any::<Index>().prop_map(Damage::Remove),
        any::<Index>().prop_map(Damage::Repeat),
        any::<(Index, Index)>().prop_map(|(line, len)| Damage::Truncate(line, len)),
        (any::<Index>(), texts).prop_map(|(line, text)| Damage::Replace(line, text)),
    ]
}

fn apply_damage(damages: &[Damage]) -> String {
    let mut lines: Vec<String> = EXAMPLE.lines().map(str::to_owned).collect();
    for damage in damages {
        match damage {
            Damage::Remove(line) => {
                let at = line.index(lines.len());
                lines.remove(at);
            }
            Damage::Repeat(line) => {
                let at = line.index(lines.len());
                lines.insert(at, lines[at].clone());
            }
            Damage::Truncate(line, len) => {
                let at = line.index(lines.len());
                let len = len.index(lines[at].len() + 1);
                lines[at] = lines[at].chars().take(len).collect();
            }
            Damage::Replace(line, text) => {
                let at = line.index(lines.len());
                (*text).clone_into(&mut lines[at]);
            }
        }
    }
    lines.join("\n")
}

fn case_count() -> u32 {
    let variable = std::env::var("WISTERIAFORD_FUZZ_CASES").ok();
    variable.map_or(DEFAULT_CASES, |cases| cases.parse().unwrap())
}

#[test]
fn reader_agrees_with_whole_file_deserialization() {
    let config = Config {
        cases: case_count(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let valid = std::cell::Cell::new(0_u32);
    let invalid = std::cell::Cell::new(0_u32);

    let result = runner.run(&vec(damage_strategy(), 0..4), |damages| {
        let text = apply_damage(&damages);
        let checked = CheckedFile::from_text(&text);
        let deserialized = toml::from_str::<Configuration>(&text);
        let lines = text.lines().count();
        for fault in &checked.faults {
            assert!((1..=lines + 1).contains(&fault.location.line), "{fault}");
        }
        if checked.faults.is_empty() {
            valid.set(valid.get() + 1);
            assert_eq!(deserialized.as_ref(), Ok(&checked.configuration), "{text}");
            assert_eq!(validate(&checked.configuration), []);
        } else {
            invalid.set(invalid.get() + 1);
        }
        if deserialized.is_err() {
            assert!(!checked.faults.is_empty(), "{text}");
        }
        Ok(())
    });

    result.unwrap();
    assert!(
        valid.get() > 0 && invalid.get() > 0,
        "{valid:?} valid, {invalid:?} invalid"
    );
}
