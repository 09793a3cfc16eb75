//! Elections, pre-votes, quorum checks and leadership transfer.

use consensus::{Body, Node, Restored, Role};
use types::{LogIndex, NodeId, Term};

use crate::cluster::{Cluster, ELECTION_TICKS, config, disk, message};

/// Guards against a healthy leader that is deposed each time a partitioned member returns. Node 3
/// hears from nobody for long, campaigns again and again, and is then connected again. Its term
/// must not rise while it is alone.
#[test]
fn cut_off_member_does_not_raise_the_term() {
    let mut cluster = Cluster::new(3);
    let term = cluster.nodes[&1].status().term;
    cluster.isolate(3);
    cluster.tick(ELECTION_TICKS * 10);
    assert_eq!(cluster.nodes[&3].status().term, term);

    cluster.cuts.clear();
    cluster.tick(ELECTION_TICKS * 4);
    assert_eq!(cluster.role(1), Role::Leader);
    assert_eq!(cluster.nodes[&1].status().term, term);
}

/// Guards against a leader that goes on for minutes without a quorum while its callers wait for it.
/// It can't hear the others; in the second case they still hear it. It must not need a message of a
/// higher term, which never arrives, to step down.
#[test]
fn leader_without_quorum_steps_down() {
    struct Case {
        name: &'static str,
        cuts: &'static [(u64, u64)],
        leads: bool,
    }
    let cases = [
        Case { name: "cut off", cuts: &[(1, 2), (2, 1), (1, 3), (3, 1)], leads: false },
        Case { name: "gets no replies", cuts: &[(2, 1), (3, 1)], leads: false },
        Case { name: "gets one reply", cuts: &[(2, 1), (1, 2)], leads: true },
    ];
    for Case { name, cuts, leads } in cases {
        let mut cluster = Cluster::new(3);
        cluster.cuts.extend(cuts);
        let term = cluster.nodes[&1].status().term;
        for _ in 0..2 * ELECTION_TICKS {
            cluster.node(1).tick();
            cluster.settle();
        }
        let status = cluster.nodes[&1].status();
        assert_eq!(status.role == Role::Leader, leads, "{name}");
        assert_eq!(status.term, term, "{name}");
    }
}

#[test]
fn votes_follow_the_rules() {
    struct Case {
        name: &'static str,
        restored: Restored,
        term: u64,
        index: u64,
        last: u64,
        granted: bool,
    }
    let voted = |by: u64| {
        let mut restored = disk(&[1, 2, 3], 5, &[2, 3]);
        restored.hard_state.vote = Some(NodeId(by));
        restored
    };
    let case = |name, restored, (term, index, last), granted| Case {
        name,
        restored,
        term,
        index,
        last,
        granted,
    };
    let cases = [
        case("free", disk(&[1, 2, 3], 5, &[2, 3]), (6, 3, 3), true),
        case("shorter log", disk(&[1, 2, 3], 5, &[2, 3]), (6, 2, 3), false),
        case("older last term", disk(&[1, 2, 3], 5, &[2, 3]), (6, 9, 2), false),
        case("older term", disk(&[1, 2, 3], 5, &[2, 3]), (4, 9, 9), false),
        case("voted for another before a restart", voted(3), (5, 3, 3), false),
        case("asked twice", voted(2), (5, 3, 3), true),
        case("not yet named a voter", disk(&[2, 3], 1, &[]), (2, 1, 1), true),
        case("empty folder", Restored::default(), (1, 1, 1), true),
    ];
    for Case { name, restored, term, index, last, granted } in cases {
        let mut node = Node::new(config(1), restored);
        let vote = Body::Vote { index: LogIndex(index), term: Term(last), transfer: false };
        node.step(message(2, 1, term, vote));
        let ready = node.ready();
        assert_eq!(ready.messages[0].body, Body::VoteReply { granted }, "{name}");
        if granted && node.status().term == Term(term) && name != "asked twice" {
            assert_eq!(ready.hard_state.unwrap().vote, Some(NodeId(2)), "{name}: vote not written");
        }
    }
}

/// Guards against a member that deposes, without need, a leader that all others hear. The member
/// requests votes in a higher term while heartbeats arrive. Only a leadership transfer may make a
/// node adopt that term while it hears from a leader.
#[test]
fn live_leader_is_protected_from_votes() {
    for (transfer, taken) in [(false, false), (true, true)] {
        let mut cluster = Cluster::new(3);
        let term = cluster.nodes[&2].status().term.0;
        let vote = Body::Vote { index: LogIndex(9), term: Term(9), transfer };
        cluster.node(2).step(message(3, 2, term + 1, vote));
        assert_eq!(cluster.nodes[&2].status().term.0 > term, taken, "transfer: {transfer}");
    }
}

#[test]
fn transfer_moves_leadership_or_ends() {
    for (name, alive) in [("target alive", true), ("target dead", false)] {
        let mut cluster = Cluster::new(3);
        if !alive {
            cluster.isolate(2);
        }
        cluster.node(1).transfer(Some(NodeId(2))).unwrap();
        assert!(cluster.node(1).propose(Vec::new()).is_err(), "{name}");
        cluster.settle();
        assert_eq!(cluster.role(2) == Role::Leader, alive, "{name}");
        cluster.tick(ELECTION_TICKS);
        assert_eq!(cluster.node(1).propose(Vec::new()).is_ok(), !alive, "{name}");
    }
}

#[test]
fn empty_folder_never_campaigns() {
    let mut node = Node::new(config(1), Restored::default());
    (0..100 * ELECTION_TICKS).for_each(|_| node.tick());
    assert_eq!((node.status().role, node.status().term), (Role::Learner, Term(0)));
    assert!(!node.has_work());
}
