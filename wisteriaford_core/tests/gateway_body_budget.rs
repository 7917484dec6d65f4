//! Memory for large answers of endpoints.

use wisteriaford_core::gateway::body_budget::BodyBudget;
use wisteriaford_core::gateway::body_budget::Reservation;
use wisteriaford_core::id::EndpointId;

const KIB: usize = 1_024;

fn endpoint(name: &str) -> EndpointId {
    EndpointId::from(name)
}

/// Guards against slow endless bodies that keep all other large answers from being read.
#[test]
fn slow_endless_bodies_leave_memory_to_others() {
    let mut budget = BodyBudget::new(4_096 * KIB);
    let (faulty, sound) = (endpoint("faulty"), endpoint("sound"));

    let endless: Vec<_> = (0..20)
        .map(|_| budget.reserve(&faulty, 0, 40 * KIB))
        .collect();
    let other = budget.reserve(&sound, 0, 60 * KIB);

    assert!(endless.iter().all(|r| *r == Reservation::Granted));
    assert_eq!(other, Reservation::Granted);
}

/// Guards against bodies that wait for each other's memory without end.
#[test]
fn a_body_that_holds_much_gives_way_once_no_memory_is_left() {
    let mut budget = BodyBudget::new(1_024 * KIB);
    let (one, other) = (endpoint("one"), endpoint("other"));
    budget.reserve(&one, 0, 500 * KIB);
    budget.reserve(&other, 0, 260 * KIB);

    let small = budget.reserve(&other, 24 * KIB, 32 * KIB);
    let large = budget.reserve(&one, 500 * KIB, 32 * KIB);
    budget.release(&one, 500 * KIB);
    let later = budget.reserve(&other, 24 * KIB, 32 * KIB);

    assert_eq!(
        (small, large, later),
        (
            Reservation::Wait,
            Reservation::Refused,
            Reservation::Granted
        )
    );
}

/// Guards against a faulty endpoint that takes all memory with bodies that it never ends, each too small to give
/// way: large answers of sound endpoints were lost.
#[test]
fn bodies_of_faulty_endpoints_leave_memory_to_sound_ones() {
    let mut budget = BodyBudget::new(4_096 * KIB);

    for name in ["faulty", "also-faulty"] {
        let faulty = endpoint(name);
        while budget.reserve(&faulty, 0, 200 * KIB) == Reservation::Granted {}
    }
    let sound = budget.reserve(&endpoint("sound"), 0, 200 * KIB);

    assert_eq!(sound, Reservation::Granted);
}

/// Guards against refusing the largest answer of a sound endpoint while nothing else is held.
#[test]
fn a_single_body_may_take_half_of_the_memory() {
    let mut budget = BodyBudget::new(4_096 * KIB);

    let largest = budget.reserve(&endpoint("sound"), 0, 2_048 * KIB);

    assert_eq!(largest, Reservation::Granted);
}
