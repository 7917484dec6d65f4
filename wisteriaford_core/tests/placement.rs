//! Tests of placement: assignments depend only on the candidates and change as little as possible.

use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Region;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::placement::Candidate;
use wisteriaford_core::placement::CoordinatorTable;
use wisteriaford_core::placement::EndpointLocation;
use wisteriaford_core::placement::Placement;
use wisteriaford_core::placement::Rendezvous;
use wisteriaford_proto::settings::EndpointKind;

const ZONES: usize = 5;
const INSTANCES: usize = 40;

fn candidate(index: usize) -> Candidate {
    let zone = index % ZONES;
    Candidate {
        id: InstanceId::from(format!("instance-{index}")),
        address: format!("10.0.0.{index}:7000").into(),
        availability_zone: AvailabilityZone::from(format!("zone-{zone}")),
        region: Region::from(format!("region-{}", zone / 3)),
    }
}

fn placement(without: impl Fn(&Candidate) -> bool) -> Rendezvous {
    let candidates = (0..INSTANCES).map(candidate);
    Rendezvous::new(candidates.filter(|c| !without(c)).collect())
}

fn location(index: usize) -> EndpointLocation {
    let zone = index % ZONES;
    EndpointLocation {
        id: EndpointId::from(format!("engine-{index}")),
        kind: EndpointKind::ModelEngine,
        availability_zone: AvailabilityZone::from(format!("zone-{zone}")),
        region: Region::from(format!("region-{}", zone / 3)),
    }
}

fn step(number: u64) -> StepKey {
    StepKey {
        trainer: CallerId::from("trainer"),
        number: StepNumber(number),
    }
}

#[test]
fn coordinator_is_in_zone_then_region_then_anywhere() {
    for endpoint in (0..100).map(location) {
        let all = placement(|_| false);
        let zone_lost = placement(|c| c.availability_zone == endpoint.availability_zone);
        let region_lost = placement(|c| c.region == endpoint.region);

        let zone = &all.coordinator(&endpoint).unwrap().availability_zone;
        assert_eq!(*zone, endpoint.availability_zone);
        let region = &zone_lost.coordinator(&endpoint).unwrap().region;
        // A region with a single zone is lost together with it.
        let is_single_zone_region = !zone_lost
            .candidates()
            .iter()
            .any(|c| c.region == endpoint.region);
        assert!(*region == endpoint.region || is_single_zone_region);
        assert!(region_lost.coordinator(&endpoint).is_some());
    }
    assert!(placement(|_| true).coordinator(&location(0)).is_none());
}

#[test]
fn loss_of_an_instance_moves_only_its_assignments() {
    let before = placement(|_| false);
    let lost = InstanceId::from("instance-7");
    let after = placement(|c| c.id == lost);

    for endpoint in (0..600).map(location) {
        let coordinator = before.coordinator(&endpoint).unwrap();
        if coordinator.id != lost {
            assert_eq!(after.coordinator(&endpoint), Some(coordinator));
        }
    }
    for step in (0..600).map(step) {
        let owner = before.owner(&step).unwrap();
        if owner.id != lost {
            assert_eq!(after.owner(&step), Some(owner));
        }
    }
}

#[test]
fn candidate_order_does_not_matter() {
    let forward = placement(|_| false);
    let mut candidates = forward.candidates().to_vec();
    candidates.reverse();
    let backward = Rendezvous::new(candidates);

    for endpoint in (0..100).map(location) {
        assert_eq!(
            forward.coordinator(&endpoint),
            backward.coordinator(&endpoint)
        );
    }
}

#[test]
fn replica_is_in_another_zone_of_the_region() {
    let placement = placement(|_| false);

    for step in (0..200).map(step) {
        let owner = placement.owner(&step).unwrap();
        let replica = placement.replica(&step).unwrap();
        assert_ne!(owner.availability_zone, replica.availability_zone);
        assert_eq!(owner.region, replica.region);
    }
}

#[test]
fn single_instance_is_owner_without_replica() {
    let placement = placement(|c| c.id.as_str() != "instance-3");

    assert!(placement.owner(&step(1)).is_some());
    assert_eq!(placement.replica(&step(1)), None);
}

#[test]
fn updated_table_matches_a_new_placement() {
    let locations: Vec<EndpointLocation> = (0..100).map(location).collect();
    let mut table = CoordinatorTable::default();
    table.set_endpoints(locations.clone(), &placement(|_| false));

    for round in 0..200_u64 {
        let hash_of = |c: &Candidate| hash_parts(&[c.id.as_str().as_bytes(), &round.to_le_bytes()]);
        // Some rounds remove a zone or all instances, or move instances to another zone.
        let is_lost = |c: &Candidate| match round % 10 {
            7 => c.availability_zone.as_str() == "zone-1",
            9 => true,
            part => hash_of(c) % 10 < part,
        };
        let candidates = (0..INSTANCES).map(candidate).filter(|c| !is_lost(c));
        let moved = candidates.map(|c| match hash_of(&c) % 7 {
            0 => Candidate {
                availability_zone: AvailabilityZone::from("zone-4"),
                region: Region::from("region-1"),
                ..c
            },
            _ => c,
        });
        let now = Rendezvous::new(moved.collect());
        table.set_candidates(&now);

        for location in &locations {
            let expected = now.coordinator(location).map(|coordinator| &coordinator.id);
            assert_eq!(table.get(&location.id), expected, "round {round}");
        }
    }
}
