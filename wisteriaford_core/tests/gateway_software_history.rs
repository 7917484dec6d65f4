//! Which versions of the software pools had lately, also by the listings of a leader.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use std::time::Duration;

use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::route::Answers;
use wisteriaford_core::gateway::route::CallerLimits;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::route::RouteKind;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::gateway::software_history::SoftwareHistory;
use wisteriaford_core::gateway::stream_origins::STREAM_LIFETIME;
use wisteriaford_core::gateway::stream_origins::SoleClaims;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::TableVersion;
use wisteriaford_core::time::Timestamp;

use crate::fixtures::at;
use crate::fixtures::endpoint;
use crate::fixtures::route;

const POOL: &str = "p";

fn table(versions: &[(&str, &str)]) -> EndpointTable {
    pool_table(POOL, versions)
}

fn pool_table(pool: &str, versions: &[(&str, &str)]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (name, software) in versions {
        table.insert(Endpoint {
            pool: pool.into(),
            software: (*software).into(),
            ..endpoint(name, "a", 4)
        });
    }
    table
}

fn routes(version: u64, pool: &str) -> RouteTable {
    let resumable = Route {
        answers: Answers::Streams { resumable: true },
        ..route("/s/", RouteKind::NonIdempotent, pool)
    };
    RouteTable::new(
        TableVersion(version),
        CallerLimits::default(),
        Vec::new(),
        vec![resumable],
    )
}

fn seconds(count: u64) -> Timestamp {
    at(count * 1_000)
}

/// Reads the entries every second, from one second to another.
fn read(history: &mut SoftwareHistory, from_s: u64, to_s: u64) {
    for second in from_s..=to_s {
        history.record_read(seconds(second));
    }
}

/// Returns the history of an instance that has read entries from second 0 to `to_s`.
fn history(to_s: u64) -> SoftwareHistory {
    let mut history = SoftwareHistory::default();
    history.record_routes(seconds(0), &RouteTable::default(), &routes(7, POOL));
    history.record_replaced(seconds(0), &EndpointTable::default());
    read(&mut history, 0, to_s);
    history
}

fn sole(history: &SoftwareHistory, now: Timestamp, table: &EndpointTable) -> Option<String> {
    let pool = PoolId::from(POOL);
    let sole = history.sole(now, &pool, table);
    sole.map(ToString::to_string)
}

/// Guards against a stream of unknown origin that is continued although its version may have left.
#[test]
fn a_version_is_the_only_one_only_after_the_lifetime_of_a_stream() {
    let (both, one) = (table(&[("a", "v1"), ("b", "v2")]), table(&[("b", "v2")]));
    let mut history = history(1);

    let at_start = sole(&history, seconds(1), &one);
    read(&mut history, 2, 21);
    history.record_replaced(seconds(20), &both);
    let soon = sole(&history, seconds(21), &one);
    read(&mut history, 22, 41);
    let later = sole(&history, seconds(41), &one);

    assert!(STREAM_LIFETIME > Duration::from_secs(10));
    assert_eq!((at_start, soon), (None, None));
    assert_eq!(later.as_deref(), Some("v2"));
}

/// Guards against versions that came and went while the instance could not read the entries: the log keeps
/// only the newest entry of each endpoint.
#[test]
fn a_gap_in_what_was_read_ends_what_is_known() {
    let one = table(&[("a", "v1")]);
    let mut history = history(30);

    let before = sole(&history, seconds(30), &one);
    let stale = sole(&history, seconds(33), &one);
    read(&mut history, 40, 45);
    let after_gap = sole(&history, seconds(45), &one);
    read(&mut history, 46, 60);
    let later = sole(&history, seconds(60), &one);

    assert_eq!(before.as_deref(), Some("v1"));
    assert_eq!((stale, after_gap), (None, None));
    assert_eq!(later.as_deref(), Some("v1"));
}

/// Guards against versions that came and went unseen within a short time, because the log forgot its history.
#[test]
fn entries_that_were_removed_unread_end_what_is_known() {
    let one = table(&[("a", "v1")]);
    let mut history = history(30);
    let before = sole(&history, seconds(30), &one);

    history.record_missed();
    read(&mut history, 31, 50);
    let after = sole(&history, seconds(50), &one);
    read(&mut history, 51, 51);
    let later = sole(&history, seconds(51), &one);

    assert_eq!(
        (before.as_deref(), after, later.as_deref()),
        (Some("v1"), None, Some("v1"))
    );
}

