//! Splitting the calls of a route among services by weight.

use kumquatquay_core::routed::WeightedSplit;
use kumquatquay_wire::routed::Destination;
use quickcheck::quickcheck;

fn destinations(weights: &[u32]) -> Vec<Destination> {
    let destinations = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| Destination {
            service: index.to_string(),
            weight: *weight,
        });
    destinations.collect()
}

/// How many of the next `count` calls go to the first service.
fn first_count(split: &WeightedSplit, count: usize) -> usize {
    let services = (0..count).filter_map(|_| split.next());
    services.filter(|service| *service == "0").count()
}

quickcheck! {
    /// After any number of calls, the next 300 are split by the weights.
    fn any_sequence_of_calls_is_split_by_weight(weight: u8, skipped: u8, phase: f64) -> bool {
        let weight = u32::from(weight) % 99 + 1;
        let phase = if phase.is_finite() { phase.fract().abs() } else { 0.0 };
        let split = WeightedSplit::new(&destinations(&[weight, 100 - weight]), phase);
        first_count(&split, usize::from(skipped));
        let expected = f64::from(weight) * 3.0;
        (first_count(&split, 300) as f64 - expected).abs() <= 4.0
    }
}

/// A route is split 90 to 10. Each of 59 nodes sends six calls in the time in which the shares are
/// checked, which is too few for a node to keep the shares by itself. If all nodes started at the
/// same phase, the service with the small weight would get no calls, or twice its share.
#[test]
fn many_nodes_with_few_calls_split_them_by_weight() {
    let nodes_count = 59;
    let phases = (0..nodes_count).map(|node| f64::from(node) / f64::from(nodes_count));
    let counts = phases.map(|phase| {
        let split = WeightedSplit::new(&destinations(&[90, 10]), phase);
        first_count(&split, 6)
    });
    let first: usize = counts.sum();
    let share = first as f64 / f64::from(nodes_count * 6);
    assert!((share - 0.9).abs() < 0.02, "{share}");
}

#[test]
fn a_service_of_weight_zero_gets_nothing() {
    let split = WeightedSplit::new(&destinations(&[0, 1]), 0.0);
    assert_eq!(first_count(&split, 100), 0);
}

#[test]
fn without_destinations_there_is_no_service() {
    assert_eq!(WeightedSplit::new(&[], 0.5).next(), None);
}
