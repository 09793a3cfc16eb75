//! How the membership mends itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use consensus::Membership;
use registry::{PeerView, RepairView, VOTER_TIMEOUT, next_membership};
use types::NodeId;

/// A node: its id, its port, and how it looks to the leader, node 1.
#[derive(Clone, Copy)]
struct Node(u64, u16, Look);

#[derive(Clone, Copy, PartialEq)]
enum Look {
    Well,
    Behind,
    Silent,
}

use Look::{Behind, Silent, Well};

struct Case {
    name: &'static str,
    voters: &'static [Node],
    learners: &'static [Node],
    joins: &'static [(u64, u16)],
    wanted: usize,
    /// The ids of the next voters and learners, if there is a change.
    next: Option<(&'static [u64], &'static [u64])>,
}

const CASES: &[Case] = &[
    Case {
        name: "all is well",
        voters: &[Node(1, 1, Well), Node(2, 2, Well), Node(3, 3, Well)],
        learners: &[],
        joins: &[(2, 2)],
        wanted: 3,
        next: None,
    },
    Case {
        name: "one that asks becomes a learner",
        voters: &[Node(1, 1, Well)],
        learners: &[],
        joins: &[(2, 2)],
        wanted: 3,
        next: Some((&[1], &[2])),
    },
    Case {
        name: "a caught-up learner becomes a voter where one is missing",
        voters: &[Node(1, 1, Well)],
        learners: &[Node(2, 2, Behind), Node(3, 3, Well)],
        joins: &[],
        wanted: 3,
        next: Some((&[1, 3], &[2])),
    },
    Case {
        name: "no more voters than wanted",
        voters: &[Node(1, 1, Well), Node(2, 2, Well), Node(3, 3, Well)],
        learners: &[Node(4, 4, Well)],
        joins: &[],
        wanted: 3,
        next: None,
    },
    Case {
        name: "a lost disk: the old life at an address goes before the new one comes",
        voters: &[Node(1, 1, Well), Node(2, 2, Silent), Node(3, 3, Well)],
        learners: &[],
        joins: &[(9, 2)],
        wanted: 3,
        next: Some((&[1, 3], &[])),
    },
    Case {
        name: "a silent voter stays while nobody can take its place",
        voters: &[Node(1, 1, Well), Node(2, 2, Silent), Node(3, 3, Well)],
        learners: &[Node(4, 4, Behind)],
        joins: &[],
        wanted: 3,
        next: None,
    },
    Case {
        name: "a silent voter goes once a learner stands by",
        voters: &[Node(1, 1, Well), Node(2, 2, Silent), Node(3, 3, Well)],
        learners: &[Node(4, 4, Well)],
        joins: &[],
        wanted: 3,
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
fn one_change_at_a_time() {
    for case in CASES {
        let membership = Membership { voters: group(case.voters), learners: group(case.learners) };
        let others = case.voters.iter().chain(case.learners).filter(|it| it.0 != 1);
        let peers = others.map(|it| {
            let silent = if it.2 == Silent { VOTER_TIMEOUT } else { Duration::ZERO };
            (NodeId(it.0), PeerView { silent, caught_up: it.2 == Well })
        });
        let peers = peers.collect();
        let joins = case.joins.iter().map(|it| (address(it.1), NodeId(it.0))).collect();
        let view = RepairView {
            me: NodeId(1),
            membership: &membership,
            peers: &peers,
            joins: &joins,
            target_voters: case.wanted,
        };
        let next = next_membership(&view).map(|it| (ids(&it.voters), ids(&it.learners)));
        let wanted = case.next.map(|it| (it.0.to_vec(), it.1.to_vec()));
        assert_eq!(next, wanted, "{}", case.name);
    }
}
