//! Header fields of a call or an answer.

use bytes::{BufMut, Bytes, BytesMut};

use crate::WireError;

/// Size of the two lengths at the start of a field, in bytes.
const LENGTHS_BYTES: usize = 8;

/// Header fields, stored one after the other in a block that is sent over links unchanged.
///
/// A field consists of the length of its name and the length of its value, both as four bytes,
/// little endian, followed by the name and the value:
///
/// ```text
/// name length: u32 | value length: u32 | name | value
/// ```
///
/// A message has about a dozen fields; the block needs one allocation for all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    block: Bytes,
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field<'a> {
    /// Name of the field.
    pub name: &'a [u8],
    /// Value of the field, a slice of the block.
    pub value: Bytes,
}

impl Fields {
    /// Creates fields from names and values, in this order.
    ///
    /// The iterator is created twice: the first pass sums the lengths, so that the block is
    /// allocated with its exact size.
    ///
    /// # Examples
    ///
    /// ```
    /// use kumquatquay_wire::routed::Fields;
    ///
    /// let fields = Fields::new(|| [("accept", b"*/*".as_slice())].into_iter());
    /// let field = fields.iter().next().unwrap();
    /// assert_eq!((field.name, field.value.as_ref()), (b"accept".as_slice(), b"*/*".as_slice()));
    /// ```
    pub fn new<'a, I>(fields: impl Fn() -> I) -> Self
    where
        I: Iterator<Item = (&'a str, &'a [u8])>,
    {
        let lengths = fields().map(|(name, value)| LENGTHS_BYTES + name.len() + value.len());
        let block_bytes = lengths.sum();
        let mut block = BytesMut::with_capacity(block_bytes);
        for (name, value) in fields() {
            block.put_u32_le(name.len() as u32);
            block.put_u32_le(value.len() as u32);
            block.put_slice(name.as_bytes());
            block.put_slice(value);
        }
        Self {
            block: block.freeze(),
        }
    }

    /// Reads the fields of a block that was received over a link.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if the last field is incomplete.
    pub fn from_bytes(block: Bytes) -> Result<Self, WireError> {
        let mut offset = 0;
        while offset < block.len() {
            offset = FieldOffsets::at(&block, offset)
                .ok_or(WireError::Malformed)?
                .end;
        }
        Ok(Self { block })
    }

    /// Returns the encoded block.
    pub fn as_bytes(&self) -> &[u8] {
        &self.block
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = Field<'_>> {
        let mut next = 0;
        std::iter::from_fn(move || {
            let offsets = FieldOffsets::at(&self.block, next)?;
            next = offsets.end;
            Some(Field {
                name: &self.block[offsets.name..offsets.value],
                value: self.block.slice(offsets.value..offsets.end),
            })
        })
    }

    /// Returns the number of fields.
    pub fn count(&self) -> usize {
        let first = FieldOffsets::at(&self.block, 0);
        std::iter::successors(first, |offsets| FieldOffsets::at(&self.block, offsets.end)).count()
    }
}

/// Offsets of a field in its block.
struct FieldOffsets {
    name: usize,
    value: usize,
    end: usize,
}

impl FieldOffsets {
    /// Locates the field that starts at `start`. Returns `None` if it exceeds the block.
    fn at(block: &[u8], start: usize) -> Option<Self> {
        let name = start.checked_add(LENGTHS_BYTES)?;
        let lengths = block.get(start..name)?;
        let (name_length, value_length) = lengths.split_at(LENGTHS_BYTES / 2);
        let value = name.checked_add(parse_length(name_length))?;
        let end = value.checked_add(parse_length(value_length))?;
        (end <= block.len()).then_some(Self { name, value, end })
    }
}

fn parse_length(bytes: &[u8]) -> usize {
    let bytes = bytes.try_into().expect("a slice of four bytes");
    u32::from_le_bytes(bytes) as usize
}
