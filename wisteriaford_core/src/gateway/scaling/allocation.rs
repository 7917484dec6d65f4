//! Distribution of a pool's engines to availability zones and kinds.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::AvailabilityZone;

/// Price of an engine second, in billionths of a credit unit.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EnginePrice(pub u64);

/// Limits and prices of a pool's engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScalingPolicy {
    /// Minimum number of engines in each zone, of both kinds together.
    pub minimum: u32,
    /// Maximum number of engines in each zone, of both kinds together.
    pub maximum: u32,
    /// Time from an order until its engines serve.
    pub boot: Duration,
    /// Requests that an engine runs at the same time.
    pub slots: u32,
    /// Whether spot engines cost less than others.
    pub is_spot_cheaper: bool,
    /// Price of an engine second in each zone.
    pub zone_prices: IndexMap<AvailabilityZone, EnginePrice>,
}

/// Engines of a zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneEngines {
    /// Engines that stay until they are no longer ordered.
    pub regular: u32,
    /// Engines that the platform may take back at any time.
    pub spot: u32,
}

impl ZoneEngines {
    /// Returns the number of engines of both kinds.
    #[must_use]
    pub fn total(self) -> u32 {
        self.regular + self.spot
    }
}

/// Distributes a number of engines.
///
/// Each zone gets its minimum; further engines go to the cheapest zones, evenly where prices are equal. At
/// most half of a zone's engines are spot engines, as all of them may be taken back at once.
pub fn allocate(
    policy: &ScalingPolicy,
    engines: u32,
    may_use_spot: impl Fn(&AvailabilityZone) -> bool,
) -> IndexMap<AvailabilityZone, ZoneEngines> {
    let zones = policy.zone_prices.keys();
    let minimum = policy.minimum.min(policy.maximum);
    let mut numbers: IndexMap<&AvailabilityZone, u32> = zones.map(|zone| (zone, minimum)).collect();
    let assigned: u32 = numbers.values().sum();
    for _ in assigned..engines {
        let with_room = numbers
            .iter_mut()
            .filter(|(_, number)| **number < policy.maximum);
        let cheapest =
            with_room.min_by_key(|(zone, number)| (policy.zone_prices[**zone], **number));
        let Some((_, number)) = cheapest else {
            break;
        };
        *number += 1;
    }
    let numbers = numbers.into_iter();
    numbers
        .map(|(zone, number)| {
            let is_spot_used = policy.is_spot_cheaper && may_use_spot(zone);
            let spot = if is_spot_used { number / 2 } else { 0 };
            let engines = ZoneEngines {
                regular: number - spot,
                spot,
            };
            (zone.clone(), engines)
        })
        .collect()
}
