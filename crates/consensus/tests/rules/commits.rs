//! Commits and reads.

use consensus::{Body, Node, Restored, Snapshot};
use types::{LogIndex, Term};

use crate::cluster::{Cluster, ELECTION_TICKS, config, disk, message};

/// Guards against a stale read: a client reads an old value after another client was told of a
/// newer one. The leader is partitioned away, another leader commits, and the old leader answers a
/// read without asking a quorum.
#[test]
fn cut_off_leader_confirms_no_read() {
    let mut cluster = Cluster::new(3);
    cluster.node(1).read(7).unwrap();
    cluster.settle();
    assert_eq!(cluster.reads, [7]);

    cluster.isolate(1);
    cluster.elect(2);
    cluster.node(1).read(8).unwrap();
    cluster.settle();
    assert_eq!(cluster.reads, [7]);
    cluster.tick(2 * ELECTION_TICKS);
    assert_eq!(cluster.lost, [8]);
}

/// Guards against the same stale read through late replies: replies to a heartbeat from before the
/// read arrive after it. Replies of older rounds must not count for the read.
#[test]
fn late_reply_confirms_no_read() {
    let mut cluster = Cluster::new(3);
    let term = cluster.nodes[&1].status().term.0;
    cluster.isolate(1);
    cluster.node(1).read(1).unwrap();
    cluster.settle();
    for from in [2, 3] {
        let body = Body::AppendReply { accepted: true, index: LogIndex(2), round: 0 };
        cluster.node(1).step(message(from, 1, term, body));
    }
    cluster.settle();
    assert!(cluster.reads.is_empty());

    let body = Body::AppendReply { accepted: true, index: LogIndex(2), round: 1 };
    cluster.node(1).step(message(2, 1, term, body));
    cluster.settle();
    assert_eq!(cluster.reads, [1]);
}

/// Guards against the loss of a committed entry (figure 8 of the Raft paper). A leader of term 4
/// finds an entry of term 2 on a majority and crashes, and a node with an entry of term 3 at that
/// index is elected. Copies of an entry of an older term must not commit it. The read waits for the
/// same reason: what earlier leaders committed is known only then.
#[test]
fn entries_of_older_terms_commit_only_through_the_current_term() {
    let mut node = Node::new(config(1), disk(&[1, 2, 3], 3, &[2]));
    node.step(message(2, 1, 3, Body::TransferNow));
    node.step(message(2, 1, 4, Body::VoteReply { granted: true }));
    node.ready();
    node.synced();
    node.read(1).unwrap();
    for (index, commit) in [(2, 1), (3, 3)] {
        let body = Body::AppendReply { accepted: true, index: LogIndex(index), round: 0 };
        node.step(message(2, 1, 4, body));
        assert_eq!(node.status().commit, LogIndex(commit));
        assert!(node.ready().reads.is_empty());
    }
    let body = Body::AppendReply { accepted: true, index: LogIndex(3), round: 1 };
    node.step(message(2, 1, 4, body));
    assert_eq!(node.ready().reads, [(1, LogIndex(3))]);
}

/// Guards against the loss of an accepted command when all members restart. One of two followers
/// has the entry on disk, and the leader crashes before its sync. The leader must not count its own
/// copy when it appends it.
#[test]
fn unsynced_entry_of_the_leader_does_not_count() {
    let mut node = Node::new(config(1), disk(&[1, 2, 3], 1, &[]));
    node.step(message(2, 1, 1, Body::TransferNow));
    node.step(message(2, 1, 2, Body::VoteReply { granted: true }));
    node.ready();
    let body = Body::AppendReply { accepted: true, index: LogIndex(2), round: 0 };
    node.step(message(2, 1, 2, body));
    assert_eq!(node.status().commit, LogIndex(1));
    node.synced();
    assert_eq!(node.status().commit, LogIndex(2));
}

/// Guards against a member that applies commands that were never committed, after a crash. A leader
/// replaces entries 2 to 4 and marks its own as committed, or a snapshot does the same; the power
/// fails when the hard state is on disk and the entries are not. A commit index on disk that is
/// ahead of the log on disk would commit the old entries. In the cases named late, the message
/// arrives while an older `Ready` is being synced; that sync must not count for the new entries.
#[test]
fn commit_on_disk_never_outruns_the_log_on_disk() {
    let entries = disk(&[1, 2, 3], 2, &[2, 2, 2]).entries;
    let (prior, prior_term, commit, round) = (LogIndex(1), Term(1), LogIndex(4), 0);
    let head = disk(&[1, 2, 3], 2, &[]).snapshot.unwrap();
    let head = Snapshot { index: LogIndex(4), term: Term(2), data: Vec::new(), ..head };
    let append = Body::Append { prior, prior_term, entries, commit, round };
    let part = Body::SnapshotPart { head, offset: 0, part: Vec::new(), total: 0 };
    let cases = [
        ("entries", false, append.clone()),
        ("entries, late", true, append),
        ("snapshot", false, part.clone()),
        ("snapshot, late", true, part),
    ];
    for (name, late, body) in cases {
        let restored = disk(&[1, 2, 3], 1, &[1, 1, 1]);
        let mut node = Node::new(config(1), restored.clone());
        node.ready();
        node.step(message(2, 1, 2, body));
        if late {
            node.synced();
        }
        let hard_state = node.ready().hard_state.unwrap();
        assert_eq!(node.status().commit, LogIndex(4), "{name}");
        let node = Node::new(config(1), Restored { hard_state, ..restored });
        assert_eq!(node.status().commit, LogIndex(1), "{name}");
    }
}

/// Guards against a member that votes for a candidate without the committed entries. A snapshot
/// replaces entries 2 to 4, and the power fails when the snapshot is on disk and the old log is not
/// cleared yet. The old entry 4 must not count as the one after the snapshot.
#[test]
fn entries_that_a_snapshot_replaced_do_not_come_back() {
    struct Case {
        name: &'static str,
        terms: &'static [u64],
        last: u64,
    }
    let cases = [
        Case { name: "replaced", terms: &[1, 1, 3], last: 3 },
        Case { name: "continued", terms: &[1, 2, 3], last: 4 },
        Case { name: "all before", terms: &[1], last: 3 },
    ];
    for Case { name, terms, last } in cases {
        let mut restored = disk(&[1, 2, 3], 3, terms);
        let snapshot = restored.snapshot.as_mut().unwrap();
        (snapshot.index, snapshot.term) = (LogIndex(3), Term(2));
        let node = Node::new(config(1), restored);
        assert_eq!(node.status().last, LogIndex(last), "{name}");
    }
}
