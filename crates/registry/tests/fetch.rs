//! Which member an entry asks for a plan, and when.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use registry::fetch::Fetch;
use registry::message::PartRequest;
use registry::package::{MAX_PART_BYTES, Package};
use registry::plan::StoredPlan;
use types::Version;

/// How long after a question nothing else may be asked, and by when something must be.
const SOON: Duration = Duration::from_millis(200);
const LATE: Duration = Duration::from_millis(300);

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// A plan that takes some three parts.
fn plan(version: u64) -> StoredPlan {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(version);
    let text = (0..MAX_PART_BYTES * 5 / 2).map(|_| rng.random()).collect();
    StoredPlan { version: Version(version), text }
}

/// An entry without a plan, three members, and the time.
struct Scene {
    fetch: Fetch,
    holders: Vec<(SocketAddr, Version)>,
    now: Instant,
}

impl Scene {
    fn new(version: u64) -> Self {
        let holders = (1..=3).map(|it| (peer(it), Version(version))).collect();
        Self { fetch: Fetch::new(0), holders, now: Instant::now() }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    fn due(&mut self) -> Option<(PartRequest, SocketAddr)> {
        let (question, peers) = self.fetch.next_request(None, &self.holders, self.now)?;
        self.fetch.record_request(peers[0], self.now);
        Some((question, peers[0]))
    }

    /// Has a member send a part; returns the version of the plan that it made whole.
    fn sends(&mut self, from: SocketAddr, parcel: &Package, offset: u32) -> Option<Version> {
        let part = parcel.part(offset).expect("a part");
        let taken = self.fetch.take_part(from, part, None, &[], self.now);
        taken.expect("a sound parcel").map(|it| it.0)
    }
}

#[test]
fn a_member_without_a_plan_is_not_asked() {
    assert!(Scene::new(0).due().is_none());
}

#[test]
fn one_member_sends_all_parts() {
    let mut scene = Scene::new(1);
    let parcel = Package::pack(&plan(1), None);
    let (_, first) = scene.due().expect("a question");
    assert!(scene.due().is_none(), "an answer is on its way");
    let mut offset = 0;
    while scene.sends(first, &parcel, offset).is_none() {
        let (question, asked) = scene.due().expect("the next part");
        assert_eq!(asked, first);
        offset = question.progress.expect("it has begun").offset;
    }
    assert!(scene.due().is_some(), "the entry has not told that it holds the plan");
}

/// A frozen member holds up a plan that others have. The next one goes on where it stopped, and the
/// pause before the one after that is longer: on a full link the parts may be late, not lost.
#[test]
fn a_silent_member_is_passed_over_and_its_parts_are_kept() {
    let mut scene = Scene::new(1);
    let parcel = Package::pack(&plan(1), None);
    let (_, first) = scene.due().expect("a question");
    assert!(scene.sends(first, &parcel, 0).is_none());
    let (_, again) = scene.due().expect("the next part");
    assert_eq!(again, first);
    scene.wait(SOON);
    assert!(scene.due().is_none());
    scene.wait(LATE - SOON);
    let (question, second) = scene.due().expect("another member");
    assert_ne!(second, first);
    assert_eq!(question.progress.expect("it has begun").offset as usize, MAX_PART_BYTES);
    scene.wait(LATE);
    assert!(scene.due().is_none(), "the pause is doubled");
    scene.wait(LATE);
    let (_, third) = scene.due().expect("a third member");
    assert_ne!(third, second);
    // The answers come late, both of them.
    assert!(scene.sends(first, &parcel, MAX_PART_BYTES as u32).is_none());
    assert!(scene.sends(second, &parcel, MAX_PART_BYTES as u32).is_none());
    let (question, asked) = scene.due().expect("the last part");
    assert_eq!(question.progress.expect("it has begun").offset as usize, 2 * MAX_PART_BYTES);
    assert_eq!(asked, first, "the one that answered");
}

#[test]
fn a_lost_connection_is_no_answer() {
    let mut scene = Scene::new(1);
    let (_, first) = scene.due().expect("a question");
    scene.fetch.connection_lost(first);
    scene.holders.retain(|it| it.0 != first);
    let (_, second) = scene.due().expect("at once");
    assert_ne!(second, first);
}

/// While changes come faster than the link carries them, an entry that begins anew with each has none.
#[test]
fn a_parcel_that_has_begun_is_finished() {
    let mut scene = Scene::new(1);
    let parcel = Package::pack(&plan(1), None);
    let (_, first) = scene.due().expect("a question");
    let mut whole = scene.sends(first, &parcel, 0);
    for newer in 2.. {
        scene.holders.iter_mut().for_each(|it| it.1 = Version(newer));
        if whole.is_some() {
            break;
        }
        let (question, asked) = scene.due().expect("the next part");
        assert_eq!((question.version, asked), (Version(1), first));
        whole = scene.sends(first, &parcel, question.progress.expect("it has begun").offset);
    }
    assert_eq!(whole, Some(Version(1)));
    let (question, _) = scene.due().expect("the newest");
    assert!(question.version > Version(1));
}

/// A member that has started again has no difference, or another one; it sends what it has from the
/// front, and that goes on.
#[test]
fn a_member_may_send_another_parcel() {
    let mut scene = Scene::new(1);
    let (old, new) = (Package::pack(&plan(1), None), Package::pack(&plan(2), None));
    let (_, first) = scene.due().expect("a question");
    scene.sends(first, &old, 0);
    let (_, first) = scene.due().expect("the next part");
    scene.sends(peer(9), &new, 0);
    scene.holders.iter_mut().for_each(|it| it.1 = Version(2));
    scene.sends(first, &new, 0);
    let (question, _) = scene.due().expect("the next part");
    assert_eq!(question.progress.map(|it| it.id), Some(new.id()));
}

/// A parcel that can't be unpacked was asked for again 300 times a second. Cause: a difference from an
/// empty text was taken for a whole one, and nothing paused before the same was asked again.
#[test]
fn a_broken_parcel_is_asked_for_whole_after_a_pause() {
    let mut scene = Scene::new(2);
    let base = plan(1);
    let longer = [&base.text[..], b"more"].concat();
    let parcel = Package::pack(&StoredPlan { version: Version(2), text: longer }, Some(&base));
    let held = Some(Version(1));
    let (question, peers) =
        scene.fetch.next_request(held, &scene.holders, scene.now).expect("a question");
    assert_eq!(question.held, held);
    scene.fetch.record_request(peers[0], scene.now);
    let part = parcel.part(0).expect("a part");
    assert!(scene.fetch.take_part(peers[0], part, held, b"another text", scene.now).is_err());
    scene.wait(SOON);
    assert!(scene.fetch.next_request(held, &scene.holders, scene.now).is_none());
    scene.wait(LATE);
    let (question, others) =
        scene.fetch.next_request(held, &scene.holders, scene.now).expect("a question");
    assert_eq!(question.held, None);
    assert_ne!(others[0], peers[0]);
}
