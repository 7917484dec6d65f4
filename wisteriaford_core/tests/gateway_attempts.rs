//! Tests of the attempts of a request.

use wisteriaford_core::gateway::attempts::Attempts;

/// Sends a request to endpoints as long as it may be sent; returns their number.
fn count_tries(attempts: &mut Attempts, is_reachable: impl Fn(usize) -> bool) -> usize {
    let mut count = 0;
    while attempts.may_try() {
        attempts.record(format!("e-{count}").as_str().into());
        if !is_reachable(count) {
            attempts.record_unreachable();
        }
        count += 1;
    }
    count
}

#[test]
fn a_request_is_sent_to_no_more_endpoints_than_its_route_allows() {
    let mut attempts = Attempts::new(3);

    let tries = count_tries(&mut attempts, |_| true);

    assert_eq!(tries, 3);
    assert_eq!(attempts.tried().len(), 3);
}

/// Several endpoints may be down at once, and the others still serve.
#[test]
fn endpoints_without_a_connection_do_not_count() {
    let mut attempts = Attempts::new(2);

    let tries = count_tries(&mut attempts, |number| number >= 4);

    assert_eq!(tries, 6);
}

#[test]
fn a_request_is_given_up_when_no_endpoint_can_be_connected_to() {
    let mut attempts = Attempts::new(2);

    let tries = count_tries(&mut attempts, |_| false);

    assert_eq!(tries, 8);
}

#[test]
fn a_request_is_sent_once_even_if_its_route_allows_none() {
    assert_eq!(count_tries(&mut Attempts::new(0), |_| true), 1);
}
