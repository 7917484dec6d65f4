//! Fair shares of contended pools, for the calls and the items of organisations.

pub mod calls;
pub mod items;

use std::collections::BTreeSet;

use crate::id::OrganisationId;
use crate::max_min;
use crate::max_min::Claim;

/// Part of a contended capacity that is divided in proportion to demand, in percent.
///
/// It keeps the rate of success of every organisation at this part of the overall rate at least. A quarter is
/// required; the margin covers instances that see different parts of the demand.
const PROPORTIONAL_PERCENT: u64 = 40;

/// What shares are kept for.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShareKey {
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Organisation; all requests without one are counted together.
    pub organisation: Option<OrganisationId>,
}

/// Demand for a part of a capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Amount, in thousandths of a call or of a slot.
    pub amount_milli: u64,
}

/// Divides a capacity among demands, and returns the part of each.
///
/// A part of the capacity is divided in proportion to demand. The rest is divided priority by priority and, within
/// one, by max-min fairness with equal weights.
#[must_use]
pub fn divide(capacity_milli: u64, demands: &[Demand]) -> Vec<u64> {
    let demanded_milli: u64 = demands.iter().map(|demand| demand.amount_milli).sum();
    if demanded_milli <= capacity_milli {
        return demands.iter().map(|demand| demand.amount_milli).collect();
    }
    let proportional_milli = capacity_milli * PROPORTIONAL_PERCENT / 100;
    let proportional = demands
        .iter()
        .map(|demand| demand.amount_milli * proportional_milli / demanded_milli);
    let mut parts: Vec<u64> = proportional.collect();
    let mut remaining_milli = capacity_milli - parts.iter().sum::<u64>();
    let priorities: BTreeSet<u32> = demands.iter().map(|demand| demand.priority).collect();
    for priority in priorities {
        let class = (0..demands.len()).filter(|&index| demands[index].priority == priority);
        let class: Vec<usize> = class.collect();
        let claims = class.iter().map(|&index| Claim {
            weight: 1,
            demand: demands[index].amount_milli - parts[index],
        });
        let claims: Vec<Claim> = claims.collect();
        let division = max_min::split(remaining_milli, &claims);
        for (&index, part) in class.iter().zip(division.parts) {
            parts[index] += part;
        }
        remaining_milli = division.remaining;
    }
    parts
}
