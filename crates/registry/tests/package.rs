//! Unpacking a package returns the plan that was packed, or an error.

use proptest::prelude::*;
use registry::package::{MAX_PART_BYTES, Package, PartialPackage};
use registry::plan::StoredPlan;
use types::Version;

fn stored_plan(version: u64, text: &[u8]) -> StoredPlan {
    StoredPlan { version: Version(version), text: text.to_vec() }
}

/// Splits a package into parts and puts them together again.
fn transfer(package: &Package) -> PartialPackage {
    let mut partial =
        PartialPackage::begin(package.part(0).expect("a first part")).expect("the first");
    while !partial.is_complete() {
        let part = package.part(partial.next_offset()).expect("a part");
        assert!(part.bytes.len() <= MAX_PART_BYTES);
        assert!(partial.add(&part));
        assert!(!partial.add(&part), "a part is taken once");
    }
    assert!(package.part(partial.next_offset()).is_none());
    partial
}

/// Returns random bytes, which can't be compressed.
fn random_bytes(seed: u64, length: usize) -> Vec<u8> {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
    (0..length).map(|_| rng.random()).collect()
}

#[test]
fn unpacking_returns_the_packed_plan() {
    struct Case {
        name: &'static str,
        base: Option<Vec<u8>>,
        text: Vec<u8>,
        /// The maximum size of the package, in bytes.
        max_size: usize,
    }
    let large = random_bytes(1, 1 << 20);
    let changed = [&large[..500_000], b"another", &large[500_007..]].concat();
    let longer = [&large[..500_000], &random_bytes(2, 100_000), &large[500_000..]].concat();
    let cases = [
        Case { name: "empty", base: None, text: Vec::new(), max_size: 16 },
        Case { name: "small", base: None, text: b"plan".to_vec(), max_size: 16 },
        Case { name: "repeated", base: None, text: b"plan".repeat(10_000), max_size: 400 },
        Case { name: "whole", base: None, text: large.clone(), max_size: (1 << 20) + (8 << 10) },
        Case { name: "no change", base: Some(large.clone()), text: large.clone(), max_size: 64 },
        Case { name: "a change", base: Some(large.clone()), text: changed, max_size: 4_096 },
        Case { name: "longer", base: Some(large.clone()), text: longer, max_size: 110_000 },
        Case {
            name: "from nothing",
            base: Some(Vec::new()),
            text: large.clone(),
            max_size: 1_100_000,
        },
        Case { name: "to nothing", base: Some(large), text: Vec::new(), max_size: 16 },
    ];
    for Case { name, base, text, max_size } in cases {
        let before = base.map(|it| stored_plan(1, &it));
        let package = Package::pack(&stored_plan(2, &text), before.as_ref());
        assert!(package.id().size as usize <= max_size, "{name}: {} bytes", package.id().size);
        let base = before.map(|it| it.text).unwrap_or_default();
        assert_eq!(transfer(&package).unpack(&base).expect(name), text, "{name}");
    }
}

/// Guards against a plan that nobody sent: the result of a difference that is applied to another text
/// than the one it was made from.
#[test]
fn a_difference_from_another_plan_is_rejected() {
    let text = random_bytes(1, 100_000);
    let plan = stored_plan(2, &[&text[..], b"more"].concat());
    let package = Package::pack(&plan, Some(&stored_plan(1, &text)));
    let partial = transfer(&package);
    for other in [Vec::new(), random_bytes(3, 100_000), text[1..].to_vec()] {
        assert!(partial.unpack(&other).is_err(), "{} bytes", other.len());
    }
}

proptest! {
    #[test]
    fn a_difference_between_any_two_plans_can_be_unpacked(before in "[ab]{0,3000}", after in "[ab]{0,3000}") {
        let (before, after) = (stored_plan(1, before.as_bytes()), stored_plan(2, after.as_bytes()));
        let partial = transfer(&Package::pack(&after, Some(&before)));
        prop_assert_eq!(partial.unpack(&before.text).expect("a plan"), after.text);
    }

    #[test]
    fn any_bytes_give_a_plan_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut part = Package::pack(&stored_plan(2, b"plan"), None).part(0).expect("a part");
        part.bytes = bytes;
        let partial = PartialPackage::begin(part).expect("the first");
        // Random bytes have the right checksum only if they decode to the plan.
        if let Ok(text) = partial.unpack(b"") {
            prop_assert_eq!(text, b"plan".to_vec());
        }
    }
}
