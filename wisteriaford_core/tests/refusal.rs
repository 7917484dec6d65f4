//! Codes of refusals and retries.

use std::collections::HashSet;

use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::refusal::RetryReason;

fn assert_valid_codes(codes: &[&'static str]) {
    let distinct: HashSet<_> = codes.iter().collect();
    assert_eq!(distinct.len(), codes.len());
    assert!(
        codes
            .iter()
            .all(|code| code.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
    );
}

#[test]
fn codes_are_distinct_and_displayed() {
    // Arrange
    let refusals: Vec<_> = RefusalReason::ALL.iter().map(|r| r.code()).collect();
    let retries: Vec<_> = RetryReason::ALL.iter().map(|r| r.code()).collect();

    // Act
    let displayed: Vec<_> = RefusalReason::ALL.iter().map(ToString::to_string).collect();

    // Assert
    assert_valid_codes(&refusals);
    assert_valid_codes(&retries);
    assert_eq!(displayed, refusals);
}
