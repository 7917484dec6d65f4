//! The measurement is deterministic for a seed, and its counts and shares are correct.

use std::time::Duration;

use wisteriaford_bench::measure::figures::Figures;
use wisteriaford_bench::measure::figures::SlotShares;
use wisteriaford_bench::measure::figures::max_min_shares;
use wisteriaford_bench::measure::scenario::Case;
use wisteriaford_bench::measure::scenario::Decider;
use wisteriaford_bench::measure::scenario::Scenario;
use wisteriaford_bench::measure::scenario::User;

fn run(case: Case, decider: Decider, seed: u64) -> Figures {
    let scenario = Scenario {
        user: User::Office,
        case,
        decider,
        seed,
        length: Duration::from_secs(60),
    };
    scenario.run()
}

#[test]
fn same_seed_reproduces_the_results_and_another_does_not() {
    let one = run(Case::AllAtOnce, Decider::Design, 7);
    let again = run(Case::AllAtOnce, Decider::Design, 7);
    let other = run(Case::AllAtOnce, Decider::Design, 8);

    assert_eq!(one, again);
    assert_ne!(one, other);
}

#[test]
fn guarantees_hold_under_faults() {
    let figures = run(Case::AllAtOnce, Decider::Design, 1);

    assert!(figures.crashes >= 2, "{figures:?}");
    assert!(figures.steps > 0 && figures.interactive > 0, "{figures:?}");
    let violations = figures.repeated + figures.too_old + figures.unlabelled;
    assert_eq!(violations, 0, "{figures:?}");
}

#[test]
fn naive_implementation_completes_steps() {
    let figures = run(Case::NoFault, Decider::Naive, 1);

    assert!(figures.steps > 0 && figures.interactive > 0, "{figures:?}");
}

#[test]
fn slots_are_divided_by_max_min_fairness() {
    let shares = max_min_shares(12.0, &[20.0, 2.0, 7.0]);

    assert_eq!(shares, [5.0, 2.0, 5.0]);
}

#[test]
fn surplus_in_one_window_does_not_offset_a_shortfall_in_another() {
    let mut shares = SlotShares::default();

    shares.add("one", 20.0, 10.0);
    shares.end_window();
    shares.add("one", 5.0, 10.0);
    shares.end_window();

    assert_eq!(shares.worst(), ("one", 75.0));
}
