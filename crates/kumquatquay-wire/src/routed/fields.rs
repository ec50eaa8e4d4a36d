//! Header fields of a call or an answer.

use bytes::{BufMut, Bytes, BytesMut};

use crate::WireError;

/// Bytes of the two lengths that begin a field.
const LENGTHS_BYTES: usize = 8;

/// Header fields, one behind the other in one block, which goes over links as it is.
///
/// A field is the length of its name, that of its value, both as four bytes, little endian, then
/// the name and the value:
///
/// ```text
/// name length: u32 | value length: u32 | name | value
/// ```
///
/// A message has a dozen fields; one block takes one allocation for all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    block: Bytes,
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field<'a> {
    /// Its name.
    pub name: &'a [u8],
    /// Its value, a part of the block.
    pub value: Bytes,
}

impl Fields {
    /// Fields of these names and values, in this order.
    ///
    /// They are gone through twice, so that the block has no spare bytes.
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

    /// Fields in a block that came over a link.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if the block doesn't end with the end of a field.
    pub fn from_bytes(block: Bytes) -> Result<Self, WireError> {
        let mut place = 0;
        while place < block.len() {
            place = Place::at(&block, place).ok_or(WireError::Malformed)?.end;
        }
        Ok(Self { block })
    }

    /// The block.
    pub fn as_bytes(&self) -> &[u8] {
        &self.block
    }

    /// The fields, in their order.
    pub fn iter(&self) -> impl Iterator<Item = Field<'_>> {
        let mut next = 0;
        std::iter::from_fn(move || {
            let place = Place::at(&self.block, next)?;
            next = place.end;
            Some(Field {
                name: &self.block[place.name..place.value],
                value: self.block.slice(place.value..place.end),
            })
        })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        let first = Place::at(&self.block, 0);
        std::iter::successors(first, |place| Place::at(&self.block, place.end)).count()
    }
}

/// Where a field lies in its block.
struct Place {
    name: usize,
    value: usize,
    end: usize,
}

impl Place {
    /// The field that begins here, if it ends within the block.
    fn at(block: &[u8], start: usize) -> Option<Self> {
        let name = start.checked_add(LENGTHS_BYTES)?;
        let lengths = block.get(start..name)?;
        let (name_length, value_length) = lengths.split_at(LENGTHS_BYTES / 2);
        let value = name.checked_add(length_of(name_length))?;
        let end = value.checked_add(length_of(value_length))?;
        (end <= block.len()).then_some(Self { name, value, end })
    }
}

fn length_of(bytes: &[u8]) -> usize {
    let bytes = bytes.try_into().expect("a slice of four bytes");
    u32::from_le_bytes(bytes) as usize
}
