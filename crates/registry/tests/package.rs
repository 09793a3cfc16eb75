//! Parcels give the plan that was packed, or an error.

use proptest::prelude::*;
use registry::package::{MAX_PART_BYTES, Package, PartialPackage};
use registry::plan::StoredPlan;
use types::Version;

fn held(version: u64, text: &[u8]) -> StoredPlan {
    StoredPlan { version: Version(version), text: text.to_vec() }
}

/// Takes a parcel apart and together again.
fn sent(parcel: &Package) -> PartialPackage {
    let mut inbound =
        PartialPackage::begin(parcel.part(0).expect("a first part")).expect("the first");
    while !inbound.is_complete() {
        let part = parcel.part(inbound.next_offset()).expect("a part");
        assert!(part.bytes.len() <= MAX_PART_BYTES);
        assert!(inbound.add(&part));
        assert!(!inbound.add(&part), "a part is taken once");
    }
    assert!(parcel.part(inbound.next_offset()).is_none());
    inbound
}

/// Bytes that no compression makes smaller.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    (0..length).map(|_| rng.random()).collect()
}

#[test]
fn a_plan_comes_out_as_it_went_in() {
    struct Case {
        name: &'static str,
        base: Option<Vec<u8>>,
        text: Vec<u8>,
        /// The most bytes that may be sent.
        most: usize,
    }
    let large = noise(1, 1 << 20);
    let changed = [&large[..500_000], b"another", &large[500_007..]].concat();
    let longer = [&large[..500_000], &noise(2, 100_000), &large[500_000..]].concat();
    let cases = [
        Case { name: "nothing", base: None, text: Vec::new(), most: 16 },
        Case { name: "small", base: None, text: b"plan".to_vec(), most: 16 },
        Case { name: "repeated", base: None, text: b"plan".repeat(10_000), most: 400 },
        Case { name: "whole", base: None, text: large.clone(), most: (1 << 20) + (8 << 10) },
        Case { name: "the same", base: Some(large.clone()), text: large.clone(), most: 64 },
        Case { name: "a change", base: Some(large.clone()), text: changed, most: 4_096 },
        Case { name: "longer", base: Some(large.clone()), text: longer, most: 110_000 },
        Case { name: "from nothing", base: Some(Vec::new()), text: large.clone(), most: 1_100_000 },
        Case { name: "to nothing", base: Some(large), text: Vec::new(), most: 16 },
    ];
    for Case { name, base, text, most } in cases {
        let before = base.map(|it| held(1, &it));
        let parcel = Package::pack(&held(2, &text), before.as_ref());
        assert!(parcel.id().size as usize <= most, "{name}: {} bytes", parcel.id().size);
        let base = before.map(|it| it.text).unwrap_or_default();
        assert_eq!(sent(&parcel).unpack(&base).expect(name), text, "{name}");
    }
}

/// A difference that is applied to another text than it was made from gives a plan that nobody sent.
#[test]
fn a_difference_from_another_plan_gives_nothing() {
    let text = noise(1, 100_000);
    let plan = held(2, &[&text[..], b"more"].concat());
    let parcel = Package::pack(&plan, Some(&held(1, &text)));
    let inbound = sent(&parcel);
    for other in [Vec::new(), noise(3, 100_000), text[1..].to_vec()] {
        assert!(inbound.unpack(&other).is_err(), "{} bytes", other.len());
    }
}

proptest! {
    #[test]
    fn any_two_plans(before in "[ab]{0,3000}", after in "[ab]{0,3000}") {
        let (before, after) = (held(1, before.as_bytes()), held(2, after.as_bytes()));
        let inbound = sent(&Package::pack(&after, Some(&before)));
        prop_assert_eq!(inbound.unpack(&before.text).expect("a plan"), after.text);
    }

    #[test]
    fn any_bytes_give_a_plan_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut part = Package::pack(&held(2, b"plan"), None).part(0).expect("a part");
        part.bytes = bytes;
        let inbound = PartialPackage::begin(part).expect("the first");
        // Random bytes have the right checksum only where they are the plan.
        if let Ok(text) = inbound.unpack(b"") {
            prop_assert_eq!(text, b"plan".to_vec());
        }
    }
}
