//! Operators that publish configurations concurrently.

use std::thread;

use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::ToolOutput;

const ROUNDS: u64 = 5;
const ACCEPTED: Option<i32> = Some(0);
const LOST_RACE: Option<i32> = Some(4);

/// Publishes two different configurations on the same base revision concurrently.
fn publish_concurrently(fleet: &Fleet, base: u64) -> [ToolOutput; 2] {
    let base = base.to_string();
    let limits = [100, 200];
    thread::scope(|scope| {
        let operators = limits.map(|limit| {
            let mut configuration = fleet.configuration();
            configuration.pools[1].queue_limit = limit;
            let path = fleet.write_configuration(&configuration).unwrap();
            let author = format!("operator-{limit}");
            let base = &base;
            let tool = fleet.tool();
            scope.spawn(move || {
                let path = path.to_string_lossy();
                tool.run(&["publish", &path, "--base", base, "--author", &author])
                    .unwrap()
            })
        });
        operators.map(|operator| operator.join().unwrap())
    })
}

#[test]
fn exactly_one_of_two_publications_on_the_same_base_is_accepted() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();

    for base in 1..=ROUNDS {
        let outputs = publish_concurrently(&fleet, base);

        let winners: Vec<_> = outputs.iter().filter(|o| o.exit_code == ACCEPTED).collect();
        let losers: Vec<_> = outputs
            .iter()
            .filter(|o| o.exit_code == LOST_RACE)
            .collect();
        assert_eq!((winners.len(), losers.len()), (1, 1), "{outputs:?}");
        let winner = &winners[0].json["publication_id"];
        assert!(winner.is_string(), "{outputs:?}");
        assert_eq!(&losers[0].json["winner"]["publication_id"], winner);
        assert_eq!(losers[0].json["winner"]["revision"], base + 1);
        fleet.wait_until_ready(base + 1).unwrap();
        let ids = fleet.daemons.iter().map(|daemon| {
            let client = daemon.client();
            let answer = client.configuration::<serde_json::Value>().unwrap();
            (answer.revision, answer.publication_id)
        });
        let expected = (base + 1, winner.as_str().unwrap().to_owned());
        assert!(ids.into_iter().all(|id| id == expected));
    }
}
