//! Memory for the bytes of bodies.

use memmap2::MmapMut;

/// Capacity from which on a buffer has a mapping of its own.
const MAPPED_BYTES: usize = 8 * 1024;

/// A buffer of fixed capacity that is filled once.
///
/// Large ones have a mapping of their own, which the operating system gets back with their end. Bodies of
/// many sizes that come and go in the heap would leave gaps there, and the process would hold much more
/// memory than they have.
pub(crate) struct BodyBuffer {
    memory: Memory,
    length_bytes: usize,
}

enum Memory {
    Heap(Box<[u8]>),
    Mapped(MmapMut),
}

impl BodyBuffer {
    pub(crate) fn new(capacity_bytes: usize) -> Self {
        let mapped = (capacity_bytes >= MAPPED_BYTES).then(|| MmapMut::map_anon(capacity_bytes));
        let memory = match mapped {
            Some(Ok(mapped)) => Memory::Mapped(mapped),
            // Without another mapping the heap has to do.
            Some(Err(_)) | None => Memory::Heap(vec![0; capacity_bytes].into_boxed_slice()),
        };
        Self {
            memory,
            length_bytes: 0,
        }
    }

    /// Bytes that may be appended.
    pub(crate) fn room_bytes(&self) -> usize {
        let capacity_bytes = match &self.memory {
            Memory::Heap(memory) => memory.len(),
            Memory::Mapped(memory) => memory.len(),
        };
        capacity_bytes - self.length_bytes
    }

    /// Appends bytes, for which there has to be room.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        let memory: &mut [u8] = match &mut self.memory {
            Memory::Heap(memory) => memory,
            Memory::Mapped(memory) => memory,
        };
        memory[self.length_bytes..][..bytes.len()].copy_from_slice(bytes);
        self.length_bytes += bytes.len();
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        let memory: &[u8] = match &self.memory {
            Memory::Heap(memory) => memory,
            Memory::Mapped(memory) => memory,
        };
        &memory[..self.length_bytes]
    }
}
