//! End-to-end run as separate processes.

use wisteriaford_bench::quickstart;
use wisteriaford_bench::quickstart::Settings;

#[test]
fn small_quickstart_violates_no_guarantee() {
    let settings = Settings::small();

    let outcome = quickstart::run(&settings).unwrap();

    assert!(outcome.violations.is_empty(), "{outcome:?}");
    assert_eq!(outcome.summary.samples_asked, 32);
}
