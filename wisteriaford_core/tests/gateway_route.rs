//! Tests of the selection of a route and of its pool.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use rstest::rstest;
use wisteriaford_core::gateway::route::Answers;
use wisteriaford_core::gateway::route::RouteKind;
use wisteriaford_core::gateway::route::Target;

use crate::fixtures::HOST;
use crate::fixtures::route;
use crate::fixtures::table;

#[rstest]
#[case("/a/b/c", Some("a/b"))]
#[case("/a/x?q=/a/b/", Some("a"))]
#[case("/ab", None)]
#[case("/", None)]
fn route_with_the_longest_matching_prefix_is_found(
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let kind = RouteKind::Idempotent;
    let table = table(vec![route("/a/", kind, "p"), route("/a/b/", kind, "q")], 1);

    let found = table.find(HOST, path);

    assert_eq!(found.map(|route| route.id.as_str()), expected);
}

#[test]
fn unknown_hosts_have_no_route() {
    let table = table(vec![route("/a/", RouteKind::Idempotent, "p")], 1);

    let found = table.find("other.example", "/a/1");

    assert!(found.is_none());
}

#[test]
fn requests_are_split_by_weight_and_keep_their_pool() {
    let mut split = route("/a/", RouteKind::Idempotent, "p");
    split.targets = vec![
        Target {
            pool: "p".into(),
            weight: 90,
        },
        Target {
            pool: "q".into(),
            weight: 10,
        },
    ];

    let names: Vec<String> = (0..2_000).map(|n| format!("request-{n}")).collect();
    let to_q = names
        .iter()
        .filter(|name| split.pool_for(name) == Some(&"q".into()));
    let share = to_q.count();

    assert!(
        (120..=280).contains(&share),
        "{share} of 2000 requests went to pool q"
    );
    assert!(
        names
            .iter()
            .all(|name| split.pool_for(name) == split.pool_for(name))
    );
}

#[rstest]
#[case(RouteKind::Idempotent, Answers::Whole, true)]
#[case(RouteKind::NonIdempotent, Answers::Whole, false)]
#[case(RouteKind::Idempotent, Answers::Streams { resumable: false }, false)]
#[case(RouteKind::NonIdempotent, Answers::Streams { resumable: true }, true)]
fn streams_are_idempotent_only_if_they_are_resumable(
    #[case] kind: RouteKind,
    #[case] answers: Answers,
    #[case] expected: bool,
) {
    let mut route = route("/a/", kind, "p");
    route.answers = answers;

    assert_eq!(route.is_idempotent(), expected);
}
