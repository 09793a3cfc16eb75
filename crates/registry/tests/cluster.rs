//! Members that form a cluster by themselves and outlast the loss of some.

mod env;

use std::net::SocketAddr;

use env::{Env, PATIENCE, put, read};
use futures_util::future::join_all;
use registry::message::{ToEntry, ToMember};
use registry::{EntrySeen, PutOutcome, Relay, Stamp, UpstreamList};
use tokio::time::timeout;
use types::Version;
use wire::Receiver;

/// Symptom: no configuration was ever acknowledged.
/// Sequence: one member begins a cluster; the others ask to take part and are sent the log.
/// Cause: a member that knows no membership could not answer the leader, whose address it had only
/// from the membership.
#[tokio::test(flavor = "multi_thread")]
async fn members_form_a_cluster_from_seeds_alone() {
    let env = Env::new(5, 2);
    let mut members = Vec::new();
    for number in 0..5 {
        members.push(env.member(number, true).await);
    }
    let all: Vec<_> = members.iter().collect();
    assert_eq!(put(&all, "7 first").await, Version(7));
    assert_eq!(read(&all).await, "7 first");
}

/// Symptom: an order is acknowledged and gone after two disks are lost.
/// Sequence: a member begins a cluster alone and is sent an order before others have joined.
/// Cause: a quorum of one holds it.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_acknowledged_that_too_few_members_hold() {
    let env = Env::new(3, 1);
    let alone = env.member(0, true).await;
    for _ in 0..20 {
        assert_eq!(alone.put(b"1 early".to_vec()).await, PutOutcome::Unavailable);
    }
    let second = env.member(1, true).await;
    let third = env.member(2, true).await;
    assert_eq!(put(&[&alone, &second, &third], "1 early").await, Version(1));
}

/// Symptom: an invalid configuration is acknowledged, since its version is not the newest.
/// Sequence: a valid plan is held; an unreadable one with a lower version comes.
/// Cause: versions compared before the text is checked.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_plan_is_refused_at_any_version() {
    let env = Env::new(1, 0);
    let member = env.member(0, true).await;
    put(&[&member], "5 good").await;
    let refused = member.put(b"bad".to_vec()).await;
    assert!(matches!(refused, PutOutcome::Invalid(_)), "{refused:?}");
    assert_eq!(member.put(b"3 older".to_vec()).await, PutOutcome::Accepted(Version(5)));
    assert_eq!(read(&[&member]).await, "5 good");
}

/// Symptom: an entry that restarts serves what was overtaken, or nothing.
/// Sequence: plans are committed; an entry starts afterwards.
/// Cause: it takes the first plan it hears of.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_gets_the_newest_plan_and_the_upstreams() {
    let env = Env::new(3, 1);
    let mut members = Vec::new();
    for number in 0..3 {
        members.push(env.member(number, true).await);
    }
    let all: Vec<_> = members.iter().collect();
    put(&all, "1 old").await;
    put(&all, "2 new").await;
    let follower = env.follower();
    let mut news = follower.news();
    let whole = news.wait_for(|it| it.plan.is_some() && !it.upstreams.is_empty());
    let news = whole.await.expect("the follower lives").clone();
    let (version, text) = news.plan.expect("a plan");
    assert_eq!((version, text.as_slice()), (Version(2), b"2 new".as_slice()));
    let mut later = follower.news();
    put(&all, "9 newest").await;
    let newer = later.wait_for(|it| it.plan.as_ref().is_some_and(|it| it.0 == Version(9)));
    assert!(newer.await.is_ok());
}

/// How many versions are acknowledged, each asked for at every member.
const VOUCHED: u64 = 100;

/// Symptom: an entry that starts after version 2 was acknowledged serves version 1 first.
/// Sequence: the leader acknowledges version 2; a member that applies it some ms later tells an entry
/// that has just connected that it holds version 1 and is up to date.
/// Cause: the member knows of no later commit and takes that for all there is; nobody asks a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_vouches_for_nothing_older_than_what_was_acknowledged() {
    let env = Env::new(3, 1);
    let mut members = Vec::new();
    for number in 0..3 {
        members.push(env.member(number, true).await);
    }
    let all: Vec<_> = members.iter().collect();
    let env = &env;
    for number in 1..=VOUCHED {
        let acknowledged = put(&all, &format!("{number} plan")).await;
        // All at once: the members that apply it last do so within some ms.
        let told = env.addresses.iter().map(|it| vouched(env, *it));
        for (address, version) in env.addresses.iter().zip(join_all(told).await) {
            assert!(version >= acknowledged, "{address} vouched for {version}");
        }
    }
}

