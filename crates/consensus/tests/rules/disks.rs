//! Stalled disks.

use consensus::{Body, Role};
use types::{LogIndex, NodeId};

use crate::cluster::{Cluster, ELECTION_TICKS, config};

/// Guards against a leader that stays although only other nodes' disks hold what it commits, and
/// against one that gives up leadership although no other node's disk is better.
#[test]
fn a_leader_transfers_only_where_others_hold_more() {
    struct Case {
        name: &'static str,
        stalled: &'static [u64],
        commits: bool,
        leads: bool,
    }
    let cases = [
        Case { name: "none", stalled: &[], commits: true, leads: true },
        Case { name: "its own", stalled: &[1], commits: true, leads: false },
        Case { name: "a follower's", stalled: &[2], commits: true, leads: true },
        Case { name: "its own and one more", stalled: &[1, 2], commits: false, leads: true },
        Case { name: "all", stalled: &[1, 2, 3], commits: false, leads: true },
    ];
    for Case { name, stalled, commits, leads } in cases {
        let mut cluster = Cluster::new(3);
        cluster.stalled.extend(stalled);
        let before = cluster.commit(1);
        cluster.node(1).propose(Vec::new()).unwrap();
        cluster.settle();
        assert_eq!(cluster.commit(1) > before, commits, "{name}");
        cluster.tick(config(1).lag_ticks + ELECTION_TICKS);
        assert_eq!(cluster.role(1) == Role::Leader, leads, "{name}");
        if leads {
            cluster.node(1).read(1).unwrap();
            cluster.settle();
            assert_eq!(cluster.reads, [1], "{name}: a read needs no disk");
        }
    }
}

/// Guards against a voter that counts as active forever although its disk never completes a write.
#[test]
fn a_stalled_follower_becomes_inactive() {
    let mut cluster = Cluster::new(3);
    cluster.stalled.insert(2);
    cluster.node(1).propose(Vec::new()).unwrap();
    cluster.settle();
    let active = |cluster: &Cluster| cluster.nodes[&1].status().peers[&NodeId(2)].active;
    let stall = config(2).stall_ticks;
    cluster.tick(stall - ELECTION_TICKS);
    assert!(active(&cluster), "the follower counts as inactive too soon");
    cluster.tick(4 * ELECTION_TICKS);
    assert!(!active(&cluster), "the stalled follower still counts as active");
}

/// Guards against counting entries for a follower that has not written them.
#[test]
fn a_heartbeat_reply_acknowledges_only_synced_entries() {
    let mut cluster = Cluster::new(3);
    cluster.stalled.extend([2, 3]);
    let before = cluster.commit(1);
    cluster.node(1).propose(Vec::new()).unwrap();
    cluster.settle();
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.commit(1), before);
    let matched = cluster.nodes[&1].status().peers[&NodeId(2)].matched;
    assert_eq!(matched, before);
}

/// Guards against a transfer target and a leader that keep answering each other while a vote is
/// being written.
#[test]
fn a_transfer_to_a_slow_disk_sends_little() {
    let mut cluster = Cluster::new(3);
    cluster.stalled.insert(2);
    let before = cluster.sent.len();
    cluster.node(1).transfer(Some(NodeId(2))).unwrap();
    cluster.settle();
    let offers = |cluster: &Cluster| {
        let sent = cluster.sent[before..].iter();
        sent.filter(|it| it.body == Body::TransferNow).count()
    };
    assert_eq!(offers(&cluster), 1);
    cluster.tick(ELECTION_TICKS);
    assert!(offers(&cluster) <= 1 + ELECTION_TICKS as usize / 2, "{} offers", offers(&cluster));
    assert_eq!(cluster.role(1), Role::Leader);
    assert!(cluster.commit(1) >= LogIndex(2));
}
