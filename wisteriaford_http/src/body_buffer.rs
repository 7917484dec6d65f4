//! Buffer for a body that is being received, charged to its connection.

use bytes::Bytes;
use memmap2::MmapMut;

use crate::budget::Refused;
use crate::guard::Charge;
use crate::guard::Slot;

/// Size up to which a body is kept on the heap, in bytes.
///
/// The allocator keeps larger blocks once they are freed, so that they would count toward the memory of
/// the process for good. They are mapped instead, and returned to the system at once.
const MAX_HEAP_BYTES: usize = 64 * 1024;

/// Contiguous buffer, without a copy of a body of known size.
pub(crate) struct BodyBuffer<'a> {
    slot: Option<&'a Slot>,
    memory: Memory,
    len: usize,
    charge: Option<Charge>,
}

enum Memory {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

impl Memory {
    fn capacity(&self) -> usize {
        match self {
            Self::Heap(_) => MAX_HEAP_BYTES,
            Self::Mapped(map) => map.len(),
        }
    }
}

impl<'a> BodyBuffer<'a> {
    /// Creates a buffer for a body of at least `declared_bytes`.
    pub(crate) fn new(slot: Option<&'a Slot>, declared_bytes: usize) -> Result<Self, Refused> {
        let mut buffer = Self {
            slot,
            memory: Memory::Heap(Vec::new()),
            len: 0,
            charge: None,
        };
        buffer.reserve(declared_bytes)?;
        if declared_bytes > MAX_HEAP_BYTES {
            buffer.memory = map(declared_bytes)?;
        }
        Ok(buffer)
    }

    /// Appends received data.
    pub(crate) fn extend(&mut self, data: &[u8]) -> Result<(), Refused> {
        let needed = self.len + data.len();
        if needed > self.memory.capacity() {
            self.grow(needed)?;
        }
        match &mut self.memory {
            Memory::Heap(block) => {
                if needed > block.capacity() {
                    let charged = self.charge.as_ref().map_or(0, Charge::bytes);
                    let doubled = needed.next_power_of_two();
                    self.reserve(doubled.saturating_sub(charged))?;
                }
                if let Memory::Heap(block) = &mut self.memory {
                    block.extend_from_slice(data);
                }
            }
            Memory::Mapped(map) => map[self.len..needed].copy_from_slice(data),
        }
        self.len = needed;
        if let Some(slot) = self.slot {
            slot.record_received(data.len());
        }
        Ok(())
    }

    /// Moves the body to a mapping of twice the size.
    fn grow(&mut self, needed: usize) -> Result<(), Refused> {
        let capacity = needed.max(self.memory.capacity() * 2);
        // While it is copied, the body is held twice.
        self.reserve(capacity)?;
        let old_bytes = self.charge.as_ref().map_or(0, Charge::bytes) - capacity;
        let Memory::Mapped(mut grown) = map(capacity)? else {
            return Err(Refused);
        };
        let old = match &self.memory {
            Memory::Heap(block) => block.as_slice(),
            Memory::Mapped(map) => map,
        };
        grown[..self.len].copy_from_slice(&old[..self.len]);
        self.memory = Memory::Mapped(grown);
        if let Some(charge) = &mut self.charge {
            charge.shrink(u64::try_from(old_bytes).unwrap_or_default());
        }
        Ok(())
    }

    fn reserve(&mut self, bytes: usize) -> Result<(), Refused> {
        let Some(slot) = self.slot else {
            return Ok(());
        };
        let charge = slot.reserve(bytes)?;
        match &mut self.charge {
            Some(held) => held.merge(charge),
            None => self.charge = Some(charge),
        }
        Ok(())
    }
}

impl From<BodyBuffer<'_>> for Bytes {
    fn from(buffer: BodyBuffer<'_>) -> Self {
        Self::from_owner(ReceivedBody {
            memory: buffer.memory,
            len: buffer.len,
            _charge: buffer.charge,
        })
    }
}

/// Returns bytes that keep a charge until their last copy is dropped.
pub(crate) fn hold(bytes: Vec<u8>, charge: Charge) -> Bytes {
    let len = bytes.len();
    let memory = if len > MAX_HEAP_BYTES
        && let Ok(Memory::Mapped(mut copy)) = map(len)
    {
        copy.copy_from_slice(&bytes);
        Memory::Mapped(copy)
    } else {
        Memory::Heap(bytes)
    };
    Bytes::from_owner(ReceivedBody {
        memory,
        len,
        _charge: Some(charge),
    })
}

/// Returns bytes that keep a further charge until their last copy is dropped.
pub(crate) fn attach(bytes: Bytes, charge: Charge) -> Bytes {
    Bytes::from_owner(ChargedBytes {
        bytes,
        _charge: charge,
    })
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

struct ReceivedBody {
    memory: Memory,
    len: usize,
    _charge: Option<Charge>,
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        match &self.memory {
            Memory::Heap(block) => &block[..self.len],
            Memory::Mapped(map) => &map[..self.len],
        }
    }
}

fn map(bytes: usize) -> Result<Memory, Refused> {
    // The pages take memory only once they are written.
    let map = MmapMut::map_anon(bytes).map_err(|error| {
        log::warn!(error:% = error, bytes = bytes; "no memory for a body");
        Refused
    })?;
    Ok(Memory::Mapped(map))
}
