//! When an entry knows enough to serve.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use registry::quarantine::QuarantineView;
use registry::{Health, Upstream};
use types::Version;

use super::*;
use crate::budget::{BudgetSpec, Start};
use crate::cold::ColdTolerance;
use crate::dialect::{
    AnswerHead, ForwardHead, Handle, PieceAnswer, PieceCall, RequestHead, SpaceReport,
};

/// A dialect in which every plan is empty, and every other message too.
struct EmptyDialect;

impl Dialect for EmptyDialect {
    const READY_PATH: &'static str = "";
    const PIECES_PATH: &'static str = "";
    const REPORT_PATH: &'static str = "";
    const FREE_PATH: &'static str = "";

    fn decode_plan(_: &[u8]) -> Result<Plan, String> {
        Ok(Plan::default())
    }

    fn decode_request(_: &HeaderMap) -> Result<RequestHead, String> {
        Err(String::new())
    }

    fn strip_headers(_: &mut HeaderMap) {}

    fn add_headers(_: &mut HeaderMap, _: &ForwardHead<'_>) {}

    fn decode_answer(_: StatusCode, _: &HeaderMap, _: &str) -> AnswerHead {
        AnswerHead::default()
    }

    fn encode_pieces(_: &[PieceCall]) -> Bytes {
        Bytes::new()
    }

    fn decode_results(_: &[u8]) -> Result<PieceAnswer, String> {
        Err(String::new())
    }

    fn decode_space(_: &[u8]) -> SpaceReport {
        SpaceReport::default()
    }

    fn encode_free(_: &[Handle]) -> Bytes {
        Bytes::new()
    }

    fn holder(_: &str) -> Option<SocketAddr> {
        None
    }
}

fn shared() -> Shared<EmptyDialect> {
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let (_, known) = watch::channel(Arc::new(QuarantineView::default()));
    let (evidence, _) = mpsc::channel(1);
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 1.0 };
    let budget = Budget::new(spec, own, Start::First, Instant::now());
    let metrics = Metrics::open(&telemetry::open_registry()).expect("metrics");
    let quarantine = Quarantine::new(known, evidence, own);
    Shared::new(
        (own, Arc::default()),
        "d".into(),
        (LinkRate::from_megabits(10.0), ColdTolerance::default()),
        (budget, metrics),
        quarantine,
    )
}

struct Case {
    name: &'static str,
    plan: bool,
    upstreams: bool,
    entries: bool,
    ready: bool,
}

const NOTHING: Case =
    Case { name: "nothing", plan: false, upstreams: false, entries: false, ready: false };

const CASES: &[Case] = &[
    NOTHING,
    Case { name: "no plan", upstreams: true, entries: true, ..NOTHING },
    Case { name: "no upstreams", plan: true, entries: true, ..NOTHING },
    Case { name: "no list of entries", plan: true, upstreams: true, ..NOTHING },
    Case { name: "all", plan: true, upstreams: true, entries: true, ready: true },
];

/// Guards against an entry that serves before it knows the other entries: it would run all stages
/// by itself and overfill the upstreams' queues.
#[test]
fn an_entry_is_ready_once_it_knows_all_that_it_needs() {
    for case in CASES {
        let mut registry_state = RegistryState::default();
        let stamp = Stamp { term: 1, count: 1 };
        if case.plan {
            registry_state.plan = Some((Version(1), Arc::default()));
        }
        if case.upstreams {
            let address = SocketAddr::from(([127, 0, 0, 1], 2));
            let upstream = Upstream {
                id: "u".to_owned(),
                service: "s".to_owned(),
                address,
                domain: "d".to_owned(),
                slots: 1,
                health: Health::Ready,
                version: "v1".into(),
            };
            (registry_state.upstreams_stamp, registry_state.upstreams) =
                (stamp, Arc::new(vec![upstream]));
        }
        if case.entries {
            registry_state.entries_stamp = stamp;
        }
        let shared = shared();
        shared.apply_registry_state(&registry_state);
        assert_eq!(shared.is_ready(), case.ready, "{}", case.name);
    }
}
