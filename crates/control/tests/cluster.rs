//! Clusters of three members in one process.

mod common;

use common::entry::Entry;
use common::{Cluster, TIMEOUT, document, node_of, voters};
use serde_json::{Value, json};
use wire::session::ControlMessage;

const VMS: [&str; 3] = ["c1", "c2", "c3"];

fn id(number: u64) -> String {
    format!("6f1c1f6e-6f0f-4a63-8a6b-{number:012x}")
}

#[tokio::test(flavor = "multi_thread")]
async fn three_members_agree_and_forget_nothing() {
    let mut cluster = Cluster::new(3, 0);
    cluster.init(&VMS).await;
    let again = cluster.call(2, "POST", "/v1/init", json!({})).await;
    assert_eq!(again.status, 409, "a second init: {}", again.body);

    // A follower forwards a change to the leader, and all members apply it.
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let answer = cluster.change(follower, &id(1), 0, "first").await;
    assert_eq!((answer.status, &answer.body["version"]), (200, &json!(1)), "{}", answer.body);
    for at in 0..3 {
        cluster.wait_for(at, "version 1", |it| it["version"] == 1).await;
        let service = cluster.call(at, "GET", "/v1/service", Value::Null).await;
        assert_eq!(service.body["document"], document("first"), "member {at}");
    }

    // Leadership moves to the member that an operator names, and away from a draining member.
    let transfer = json!({"vm": VMS[follower]});
    let answer = cluster.call((leader + 2) % 3, "POST", "/v1/transfer", transfer).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    cluster.wait_for(leader, "the transfer", |it| it["leader"] == VMS[follower]).await;
    cluster.wait_for(follower, "the transfer", |it| it["role"] == "leader").await;
    cluster.running[follower].as_ref().expect("it runs").transfer_leadership().await;
    let status = cluster.status(follower).await;
    assert_ne!(status["leader"], VMS[follower], "{status:#}");
    assert_ne!(status["leader"], Value::Null, "{status:#}");

    // Another member leads after the leader was drained.
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let term = cluster.status(leader).await["term"].as_u64();
    cluster.drain(leader).await;
    let next = cluster.leader().await;
    assert_ne!(next, leader);
    assert!(cluster.status(next).await["term"].as_u64() > term);
    let answer = cluster.change(next, &id(2), 1, "second").await;
    assert_eq!(answer.status, 200, "{}", answer.body);

    // All members stop and start again.
    for at in (0..3).filter(|at| *at != leader) {
        cluster.abort(at).await;
    }
    cluster.start_all().await;
    cluster.wait_for_voters(&VMS).await;
    let first = cluster.change(leader, &id(1), 0, "first").await;
    assert_eq!((first.status, &first.body["version"]), (200, &json!(1)), "{}", first.body);
    let service = cluster.call(leader, "GET", "/v1/service", Value::Null).await;
    assert_eq!(
        (&service.body["version"], &service.body["document"]),
        (&json!(2), &document("second"))
    );
    let lost = cluster.change(follower, &id(3), 1, "third").await;
    assert_eq!((lost.status, &lost.body["winner"]), (409, &json!(id(2))), "{}", lost.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_comes_back_as_another_incarnation() {
    // A member whose disk was replaced must not vote twice in a term. It would do so if it
    // restarted with an empty folder under its previous node id.
    let mut cluster = Cluster::new(3, 0);
    cluster.init(&VMS).await;
    // Enough data for a snapshot, so that the new incarnation catches up from it.
    let large = "x".repeat(8 << 10);
    for number in 0..12 {
        let answer = cluster.change(0, &id(number + 1), number, &format!("{number} {large}")).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let leader = cluster.leader().await;
    let victim = (leader + 1) % 3;
    let old = node_of(&cluster.status(leader).await, VMS[victim]).expect("it is a member");
    cluster.abort(victim).await;
    cluster.empty_folder(victim);
    cluster.start(victim).await;
    let repaired =
        |it: &Value| voters(it) == VMS && node_of(it, VMS[victim]).is_some_and(|node| node != old);
    cluster.wait_for(leader, "the repair", repaired).await;
    cluster.wait_for(victim, "the repair", repaired).await;

    // After a second loss, the remaining quorum still has all data.
    cluster.abort(leader).await;
    let answer = cluster.change(victim, &id(99), 12, "after").await;
    assert_eq!((answer.status, &answer.body["version"]), (200, &json!(13)), "{}", answer.body);
    let first = cluster.change(victim, &id(1), 0, &format!("0 {large}")).await;
    assert_eq!((first.status, &first.body["version"]), (200, &json!(1)), "{}", first.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_without_its_disk_stops() {
    // A member whose disk fails must stop. If it continued with state in memory only and its
    // acknowledgements counted towards quorums, a restart would lose what it acknowledged.
    let mut cluster = Cluster::new(3, 0);
    cluster.init(&VMS).await;
    let leader = cluster.leader().await;
    let victim = (leader + 1) % 3;
    cluster.empty_folder(victim);
    let large = "x".repeat(8 << 10);
    for number in 0..12 {
        let mark = format!("{number} {large}");
        let answer = cluster.change(leader, &id(number + 1), number, &mark).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let stopped = cluster.running[victim].as_ref().expect("it runs").stopped();
    let reason = tokio::time::timeout(TIMEOUT, stopped).await.expect("it stops");
    assert!(reason.starts_with("write snapshot"), "{reason}");
    let ready = cluster.call(victim, "GET", "/readyz", Value::Null).await;
    assert_eq!(ready.status, 503, "{}", ready.body);
    let answer = cluster.call(victim, "GET", "/v1/service", Value::Null).await;
    assert_eq!(answer.body["outcome"], "not-run", "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_spare_replaces_a_voter_that_is_lost_for_good() {
    let mut cluster = Cluster::new(4, 1);
    cluster.timing.lost_after = std::time::Duration::from_secs(3);
    cluster.init(&VMS).await;
    let leader = cluster.leader().await;

    // A spare has no replicated state and tells entries to leave.
    let mut entry = Entry::open(&cluster, 3, "e1", 11).await;
    entry.wait(|it| matches!(it, ControlMessage::Leave).then_some(())).await;

    let victim = (leader + 1) % 3;
    cluster.abort(victim).await;
    let mut expected: Vec<&str> = VMS.into_iter().filter(|it| *it != VMS[victim]).collect();
    expected.push("c4");
    cluster.wait_for(leader, "the spare", |it| voters(it) == expected).await;
    let answer = cluster.change(3, &id(1), 0, "through the spare").await;
    assert_eq!(answer.status, 200, "{}", answer.body);

    // The lost member returns and stays outside the cluster until an operator makes room for it.
    cluster.start(victim).await;
    let back = cluster.settings[victim].vm.clone();
    let remove = json!({"action": "remove", "vm": "c4"});
    let answer = cluster.call(victim, "POST", "/v1/members", remove).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    cluster.wait_for(leader, "the return", |it| voters(it) == VMS).await;
    cluster.wait_for(victim, "the return", |it| node_of(it, back.as_str()).is_some()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_accepted_without_a_quorum() {
    // A leader that lost its quorum takes a change, and another log wins later. The change must not
    // be reported as accepted before a quorum has stored it, nor as not run if its result is
    // unknown. Otherwise an accepted change could disappear, or a change that "did not run" could
    // be in force.
    let mut cluster = Cluster::new(3, 0);
    cluster.init(&VMS).await;
    let answer = cluster.change(0, &id(1), 0, "first").await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let leader = cluster.leader().await;
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    for at in &others {
        cluster.abort(*at).await;
    }
    let body = json!({"id": id(2), "base": 1, "document": document("second")});
    let (answer, read) = tokio::join!(
        cluster.call(leader, "POST", "/v1/changes", body),
        cluster.call(leader, "GET", "/v1/service", Value::Null)
    );
    assert_eq!(answer.status, 503, "{}", answer.body);
    let outcome = answer.body["outcome"].clone();
    assert!(outcome == "unknown" || outcome == "not-run", "{}", answer.body);
    assert_eq!(read.status, 503, "a version that no quorum confirms: {}", read.body);

    // The other two members return without the leader and commit a change; then the leader returns.
    cluster.abort(leader).await;
    for at in &others {
        cluster.start(*at).await;
    }
    let answer = cluster.change(others[0], &id(3), 1, "third").await;
    assert_eq!((answer.status, &answer.body["version"]), (200, &json!(2)), "{}", answer.body);
    cluster.start(leader).await;
    cluster.wait_for(leader, "version 2", |it| it["version"] == 2).await;
    let resent = cluster.change(leader, &id(2), 1, "second").await;
    assert_eq!((resent.status, &resent.body["winner"]), (409, &json!(id(3))), "{}", resent.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_inits_make_one_cluster_at_most() {
    // When init is sent to two members at once, at most one may start a cluster. If neither asked
    // the other, or both replied before either had decided, two members would permanently serve
    // different services.
    let mut cluster = Cluster::new(3, 0);
    cluster.start(0).await;
    let alone = cluster.call(0, "POST", "/v1/init", json!({})).await;
    assert_eq!(alone.status, 409, "one of three: {}", alone.body);
    cluster.start(1).await;
    cluster.start(2).await;
    let init = |at: usize| cluster.call(at, "POST", "/v1/init", json!({}));
    let (first, second) = tokio::join!(init(0), init(1));
    let started = [&first, &second].iter().filter(|it| it.status == 200).count();
    assert!(started <= 1, "{first:?} {second:?}");
    while started == 0 && init(0).await.status != 200 {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    cluster.wait_for_voters(&VMS).await;
    for at in 0..3 {
        assert_eq!(init(at).await.status, 409, "member {at}");
    }
}
