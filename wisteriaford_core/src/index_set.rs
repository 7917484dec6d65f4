//! Bounded bit set of sample indices, as bytes between instances and as base64 text in JSON.

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

/// Indices that a set can hold: 0 up to but without this number.
pub const MAX_INDICES: u32 = 65_536;

const MAX_LEN_BYTES: usize = MAX_INDICES as usize / 8;

/// Why indices cannot be held.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum IndexSetError {
    /// The bytes hold more bits than [`MAX_INDICES`].
    #[display("an index set has at most {MAX_LEN_BYTES} bytes, this one has {len_bytes}")]
    TooLong {
        /// Length of the bytes.
        len_bytes: usize,
    },
    /// The index is not below [`MAX_INDICES`].
    #[display("index {index} is not below {MAX_INDICES}")]
    IndexTooHigh {
        /// Index.
        index: u32,
    },
    /// The text is not base64.
    #[display("a set of sample indices must be base64 text")]
    NotBase64,
}

/// Set of sample indices; bit i % 8 of byte i / 8 is index i.
///
/// Sets that hold the same indices are equal, whatever bytes they were made from.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct IndexSet {
    bytes: Vec<u8>,
}

impl IndexSet {
    /// Returns the empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an index; returns whether it was new.
    ///
    /// # Errors
    ///
    /// Refuses an index that is not below [`MAX_INDICES`].
    pub fn insert(&mut self, index: u32) -> Result<bool, IndexSetError> {
        if index >= MAX_INDICES {
            return Err(IndexSetError::IndexTooHigh { index });
        }
        if self.contains(index) {
            return Ok(false);
        }
        let place = index as usize / 8;
        if self.bytes.len() <= place {
            self.bytes.resize(place + 1, 0);
        }
        self.bytes[place] |= 1 << (index % 8);
        Ok(true)
    }

    /// Returns whether the set holds an index.
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

    /// Returns the number of indices held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes
            .iter()
            .map(|byte| byte.count_ones() as usize)
            .sum()
    }

    /// Returns whether the set holds no index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether no index is `total` or above.
    #[must_use]
    pub fn is_below(&self, total: u32) -> bool {
        self.iter().all(|index| index < total)
    }

    /// Returns the indices, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        let end = u32::try_from(self.bytes.len() * 8).unwrap_or(MAX_INDICES);
        (0..end).filter(|&index| self.contains(index))
    }

    /// Returns the bytes, without zeros at the end.
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

/// Writes the bytes as base64 text (RFC 4648, padded).
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
