//! Bounded bit set of sample indices, encoded as bytes between instances and as base64 in JSON.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

/// Exclusive upper bound of the indices in a set.
pub const MAX_INDICES: u32 = 65_536;

const MAX_LEN_BYTES: usize = MAX_INDICES as usize / 8;

/// Error for indices that a set cannot hold or decode.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum IndexSetError {
    /// The bytes contain more than [`MAX_INDICES`] bits.
    #[display("an index set may have at most {MAX_LEN_BYTES} bytes, got {len_bytes}")]
    TooLong {
        /// Number of bytes.
        len_bytes: usize,
    },
    /// The index is [`MAX_INDICES`] or higher.
    #[display("index {index} must be less than {MAX_INDICES}")]
    IndexTooHigh {
        /// The rejected index.
        index: u32,
    },
    /// The text is not valid base64.
    #[display("a set of sample indices must be valid base64")]
    NotBase64,
}

/// Set of sample indices; bit `i % 8` of byte `i / 8` stands for index `i`.
///
/// Sets with the same indices are equal, even if decoded from bytes with trailing zeros.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct IndexSet {
    /// Bits of the set, without trailing zero bytes.
    bytes: Vec<u8>,
}

impl IndexSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an index and returns whether it was new.
    ///
    /// # Errors
    ///
    /// Returns an error if the index is [`MAX_INDICES`] or higher.
    pub fn insert(&mut self, index: u32) -> Result<bool, IndexSetError> {
        if index >= MAX_INDICES {
            return Err(IndexSetError::IndexTooHigh { index });
        }
        if self.contains(index) {
            return Ok(false);
        }
        let byte_index = index as usize / 8;
        if self.bytes.len() <= byte_index {
            self.bytes.resize(byte_index + 1, 0);
        }
        self.bytes[byte_index] |= 1 << (index % 8);
        Ok(true)
    }

    /// Returns whether the set contains an index.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let byte = self.bytes.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// Adds all indices of another set.
    pub fn union(&mut self, other: &Self) {
        if self.bytes.len() < other.bytes.len() {
            self.bytes.resize(other.bytes.len(), 0);
        }
        for (own, added) in self.bytes.iter_mut().zip(&other.bytes) {
            *own |= added;
        }
    }

    /// Returns the number of indices in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes
            .iter()
            .map(|byte| byte.count_ones() as usize)
            .sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether all indices are less than `total`.
    #[must_use]
    pub fn is_below(&self, total: u32) -> bool {
        self.iter().all(|index| index < total)
    }

    /// Returns the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        let end = u32::try_from(self.bytes.len() * 8).unwrap_or(MAX_INDICES);
        (0..end).filter(|&index| self.contains(index))
    }

    /// Returns the bytes without trailing zeros.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl TryFrom<&[u8]> for IndexSet {
    type Error = IndexSetError;

    fn try_from(bytes: &[u8]) -> Result<Self, IndexSetError> {
        let len_bytes = bytes.len();
        if len_bytes > MAX_LEN_BYTES {
            return Err(IndexSetError::TooLong { len_bytes });
        }
        let end = bytes.iter().rposition(|&byte| byte != 0);
        let used = end.map_or(0, |last| last + 1);
        Ok(Self {
            bytes: bytes[..used].to_vec(),
        })
    }
}

/// Encodes the bytes as padded base64 (RFC 4648).
impl fmt::Display for IndexSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&STANDARD.encode(&self.bytes))
    }
}

impl FromStr for IndexSet {
    type Err = IndexSetError;

    fn from_str(text: &str) -> Result<Self, IndexSetError> {
        let bytes = STANDARD
            .decode(text)
            .map_err(|_| IndexSetError::NotBase64)?;
        Self::try_from(bytes.as_slice())
    }
}

impl Serialize for IndexSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for IndexSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
