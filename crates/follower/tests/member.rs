//! Which member an entry follows, and what it reports to it.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{Member, install_version, running, spawn, vm, within};
use follower::{DigestFilter, Event, LoadReporter, MemberSelector, merge_usage};
use rand::SeedableRng;
use tokio::io::copy;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use types::{Digest, Incarnation, Millis, UpstreamName, Version};
use wire::session::{ControlMessage, CustomerUse, EntryMessage, LoadReport, StageUse, UsageReport};

/// Forwards connections to a member until told to stop. Open connections then stay open and carry
/// nothing.
async fn forwarder(target: SocketAddr, stop: CancellationToken) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((near, _)) = socket.accept().await {
            let far = TcpStream::connect(target).await.unwrap();
            let stop = stop.clone();
            tokio::spawn(async move {
                let ((mut near_in, mut near_out), (mut far_in, mut far_out)) =
                    (near.into_split(), far.into_split());
                tokio::select! {
                    _ = copy(&mut near_in, &mut far_out) => {}
                    _ = copy(&mut far_in, &mut near_out) => {}
                    () = stop.cancelled() => std::future::pending().await,
                }
            });
        }
    });
    address
}

/// The followed member may go silent, drain, or be cut off from the other members. An entry that
/// stayed as long as the socket is open would become stale although two of three members work.
#[tokio::test]
async fn another_member_is_followed() {
    enum Fault {
        Silent,
        Leave,
        NoQuorum,
        Closed,
    }
    struct Case {
        name: &'static str,
        fault: Fault,
    }
    let cases = [
        Case { name: "silent", fault: Fault::Silent },
        Case { name: "leave", fault: Fault::Leave },
        Case { name: "no quorum", fault: Fault::NoQuorum },
        Case { name: "closed", fault: Fault::Closed },
    ];
    for case in cases {
        let (mut near, mut far) = (Member::bind().await, Member::bind().await);
        let stop = CancellationToken::new();
        let first = forwarder(near.address(), stop.clone()).await;
        let (follower, mut events) = spawn(&[first, far.address()]);
        let session = install_version(&mut near, &mut events, 1).await;
        assert_eq!(follower.view().member, Some(first), "{}", case.name);
        match case.fault {
            Fault::Silent => {
                session.serve();
                stop.cancel();
            }
            Fault::Leave => {
                session.send(ControlMessage::Leave).await;
                session.serve();
            }
            Fault::NoQuorum => common::Session { confirm_version: None, ..session }.serve(),
            Fault::Closed => drop((session, near)),
        }
        let mut other = far.session(Some(Version(1))).await;
        let ticket = other.confirm_ticket().await;
        let asked = Instant::now();
        other.send(ControlMessage::Confirmed { ticket, version: Version(1) }).await;
        within("fresh again", async {
            while follower.age(Instant::now()).is_none_or(|age| age > asked.elapsed() * 2) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        })
        .await;
        assert_eq!(follower.view().member, Some(far.address()), "{}", case.name);
    }
}

#[tokio::test]
async fn load_use_and_drain_are_reported_and_digests_come_back() {
    let mut member = Member::bind().await;
    let (follower, mut events, mut session) = running(&mut member, 1).await;
    let upstream: UpstreamName = "engine-1".parse().unwrap();
    follower.load(&[(upstream.clone(), 3)]);
    let report = within("the report", member.datagrams.recv::<LoadReport>()).await;
    let (from, report) = report.unwrap();
    assert_eq!((report.vm, report.in_flight, report.full), (vm(), vec![(upstream, 3)], true));

    for sequence in [4, 2, 5] {
        let digest = Digest { sequence, ..Digest::default() };
        member.datagrams.send(from, &digest).await.unwrap();
    }
    for expected in [4, 5] {
        let event = within("a digest", events.recv()).await.unwrap();
        assert!(matches!(&event, Event::Digest(it) if it.sequence == expected), "{event:?}");
    }

    let usage = UsageReport { period: Millis(100), ..UsageReport::default() };
    follower.usage(usage.clone());
    follower.usage(usage);
    follower.draining();
    let (mut used, mut drained) = (0, false);
    while used < 200 || !drained {
        match session.next().await {
            EntryMessage::Usage(report) => used += report.period.0,
            EntryMessage::Draining => drained = true,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(used, 200);
}

#[test]
fn the_first_member_that_need_not_be_avoided_is_next() {
    let members: Vec<SocketAddr> =
        [1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port))).to_vec();
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let mut member_selector = MemberSelector::new(&members);
    let now = Instant::now();
    assert_eq!(member_selector.next(now), Some((members[0], Duration::ZERO)));
    member_selector.failed(members[0], now, &mut rng);
    assert_eq!(member_selector.next(now), Some((members[1], Duration::ZERO)));
    member_selector.drained(members[1], now);
    assert_eq!(member_selector.next(now), Some((members[2], Duration::ZERO)));
    for _ in 0..20 {
        member_selector.failed(members[2], now, &mut rng);
    }
    let (next, wait) = member_selector.next(now).unwrap();
    assert_eq!(next, members[0]);
    assert!(wait > Duration::ZERO && wait <= Duration::from_millis(100), "{wait:?}");
    // Even after many failures a member is tried again within seconds.
    member_selector.drained(members[0], now);
    assert!(member_selector.next(now).unwrap().1 <= Duration::from_secs(5));
    member_selector.confirmed(members[2]);
    assert_eq!(member_selector.next(now), Some((members[2], Duration::ZERO)));
    assert_eq!(MemberSelector::new(&[]).next(now), None);
}

