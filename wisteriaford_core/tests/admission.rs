//! Tests of the slot queue: fair shares compared with a reference queue, and single scenarios.

use std::time::Duration;

use indexmap::IndexMap;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use wisteriaford_core::admission::HeldGrant;
use wisteriaford_core::admission::QUANTUM_TOKENS;
use wisteriaford_core::admission::QueueOutput;
use wisteriaford_core::admission::QueueSettings;
use wisteriaford_core::admission::QueuedSlotRequest;
use wisteriaford_core::admission::RESERVE_WINDOW;
use wisteriaford_core::admission::SlotDenial;
use wisteriaford_core::admission::SlotQueue;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Version;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::settings::Priority;

const START: Timestamp = Timestamp::from_millis(0);
const READY: Timestamp = Timestamp::from_millis(750);
const MAX_COST_TOKENS: i64 = 200;

fn settings(slots: usize, queue_limit: usize) -> QueueSettings {
    QueueSettings {
        slots,
        interactive_cap_percent: 50,
        queue_limit,
        heartbeat_interval: Duration::from_millis(500),
    }
}

fn slot_request(attempt: &str, caller: &str, priority: Priority, tokens: u32) -> QueuedSlotRequest {
    QueuedSlotRequest {
        attempt: AttemptId::from(attempt),
        from: InstanceId::from("ingress"),
        caller: CallerId::from(caller),
        priority,
        expected_tokens: tokens,
        rank: 0,
        deadline: Timestamp::from_millis(1_000_000),
        oldest_version: Version(0),
        alone: false,
    }
}

fn batch(attempt: &str, caller: &str) -> QueuedSlotRequest {
    slot_request(attempt, caller, Priority::Batch, 100)
}

fn interactive(attempt: &str) -> QueuedSlotRequest {
    slot_request(attempt, "portal", Priority::Interactive, 10)
}

fn poll(queue: &mut SlotQueue, now: Timestamp) -> Vec<QueueOutput> {
    let mut outputs = Vec::new();
    queue.poll(now, &mut outputs);
    outputs
}

fn granted(outputs: &[QueueOutput]) -> Vec<&str> {
    let grants = outputs.iter().filter_map(|output| match output {
        QueueOutput::Grant { attempt, .. } => Some(attempt.as_str()),
        QueueOutput::Deny { .. } => None,
    });
    grants.collect()
}

fn denied(outputs: &[QueueOutput]) -> Vec<(&str, SlotDenial)> {
    let denials = outputs.iter().filter_map(|output| match output {
        QueueOutput::Deny {
            attempt, denial, ..
        } => Some((attempt.as_str(), *denial)),
        QueueOutput::Grant { .. } => None,
    });
    denials.collect()
}

/// Reference fair queue: always serves the caller that has received least for its weight.
fn reference_shares(costs: &[Vec<i64>], weights: &[i64], grants: usize) -> Vec<i64> {
    let mut received = vec![0; costs.len()];
    let mut next = vec![0; costs.len()];
    for _ in 0..grants {
        let least = (0..costs.len()).min_by_key(|&i| received[i] * 1_000 / weights[i]);
        let least = least.expect("there are callers");
        received[least] += costs[least][next[least]];
        next[least] += 1;
    }
    received
}

