//! Which member an entry requests a plan from, and when.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use registry::fetch::Fetch;
use registry::message::PartRequest;
use registry::package::{MAX_PART_BYTES, Package};
use registry::plan::StoredPlan;
use types::Version;

/// A time after a request at which it has not timed out yet.
const BEFORE_TIMEOUT: Duration = Duration::from_millis(200);

/// A time after a request at which it has timed out.
const AFTER_TIMEOUT: Duration = Duration::from_millis(300);

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Returns a plan that takes some three parts.
fn plan(version: u64) -> StoredPlan {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(version);
    let text = (0..MAX_PART_BYTES * 5 / 2).map(|_| rng.random()).collect();
    StoredPlan { version: Version(version), text }
}

/// An entry without a plan, three members, and the current time.
struct Scenario {
    fetch: Fetch,
    holders: Vec<(SocketAddr, Version)>,
    now: Instant,
}

impl Scenario {
    fn new(version: u64) -> Self {
        let holders = (1..=3).map(|it| (peer(it), Version(version))).collect();
        Self { fetch: Fetch::new(0), holders, now: Instant::now() }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    fn next_request(&mut self) -> Option<(PartRequest, SocketAddr)> {
        let (request, peers) = self.fetch.next_request(None, &self.holders, self.now)?;
        self.fetch.record_request(peers[0], self.now);
        Some((request, peers[0]))
    }

    /// Has a member send a part; returns the version of the plan that it completed.
    fn sends(&mut self, from: SocketAddr, package: &Package, offset: u32) -> Option<Version> {
        let part = package.part(offset).expect("a part");
        let taken = self.fetch.take_part(from, part, None, &[], self.now);
        taken.expect("a valid package").map(|it| it.0)
    }
}

#[test]
fn a_member_without_a_plan_is_not_asked() {
    assert!(Scenario::new(0).next_request().is_none());
}

#[test]
fn one_member_sends_all_parts() {
    let mut scenario = Scenario::new(1);
    let package = Package::pack(&plan(1), None);
    let (_, first) = scenario.next_request().expect("a request");
    assert!(scenario.next_request().is_none(), "a request is in flight");
    let mut offset = 0;
    while scenario.sends(first, &package, offset).is_none() {
        let (request, member) = scenario.next_request().expect("the next part");
        assert_eq!(member, first);
        offset = request.progress.expect("a package in progress").offset;
    }
    assert!(scenario.next_request().is_some(), "the entry has not reported that it holds the plan");
}

/// Guards against a plan that a frozen member delays although others have it. The next member continues
/// with the missing part, and the timeout before the one after that is longer: on a saturated link the
/// parts may be late, not lost.
#[test]
fn a_silent_member_times_out_and_its_parts_are_kept() {
    let mut scenario = Scenario::new(1);
    let package = Package::pack(&plan(1), None);
    let (_, first) = scenario.next_request().expect("a request");
    assert!(scenario.sends(first, &package, 0).is_none());
    let (_, again) = scenario.next_request().expect("the next part");
    assert_eq!(again, first);
    scenario.wait(BEFORE_TIMEOUT);
    assert!(scenario.next_request().is_none());
    scenario.wait(AFTER_TIMEOUT - BEFORE_TIMEOUT);
    let (request, second) = scenario.next_request().expect("another member");
    assert_ne!(second, first);
    assert_eq!(request.progress.expect("a package in progress").offset as usize, MAX_PART_BYTES);
    scenario.wait(AFTER_TIMEOUT);
    assert!(scenario.next_request().is_none(), "the timeout is doubled");
    scenario.wait(AFTER_TIMEOUT);
    let (_, third) = scenario.next_request().expect("a third member");
    assert_ne!(third, second);
    // Both answers arrive late.
    assert!(scenario.sends(first, &package, MAX_PART_BYTES as u32).is_none());
    assert!(scenario.sends(second, &package, MAX_PART_BYTES as u32).is_none());
    let (request, member) = scenario.next_request().expect("the last part");
    assert_eq!(
        request.progress.expect("a package in progress").offset as usize,
        2 * MAX_PART_BYTES
    );
    assert_eq!(member, first, "the member that answered");
}

#[test]
fn a_lost_connection_counts_as_a_failed_request() {
    let mut scenario = Scenario::new(1);
    let (_, first) = scenario.next_request().expect("a request");
    scenario.fetch.connection_lost(first);
    scenario.holders.retain(|it| it.0 != first);
    let (_, second) = scenario.next_request().expect("at once");
    assert_ne!(second, first);
}

/// Guards against an entry that gets no plan while they change faster than its link carries them, because
/// it starts again with each one.
#[test]
fn a_package_is_completed_although_newer_versions_appear() {
    let mut scenario = Scenario::new(1);
    let package = Package::pack(&plan(1), None);
    let (_, first) = scenario.next_request().expect("a request");
    let mut complete = scenario.sends(first, &package, 0);
    for newer in 2.. {
        scenario.holders.iter_mut().for_each(|it| it.1 = Version(newer));
        if complete.is_some() {
            break;
        }
        let (request, member) = scenario.next_request().expect("the next part");
        assert_eq!((request.version, member), (Version(1), first));
        complete = scenario.sends(
            first,
            &package,
            request.progress.expect("a package in progress").offset,
        );
    }
    assert_eq!(complete, Some(Version(1)));
    let (request, _) = scenario.next_request().expect("the newest");
    assert!(request.version > Version(1));
}

/// A member that has restarted has no difference, or another one: it sends its package from the start,
/// and the entry continues with that.
#[test]
fn a_member_may_send_another_package() {
    let mut scenario = Scenario::new(1);
    let (old, new) = (Package::pack(&plan(1), None), Package::pack(&plan(2), None));
    let (_, first) = scenario.next_request().expect("a request");
    scenario.sends(first, &old, 0);
    let (_, first) = scenario.next_request().expect("the next part");
    scenario.sends(peer(9), &new, 0);
    scenario.holders.iter_mut().for_each(|it| it.1 = Version(2));
    scenario.sends(first, &new, 0);
    let (request, _) = scenario.next_request().expect("the next part");
    assert_eq!(request.progress.map(|it| it.id), Some(new.id()));
}

/// Guards against a package that can't be unpacked and is requested again 300 times per second: when a
/// difference from an empty text was taken for a whole text, there was no pause before the same request.
#[test]
fn a_broken_package_is_requested_whole_after_a_pause() {
    let mut scenario = Scenario::new(2);
    let base = plan(1);
    let longer = [&base.text[..], b"more"].concat();
    let package = Package::pack(&StoredPlan { version: Version(2), text: longer }, Some(&base));
    let held = Some(Version(1));
    let (request, peers) =
        scenario.fetch.next_request(held, &scenario.holders, scenario.now).expect("a request");
    assert_eq!(request.held, held);
    scenario.fetch.record_request(peers[0], scenario.now);
    let part = package.part(0).expect("a part");
    assert!(scenario.fetch.take_part(peers[0], part, held, b"another text", scenario.now).is_err());
    scenario.wait(BEFORE_TIMEOUT);
    assert!(scenario.fetch.next_request(held, &scenario.holders, scenario.now).is_none());
    scenario.wait(AFTER_TIMEOUT);
    let (request, others) =
        scenario.fetch.next_request(held, &scenario.holders, scenario.now).expect("a request");
    assert_eq!(request.held, None);
    assert_ne!(others[0], peers[0]);
}
