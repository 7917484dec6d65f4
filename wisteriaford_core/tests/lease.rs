//! Tests of leases: races, lost answers, a truncated log and a log that is down.

use std::time::Duration;

use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::lease::INITIAL_RETRY_INTERVAL;
use wisteriaford_core::lease::LeaseChange;
use wisteriaford_core::lease::Leases;
use wisteriaford_core::lease::MAX_RETRY_INTERVAL;
use wisteriaford_core::time::Timestamp;

fn engine() -> EndpointId {
    EndpointId::from("engine-1")
}

fn leases(id: &str) -> Leases {
    Leases::new(InstanceId::from(id), 1)
}

const START: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn record_offset_is_the_fencing_number() {
    let mut a = leases("a");
    let lease = a.try_acquire(START, &engine()).unwrap();
    let before = a.fence_of(&engine());
    a.on_appended(&lease.append_id, Offset(7));

    let change = a.apply(Offset(7), &lease);

    assert_eq!(before, None);
    let endpoint = engine();
    let fence = Fence(7);
    assert_eq!(change, Some(LeaseChange::Acquired { endpoint, fence }));
    assert_eq!(a.fence_of(&engine()), Some(Fence(7)));
    assert_eq!(a.try_acquire(START, &engine()), None);
}

#[test]
fn later_record_wins_a_race_for_both_instances() {
    let mut a = leases("a");
    let mut b = leases("b");
    let lease_a = a.try_acquire(START, &engine()).unwrap();
    let lease_b = b.try_acquire(START, &engine()).unwrap();

    let changes: Vec<_> = [&mut a, &mut b]
        .into_iter()
        .flat_map(|leases| {
            [
                leases.apply(Offset(1), &lease_a),
                leases.apply(Offset(2), &lease_b),
            ]
        })
        .flatten()
        .collect();

    let endpoint = engine();
    let by = InstanceId::from("b");
    let fence = Fence(1);
    assert!(changes.contains(&LeaseChange::Superseded {
        endpoint,
        fence,
        by
    }));
    assert_eq!(a.fence_of(&engine()), None);
    assert_eq!(b.fence_of(&engine()), Some(Fence(2)));
    assert_eq!(a.lease_of(&engine()), b.lease_of(&engine()));
}

#[test]
fn lost_answer_is_resolved_by_reading_the_log() {
    let mut a = leases("a");
    let lease = a.try_acquire(START, &engine()).unwrap();
    a.on_answer_lost(&lease.append_id);
    let was_pending = a.is_append_pending(&engine());
    let too_early = a.try_acquire(START, &engine());

    a.apply(Offset(3), &lease);

    assert!(was_pending);
    assert_eq!(too_early, None);
    assert!(!a.is_append_pending(&engine()));
    assert_eq!(a.fence_of(&engine()), Some(Fence(3)));
}

#[test]
fn retried_append_raises_the_fencing_number() {
    let mut a = leases("a");
    let first = a.try_acquire(START, &engine()).unwrap();
    a.on_answer_lost(&first.append_id);
    let second = a
        .try_acquire(START + INITIAL_RETRY_INTERVAL, &engine())
        .unwrap();

    a.apply(Offset(3), &first);
    a.apply(Offset(4), &second);

    assert_ne!(first.append_id, second.append_id);
    assert_eq!(a.fence_of(&engine()), Some(Fence(4)));
}

#[test]
fn holder_keeps_lease_while_log_is_down() {
    let mut a = leases("a");
    let lease = a.try_acquire(START, &engine()).unwrap();
    a.apply(Offset(1), &lease);
    let hour_later = START + Duration::from_secs(3_600);

    let taken = a.try_acquire(hour_later, &engine());

    assert_eq!(taken, None);
    assert_eq!(a.fence_of(&engine()), Some(Fence(1)));
}

#[test]
fn paused_holder_learns_that_it_was_superseded() {
    let mut a = leases("a");
    let mut b = leases("b");
    let lease_a = a.try_acquire(START, &engine()).unwrap();
    a.apply(Offset(1), &lease_a);
    b.apply(Offset(1), &lease_a);
    let lease_b = b.try_acquire(START, &engine()).unwrap();
    b.apply(Offset(2), &lease_b);

    a.apply(Offset(2), &lease_b);
    let repeated = a.apply(Offset(1), &lease_a);

    assert_eq!(lease_b.supersedes, 1);
    assert_eq!(a.fence_of(&engine()), None);
    assert_eq!(repeated, None);
}

#[test]
fn truncated_log_yields_the_same_lease_as_the_full_log() {
    let mut full_reader = leases("a");
    let mut tail_reader = leases("b");
    let mut writer = leases("c");
    let mut racer = leases("d");
    let first = writer.try_acquire(START, &engine()).unwrap();
    let second = racer.try_acquire(START, &engine()).unwrap();

    full_reader.apply(Offset(1), &first);
    full_reader.apply(Offset(2), &second);
    tail_reader.apply(Offset(2), &second);

    assert_eq!(
        full_reader.lease_of(&engine()),
        tail_reader.lease_of(&engine())
    );
}

#[test]
fn competing_instances_back_off() {
    let mut a = leases("a");
    let mut b = leases("b");
    let mut now = START;
    let mut offset = Offset(0);
    let mut appends = 0;
    while now < START + Duration::from_secs(600) {
        now = now + Duration::from_millis(100);
        for lease in [a.try_acquire(now, &engine()), b.try_acquire(now, &engine())]
            .into_iter()
            .flatten()
        {
            offset = offset.next();
            appends += 1;
            a.apply(offset, &lease);
            b.apply(offset, &lease);
        }
    }

    let min_attempts = u32::try_from(600 / MAX_RETRY_INTERVAL.as_secs()).unwrap();
    assert!(appends <= 2 * (2 * min_attempts + 8), "{appends} appends");
    assert!(appends > 4);
}