fn queue_shares(costs: &[Vec<i64>], weights: &[i64], grants: usize) -> Vec<i64> {
    let mut queue = SlotQueue::new(START, settings(1, usize::MAX), 1);
    let by_caller = weights.iter().enumerate();
    let by_caller = by_caller.map(|(i, &w)| (CallerId::from(i.to_string()), w.try_into().unwrap()));
    queue.configure(
        settings(1, usize::MAX),
        &by_caller.collect::<IndexMap<_, _>>(),
    );
    for (caller, costs) in costs.iter().enumerate() {
        for (number, &cost) in costs.iter().enumerate() {
            let tokens = u32::try_from(cost).unwrap();
            let name = format!("{caller}:{number}");
            let request = slot_request(&name, &caller.to_string(), Priority::Batch, tokens);
            queue.request(START, request).unwrap();
        }
    }
    let mut received = vec![0; costs.len()];
    for _ in 0..grants {
        let outputs = poll(&mut queue, READY);
        let attempt = granted(&outputs)[0];
        let (caller, number) = attempt.split_once(':').unwrap();
        let (caller, number): (usize, usize) = (caller.parse().unwrap(), number.parse().unwrap());
        let cost = costs[caller][number];
        received[caller] += cost;
        let tokens = u32::try_from(cost).unwrap();
        queue.release(READY, &AttemptId::from(attempt), tokens);
    }
    received
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Checks the fairness bound of deficit round robin: Shreedhar and Varghese, 1995, lemma 2.
    #[test]
    fn shares_stay_within_one_round_of_the_reference_fair_queue(
        seed in any::<[u8; 32]>(),
        weights in proptest::collection::vec(1_i64..5, 2..5),
        grants in 1_usize..150,
    ) {
        // Arrange
        let cost = |caller: usize, n: usize| {
            1 + (i64::from(seed[(caller * 7 + n) % 32]) * 31) % MAX_COST_TOKENS
        };
        let costs: Vec<Vec<i64>> = (0..weights.len())
            .map(|caller| (0..150).map(|n| cost(caller, n)).collect())
            .collect();

        // Act
        let reference = reference_shares(&costs, &weights, grants);
        let queue = queue_shares(&costs, &weights, grants);

        // Assert
        for caller in 0..weights.len() {
            let difference = (reference[caller] - queue[caller]).abs();
            let bound = weights[caller] * (QUANTUM_TOKENS + 2 * MAX_COST_TOKENS);
            assert!(
                difference <= bound,
                "caller {caller}: reference {reference:?}, queue {queue:?}, weights {weights:?}"
            );
        }
    }
}

#[test]
fn new_coordinator_waits_for_late_heartbeats_and_adopts_their_grants() {
    // Arrange
    let mut queue = SlotQueue::new(START, settings(1, 10), 1);
    let held = HeldGrant {
        attempt: AttemptId::from("held"),
        caller: CallerId::from("trainer"),
        priority: Priority::Batch,
        alone: false,
    };
    queue.request(START, batch("waiting", "trainer")).unwrap();

    // Act
    let wakeup = queue.next_wakeup();
    let one_interval = poll(&mut queue, Timestamp::from_millis(510));
    let late = Timestamp::from_millis(520);
    queue.heartbeat(late, &InstanceId::from("ingress"), &[held]);
    let after_rebuild = poll(&mut queue, READY);
    queue.release(READY, &AttemptId::from("held"), 10);
    let free = poll(&mut queue, READY);

    // Assert
    assert_eq!(wakeup, Some(READY));
    assert_eq!(granted(&one_interval), [""; 0]);
    assert_eq!(granted(&after_rebuild), [""; 0]);
    assert_eq!(granted(&free), ["waiting"]);
}

#[test]
fn interactive_requests_go_first_and_have_a_reserved_slot() {
    // Arrange
    let mut queue = SlotQueue::new(START, settings(4, 100), 1);
    for number in 0..8 {
        queue
            .request(READY, batch(&format!("batch-{number}"), "trainer"))
            .unwrap();
    }
    queue.request(READY, interactive("first")).unwrap();

    // Act
    let outputs = poll(&mut queue, READY);
    let wakeup = queue.next_wakeup();
    queue.release(READY, &AttemptId::from("first"), 10);
    let after_release = poll(&mut queue, READY);
    queue.request(READY, interactive("second")).unwrap();
    let second = poll(&mut queue, READY);
    queue.release(READY, &AttemptId::from("second"), 10);
    let after_reserve_window = poll(&mut queue, READY + RESERVE_WINDOW);

    // Assert
    assert_eq!(granted(&after_reserve_window).len(), 4);
    assert_eq!(granted(&outputs)[0], "first");
    assert_eq!(granted(&outputs).len(), 3);
    assert!(wakeup.is_some_and(|at| at > READY));
    assert_eq!(granted(&after_release), ["batch-2"]);
    assert_eq!(granted(&second), ["second"]);
}

