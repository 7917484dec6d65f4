//! Weighted max-min fairness.
//!
//! Source: Bertsekas and Gallager, "Data Networks", 1992.

/// Demand of one party for a part of a divided amount.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Weight relative to the other parties; zero counts as one.
    pub weight: u64,
    /// Maximum part.
    pub demand: u64,
}

/// Parts of a divided amount.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Division {
    /// Part of each claim, in their order.
    pub parts: Vec<u64>,
    /// What remains once all claims are satisfied.
    pub remaining: u64,
}

/// Divides an amount among claims by weight, each up to its demand.
#[must_use]
pub fn split(amount: u64, claims: &[Claim]) -> Division {
    let mut parts = vec![0; claims.len()];
    let mut remaining = amount;
    let mut unsatisfied: Vec<usize> = (0..claims.len()).collect();
    let weight = |index: usize| claims[index].weight.max(1);
    // A claim that is satisfied at the present part for each weight stays so, as that part only grows.
    unsatisfied.sort_by(|&a, &b| {
        let scaled = |index: usize, other| claims[index].demand * weight(other);
        scaled(a, b).cmp(&scaled(b, a))
    });
    let mut weights: u64 = unsatisfied.iter().map(|&index| weight(index)).sum();
    let mut unsatisfied = unsatisfied.into_iter().peekable();
    while let Some(index) =
        unsatisfied.next_if(|&index| claims[index].demand * weights <= remaining * weight(index))
    {
        parts[index] = claims[index].demand;
        remaining -= parts[index];
        weights -= weight(index);
    }
    if unsatisfied.peek().is_none() {
        return Division { parts, remaining };
    }
    for index in unsatisfied {
        parts[index] = remaining * weight(index) / weights;
    }
    Division {
        parts,
        remaining: 0,
    }
}
