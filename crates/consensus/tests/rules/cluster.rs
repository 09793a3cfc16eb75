//! A cluster whose nodes sync at once unless their disk is stalled, on a network that delivers at
//! once unless a link is cut.

use std::collections::{BTreeMap, BTreeSet};

use consensus::{
    Body, Config, Entry, HardState, Membership, Message, Node, Payload, Restored, Role, Snapshot,
};
use types::{LogIndex, NodeId, Term};

pub(crate) const ELECTION_TICKS: u32 = 10;

pub(crate) fn config(id: u64) -> Config {
    Config {
        id: NodeId(id),
        election_ticks: ELECTION_TICKS,
        first_ticks: ELECTION_TICKS,
        heartbeat_ticks: 2,
        lag_ticks: 3 * ELECTION_TICKS,
        stall_ticks: 10 * ELECTION_TICKS,
        transfer_ticks: 3 * ELECTION_TICKS,
        max_entries: 16,
        max_bytes: 4096,
        part_bytes: 4,
        seed: 1,
    }
}

pub(crate) fn members(voters: &[u64], learners: &[u64]) -> Membership {
    let addresses = |ids: &[u64]| ids.iter().map(|&id| (NodeId(id), Vec::new())).collect();
    Membership { voters: addresses(voters), learners: addresses(learners) }
}

/// Returns the data folder of a member of `voters`; `entries` holds the terms of the entries after
/// index 1.
pub(crate) fn disk(voters: &[u64], term: u64, entries: &[u64]) -> Restored {
    let membership = members(voters, &[]);
    let data = b"0123456789".to_vec();
    let snapshot = Snapshot { index: LogIndex(1), term: Term(1), membership, data };
    let entry = |(offset, &term): (usize, &u64)| Entry {
        term: Term(term),
        index: LogIndex(offset as u64 + 2),
        payload: Payload::Empty,
    };
    Restored {
        hard_state: HardState { term: Term(term), vote: None, commit: LogIndex(1) },
        snapshot: Some(snapshot),
        entries: entries.iter().enumerate().map(entry).collect(),
    }
}

pub(crate) fn message(from: u64, to: u64, term: u64, body: Body) -> Message {
    Message { from: NodeId(from), to: NodeId(to), term: Term(term), body }
}

#[derive(Default)]
pub(crate) struct Cluster {
    pub(crate) nodes: BTreeMap<u64, Node>,
    pub(crate) cuts: BTreeSet<(u64, u64)>,
    /// The nodes whose writes never complete.
    pub(crate) stalled: BTreeSet<u64>,
    pub(crate) applied: BTreeMap<u64, Vec<Entry>>,
    pub(crate) reads: Vec<u64>,
    pub(crate) lost: Vec<u64>,
    /// All messages sent, including those that a cut dropped.
    pub(crate) sent: Vec<Message>,
}

impl Cluster {
    /// Creates voters 1 to `count`. Node 1 leads and has committed an entry in its term.
    pub(crate) fn new(count: u64) -> Self {
        let voters: Vec<u64> = (1..=count).collect();
        let node = |&id: &u64| (id, Node::new(config(id), disk(&voters, 1, &[])));
        let mut cluster = Self { nodes: voters.iter().map(node).collect(), ..Self::default() };
        cluster.elect(1);
        cluster
    }

    pub(crate) fn node(&mut self, id: u64) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    pub(crate) fn add_empty(&mut self, id: u64) {
        self.nodes.insert(id, Node::new(config(id), Restored::default()));
    }

    pub(crate) fn role(&self, id: u64) -> Role {
        self.nodes[&id].status().role
    }

    pub(crate) fn commit(&self, id: u64) -> LogIndex {
        self.nodes[&id].status().commit
    }

    pub(crate) fn isolate(&mut self, id: u64) {
        for &other in self.nodes.keys() {
            self.cuts.insert((id, other));
            self.cuts.insert((other, id));
        }
    }

    /// Cuts all links between the two sides.
    pub(crate) fn split(&mut self, one: &[u64], other: &[u64]) {
        for (&a, &b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.cuts.extend([(a, b), (b, a)]);
        }
    }

    /// Delivers the last message from one node to another, although the link was cut.
    pub(crate) fn deliver_late(&mut self, from: u64, to: u64) {
        let (from, to) = (NodeId(from), NodeId(to));
        let late = self.sent.iter().rfind(|message| message.from == from && message.to == to);
        let late = late.unwrap().clone();
        self.node(to.0).step(late);
        self.settle();
    }

    /// Checks that no two nodes applied different entries at one index.
    pub(crate) fn check_agreement(&self) {
        let mut known = BTreeMap::new();
        for entry in self.applied.values().flatten() {
            let first = *known.entry(entry.index).or_insert(entry);
            assert_eq!(first, entry, "two entries committed at {}", entry.index);
        }
    }

    /// Makes a node campaign at once, as if the leader had transferred its leadership.
    pub(crate) fn elect(&mut self, id: u64) {
        let term = self.nodes[&id].status().term.0;
        self.node(id).step(message(0, id, term, Body::TransferNow));
        self.settle();
    }

    /// Runs until no node has work left.
    pub(crate) fn settle(&mut self) {
        loop {
            let busy = self.nodes.iter().find(|(_, node)| node.has_work());
            let Some(id) = busy.map(|(id, _)| *id) else { return };
            let node = self.node(id);
            let mut ready = node.ready();
            if self.stalled.contains(&id) {
                ready.messages.clear();
            } else {
                self.node(id).synced();
            }
            self.applied.entry(id).or_default().extend(ready.committed);
            self.reads.extend(ready.reads.iter().map(|(read, _)| read));
            self.lost.extend(ready.failed_reads);
            for message in ready.immediate.into_iter().chain(ready.messages) {
                self.sent.push(message.clone());
                let (from, to) = (message.from.0, message.to.0);
                if let Some(node) =
                    self.nodes.get_mut(&to).filter(|_| !self.cuts.contains(&(from, to)))
                {
                    node.step(message);
                }
            }
        }
    }

    pub(crate) fn tick(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.nodes.values_mut().for_each(Node::tick);
            self.settle();
        }
    }
}
