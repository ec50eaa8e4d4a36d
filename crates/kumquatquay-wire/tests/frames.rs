//! Frames of many calls on one link.

use bytes::Bytes;
use kumquatquay_wire::{
    WireError,
    routed::{
        Fields, FrameHead, FrameMemory, FrameReader, Payload, RouteEstimate, ServiceDemand,
        encode_frame,
    },
};
use quickcheck::quickcheck;

/// A frame whose head says no more than a number.
#[derive(Clone, Debug, PartialEq)]
struct Numbered {
    number: u64,
    payload: Payload,
}

impl Numbered {
    fn with_body(number: u64, body: Vec<u8>) -> Self {
        let payload = Payload::from_body(body);
        Self { number, payload }
    }

    fn encode(&self, out: &mut Vec<u8>) {
        let number = self.number;
        encode_frame(&FrameHead::Cancel { number }, &self.payload, out);
    }
}

/// Memory without a limit.
fn any_memory(_frame_bytes: usize) -> Option<FrameMemory> {
    Some(Box::new(Bytes::from))
}

/// Takes in bytes of a link; all frames that are whole by that.
fn read(reader: &mut FrameReader, bytes: &[u8]) -> Result<Vec<Numbered>, WireError> {
    read_within(reader, bytes, any_memory)
}

/// [`read`], with what memory there is for large frames.
fn read_within(
    reader: &mut FrameReader,
    bytes: &[u8],
    take_memory: fn(usize) -> Option<FrameMemory>,
) -> Result<Vec<Numbered>, WireError> {
    let mut frames = Vec::new();
    reader.read(bytes, take_memory, |frame| {
        let FrameHead::Cancel { number } = frame.head()? else {
            return Err(WireError::Malformed);
        };
        let payload = frame.payload()?;
        assert_eq!(frame.body(), payload.body);
        let held = frame.to_owned_frame()?;
        assert_eq!(held.head()?, frame.head()?);
        assert_eq!(held.payload, payload);
        frames.push(Numbered { number, payload });
        Ok(())
    })?;
    Ok(frames)
}

/// One upload of a third of a megabyte comes over a link, and then nothing but short
/// calls. Each node has hundreds of links; with buffers of that size it would outgrow
/// its host.
#[test]
fn a_buffer_does_not_stay_as_long_as_the_longest_body() {
    let mut bytes = Vec::new();
    Numbered::with_body(1, vec![7; 360_000]).encode(&mut bytes);
    let mut reader = FrameReader::default();
    for piece in bytes.chunks(16_000) {
        read(&mut reader, piece).unwrap();
    }
    assert_eq!(reader.held_bytes(), 0);
}

/// Guards against uploads over links that exceed the memory of their node: the body of one for which there
/// is none is dropped, its head tells whose it was, and the frames behind it are read.
#[test]
fn a_body_without_memory_is_dropped_and_the_next_frames_are_read() {
    let mut bytes = Vec::new();
    Numbered::with_body(1, vec![7; 360_000]).encode(&mut bytes);
    Numbered::with_body(2, vec![8; 100]).encode(&mut bytes);
    let mut reader = FrameReader::default();
    let mut frames = Vec::new();
    for piece in bytes.chunks(16_000) {
        frames.extend(read_within(&mut reader, piece, |_| None).unwrap());
        assert!(reader.held_bytes() < 16_000);
    }
    let expected = [(1, Vec::new()), (2, vec![8; 100])];
    assert_eq!(
        frames,
        expected.map(|(number, body)| Numbered::with_body(number, body))
    );
}

/// Guards against bodies that take twice their size, one part in a buffer and one in a copy of it.
#[test]
fn a_large_frame_is_read_into_the_memory_that_was_taken_for_it() {
    let body = vec![7; 360_000];
    let mut bytes = Vec::new();
    Numbered::with_body(1, body.clone()).encode(&mut bytes);
    let mut reader = FrameReader::default();
    let mut frames = Vec::new();
    for piece in bytes.chunks(16_000) {
        frames.extend(read(&mut reader, piece).unwrap());
        assert!(reader.held_bytes() <= bytes.len());
    }
    assert_eq!(frames, [Numbered::with_body(1, body)]);
}

/// A frame names lengths that its bytes don't have, or that lie beyond its end.
#[test]
fn lengths_that_lie_are_refused_or_waited_for() {
    let lie = |lengths: [u32; 3]| {
        let bytes: Vec<u8> = lengths
            .iter()
            .flat_map(|length| length.to_le_bytes())
            .collect();
        read(&mut FrameReader::default(), &bytes)
    };
    assert_eq!(lie([u32::MAX, 0, 0]), Err(WireError::TooLong));
    assert_eq!(lie([12, 1, 0]), Err(WireError::Malformed));
    assert_eq!(lie([12, 0, 1]), Err(WireError::Malformed));
    assert_eq!(lie([20, u32::MAX, u32::MAX]), Err(WireError::Malformed));
    assert_eq!(lie([0, 0, 0]), Err(WireError::Malformed));
    assert_eq!(lie([20, 4, 4]), Ok(Vec::new()));
}

