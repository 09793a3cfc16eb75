//! The stored plan is the one with the highest version.

use registry::plan::{PutPlan, StoredPlan};
use types::Version;

struct Case {
    name: &'static str,
    puts: &'static [(u64, &'static str)],
    held: (u64, &'static str),
}

const CASES: &[Case] = &[
    Case { name: "the first is stored", puts: &[(3, "a")], held: (3, "a") },
    Case { name: "a higher one replaces it", puts: &[(3, "a"), (9, "b")], held: (9, "b") },
    Case { name: "a lower one changes nothing", puts: &[(9, "b"), (3, "a")], held: (9, "b") },
    Case { name: "the same again changes nothing", puts: &[(3, "a"), (3, "a")], held: (3, "a") },
    Case {
        name: "another text with the same version is not stored",
        puts: &[(3, "a"), (3, "b")],
        held: (3, "a"),
    },
];

#[test]
fn the_highest_version_wins() {
    for case in CASES {
        let mut held = StoredPlan::default();
        for (version, text) in case.puts {
            held.apply(PutPlan { version: Version(*version), text: text.as_bytes().to_vec() });
        }
        let (version, text) = case.held;
        assert_eq!(held.version, Version(version), "{}", case.name);
        assert_eq!(held.text, text.as_bytes(), "{}", case.name);
    }
}
