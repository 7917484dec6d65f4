//! Quarantine: suspects run alone, repeated crashers are refused, innocents go free.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wisteriaford_core::id::Fingerprint;
use wisteriaford_core::quarantine::MAX_SUSPECTS;
use wisteriaford_core::quarantine::MAX_UPDATES;
use wisteriaford_core::quarantine::Quarantine;
use wisteriaford_core::quarantine::Verdict;
use wisteriaford_core::time::Timestamp;

const HOLD: Duration = Duration::from_secs(60);
const NOW: Timestamp = Timestamp::from_millis(100_000);
const GUILTY: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

fn quarantine() -> Quarantine {
    Quarantine::new(HOLD)
}

fn gossip(from: &mut Quarantine, to: &mut Quarantine, now: Timestamp) {
    for suspect in from.updates(now) {
        to.merge(now, &suspect);
    }
}

#[test]
fn second_crash_is_refused_at_every_instance_for_the_hold() {
    // Arrange
    let (mut a, mut b) = (quarantine(), quarantine());
    let later = NOW + Duration::from_secs(10);

    // Act
    let before = b.verdict(NOW, GUILTY, HOLD);
    a.note_crash(NOW, "engine-1/7", &[GUILTY, INNOCENT]);
    a.note_crash(NOW, "engine-1/7", &[GUILTY, INNOCENT]);
    gossip(&mut a, &mut b, NOW);
    let once = b.verdict(NOW, GUILTY, HOLD);
    b.note_crash(later, "engine-2/3", &[GUILTY]);
    gossip(&mut b, &mut a, later);

    // Assert
    assert_eq!(before, Verdict::Free);
    assert_eq!(once, Verdict::Alone);
    let until = later + HOLD;
    assert_eq!(a.verdict(later, GUILTY, HOLD), Verdict::Refused { until });
    assert_eq!(b.verdict(later, GUILTY, HOLD), Verdict::Refused { until });
    assert_eq!(a.verdict(later, INNOCENT, HOLD), Verdict::Alone);
    assert_eq!(a.verdict(until, GUILTY, HOLD), Verdict::Free);
}

#[test]
fn completed_run_clears_everywhere_and_late_gossip_does_not_undo_it() {
    // Arrange
    let (mut a, mut b) = (quarantine(), quarantine());
    a.note_crash(NOW, "engine-1/7", &[INNOCENT]);
    let old = a.updates(NOW);
    for suspect in &old {
        b.merge(NOW, suspect);
    }

    // Act
    a.note_completed(INNOCENT);
    gossip(&mut a, &mut b, NOW);
    for suspect in &old {
        b.merge(NOW, suspect);
    }
    let cleared = b.verdict(NOW, INNOCENT, HOLD);
    b.note_crash(NOW, "engine-2/3", &[INNOCENT]);

    // Assert
    assert_eq!(cleared, Verdict::Free);
    assert_eq!(b.verdict(NOW, INNOCENT, HOLD), Verdict::Alone);
}

#[test]
fn memory_and_messages_are_bounded_and_age_out() {
    // Arrange
    let mut quarantine = quarantine();
    let many: Vec<_> = (0..10_000).map(Fingerprint).collect();

    // Act
    quarantine.note_crash(NOW, "engine-1/7", &many);
    let kept = quarantine.len();
    let updates = quarantine.updates(NOW).len();
    let aged = quarantine.updates(NOW + HOLD).len();

    // Assert
    assert_eq!(kept, MAX_SUSPECTS);
    assert_eq!(updates, MAX_UPDATES);
    assert_eq!(aged, 0);
    assert!(quarantine.is_empty());
}

#[test]
fn request_with_progress_is_refused_at_its_third_crash_and_alone_from_its_second() {
    // Arrange
    let (mut a, mut b) = (quarantine(), quarantine());
    let mut verdicts = Vec::new();

    // Act
    for crash in ["engine-1/7", "engine-2/3", "engine-3/4"] {
        a.note_crash_after_progress(NOW, crash, &[GUILTY]);
        a.note_crash_after_progress(NOW, crash, &[GUILTY]);
        gossip(&mut a, &mut b, NOW);
        verdicts.push(b.verdict(NOW, GUILTY, HOLD));
    }

    // Assert
    let until = NOW + HOLD;
    let expected = [Verdict::Free, Verdict::Alone, Verdict::Refused { until }];
    assert_eq!(verdicts, expected);
}

#[test]
fn crash_counts_in_full_once_one_run_had_made_no_token() {
    // Arrange
    let (mut a, mut b) = (quarantine(), quarantine());
    a.note_crash_after_progress(NOW, "engine-1/7", &[GUILTY]);
    gossip(&mut a, &mut b, NOW);

    // Act
    a.note_crash(NOW, "engine-1/7", &[GUILTY]);
    gossip(&mut a, &mut b, NOW);
    let once = b.verdict(NOW, GUILTY, HOLD);
    b.note_crash(NOW, "engine-2/3", &[GUILTY]);

    // Assert
    assert_eq!(once, Verdict::Alone);
    let until = NOW + HOLD;
    assert_eq!(b.verdict(NOW, GUILTY, HOLD), Verdict::Refused { until });
}

#[test]
fn sightings_and_clearings_spread_through_lost_messages() {
    let instances = 60;
    let rounds = 34;
    let mut rng = Pcg64::seed_from_u64(1);
    let mut fleet: Vec<_> = (0..instances).map(|_| quarantine()).collect();
    let (condemned, cleared) = (Fingerprint(7), Fingerprint(8));
    fleet[2].note_crash(NOW, "engine-3@1", &[condemned]);
    fleet[3].note_crash(NOW, "engine-3@1", &[cleared]);
    let mut lost = 0;

    for round in 0..rounds {
        let now = NOW + Duration::from_millis(500) * round;
        if round == 4 {
            fleet[4].note_crash(now, "engine-3@1", &[cleared]);
            fleet[4].note_completed(cleared);
        }
        for from in 0..instances {
            let updates = fleet[from].updates(now);
            for _ in 0..3 {
                let to = rng.random_range(0..instances);
                if rng.random_range(0..5) == 0 {
                    lost += 1;
                    continue;
                }
                for suspect in &updates {
                    fleet[to].merge(now, suspect);
                }
            }
        }
    }

    let end = NOW + Duration::from_millis(500) * rounds;
    assert!(lost > 0);
    for quarantine in &fleet {
        let verdict = |fingerprint| quarantine.verdict(end, fingerprint, HOLD);
        assert_eq!(verdict(condemned), Verdict::Alone);
        assert_eq!(verdict(cleared), Verdict::Free);
    }
}