/// The fields of a frame come from another node; one that ends beyond the block must end the link
/// and not the process.
#[test]
fn fields_that_end_beyond_their_block_are_refused() {
    let refused = |block: &'static [u8]| {
        let fields = Fields::from_bytes(Bytes::from_static(block));
        assert_eq!(fields, Err(WireError::Malformed), "{block:?}");
    };
    refused(&[1, 0, 0]);
    refused(&[1, 0, 0, 0, 1, 0, 0, 0]);
    refused(&[1, 0, 0, 0, 1, 0, 0, 0, b'a']);
    refused(&[0xff; 8]);
    refused(&[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, b'a', b'b']);
}

/// The estimate of a route goes over a link twice a second for each route that is called there.
#[test]
fn route_estimate_is_short() {
    let demand = |number: u32| ServiceDemand {
        service: format!("timet-{number}"),
        calls: 8.0,
        work_us: 440_000,
    };
    let estimate = RouteEstimate {
        is_from_outside: true,
        is_settled: true,
        demands: (0..4).map(demand).collect(),
    };
    let bytes = postcard::to_allocvec(&estimate).unwrap();
    assert!(bytes.len() <= 64 + 4, "{}", bytes.len());
}

quickcheck! {
    /// However the bytes of a link are cut, the same frames come out in order, large ones among them.
    fn frames_come_out_whole(bodies: Vec<Vec<u8>>, large: Vec<u16>, cuts: Vec<u8>) -> bool {
        let large = large.into_iter().map(|length| vec![b'l'; usize::from(length)]);
        let bodies = bodies.into_iter().chain(large).enumerate();
        let frames = bodies.map(|(number, body)| Numbered::with_body(number as u64, body));
        let frames: Vec<Numbered> = frames.collect();
        let mut bytes = Vec::new();
        frames.iter().for_each(|frame| frame.encode(&mut bytes));
        let mut reader = FrameReader::default();
        let mut cuts = cuts.into_iter().cycle();
        let mut out = Vec::new();
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let cut = usize::from(cuts.next().unwrap_or(9)).clamp(1, rest.len());
            let (piece, behind) = rest.split_at(cut);
            out.extend(read(&mut reader, piece).unwrap());
            rest = behind;
        }
        out == frames && reader.held_bytes() == 0
    }

    /// Fields come out of a frame as they went in, beside its body.
    fn fields_come_out_as_they_went_in(fields: Vec<(String, Vec<u8>)>, body: Vec<u8>) -> bool {
        let parts = || fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()));
        let payload = Payload { fields: Fields::new(parts), body: Bytes::from(body) };
        let frame = Numbered { number: 3, payload };
        let mut bytes = Vec::new();
        frame.encode(&mut bytes);
        let out = read(&mut FrameReader::default(), &bytes).unwrap();
        let read_fields = out[0].payload.fields.iter();
        let read_fields = read_fields.map(|field| (field.name.to_vec(), field.value.to_vec()));
        let expected = fields.iter().map(|(name, value)| (name.clone().into_bytes(), value.clone()));
        out == [frame.clone()]
            && out[0].payload.fields.count() == fields.len()
            && read_fields.eq(expected)
    }

    /// Any bytes are fields or are refused, and those that are taken are read to their end.
    fn any_block_is_read_or_refused(block: Vec<u8>) -> bool {
        let bytes = Bytes::from(block);
        Fields::from_bytes(bytes.clone()).map_or(true, |fields| {
            let fields = fields.iter().map(|field| 8 + field.name.len() + field.value.len());
            fields.sum::<usize>() == bytes.len()
        })
    }

    /// Any bytes on a link, whole frames changed in one place among them, end the link at most.
    fn any_bytes_are_frames_or_refused(body: Vec<u8>, place: usize, change: u8) -> bool {
        let mut bytes = Vec::new();
        let fields = Fields::new(|| [("accept", body.as_slice())].into_iter());
        let body = Bytes::from(body);
        Numbered { number: 9, payload: Payload { fields, body } }.encode(&mut bytes);
        let place = place % bytes.len();
        bytes[place] ^= change;
        let _ = read(&mut FrameReader::default(), &bytes);
        let _ = read(&mut FrameReader::default(), &bytes[place..]);
        true
    }
}