// In a rolling restart each member drains in turn and sends its entries away. If a member that
// drained were avoided for as long as one that keeps failing, claims would end as no-quorum for
// seconds although all members are up.
#[test]
fn members_that_drained_are_tried_again_at_once_where_no_other_is_left() {
    let members: Vec<SocketAddr> =
        (1..=3).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let now = Instant::now();
    let mut member_selector = MemberSelector::new(&members);
    member_selector.drained(members[0], now);
    assert_eq!(
        member_selector.next(now),
        Some((members[1], Duration::ZERO)),
        "another comes first"
    );
    members[1..].iter().for_each(|it| member_selector.drained(*it, now));
    let (first, wait) = member_selector.next(now).unwrap();
    assert_eq!(first, members[0]);
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
}

#[test]
fn old_digests_are_dropped_until_a_new_sender_takes_over() {
    struct Case {
        at: u64,
        sequence: u64,
        taken: bool,
    }
    let cases = [
        Case { at: 0, sequence: 10, taken: true },
        Case { at: 100, sequence: 10, taken: false },
        Case { at: 200, sequence: 9, taken: false },
        Case { at: 300, sequence: 11, taken: true },
        Case { at: 3_299, sequence: 1, taken: false },
        Case { at: 3_300, sequence: 1, taken: true },
        Case { at: 3_400, sequence: 2, taken: true },
    ];
    let mut digest_filter = DigestFilter::default();
    let start = Instant::now();
    for case in cases {
        let now = start + Duration::from_millis(case.at);
        assert_eq!(digest_filter.accept_datagram(case.sequence, now), case.taken, "at {}", case.at);
    }
}

#[test]
fn load_reports_name_what_changed_since_the_last_full_one() {
    struct Case {
        at: u64,
        load: &'static [(&'static str, u32)],
        full: bool,
        sent: &'static [(&'static str, u32)],
    }
    let cases = [
        Case { at: 0, load: &[("a", 1), ("b", 0)], full: true, sent: &[("a", 1)] },
        Case { at: 100, load: &[("a", 1), ("b", 2)], full: false, sent: &[("b", 2)] },
        Case { at: 200, load: &[("a", 0), ("b", 2)], full: false, sent: &[("a", 0), ("b", 2)] },
        Case { at: 300, load: &[("b", 0)], full: false, sent: &[("a", 0)] },
        Case { at: 2_000, load: &[("b", 1)], full: true, sent: &[("b", 1)] },
    ];
    let mut load_reporter = LoadReporter::new(vm(), Incarnation(1));
    let start = Instant::now();
    let named = |loads: &[(&str, u32)]| -> Vec<(UpstreamName, u32)> {
        loads.iter().map(|(name, calls)| (name.parse().unwrap(), *calls)).collect()
    };
    for case in cases {
        let report =
            load_reporter.report(&named(case.load), start + Duration::from_millis(case.at));
        assert_eq!((report.full, report.in_flight), (case.full, named(case.sent)), "{}", case.at);
    }
}

#[test]
fn use_that_waits_is_added_up() {
    let customer = |requests, concurrency| CustomerUse {
        customer: "yard".parse().unwrap(),
        requests,
        concurrency,
        tokens: types::Tokens(5),
    };
    let stage = |stage: &str, calls| StageUse {
        customer: "yard".parse().unwrap(),
        stage: stage.parse().unwrap(),
        pool: "pool".parse().unwrap(),
        calls,
        busy: types::Micros(7),
        tokens: types::Tokens(1),
        wasted: types::Micros(2),
    };
    let report = |customer, stage| UsageReport {
        period: Millis(10),
        customers: vec![customer],
        stages: vec![stage],
    };
    let mut sum = UsageReport::default();
    merge_usage(&mut sum, report(customer(1, 4), stage("draft", 1)));
    merge_usage(&mut sum, report(customer(2, 3), stage("draft", 2)));
    merge_usage(&mut sum, report(customer(0, 0), stage("rank", 1)));
    assert_eq!(sum.period, Millis(30));
    assert_eq!(sum.customers.len(), 1);
    assert_eq!((sum.customers[0].requests, sum.customers[0].concurrency), (3, 4));
    let calls: Vec<u32> = sum.stages.iter().map(|it| it.calls).collect();
    assert_eq!(calls, [3, 1]);
    assert_eq!(sum.stages[0].wasted, types::Micros(4));
}
