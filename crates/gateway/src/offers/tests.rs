//! Which upstreams that did not run a request count towards the limit.

use http::StatusCode;
use registry::Health;

use super::*;

struct Case {
    name: &'static str,
    fault: Fault,
    /// Whether the upstreams were ejected.
    ejected: bool,
    /// How many of ten upstreams the request is offered to, if three may reject it.
    offered: usize,
}

fn cases() -> Vec<Case> {
    let refused = Fault::unsent(ConnectError::Refused);
    vec![
        Case { name: "gone", fault: refused, ejected: false, offered: 10 },
        Case { name: "gone and ejected", fault: refused, ejected: true, offered: 3 },
        Case {
            name: "silent",
            fault: Fault::unsent(ConnectError::TimedOut),
            ejected: false,
            offered: 3,
        },
        Case {
            name: "no connection left",
            fault: Fault::unsent(ConnectError::LimitReached),
            ejected: false,
            offered: 3,
        },
        Case {
            name: "turned away",
            fault: Fault::refused(StatusCode::SERVICE_UNAVAILABLE),
            ejected: false,
            offered: 3,
        },
    ]
}

fn upstream(ejected: bool) -> Upstream {
    let listed = registry::Upstream {
        id: "u".to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".to_owned(),
        slots: 1,
        health: Health::Ready,
        version: "v1".into(),
    };
    let upstream = Upstream::new(&listed, 1);
    if ejected {
        upstream.record_failure(true);
    }
    upstream
}

/// Guards against a request that is refused after three upstreams that are gone, and against one
/// that is offered to every upstream although all reject it.
#[test]
fn only_refused_connections_do_not_count() {
    for case in cases() {
        let now = Instant::now();
        let mut offers = Offers::new(3);
        let mut offered = 0;
        while offered < 10 {
            let _ = offers.add(&upstream(case.ejected), now);
            offered += 1;
            if !offers.record_rejection(&case.fault) {
                break;
            }
        }
        assert_eq!(offered, case.offered, "{}", case.name);
    }
}

/// Guards against two answers with the same id on one connection: a second copy of the first one would pass
/// for the other.
#[test]
fn an_upstream_gets_a_request_again_on_a_new_connection() {
    let (upstream, now) = (upstream(false), Instant::now());
    let mut offers = Offers::new(3);
    assert_eq!(offers.add(&upstream, now), Reuse::Any);
    offers.take_back();
    assert_eq!(offers.add(&upstream, now), Reuse::New, "taken back");
    offers.record_rejection(&Fault::refused(StatusCode::SERVICE_UNAVAILABLE));
    offers.renew(None);
    assert_eq!(offers.add(&upstream, now), Reuse::New, "renewed");
}
