//! When an entry knows enough to serve.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use registry::quarantine::QuarantineView;
use registry::{Capacity, Health, Upstream};
use types::Version;

use super::*;
use crate::budget::{BudgetSpec, Start};
use crate::cold::ColdTolerance;
use crate::dialect::{
    AnswerHead, ForwardHead, Handle, PieceAnswer, PieceCall, RequestHead, SpaceReport,
};
use crate::plan::{BatchSpec, Service};

/// A dialect in which every plan has one service that runs stages, and every other message is
/// empty.
struct FixedDialect;

impl Dialect for FixedDialect {
    const READY_PATH: &'static str = "";
    const PIECES_PATH: &'static str = "";
    const REPORT_PATH: &'static str = "";
    const FREE_PATH: &'static str = "";

    fn decode_plan(_: &[u8]) -> Result<Plan, String> {
        let batch = BatchSpec {
            batch: 16,
            call: Duration::from_millis(200),
            item: Duration::from_millis(4),
            space_bytes: 10_000_000,
            ttl: Duration::from_secs(4),
        };
        let service = Service {
            name: "s".into(),
            connections: 16,
            batch: Some(batch),
            engine: None,
            cold: None,
        };
        let mut plan = Plan::default();
        plan.services.insert("s".into(), service);
        Ok(plan)
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

    fn decode_results(_: &[u8], _: usize) -> Result<PieceAnswer, String> {
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

fn entry(port: u16, capacity: Capacity) -> EntryInfo {
    EntryInfo {
        name: format!("entry-{port}"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "d".to_owned(),
        capacity,
    }
}

fn shared(entry: EntryInfo) -> Shared<FixedDialect> {
    let own = entry.address;
    let (_, known) = watch::channel(Arc::new(QuarantineView::default()));
    let (evidence, _) = mpsc::channel(1);
    let spec = BudgetSpec { ratio: 0.2, window: Duration::from_secs(10), burst: 1.0 };
    let budget = Budget::new(spec, own, Start::First, Instant::now());
    let metrics = Metrics::open(&telemetry::open_registry()).expect("metrics");
    let quarantine = Quarantine::new(known, evidence, own);
    Shared::new((entry, Arc::default()), ColdTolerance::default(), (budget, metrics), quarantine)
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
        let shared = shared(entry(1, Capacity::new(10.0, 1.0)));
        shared.apply_registry_state(&registry_state);
        assert_eq!(shared.is_ready(), case.ready, "{}", case.name);
    }
}

/// Returns lists with these entries, and upstreams of a stage in the domains `d` and `e`.
fn staged(listed: &[EntryInfo]) -> RegistryState {
    let upstream = |port: u16| Upstream {
        id: format!("u-{port}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: ["d", "e"][usize::from(port % 2)].to_owned(),
        slots: 1,
        health: Health::Ready,
        version: "v1".into(),
    };
    let stamp = Stamp { term: 1, count: 1 };
    RegistryState {
        plan: Some((Version(1), Arc::default())),
        upstreams: Arc::new((100..120).map(upstream).collect()),
        upstreams_stamp: stamp,
        entries: Arc::new(listed.to_vec()),
        entries_stamp: stamp,
        ..RegistryState::default()
    }
}

struct ViewCase {
    name: &'static str,
    capacities: [Capacity; 3],
    /// The number of sections.
    sections: usize,
}

const SMALL: Capacity = Capacity { link_kilobits: 7_500, millicores: 90 };

const LARGE: Capacity = Capacity { link_kilobits: 25_000, millicores: 300 };

const VIEWS: &[ViewCase] = &[
    ViewCase { name: "small VMs", capacities: [SMALL, SMALL, SMALL], sections: 2 },
    ViewCase { name: "large VMs", capacities: [LARGE, LARGE, LARGE], sections: 1 },
    ViewCase { name: "one of them large", capacities: [SMALL, SMALL, LARGE], sections: 1 },
];

/// Guards against entries that split a service by the rates of their own links: those with 7.5
/// Mbit/s split it by failure domain, those with 25 Mbit/s did not, and two sets of owners called
/// the same upstreams.
#[test]
fn entries_on_uneven_vms_have_one_owner_for_each_section() {
    for case in VIEWS {
        let listed: Vec<EntryInfo> =
            (1..).zip(case.capacities).map(|(port, it)| entry(port, it)).collect();
        let registry_state = staged(&listed);
        let views: Vec<_> = listed.into_iter().map(shared).collect();
        views.iter().for_each(|it| it.apply_registry_state(&registry_state));
        let service: Arc<str> = "s".into();
        let sections = views[0].directory().sections(&service);
        assert_eq!(sections.len(), case.sections, "{}", case.name);
        for view in &views {
            assert_eq!(view.directory().sections(&service), sections, "{}", case.name);
        }
        for section in &sections {
            let owners: Vec<_> = views.iter().filter(|it| it.owns(section)).collect();
            let [owner] = owners[..] else { panic!("{}: {section}", case.name) };
            let capacity = owner.own_entry().capacity;
            assert!(case.capacities.iter().all(|it| *it <= capacity), "{}", case.name);
        }
    }
}

struct JobCase {
    name: &'static str,
    /// The VM of the receiver, by which the service is split or not.
    capacity: Capacity,
    /// The receiver's domain.
    receiver: &'static str,
    /// The domain of the only other entry.
    other: &'static str,
    /// The domain that the submitter named.
    named: Option<&'static str>,
    /// The domain of the section, or of either section.
    queued: &'static [Option<&'static str>],
}

const JOB: JobCase = JobCase {
    name: "named",
    capacity: SMALL,
    receiver: "d",
    other: "e",
    named: Some("e"),
    queued: &[Some("e")],
};

const JOBS: &[JobCase] = &[
    JOB,
    JobCase { name: "not named", named: None, queued: &[Some("d")], ..JOB },
    JobCase { name: "not known", named: Some("x"), queued: &[Some("d")], ..JOB },
    JobCase {
        name: "not named, none owned",
        receiver: "f",
        other: "f",
        named: None,
        queued: &[Some("d"), Some("e")],
        ..JOB
    },
    JobCase {
        name: "not named, the other section owned",
        receiver: "e",
        other: "d",
        named: None,
        queued: &[Some("e")],
        ..JOB
    },
    JobCase { name: "not split here", capacity: LARGE, named: Some("e"), queued: &[None], ..JOB },
    JobCase { name: "split nowhere", capacity: LARGE, named: None, queued: &[None], ..JOB },
];

/// Guards against a queue for a section that its owner doesn't know, beside those that it does: a
/// job that named no section was queued for the whole of a split service.
#[test]
fn jobs_are_queued_in_sections_that_their_owner_knows() {
    for case in JOBS {
        let at = |port, domain: &str| EntryInfo {
            domain: domain.to_owned(),
            ..entry(port, case.capacity)
        };
        let listed = [at(1, case.receiver), at(2, case.other)];
        let receiver = shared(listed[0].clone());
        receiver.apply_registry_state(&staged(&listed));
        let section = receiver.job_section(&"s".into(), case.named, 0);
        assert!(case.queued.contains(&section.domain.as_deref()), "{}: {section}", case.name);
    }
}
