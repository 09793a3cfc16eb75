//! Which change repairs the membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::Membership;
use registry::{PeerView, RepairView, VOTER_TIMEOUT, next_membership};
use types::NodeId;

/// A node: its id, its port, and its state as the leader, node 1, knows it.
#[derive(Clone, Copy)]
struct Node(u64, u16, PeerState);

#[derive(Clone, Copy, PartialEq)]
enum PeerState {
    Ready,
    Behind,
    Silent,
}

use PeerState::{Behind, Ready, Silent};

struct Case {
    name: &'static str,
    voters: &'static [Node],
    learners: &'static [Node],
    joins: &'static [(u64, u16)],
    target: usize,
    /// The ids of the next voters and learners, if there is a change.
    next: Option<(&'static [u64], &'static [u64])>,
}

const CASES: &[Case] = &[
    Case {
        name: "no change is needed",
        voters: &[Node(1, 1, Ready), Node(2, 2, Ready), Node(3, 3, Ready)],
        learners: &[],
        joins: &[(2, 2)],
        target: 3,
        next: None,
    },
    Case {
        name: "a node that asks to join becomes a learner",
        voters: &[Node(1, 1, Ready)],
        learners: &[],
        joins: &[(2, 2)],
        target: 3,
        next: Some((&[1], &[2])),
    },
    Case {
        name: "a caught-up learner becomes a voter if one is missing",
        voters: &[Node(1, 1, Ready)],
        learners: &[Node(2, 2, Behind), Node(3, 3, Ready)],
        joins: &[],
        target: 3,
        next: Some((&[1, 3], &[2])),
    },
    Case {
        name: "a learner stays a learner if there are enough voters",
        voters: &[Node(1, 1, Ready), Node(2, 2, Ready), Node(3, 3, Ready)],
        learners: &[Node(4, 4, Ready)],
        joins: &[],
        target: 3,
        next: None,
    },
    Case {
        name: "a lost disk: the old node at an address is removed before the new one is added",
        voters: &[Node(1, 1, Ready), Node(2, 2, Silent), Node(3, 3, Ready)],
        learners: &[],
        joins: &[(9, 2)],
        target: 3,
        next: Some((&[1, 3], &[])),
    },
    Case {
        name: "a silent voter stays while no learner can replace it",
        voters: &[Node(1, 1, Ready), Node(2, 2, Silent), Node(3, 3, Ready)],
        learners: &[Node(4, 4, Behind)],
        joins: &[],
        target: 3,
        next: None,
    },
    Case {
        name: "a silent voter is removed once a learner can replace it",
        voters: &[Node(1, 1, Ready), Node(2, 2, Silent), Node(3, 3, Ready)],
        learners: &[Node(4, 4, Ready)],
        joins: &[],
        target: 3,
        next: Some((&[1, 3], &[4])),
    },
];

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn group(nodes: &[Node]) -> BTreeMap<NodeId, Vec<u8>> {
    nodes.iter().map(|it| (NodeId(it.0), address(it.1).to_string().into_bytes())).collect()
}

fn ids(group: &BTreeMap<NodeId, Vec<u8>>) -> Vec<u64> {
    group.keys().map(|it| it.0).collect()
}

#[test]
fn the_membership_is_repaired_one_change_at_a_time() {
    for case in CASES {
        let membership = Membership { voters: group(case.voters), learners: group(case.learners) };
        let others = case.voters.iter().chain(case.learners).filter(|it| it.0 != 1);
        let peers = others.map(|it| {
            let silent = if it.2 == Silent { VOTER_TIMEOUT } else { Duration::ZERO };
            (NodeId(it.0), PeerView { silent, caught_up: it.2 == Ready })
        });
        let peers = peers.collect();
        let joins = case.joins.iter().map(|it| (address(it.1), NodeId(it.0))).collect();
        let view = RepairView {
            me: NodeId(1),
            membership: &membership,
            peers: &peers,
            joins: &joins,
            target_voters: case.target,
        };
        let next = next_membership(&view).map(|it| (ids(&it.voters), ids(&it.learners)));
        let expected = case.next.map(|it| (it.0.to_vec(), it.1.to_vec()));
        assert_eq!(next, expected, "{}", case.name);
    }
}
