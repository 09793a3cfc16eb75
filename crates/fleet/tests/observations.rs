//! Availability and load over HTTP: from the platform, upstreams, operators and entries to a
//! digest.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use common::{Fake, Quorum, name, service, until, upstream};
use fleet::{Fleet, FleetConfig};
use serde_json::json;
use types::UpstreamAvailability::{Leaving, Live};
use types::{Digest, Fencing, Incarnation, Millis, UpstreamAvailability, UpstreamLoad};
use wire::session::LoadReport;

fn availability(fleet: &Fleet, upstream: &str) -> Option<UpstreamAvailability> {
    fleet.view().upstreams.get(&name(upstream)).map(|it| it.availability)
}

/// Guards against work for an upstream that is leaving, and against a pool that gets no work at
/// all. The platform reports the upstream as leaving, then loses its state and sends an empty list,
/// then lists anew: the latest list must not be accepted as it is.
#[tokio::test]
async fn leaving_is_sticky_and_an_empty_list_is_ignored() {
    let (one, two, platform) =
        (Fake::spawn(true, 0).await, Fake::spawn(true, 0).await, { Fake::spawn(true, 0).await });
    let list = |sequence: u64, state: &str| {
        json!({
            "sequence": sequence, "vms": [{"vm": "a", "state": state}]
        })
    };
    platform.set_list(list(1, "live"));
    let config = FleetConfig { platform: Some(platform.address) };
    let (fleet, _digests) = Fleet::spawn(config, Quorum::default());
    let engines = [
        ("one", upstream(one.address, "a", Fencing::Checks)),
        ("two", upstream(two.address, "b", Fencing::Checks)),
    ];
    fleet.lead(Arc::new(service("v1", &engines)));
    until("both live", || availability(&fleet, "one") == Some(Live)).await;

    platform.set_list(list(2, "leaving"));
    until("one leaves", || availability(&fleet, "one") == Some(Leaving)).await;
    platform.set_list(json!({"sequence": 3, "vms": []}));
    until("the list is ignored", || fleet.view().platform.is_some()).await;
    assert_eq!(availability(&fleet, "one"), Some(Leaving));
    platform.set_list(list(4, "live"));
    until("one is back", || availability(&fleet, "one") == Some(Live)).await;

    two.draining.store(true, Ordering::SeqCst);
    until("two drains", || availability(&fleet, "two") == Some(Leaving)).await;
    fleet.set_marks(BTreeSet::from([name("one")]));
    until("one is marked", || availability(&fleet, "one") == Some(Leaving)).await;
    two.draining.store(false, Ordering::SeqCst);
    until("two is back", || availability(&fleet, "two") == Some(Live)).await;
}

#[tokio::test]
async fn a_digest_adds_up_entries_and_what_upstreams_report() {
    let engine = Fake::spawn(true, 0).await;
    let (fleet, mut digests) = Fleet::spawn(FleetConfig::default(), Quorum::default());
    let spec = upstream(engine.address, "a", Fencing::Checks);
    fleet.lead(Arc::new(service("v1", &[("one", spec)])));
    for (vm, calls) in [("x", 3), ("y", 4)] {
        fleet.take_report(LoadReport {
            vm: vm.parse().unwrap(),
            owner: Incarnation(1),
            sequence: 1,
            in_flight: vec![(name("one"), calls)],
            full: true,
        });
    }
    // The first digests may come before the first answer of the upstream.
    loop {
        let digest = tokio::time::timeout(std::time::Duration::from_secs(60), digests.recv());
        let digest = digest.await.expect("the upstream's report comes").unwrap();
        assert_eq!(digest.entries, 2);
        let load = &digest.loads[0];
        assert_eq!((load.in_flight, load.availability), (7, Live));
        if let Some(reported) = load.reported {
            assert_eq!(reported, 3);
            break;
        }
    }
}

/// Guards against work for an upstream that was leaving, after a change of leader. The new leader
/// has polled nobody yet and the upstream no longer answers, so the leader must not start from
/// nothing.
#[tokio::test]
async fn a_new_leader_goes_on_from_what_was_leaving() {
    let (fleet, mut digests) = Fleet::spawn(FleetConfig::default(), Quorum::default());
    let gone = SocketAddr::from(([127, 0, 0, 1], 9));
    let load = UpstreamLoad {
        upstream: name("one"),
        in_flight: 0,
        reported: None,
        report_age: Millis(0),
        availability: Leaving,
    };
    fleet.take_digest(&Digest { sequence: 1, loads: vec![load], entries: 1 });
    let spec = upstream(gone, "a", Fencing::Checks);
    fleet.lead(Arc::new(service("v1", &[("one", spec)])));
    let digest = tokio::time::timeout(std::time::Duration::from_secs(60), digests.recv());
    let digest = digest.await.unwrap().unwrap();
    assert_eq!(digest.loads[0].availability, Leaving);
}
