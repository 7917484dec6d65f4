//! Routing: comparison with a naive least-loaded choice that knows the true loads, and unit cases.

use std::time::Duration;

use compact_str::CompactString;
use rstest::rstest;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::Region;
use wisteriaford_core::id::Version;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::routing::CacheChange;
use wisteriaford_core::routing::CacheEvent;
use wisteriaford_core::routing::ChoiceReason;
use wisteriaford_core::routing::EndpointChoice;
use wisteriaford_core::routing::RouteQuery;
use wisteriaford_core::routing::Router;
use wisteriaford_core::settings::Endpoint;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;
use wisteriaford_proto::settings::EndpointKind;

const SLOTS: usize = 8;
const ENDPOINTS: usize = 6;
/// Delay of a report in requests, which are sent 20 ms apart.
const REPORT_LAG_REQUESTS: usize = 25;

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: EndpointId::from(format!("engine-{index}")),
        pool: PoolId::from("models"),
        kind: EndpointKind::ModelEngine,
        address: CompactString::from("127.0.0.1:1"),
        availability_zone: AvailabilityZone::from(["a", "b", "c"][index % 3]),
        region: Region::from("region"),
        slots: SLOTS,
        honours_fencing: true,
        leaving: false,
    }
}

fn endpoints() -> Vec<Endpoint> {
    (0..ENDPOINTS).map(endpoint).collect()
}

fn router() -> Router {
    Router::new(AvailabilityZone::from("b"))
}

fn query(endpoints: &[Endpoint], prefix_hash: Option<u64>) -> RouteQuery<'_> {
    RouteQuery {
        candidates: endpoints.iter().collect(),
        prefix_hash,
        oldest_version: Version(0),
        exclude: &[],
    }
}

fn state(index: usize, sequence: u64, in_flight: u32) -> EndpointState {
    EndpointState {
        endpoint: format!("engine-{index}"),
        version: 3,
        in_flight,
        queued: 0,
        availability: Availability::Serving as i32,
        sequence,
        steward: String::from("coordinator"),
    }
}

fn first(router: &Router, query: &RouteQuery) -> EndpointChoice {
    router
        .choose(query, 2)
        .expect("an endpoint is eligible")
        .remove(0)
}

/// Simulates `requests` with Zipf-like prefixes, each in progress while 40 more are sent, and with
/// delayed reports. Returns the highest load of an endpoint and the number of requests whose
/// prefix the chosen endpoint had served before.
fn simulate(
    requests: usize,
    choose: impl Fn(&Router, &[Endpoint], u64, &[u32]) -> usize,
) -> (u32, usize) {
    let endpoints = endpoints();
    let mut router = router();
    let mut loads = vec![0_u32; ENDPOINTS];
    let mut in_progress = std::collections::VecDeque::new();
    let mut history = std::collections::VecDeque::new();
    let mut seen = std::collections::HashSet::new();
    let (mut max_load, mut cache_hits) = (0, 0);
    for number in 0..requests {
        let now = Timestamp::from_millis(number as u64 * 20);
        let draw = wisteriaford_core::hash::hash_parts(&[&number.to_le_bytes()]) % 1_000;
        let prefix = 30_000 / (draw + 30);
        if number % 50 == 0 {
            let delayed = history.front().unwrap_or(&loads);
            for (index, &load) in delayed.iter().enumerate() {
                router.apply_report(now, &state(index, number as u64 + 1, load));
            }
        }
        let chosen = choose(&router, &endpoints, prefix, &loads);
        cache_hits += usize::from(!seen.insert((chosen, prefix)));
        loads[chosen] += 1;
        router.record_requested(now, &endpoints[chosen].id);
        in_progress.push_back(chosen);
        if in_progress.len() > 40 {
            let ended = in_progress.pop_front().expect("requests are in progress");
            loads[ended] -= 1;
            router.record_released(now, &endpoints[ended].id);
        }
        history.push_back(loads.clone());
        if history.len() > REPORT_LAG_REQUESTS {
            history.pop_front();
        }
        max_load = max_load.max(*loads.iter().max().expect("there are endpoints"));
    }
    (max_load, cache_hits)
}

#[test]
fn load_is_close_to_naive_least_loaded_with_more_cache_hits() {
    // Arrange
    let naive = |_: &Router, _: &[Endpoint], _: u64, loads: &[u32]| {
        (0..ENDPOINTS)
            .min_by_key(|&index| loads[index])
            .expect("there are endpoints")
    };
    let routed = |router: &Router, endpoints: &[Endpoint], prefix: u64, _: &[u32]| {
        let chosen = first(router, &query(endpoints, Some(prefix)));
        let index = endpoints.iter().position(|e| e.id == chosen.endpoint);
        index.expect("it is a candidate")
    };

    // Act
    let (naive_max_load, naive_hits) = simulate(3_000, naive);
    let (max_load, hits) = simulate(3_000, routed);

    // Assert
    println!(
        "maximum load {max_load}, naive {naive_max_load}; cache hits {hits}, naive {naive_hits}"
    );
    assert!(
        max_load <= naive_max_load + 3,
        "maximum load {max_load}, naive {naive_max_load}"
    );
    assert!(hits > naive_hits, "cache hits {hits}, naive {naive_hits}");
}