/// Returns the first version that a member vouches for to an entry that has just connected.
async fn vouched(env: &Env, address: SocketAddr) -> Version {
    let (_sender, mut receiver) = env.connect(address).await;
    let vouched = async {
        loop {
            let message = receiver.recv().await.expect("a message").expect("an open connection");
            if let ToEntry::PlanVersion { version, current: true } = message {
                return version;
            }
        }
    };
    timeout(PATIENCE, vouched).await.expect("in time")
}

/// During a rolling upgrade members are new before entries are. An entry of the release before asks for a
/// plan in one piece, and has none in force if nobody answers it.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_of_the_release_before_gets_its_plan_in_one_piece() {
    let env = Env::new(1, 0);
    let member = env.member(0, true).await;
    put(&[&member], "4 whole").await;
    let (sender, mut receiver) = env.connect(env.addresses[0]).await;
    sender.send(&ToMember::FetchPlan(Version(4))).await.expect("asked");
    let plan = plan_of(&mut receiver);
    let (version, text) = timeout(PATIENCE, plan).await.expect("in time");
    assert_eq!((version, text.as_slice()), (Version(4), b"4 whole".as_slice()));
}

/// How many versions are asked for, each as soon as it is acknowledged.
const ASKED: u64 = 400;

/// Symptom: an entry asks a member for a version that was acknowledged, and no answer ever comes.
/// Sequence: the only member acknowledges version 4; an entry that was told of it asks for it at once.
/// Cause: the member answers operators before it shows the plan to its connections, and a question for a
/// plan that is not shown yet is dropped.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_acknowledged_is_sent_to_whoever_asks_at_once() {
    let env = Env::new(1, 0);
    let member = env.member(0, true).await;
    let (sender, mut receiver) = env.connect(env.addresses[0]).await;
    for number in 1..=ASKED {
        let version = put(&[&member], &format!("{number} plan")).await;
        sender.send(&ToMember::FetchPlan(version)).await.expect("asked");
        let plan = plan_of(&mut receiver);
        let (sent, _) = timeout(PATIENCE, plan).await.expect("version is sent in time");
        assert_eq!(sent, version);
    }
}

/// Returns the next plan that a member sends in one piece.
async fn plan_of(receiver: &mut Receiver<ToEntry>) -> (Version, Vec<u8>) {
    loop {
        let message = receiver.recv().await.expect("a message").expect("an open connection");
        if let ToEntry::Plan { version, text } = message {
            return (version, text);
        }
    }
}

struct RelayCase {
    name: &'static str,
    count: u64,
    entries: &'static [&'static str],
    /// The entries that the follower knows afterwards.
    known: &'static [&'static str],
}

const RELAYS: &[RelayCase] = &[
    RelayCase { name: "the first", count: 2, entries: &["a", "b"], known: &["a", "b"] },
    RelayCase { name: "an older one", count: 1, entries: &["c"], known: &["a", "b"] },
    RelayCase { name: "the same again", count: 2, entries: &["c"], known: &["a", "b"] },
    RelayCase { name: "a newer one", count: 3, entries: &["b"], known: &["b"] },
];

/// Symptom: calls to the same upstreams from two owners, pieces whose inputs are gone.
/// Sequence: an entry is cut off from all members; the others count it as gone and choose another
/// owner, the entry goes on with the list that it had.
/// Cause: nobody tells it, although other entries can. What they tell is taken where it is newer,
/// and only then.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_members_takes_news_of_others() {
    let env = Env::new(1, 0);
    let follower = env.follower();
    let mut news = follower.news();
    for case in RELAYS {
        let entry = |name: &&str| EntrySeen {
            name: (*name).to_owned(),
            address: env.addresses[0],
            domain: "d".to_owned(),
        };
        let entries = case.entries.iter().map(entry).collect();
        let seated = Stamp { term: 1, count: case.count };
        // The numbers of the lists of upstreams show when the relay was taken.
        let stamp = Stamp { term: 1, count: news.borrow().listed.count + 1 };
        let upstreams = UpstreamList { stamp, upstreams: Vec::new() };
        let relay = Relay { seated, entries, upstreams };
        follower.relays().send(relay).await.expect("the follower runs");
        let taken = timeout(PATIENCE, news.wait_for(|it| it.listed == stamp)).await;
        let news = taken.expect("in time").expect("the follower runs").clone();
        let known: Vec<&str> = news.entries.iter().map(|it| it.name.as_str()).collect();
        assert_eq!(known, case.known, "{}", case.name);
        assert_eq!(news.relay().seated, news.seated, "{}", case.name);
    }
}
