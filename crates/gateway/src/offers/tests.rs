//! Which upstreams count that did not run a request.

use http::StatusCode;
use registry::Health;

use super::*;

struct Case {
    name: &'static str,
    fault: Fault,
    /// Whether the upstreams were known to fail.
    paused: bool,
    /// How many are offered the request, of ten, where three may turn it away.
    offered: usize,
}

fn cases() -> Vec<Case> {
    let refused = Fault::unsent(NoConnection::Refused);
    vec![
        Case { name: "gone", fault: refused, paused: false, offered: 10 },
        Case { name: "known to be gone", fault: refused, paused: true, offered: 3 },
        Case {
            name: "silent",
            fault: Fault::unsent(NoConnection::Silent),
            paused: false,
            offered: 3,
        },
        Case {
            name: "no connection left",
            fault: Fault::unsent(NoConnection::Full),
            paused: false,
            offered: 3,
        },
        Case {
            name: "turned away",
            fault: Fault::refused(StatusCode::SERVICE_UNAVAILABLE),
            paused: false,
            offered: 3,
        },
    ]
}

fn upstream(paused: bool) -> Upstream {
    let listed = registry::Upstream {
        id: "u".to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".to_owned(),
        slots: 1,
        health: Health::Ready,
    };
    let upstream = Upstream::new(&listed, 1);
    if paused {
        upstream.failed(true);
    }
    upstream
}

/// A request is refused after three upstreams that are gone, or presses on where all turn it away.
#[test]
fn only_news_of_an_upstream_that_is_gone_is_free() {
    for case in cases() {
        let now = Instant::now();
        let mut offers = Offers::new(3);
        let mut offered = 0;
        while offered < 10 {
            offers.add(&upstream(case.paused), now);
            offered += 1;
            if !offers.turned_away(&case.fault) {
                break;
            }
        }
        assert_eq!(offered, case.offered, "{}", case.name);
    }
}