/// Guards against streams joined from two versions at an instance that stood still: the listing of a record made
/// before counted as made afterwards, and as complete, although endpoints of another version had come and gone.
#[test]
fn a_listing_from_before_a_gap_does_not_close_it() {
    let one = table(&[("a", "v1")]);
    let leader = history(30);
    let listing = leader.listing(seconds(30), &one).expect("a listing");
    let mut history = history(30);

    read(&mut history, 35, 36);
    history.apply_listing(seconds(36), &listing);

    assert_eq!(sole(&history, seconds(36), &one), None);
}

/// Guards against a version that is added and removed in one read, so that no table ever had it.
#[test]
fn a_version_that_no_table_had_is_known() {
    let one = table(&[("a", "v1")]);
    let mut history = history(30);

    history.record(seconds(30), &POOL.into(), &"v2".into());

    assert_eq!(sole(&history, seconds(30), &one), None);
}

/// Guards against a stream that outlasts its endpoint's entry by more than a lifetime: its origin was no longer sent
/// to the log, and after the death of all instances it was taken for one of the newer version.
#[test]
fn a_stream_of_a_version_that_has_left_is_kept() {
    let one = table(&[("b", "v2")]);
    let mut history = history(30);

    let same = history.record_stream(seconds(30), &POOL.into(), &"v2".into(), &one);
    let other = history.record_stream(seconds(30), &POOL.into(), &"v1".into(), &one);

    assert!(!same);
    assert!(other);
    assert_eq!(sole(&history, seconds(30), &one), None);
}

/// Guards against a stream that is recorded with the version of an old entry: its endpoint had restarted under its id
/// with other software.
#[test]
fn an_old_entry_does_not_tell_the_version_of_a_stream() {
    let (before, after) = (table(&[("a", "v1")]), table(&[("a", "v2")]));
    let sent_to = before.iter().next().expect("an endpoint");
    let mut restarted = EndpointTable::default();
    restarted.insert(Endpoint {
        started_unix_ms: sent_to.started_unix_ms + 1,
        ..sent_to.clone()
    });
    let history = history(30);
    let confirms = |second, table| history.confirms(seconds(second), sent_to, table);

    assert!(confirms(30, &before));
    assert!(!confirms(33, &before));
    assert!(!confirms(30, &after));
    assert!(!confirms(30, &restarted));
    assert!(confirms(30, &EndpointTable::default()));
}

/// Guards against a stream of unknown origin that goes on by entries read before it was taken up: another instance may
/// have read of a second version earlier, and begun the stream there.
#[test]
fn entries_read_before_a_take_up_do_not_prove_a_single_version() {
    let (one, both) = (table(&[("a", "v1")]), table(&[("a", "v1"), ("b", "v2")]));
    let mut slow = history(30);
    let taken_up_at = at(30_900);

    let early = sole(&slow, taken_up_at, &one);
    let has_read_early = slow.has_read_as_of(taken_up_at);
    slow.record_read(seconds(31));
    let late = sole(&slow, seconds(31), &both);

    assert_eq!(early.as_deref(), Some("v1"));
    assert!(!has_read_early);
    assert!(slow.has_read_as_of(taken_up_at));
    assert_eq!(late, None);
}

/// Guards against refusing every resumption for 20 s after all instances were killed.
#[test]
fn a_listing_tells_an_instance_that_starts_that_a_pool_had_one_version() {
    let one = table(&[("a", "v1")]);
    let listing = history(30).listing(seconds(30), &one).expect("a listing");
    let mut restarted = SoftwareHistory::default();
    restarted.record_read(seconds(100));
    restarted.record_routes(seconds(100), &RouteTable::default(), &routes(7, POOL));
    restarted.apply_listing(seconds(100), &listing);

    let known = sole(&restarted, seconds(101), &one);
    let other = sole(&restarted, seconds(101), &table(&[("b", "v2")]));

    assert_eq!(known.as_deref(), Some("v1"));
    assert_eq!(other, None, "the listing names another version");
}

/// Guards against refusing resumptions at an instance whose machine has just started: its clock began later than
/// what the listing tells.
#[test]
fn a_listing_reaches_back_beyond_the_start_of_the_clock() {
    let one = table(&[("a", "v1")]);
    let listing = history(30).listing(seconds(30), &one).expect("a listing");
    let mut restarted = SoftwareHistory::default();
    restarted.record_routes(seconds(2), &RouteTable::default(), &routes(7, POOL));
    restarted.apply_listing(seconds(2), &listing);
    restarted.record_read(seconds(2));

    let known = sole(&restarted, seconds(3), &one);

    assert_eq!(known.as_deref(), Some("v1"));
}

