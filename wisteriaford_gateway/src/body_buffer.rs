//! Buffer for a body of unknown size.

use bytes::Bytes;

/// Maximum size of a block, in bytes, small enough for the allocator to reuse freed blocks.
const BLOCK_BYTES: usize = 32 * 1024;

/// Body that is being received, in blocks, so that it takes no more memory than its size while it
/// grows.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    blocks: Vec<Vec<u8>>,
    size_bytes: usize,
}

impl BodyBuffer {
    /// Returns the size of the body so far, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Appends data.
    pub fn extend(&mut self, mut data: &[u8]) {
        self.size_bytes += data.len();
        while !data.is_empty() {
            let has_room = |block: &&mut Vec<u8>| block.len() < BLOCK_BYTES;
            let Some(block) = self.blocks.last_mut().filter(has_room) else {
                self.blocks.push(Vec::new());
                continue;
            };
            let (head, rest) = data.split_at(data.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(head);
            data = rest;
        }
    }
}

impl From<BodyBuffer> for Bytes {
    fn from(mut buffer: BodyBuffer) -> Self {
        if buffer.blocks.len() > 1 {
            return buffer.blocks.concat().into();
        }
        buffer.blocks.pop().unwrap_or_default().into()
    }
}
