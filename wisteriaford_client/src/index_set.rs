//! Sets of sample indices, sent as the base64 text of a bit set.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

/// Most samples that a step may have; every index is below it.
pub const MAX_SAMPLES: u32 = 8_192;

const BITS_PER_BYTE: u32 = 8;

/// Why an index or a text is refused.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum IndexSetError {
    /// The index is not below [`MAX_SAMPLES`].
    #[display("sample index {index} is not below {MAX_SAMPLES}")]
    IndexOutOfRange {
        /// Index that was refused.
        index: u32,
    },
    /// The bit set has more than [`MAX_SAMPLES`] bits.
    #[display(
        "a set of sample indices has at most {MAX_SAMPLES} bits, this one has {len_bytes} bytes"
    )]
    TooLong {
        /// Length of the bit set.
        len_bytes: usize,
    },
    /// The text is not base64.
    #[display("a set of sample indices must be base64 text")]
    NotBase64,
}

/// Set of sample indices below [`MAX_SAMPLES`].
///
/// Bit `i % 8` of byte `i / 8` stands for index `i`; trailing zero bytes are left out, so that equal
/// sets have equal bytes.
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

    /// Adds an index and returns whether it was new.
    ///
    /// # Errors
    ///
    /// Fails on an index that is not below [`MAX_SAMPLES`].
    pub fn set(&mut self, index: u32) -> Result<bool, IndexSetError> {
        if index >= MAX_SAMPLES {
            return Err(IndexSetError::IndexOutOfRange { index });
        }
        let (place, mask) = position(index);
        if self.bytes.len() <= place {
            self.bytes.resize(place + 1, 0);
        }
        let is_new = self.bytes[place] & mask == 0;
        self.bytes[place] |= mask;
        Ok(is_new)
    }

    /// Returns whether the set holds an index.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let (place, mask) = position(index);
        self.bytes.get(place).is_some_and(|byte| byte & mask != 0)
    }

    /// Returns the number of indices in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.bytes.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns whether the set holds no index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
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

    /// Iterates over the indices, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..MAX_SAMPLES)
            .take(self.bytes.len() * 8)
            .filter(|&index| self.contains(index))
    }

    /// Returns the bit set, without trailing zero bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes a bit set.
    ///
    /// # Errors
    ///
    /// Fails on more than [`MAX_SAMPLES`] bits, even where they are zero.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, IndexSetError> {
        if bytes.len() > (MAX_SAMPLES / BITS_PER_BYTE) as usize {
            return Err(IndexSetError::TooLong {
                len_bytes: bytes.len(),
            });
        }
        let used = bytes.iter().rposition(|&byte| byte != 0);
        let len = used.map_or(0, |last| last + 1);
        Ok(Self {
            bytes: bytes[..len].to_vec(),
        })
    }
}

fn position(index: u32) -> (usize, u8) {
    (
        (index / BITS_PER_BYTE) as usize,
        1 << (index % BITS_PER_BYTE),
    )
}

impl std::fmt::Display for IndexSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&STANDARD.encode(&self.bytes))
    }
}

impl std::str::FromStr for IndexSet {
    type Err = IndexSetError;

    fn from_str(text: &str) -> Result<Self, IndexSetError> {
        let bytes = STANDARD
            .decode(text)
            .map_err(|_| IndexSetError::NotBase64)?;
        Self::from_bytes(&bytes)
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