#[test]
fn interactive_cap_applies_only_while_batch_requests_wait() {
    // Arrange
    let mut queue = SlotQueue::new(START, settings(4, 100), 1);
    for number in 0..4 {
        queue
            .request(READY, interactive(&format!("interactive-{number}")))
            .unwrap();
    }
    queue.request(READY, batch("batch", "trainer")).unwrap();

    // Act
    let outputs = poll(&mut queue, READY);

    // Assert
    let expected = ["interactive-0", "interactive-1", "batch", "interactive-2"];
    assert_eq!(granted(&outputs), expected);
}

#[test]
fn burst_of_one_caller_is_evicted_for_others_and_gets_a_retry_delay() {
    // Arrange
    let mut queue = SlotQueue::new(START, settings(1, 10), 1);
    for number in 0..10 {
        queue
            .request(START, batch(&format!("burst-{number}"), "greedy"))
            .unwrap();
    }

    // Act
    let own_request = queue.request(START, batch("burst-10", "greedy"));
    let others: Vec<_> = (0..4)
        .map(|number| queue.request(START, batch(&format!("other-{number}"), "modest")))
        .collect();
    let outputs = poll(&mut queue, START);

    // Assert
    let denial = own_request.unwrap_err();
    assert_eq!(denial.reason, RefusalReason::QueueFull);
    assert!(denial.retry_after.is_some());
    assert!(others.iter().all(Result::is_ok));
    let evicted: Vec<_> = denied(&outputs).iter().map(|(id, _)| *id).collect();
    assert_eq!(evicted, ["burst-9", "burst-8", "burst-7", "burst-6"]);
    assert_eq!(queue.queued(), 10);
}

#[test]
fn waiting_requests_are_denied_on_deadline_stale_version_or_leaving_endpoint() {
    // Arrange
    let mut queue = SlotQueue::new(START, settings(1, 10), 1);
    let mut short = batch("short", "trainer");
    short.deadline = Timestamp::from_millis(100);
    let mut stale = batch("stale", "trainer");
    stale.oldest_version = Version(5);
    queue.set_endpoint(Version(5), Availability::Serving);
    queue.request(START, short).unwrap();
    queue.request(START, stale).unwrap();
    queue.request(START, batch("last", "trainer")).unwrap();

    // Act
    let wakeup = queue.next_wakeup();
    let expired = poll(&mut queue, Timestamp::from_millis(100));
    queue.set_endpoint(Version(4), Availability::Serving);
    let stale = poll(&mut queue, Timestamp::from_millis(100));
    queue.set_endpoint(Version(4), Availability::EndpointLeaving);
    let leaving = poll(&mut queue, READY);
    let late = queue.request(READY, batch("late", "trainer"));

    // Assert
    let reasons = |outputs: &[QueueOutput]| -> Vec<_> {
        let denied = denied(outputs);
        denied.iter().map(|(_, denial)| denial.reason).collect()
    };
    assert_eq!(wakeup, Some(Timestamp::from_millis(100)));
    assert_eq!(reasons(&expired), [RefusalReason::Deadline]);
    assert_eq!(reasons(&stale), [RefusalReason::EndpointStale]);
    assert_eq!(reasons(&leaving), [RefusalReason::EndpointLeaving]);
    assert_eq!(late.unwrap_err().reason, RefusalReason::EndpointLeaving);
}

#[test]
fn suspect_waits_for_an_idle_endpoint_while_interactive_requests_continue() {
    // Arrange
    let mut queue = SlotQueue::new(START, settings(4, 10), 1);
    queue.request(READY, batch("running", "trainer")).unwrap();
    poll(&mut queue, READY);
    let mut suspect = batch("suspect", "trainer");
    suspect.alone = true;
    queue.request(READY, suspect).unwrap();
    queue.request(READY, batch("later", "trainer")).unwrap();
    queue.request(READY, interactive("person")).unwrap();

    // Act
    let draining = poll(&mut queue, READY);
    queue.release(READY, &AttemptId::from("running"), 100);
    queue.release(READY, &AttemptId::from("person"), 10);
    let alone = poll(&mut queue, READY);
    queue.release(READY, &AttemptId::from("suspect"), 100);
    let after = poll(&mut queue, READY);

    // Assert
    assert_eq!(granted(&draining), ["person"]);
    assert_eq!(granted(&alone), ["suspect"]);
    assert_eq!(granted(&after), ["later"]);
}
