//! Which entries are asked again for connections, and when.

use super::*;

struct Case {
    name: &'static str,
    /// The upstream that is asked about; the first one was refused.
    upstream: u64,
    late: bool,
    after_ms: u64,
    asked: bool,
}

const REFUSED: Case =
    Case { name: "refused just now", upstream: 1, late: false, after_ms: 10, asked: false };

const CASES: &[Case] = &[
    REFUSED,
    Case { name: "refused a while ago", after_ms: 400, asked: true, ..REFUSED },
    Case { name: "another upstream", upstream: 2, asked: true, ..REFUSED },
    Case { name: "late", late: true, ..REFUSED },
    Case { name: "late, another upstream", late: true, upstream: 2, ..REFUSED },
    Case { name: "late a while ago", late: true, after_ms: 1_100, asked: true, ..REFUSED },
];

/// Guards against an entry that asks for ever more loans the later it is.
#[test]
fn a_lender_that_has_none_or_is_late_is_not_asked_at_once() {
    let lender = SocketAddr::from(([127, 0, 0, 1], 1));
    for Case { name, upstream, late, after_ms, asked } in CASES {
        let (lenders, now) = (UnwillingLenders::default(), Instant::now());
        if *late {
            lenders.add_late(lender, now);
        } else {
            lenders.add_refused(lender, 1, now);
        }
        let then = now + Duration::from_millis(*after_ms);
        assert_eq!(!lenders.contains(lender, *upstream, then), *asked, "{name}");
        let other = SocketAddr::from(([127, 0, 0, 1], 2));
        assert!(!lenders.contains(other, *upstream, then), "{name}");
    }
}
