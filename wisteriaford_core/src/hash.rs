//! Hash functions that give the same result on every instance and in every run.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes several parts into one number; the boundaries between parts affect the result.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |seed, part| {
        xxh3_64_with_seed(part, seed ^ part.len() as u64)
    })
}

/// Returns the rendezvous hashing weight of `candidate` for `key`; the highest one is selected.
///
/// See Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
#[must_use]
pub fn rendezvous_rank(key: &str, candidate: &str) -> u64 {
    hash_parts(&[key.as_bytes(), candidate.as_bytes()])
}