#[test]
fn own_requests_correct_a_delayed_report() {
    // Arrange
    let endpoints = endpoints();
    let mut router = router();
    let now = Timestamp::from_millis(10_000);
    for index in 0..ENDPOINTS {
        router.apply_report(now, &state(index, 1, 2));
    }
    let before = first(&router, &query(&endpoints, None));

    // Act
    router.record_requested(now, &before.endpoint);
    let after = first(&router, &query(&endpoints, None));
    let later = now + Duration::from_secs(5);
    router.apply_report(later, &state(0, 2, 0));
    let fresh = first(&router, &query(&endpoints, None));
    router.apply_report(later, &state(0, 1, 50));
    let unchanged = first(&router, &query(&endpoints, None));

    // Assert
    assert_eq!(before.reason, ChoiceReason::LeastLoaded);
    let zone = |choice: &EndpointChoice| {
        let found = endpoints.iter().find(|e| e.id == choice.endpoint);
        found.expect("it is a candidate").availability_zone.clone()
    };
    assert_eq!(zone(&before), AvailabilityZone::from("b"));
    assert_ne!(before.endpoint, after.endpoint);
    assert_eq!(fresh.endpoint, EndpointId::from("engine-0"));
    assert_eq!(unchanged, fresh);
}

#[rstest]
#[case::down(Availability::Down, RefusalReason::EndpointDown)]
#[case::leaving(Availability::EndpointLeaving, RefusalReason::EndpointLeaving)]
#[case::swapping(Availability::Swapping, RefusalReason::NoEndpoint)]
fn ineligible_endpoints_are_never_chosen(
    #[case] availability: Availability,
    #[case] reason: RefusalReason,
) {
    // Arrange
    let endpoints = endpoints();
    let mut router = router();
    let mut report = |index: usize| {
        let mut state = state(index, 1, 0);
        state.availability = availability as i32;
        router.apply_report(Timestamp::default(), &state);
    };

    // Act
    (1..ENDPOINTS).for_each(&mut report);
    let one = router.choose(&query(&endpoints, Some(7)), 2);
    let mut last = state(0, 1, 0);
    last.availability = availability as i32;
    router.apply_report(Timestamp::default(), &last);
    let none = router.choose(&query(&endpoints, Some(7)), 2);

    // Assert
    let one = one.expect("one is eligible");
    assert_eq!(one.len(), 1);
    assert_eq!(one[0].endpoint, EndpointId::from("engine-0"));
    assert_eq!(none, Err(reason));
}

#[test]
fn gossip_does_not_clear_leaving_and_stale_or_excluded_endpoints_are_refused() {
    // Arrange
    let endpoints = vec![endpoint(0), endpoint(1)];
    let mut router = router();
    let exclude = [EndpointId::from("engine-1")];

    // Act
    router.set_leaving(&EndpointId::from("engine-0"), true);
    router.apply_report(Timestamp::default(), &state(0, 9, 0));
    router.apply_report(Timestamp::default(), &state(1, 9, 0));
    let mut needs_newer = query(&endpoints, None);
    needs_newer.oldest_version = Version(4);
    let mut excluded = query(&endpoints[1..], None);
    excluded.exclude = &exclude;

    // Assert
    let only = router
        .choose(&query(&endpoints, None), 2)
        .expect("one is eligible");
    assert_eq!(only.len(), 1);
    assert_eq!(only[0].endpoint, exclude[0]);
    assert!(router.choose(&needs_newer, 2).is_err());
    assert_eq!(router.choose(&excluded, 2), Err(RefusalReason::NoEndpoint));
}

#[test]
fn gap_in_cache_events_clears_known_prefixes() {
    // Arrange
    let endpoints = endpoints();
    let mut router = router();
    let by_hash = first(&router, &query(&endpoints, Some(7)));
    let other = endpoints.iter().find(|e| e.id != by_hash.endpoint);
    let other = other.expect("there are several endpoints").id.clone();
    let stored = |sequence, prefix_hash| CacheEvent {
        sequence,
        change: CacheChange::Stored,
        prefix_hash,
    };

    // Act
    router.apply_cache_event(&other, stored(1, 7));
    let cached = first(&router, &query(&endpoints, Some(7)));
    router.apply_cache_event(&other, stored(3, 8));
    let after_gap = first(&router, &query(&endpoints, Some(7)));

    // Assert
    assert_eq!(by_hash.reason, ChoiceReason::PrefixHash);
    assert_eq!(cached.endpoint, other);
    assert_eq!(cached.reason, ChoiceReason::CachedPrefix);
    assert_eq!(after_gap, by_hash);
}
