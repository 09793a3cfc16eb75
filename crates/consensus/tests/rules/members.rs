//! Changes of the membership.

use consensus::{Body, ChangeError, Membership, Payload, Role};

use crate::cluster::{Cluster, ELECTION_TICKS, members, message};

/// Guards against two leaders that commit in memberships whose majorities do not intersect, because
/// a change was accepted too early or was too big. Each case is such a change; the second is the
/// known error of single-server changes as first published.
#[test]
fn changes_wait_and_stay_small() {
    struct Case {
        name: &'static str,
        next: Membership,
        cut: bool,
        before: Option<Membership>,
        expected: Option<ChangeError>,
    }
    let four = || members(&[1, 2, 3], &[4]);
    let invalid = ChangeError::Invalid("a change may add or remove one voter only");
    let unready = Some(ChangeError::NotReady);
    let under_way = Some(ChangeError::InProgress);
    let cases = [
        Case { name: "learner", next: four(), cut: false, before: None, expected: None },
        Case { name: "no own entry", next: four(), cut: true, before: None, expected: unready },
        Case {
            name: "previous one open",
            next: members(&[1, 2], &[4]),
            cut: true,
            before: Some(four()),
            expected: under_way,
        },
        Case {
            name: "replaced in one step",
            next: members(&[1, 2, 4], &[]),
            cut: false,
            before: Some(four()),
            expected: Some(invalid),
        },
        Case {
            name: "voter without the log",
            next: members(&[1, 2, 3, 4], &[]),
            cut: false,
            before: Some(four()),
            expected: unready,
        },
    ];
    for Case { name, next, cut, before, expected } in cases {
        let mut cluster = Cluster::new(3);
        if let Some(before) = before {
            if cut {
                cluster.isolate(1);
            }
            cluster.node(1).change(before).unwrap();
            cluster.settle();
        } else if cut {
            // Elects node 1 again while isolated, so that no node gets the first entry of its term.
            let term = cluster.nodes[&1].status().term.0;
            cluster.elect(2);
            cluster.isolate(1);
            cluster.node(1).step(message(2, 1, term + 1, Body::TransferNow));
            let vote = Body::VoteReply { granted: true };
            cluster.node(1).step(message(3, 1, term + 2, vote));
            cluster.settle();
            assert_eq!(cluster.role(1), Role::Leader);
        }
        let result = cluster.node(1).change(next);
        assert_eq!(result.err(), expected, "{name}");
    }
}

/// Guards against two leaders that commit different entries at one index. Leader 1 adds voter 5 and
/// reaches only node 5. Node 2 is elected and, before it has committed an entry, removes node 1
/// with 2 of {2, 3, 4}. Node 1 returns and is elected by 3 of 5. Node 2 can't know of the pending
/// change, and the two memberships differ by two voters.
#[test]
fn rival_changes_never_both_commit() {
    let mut cluster = Cluster::new(4);
    cluster.node(1).change(members(&[1, 2, 3, 4], &[5])).unwrap();
    cluster.add_empty(5);
    cluster.tick(ELECTION_TICKS);
    cluster.split(&[1, 5], &[2, 3, 4]);
    cluster.node(1).change(members(&[1, 2, 3, 4, 5], &[])).unwrap();
    cluster.settle();

    // Node 4 votes for node 2. No other message passes between the two.
    cluster.split(&[2], &[4]);
    cluster.elect(2);
    cluster.deliver_late(2, 4);
    cluster.deliver_late(4, 2);
    assert_eq!(cluster.role(2), Role::Leader);
    let result = cluster.node(2).change(members(&[2, 3, 4], &[5]));
    cluster.settle();

    cluster.cuts.clear();
    cluster.split(&[2, 3], &[1, 4, 5]);
    cluster.tick(ELECTION_TICKS * 10);
    cluster.check_agreement();
    assert_eq!(result, Err(ChangeError::NotReady));
}

/// Guards against a member that counts votes by a membership that was never committed. A
/// partitioned leader appends a change on itself and node 2, and another leader replaces the entry.
/// Truncating the log must also undo the membership.
#[test]
fn truncated_change_restores_the_membership() {
    let mut cluster = Cluster::new(5);
    let old = members(&[1, 2, 3, 4, 5], &[]);
    let new = members(&[1, 2, 3, 4], &[]);
    cluster.cuts.extend([(1, 3), (1, 4), (1, 5)]);
    cluster.node(1).change(new.clone()).unwrap();
    cluster.settle();
    assert_eq!(cluster.nodes[&2].membership(), &new);

    cluster.cuts.clear();
    cluster.isolate(1);
    cluster.elect(3);
    assert_eq!(cluster.role(3), Role::Leader);
    assert_eq!(cluster.nodes[&2].membership(), &old);
    cluster.cuts.clear();
    cluster.tick(2 * ELECTION_TICKS);
    assert_eq!(cluster.nodes[&1].membership(), &old);
}

#[test]
fn removed_leader_steps_down_after_the_commit() {
    let mut cluster = Cluster::new(3);
    let position = cluster.node(1).change(members(&[2, 3], &[])).unwrap();
    assert_eq!(cluster.role(1), Role::Leader);
    cluster.settle();
    assert_eq!(cluster.role(1), Role::Learner);
    assert!(cluster.commit(1) >= position.index);
    let leaders = [2, 3].into_iter().filter(|&id| cluster.role(id) == Role::Leader);
    assert_eq!(leaders.count(), 1);
    cluster.tick(ELECTION_TICKS * 4);
    assert_eq!(cluster.role(1), Role::Learner);
}

/// Guards against a repaired cluster that loses its quorum, or a commit, when one more VM is lost.
/// The disk of node 3 is lost; the member returns empty as node 4 and becomes a learner, then a
/// voter; node 3 is removed; then node 2 dies. The repaired member must not count before it holds
/// the log.
#[test]
fn second_loss_after_a_repair_leaves_a_quorum() {
    let mut cluster = Cluster::new(3);
    cluster.node(1).propose(b"kept".to_vec()).unwrap();
    cluster.settle();
    cluster.nodes.remove(&3);
    cluster.node(1).change(members(&[1, 2, 3], &[4])).unwrap();
    cluster.settle();
    let promoted = members(&[1, 2, 3, 4], &[]);
    assert_eq!(cluster.node(1).change(promoted.clone()), Err(ChangeError::NotReady));

    cluster.add_empty(4);
    cluster.tick(ELECTION_TICKS);
    cluster.node(1).change(promoted).unwrap();
    cluster.settle();
    cluster.node(1).change(members(&[1, 2, 4], &[])).unwrap();
    cluster.settle();

    cluster.nodes.remove(&2);
    let position = cluster.node(1).propose(b"new".to_vec()).unwrap();
    cluster.tick(ELECTION_TICKS);
    assert_eq!(cluster.commit(4), position.index);
    let kept = Payload::Command(b"kept".to_vec());
    assert!(cluster.applied[&4].iter().any(|entry| entry.payload == kept));
}
