//! Versions of software that began streams.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::stream_origins::HOLDERS;
use wisteriaford_core::gateway::stream_origins::STREAM_LIFETIME;
use wisteriaford_core::gateway::stream_origins::SoftwareHistory;
use wisteriaford_core::gateway::stream_origins::StreamOrigins;
use wisteriaford_core::gateway::stream_origins::holders;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::RequestId;

use crate::fixtures::at;
use crate::fixtures::endpoint;

fn table(versions: &[(&str, &str)]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (name, software) in versions {
        table.insert(Endpoint {
            pool: "p".into(),
            software: (*software).into(),
            ..endpoint(name, "a", 4)
        });
    }
    table
}

fn lifetime_ms() -> u64 {
    u64::try_from(STREAM_LIFETIME.as_millis()).expect("a small number")
}

#[test]
fn the_version_that_began_a_stream_is_known_while_it_may_be_taken_up() {
    let mut origins = StreamOrigins::default();
    let (old, new) = (RequestId::from("old"), RequestId::from("new"));
    origins.record(at(0), &old, &"v1".into());

    let early = origins.get(&old).cloned();
    origins.record(at(lifetime_ms() * 3), &new, &"v2".into());

    assert_eq!(early, Some("v1".into()));
    assert_eq!(origins.get(&old), None);
    assert_eq!(origins.get(&new), Some(&"v2".into()));
}

/// Guards against holders that differ between the instance that tells and the one that asks.
#[test]
fn the_holders_of_a_stream_don_t_depend_on_the_order_of_hosts() {
    let hosts: Vec<CompactString> = (0..10).map(|n| format!("host-{n}").into()).collect();
    let request = RequestId::from("r");

    let forward = holders(&request, hosts.iter());
    let backward = holders(&request, hosts.iter().rev());

    assert_eq!(forward.len(), HOLDERS);
    assert_eq!(forward, backward);
}

/// Guards against a stream of unknown origin that is continued although its version may have left.
#[test]
fn a_version_is_the_only_one_only_after_the_lifetime_of_a_stream() {
    let (both, one) = (table(&[("a", "v1"), ("b", "v2")]), table(&[("b", "v2")]));
    let pool = PoolId::from("p");
    let mut history = SoftwareHistory::default();
    let sole = |history: &SoftwareHistory, now_ms| {
        history
            .sole(at(now_ms), &pool, &one)
            .map(ToString::to_string)
    };

    history.record_replaced(at(0), &EndpointTable::default());
    let at_start = sole(&history, 1_000);
    history.record_replaced(at(lifetime_ms()), &both);
    let soon = sole(&history, lifetime_ms() + 1_000);
    let later = sole(&history, lifetime_ms() * 2 + 1_000);

    assert!(STREAM_LIFETIME > Duration::from_secs(10));
    assert_eq!((at_start, soon), (None, None));
    assert_eq!(later.as_deref(), Some("v2"));
}
