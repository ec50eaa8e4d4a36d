//! Frames of many calls on one link.

use kumquatquay_wire::routed::{FrameHead, FrameReader, RouteNews, ServiceDemand, encode_frame};
use quickcheck::quickcheck;

fn cancel(number: u64) -> FrameHead {
    FrameHead::Cancel { number }
}

/// Takes all whole frames out of a reader.
fn frames_of(reader: &mut FrameReader) -> Vec<(FrameHead, Vec<u8>)> {
    std::iter::from_fn(|| reader.next_frame().unwrap()).collect()
}

/// One upload of a third of a megabyte comes over a link, and then nothing but short
/// calls. Each node has hundreds of links; with buffers of that size it would outgrow
/// its host.
#[test]
fn a_buffer_does_not_stay_as_long_as_the_longest_body() {
    let mut reader = FrameReader::default();
    encode_frame(&cancel(1), &vec![7; 360_000], reader.buffer());
    assert_eq!(frames_of(&mut reader).len(), 1);
    assert!(reader.buffer().capacity() <= 32 * 1024);
}

/// News of a route goes over a link twice a second for each route that is called there.
#[test]
fn news_of_a_route_is_short() {
    let demand = |number: u32| ServiceDemand {
        service: format!("timet-{number}"),
        calls: 8.0,
        work_us: 440_000,
    };
    let news = RouteNews {
        is_from_outside: true,
        is_settled: true,
        leads_to: (0..4).map(demand).collect(),
    };
    let bytes = postcard::to_allocvec(&news).unwrap();
    assert!(bytes.len() <= 64 + 4, "{}", bytes.len());
}

quickcheck! {
    /// However the bytes of a link are cut, the same frames come out in order.
    fn frames_come_out_whole(bodies: Vec<Vec<u8>>, cuts: Vec<u8>) -> bool {
        let mut bytes = Vec::new();
        for (number, body) in bodies.iter().enumerate() {
            encode_frame(&cancel(number as u64), body, &mut bytes);
        }
        let mut reader = FrameReader::default();
        let mut cuts = cuts.into_iter().cycle();
        let mut out = Vec::new();
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let cut = usize::from(cuts.next().unwrap_or(9)).clamp(1, rest.len());
            let (piece, behind) = rest.split_at(cut);
            reader.buffer().extend_from_slice(piece);
            out.extend(frames_of(&mut reader));
            rest = behind;
        }
        let expected = bodies.into_iter().enumerate();
        let expected = expected.map(|(number, body)| (cancel(number as u64), body));
        out == expected.collect::<Vec<_>>()
    }
}
