//! The lease of the runner's duty: one holder, quick recovery, orders that never overlap.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use std::time::Duration;

use wisteriaford_core::gateway::duty::Duty;
use wisteriaford_core::gateway::duty::DutyOutcome;
use wisteriaford_core::gateway::duty::LEASE;
use wisteriaford_core::gateway::duty::RENEWAL_INTERVAL;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::fixtures::at;

const ORDER_GAP: Duration = Duration::from_secs(3);
/// Longer than any claim is delayed.
const CLAIM: Duration = Duration::from_millis(1_100);

/// Topic that all instances read at once.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

impl Topic {
    fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Lets an instance append what is due, on its condition.
    fn append_due(&mut self, now: Timestamp, duty: &mut Duty) -> bool {
        let Some(due) = duty.due(now) else {
            return false;
        };
        if due.at != self.end() {
            duty.settled(now, DutyOutcome::Refused);
            return false;
        }
        self.records.push(due.value);
        duty.settled(now, DutyOutcome::Appended);
        true
    }

    /// Lets an instance read what it has not read yet.
    fn read(&self, now: Timestamp, duty: &mut Duty) {
        duty.set_reachable(now, true);
        for (offset, record) in (0..).map(Offset).zip(&self.records) {
            duty.apply(now, offset, record).expect("a sound record");
        }
        duty.read_to(self.end());
    }
}

fn duty(name: &str, host: &str) -> Duty {
    Duty::new(name.into(), host.into(), ORDER_GAP, Duration::ZERO)
}

/// Returns a topic and an instance that holds the duty since about `now`.
fn held(now: Timestamp) -> (Topic, Duty) {
    let mut topic = Topic::default();
    let mut holder = duty("one-1", "one");
    topic.read(now - CLAIM, &mut holder);
    assert!(
        topic.append_due(now, &mut holder),
        "the duty was not claimed"
    );
    topic.read(now, &mut holder);
    (topic, holder)
}

#[test]
fn a_vacant_duty_is_claimed_and_orders_are_allowed_at_once() {
    let (_, holder) = held(at(10_000));

    assert!(holder.held().is_some());
    assert!(holder.may_order(at(10_001)).is_some());
}

#[test]
fn of_two_claims_one_succeeds() {
    let mut topic = Topic::default();
    let mut one = duty("one-1", "one");
    let mut two = duty("two-1", "two");
    topic.read(at(0), &mut one);
    topic.read(at(0), &mut two);

    let first = topic.append_due(at(2_000), &mut one);
    let second = topic.append_due(at(2_000), &mut two);
    topic.read(at(2_010), &mut one);
    topic.read(at(2_010), &mut two);

    assert!(first && !second);
    assert!(one.held().is_some() && two.held().is_none());
}

#[test]
fn a_lease_that_is_renewed_is_not_taken_over() {
    let (mut topic, mut holder) = held(at(10_000));
    let mut other = duty("two-1", "two");

    let mut taken = false;
    for step in 1..40 {
        let now = at(10_000 + step * 250);
        topic.append_due(now, &mut holder);
        topic.read(now, &mut holder);
        topic.read(now, &mut other);
        taken |= topic.append_due(now, &mut other);
    }

    assert!(!taken);
}

#[test]
fn a_silent_holder_is_replaced_and_its_orders_have_ended_before() {
    let (mut topic, holder) = held(at(10_000));
    let mut other = duty("two-1", "two");
    topic.read(at(10_005), &mut other);

    let early = topic.append_due(at(10_000) + LEASE, &mut other);
    let taken_at = at(10_005) + LEASE + CLAIM;
    let taken = topic.append_due(taken_at, &mut other);
    topic.read(taken_at, &mut other);

    assert!(!early && taken);
    assert!(holder.may_order(taken_at).is_none());
    assert!(other.held().is_some());
    assert!(other.may_order(taken_at).is_none());
}

#[test]
fn orders_of_different_machines_keep_their_distance() {
    let (mut topic, mut holder) = held(at(10_000));
    let mut other = duty("two-1", "two");
    topic.read(at(10_005), &mut other);
    let taken_at = at(10_005) + LEASE + CLAIM;
    topic.append_due(taken_at, &mut other);
    topic.read(taken_at, &mut other);

    let first_order = (0..10_000)
        .map(|millis| taken_at + Duration::from_millis(millis))
        .find(|now| {
            topic.append_due(*now, &mut other);
            topic.read(*now, &mut other);
            other.may_order(*now).is_some()
        });
    let last_order = (0..10_000)
        .map(|millis| at(10_000 + millis))
        .take_while(|now| holder.may_order(*now).is_some())
        .last();
    topic.read(taken_at, &mut holder);

    let gap = first_order
        .zip(last_order)
        .map(|(first, last)| first.since(last));
    assert!(gap.is_some_and(|gap| gap >= ORDER_GAP), "{gap:?}");
    assert!(holder.held().is_none());
}

/// Pattern: all machines are killed at once and start again within a second.
#[test]
fn a_daemon_that_starts_again_takes_its_own_duty_back_at_once() {
    let (mut topic, _) = held(at(10_000));
    let mut again = duty("one-2", "one");
    topic.read(at(10_600), &mut again);

    let taken = topic.append_due(at(10_601), &mut again);
    topic.read(at(10_602), &mut again);

    assert!(taken);
    assert!(again.may_order(at(10_603)).is_some());
}

#[test]
fn a_duty_that_is_given_back_is_taken_without_waiting_for_the_lease() {
    let (mut topic, mut holder) = held(at(10_000));
    let mut other = duty("two-1", "two");
    holder.resign();
    topic.append_due(at(10_050), &mut holder);
    topic.read(at(10_060), &mut holder);
    topic.read(at(10_060), &mut other);

    let taken = topic.append_due(at(10_060) + CLAIM, &mut other);

    assert!(holder.held().is_none());
    assert!(taken);
    assert!(CLAIM < LEASE);
}

/// Pattern: the log is down for everyone; nobody can take over, and items go on.
#[test]
fn a_holder_runs_on_while_the_log_is_down_but_gives_no_orders() {
    let (_, mut holder) = held(at(10_000));
    let down = at(10_000) + RENEWAL_INTERVAL;
    let due = holder.due(down);
    holder.settled(down, DutyOutcome::Refused);

    let later = at(15_000);

    assert!(due.is_some());
    assert!(holder.may_order(later).is_none());
    assert!(holder.may_run(later, false));
    assert!(!holder.may_run(later, true));
}

#[test]
fn nobody_claims_right_after_an_outage() {
    let (mut topic, _) = held(at(10_000));
    let mut other = duty("two-1", "two");
    topic.read(at(10_005), &mut other);
    other.set_reachable(at(11_000), false);

    topic.read(at(20_000), &mut other);
    let at_once = topic.append_due(at(20_050), &mut other);
    let later = topic.append_due(at(20_000) + CLAIM, &mut other);

    assert!(!at_once && later);
}

#[test]
fn an_unknown_renewal_counts_from_when_it_was_sent_once_it_is_read_back() {
    let (mut topic, mut holder) = held(at(10_000));
    let sent = at(10_600);
    let due = holder.due(sent).expect("a renewal");
    holder.settled(at(11_400), DutyOutcome::Unknown);

    topic.records.push(due.value);
    topic.read(at(11_450), &mut holder);

    assert!(
        holder
            .may_order(sent + LEASE - Duration::from_millis(250))
            .is_some()
    );
    assert!(holder.may_order(sent + LEASE).is_none());
}