/// Guards against streams joined from two versions: the endpoints of the old one had just left when all
/// instances were killed.
#[test]
fn a_listing_names_versions_that_have_just_left() {
    let (both, one) = (table(&[("a", "v1"), ("b", "v2")]), table(&[("b", "v2")]));
    let mut leader = history(30);
    leader.record_replaced(seconds(29), &both);
    let listing = leader.listing(seconds(30), &one).expect("a listing");
    let mut restarted = SoftwareHistory::default();
    restarted.record_read(seconds(100));
    restarted.apply_listing(seconds(100), &listing);
    read(&mut restarted, 101, 122);

    let early = sole(&restarted, seconds(101), &one);
    let late = sole(&restarted, seconds(122), &one);

    assert_eq!(early, None);
    assert_eq!(late.as_deref(), Some("v2"));
}

/// Guards against a listing that is taken for more than its leader knew.
#[test]
fn a_listing_proves_nothing_before_the_time_that_its_leader_knows() {
    let one = table(&[("a", "v1")]);
    let listing = history(12).listing(seconds(12), &one).expect("a listing");
    let mut restarted = SoftwareHistory::default();
    restarted.record_read(seconds(100));
    restarted.apply_listing(seconds(100), &listing);
    read(&mut restarted, 101, 108);

    let early = sole(&restarted, seconds(107), &one);
    let late = sole(&restarted, seconds(108), &one);

    assert_eq!(early, None);
    assert_eq!(late.as_deref(), Some("v1"));
}

/// Guards against a leader that lists versions from entries that it can no longer read.
#[test]
fn a_leader_with_old_entries_lists_nothing() {
    let history = history(30);

    let listing = history.listing(seconds(33), &table(&[("a", "v1")]));

    assert_eq!(listing, None);
}

/// Guards against a listing that renews the versions in it each time: they would never be forgotten.
#[test]
fn versions_of_listings_are_forgotten() {
    let (both, one) = (table(&[("a", "v1"), ("b", "v2")]), table(&[("b", "v2")]));
    let mut leader = history(30);
    leader.record_replaced(seconds(30), &both);
    let mut follower = history(30);
    for second in 30..60 {
        read(&mut leader, second, second);
        read(&mut follower, second, second);
        let listing = leader.listing(seconds(second), &one).expect("a listing");
        follower.apply_listing(seconds(second), &listing);
    }

    let known = sole(&follower, seconds(59), &one);

    assert_eq!(known.as_deref(), Some("v2"));
}

/// Guards against a stream that is continued in a pool to which its route moved: the pool has one version,
/// but not the one that began the stream.
#[test]
fn nothing_is_known_after_a_route_has_moved_to_another_pool() {
    let one = table(&[("a", "v1")]);
    let mut live = history(30);
    live.record_routes(seconds(30), &routes(7, "other"), &routes(8, POOL));
    let listing = history(30).listing(seconds(30), &one).expect("a listing");
    let mut restarted = SoftwareHistory::default();
    restarted.record_read(seconds(100));
    restarted.apply_listing(seconds(100), &listing);
    restarted.record_routes(seconds(100), &RouteTable::default(), &routes(8, POOL));

    let moved = sole(&live, seconds(31), &one);
    let moved_meanwhile = sole(&restarted, seconds(101), &one);

    assert_eq!((moved, moved_meanwhile), (None, None));
}

/// Guards against a stream without `Resumes` that goes on in another pool of its route than the one that it
/// began in.
#[test]
fn all_pools_of_a_route_must_have_the_same_version() {
    let mut tables = table(&[("a", "v1")]);
    for endpoint in pool_table("canary", &[("b", "v2")]).iter() {
        tables.insert(endpoint.clone());
    }
    let history = history(30);
    let decide = |pools: &[PoolId]| {
        SoleClaims::of_pools(seconds(30), &history, pools.iter(), &tables).decide()
    };

    let one_pool = decide(&[POOL.into()]);
    let both_pools = decide(&[POOL.into(), "canary".into()]);

    assert_eq!(one_pool, Some("v1".into()));
    assert_eq!(both_pools, None);
}

/// Guards against the answer of an instance that hasn't read yet of a second version, and against answers
/// that contradict each other.
#[test]
fn an_answer_counts_only_if_no_other_version_is_known() {
    let decide = |tables: &EndpointTable, answers: &[&str]| {
        let pool = PoolId::from(POOL);
        let history = history(1);
        let mut claims = SoleClaims::of_pools(seconds(1), &history, [&pool].into_iter(), tables);
        claims.add_answers(answers.iter().map(|answer| (*answer).into()));
        claims.decide()
    };
    let (one, both) = (table(&[("a", "v1")]), table(&[("a", "v1"), ("b", "v2")]));

    assert_eq!(decide(&one, &["v1", "v1"]), Some("v1".into()));
    assert_eq!(decide(&one, &["v1", "v2"]), None);
    assert_eq!(decide(&both, &["v1"]), None);
    assert_eq!(decide(&one, &[]), None);
}
