//! When an entry knows enough to serve.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use registry::quarantine::QuarantineView;
use registry::{Health, Upstream};
use types::Version;

use super::*;
use crate::budget::BudgetSpec;
use crate::dialect::{AnswerMarks, Ask, Handle, Marks, PieceAnswer, PieceCall, RoomReport};

/// A platform whose every plan is empty, and that says nothing else.
struct Mute;

impl Dialect for Mute {
    const READY_PATH: &'static str = "";
    const PIECES_PATH: &'static str = "";
    const REPORT_PATH: &'static str = "";
    const FREE_PATH: &'static str = "";

    fn plan(_: &[u8]) -> Result<Plan, String> {
        Ok(Plan::default())
    }

    fn ask(_: &HeaderMap) -> Result<Ask, String> {
        Err(String::new())
    }

    fn strip(_: &mut HeaderMap) {}

    fn mark(_: &mut HeaderMap, _: &Marks<'_>) {}

    fn answer(_: StatusCode, _: &HeaderMap, _: &str) -> AnswerMarks {
        AnswerMarks::default()
    }

    fn pieces(_: &[PieceCall]) -> Bytes {
        Bytes::new()
    }

    fn results(_: &[u8]) -> Result<PieceAnswer, String> {
        Err(String::new())
    }

    fn room(_: &[u8]) -> RoomReport {
        RoomReport::default()
    }

    fn free(_: &[Handle]) -> Bytes {
        Bytes::new()
    }

    fn keeper(_: &str) -> Option<SocketAddr> {
        None
    }
}

fn shared() -> Shared<Mute> {
    let own = SocketAddr::from(([127, 0, 0, 1], 1));
    let (_, known) = watch::channel(Arc::new(QuarantineView::default()));
    let (evidence, _) = mpsc::channel(1);
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 1.0 };
    let budget = Budget::new(spec, Instant::now());
    let metrics = Metrics::open(&telemetry::open_registry()).expect("metrics");
    let suspects = Suspects::new(known, evidence, own);
    Shared::new(own, "d".into(), LinkRate::from_megabits(10.0), (budget, metrics), suspects)
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
    Case { name: "not the other entries", plan: true, upstreams: true, ..NOTHING },
    Case { name: "all", plan: true, upstreams: true, entries: true, ready: true },
];

/// An entry that has not heard of the others makes all stage work itself, and fills the upstreams' queues.
#[test]
fn an_entry_is_ready_once_it_knows_all_that_it_needs() {
    for case in CASES {
        let mut news = RegistryState::default();
        let stamp = Stamp { term: 1, count: 1 };
        if case.plan {
            news.plan = Some((Version(1), Arc::default()));
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
            };
            (news.upstreams_stamp, news.upstreams) = (stamp, Arc::new(vec![upstream]));
        }
        if case.entries {
            news.entries_stamp = stamp;
        }
        let shared = shared();
        shared.take(&news);
        assert_eq!(shared.is_ready(), case.ready, "{}", case.name);
    }
}
