//! Members on a faulty network with faulty disks, driven by one seed.

pub(crate) mod checks;
pub(crate) mod clients;
pub(crate) mod host;

use std::collections::{BTreeMap, BTreeSet};

use consensus::{Membership, Message, Node, Position, Ready, Role, Snapshot};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use types::{LogIndex, NodeId, Term};

use checks::Checks;
use clients::Clients;
use host::{Disk, Host};

const MAX_HOSTS: usize = 7;
const MAX_VOTERS: usize = 5;
const MAX_MESSAGES: usize = 400;
const LOSS_PROBABILITY: f64 = 0.03;

/// The probability that a write in flight completes at a member's turn, for fast and slow disks.
const WRITE_PROBABILITIES: [f64; 3] = [0.7, 0.3, 0.05];
const DUPLICATE_PROBABILITY: f64 = 0.03;

/// The maximum duration of a fault, in steps.
const MAX_FAULT_STEPS: u64 = 1500;

/// The number of rounds without faults within which a leader must commit.
const MAX_HEAL_ROUNDS: usize = 400;

/// Counts of events, so that a test can check that its schedule exercised enough.
#[derive(Default, Debug)]
pub(crate) struct Counts {
    pub(crate) crashes: usize,
    pub(crate) changes: usize,
    pub(crate) installs: usize,
    pub(crate) transfers: usize,
    pub(crate) reads: usize,
    pub(crate) commits: usize,
    pub(crate) terms: usize,
}

pub(crate) struct Sim {
    pub(crate) hosts: BTreeMap<NodeId, Host>,
    rng: StdRng,
    messages: Vec<Message>,
    /// Cut links: messages from the first host to the second are lost.
    cuts: BTreeSet<(NodeId, NodeId)>,
    /// The steps at which hosts are repaired.
    repairs: Vec<(u64, NodeId)>,
    checks: Checks,
    clients: Clients,
    now: u64,
    /// The probability that a write in flight completes at a member's turn.
    write_probability: f64,
    pub(crate) counts: Counts,
}

impl Sim {
    /// Creates one voter, as `init` does, or a cluster of three or five voters.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let write_probability = *WRITE_PROBABILITIES.choose(&mut rng).unwrap();
        let count = *[1, 3, 3, 5].choose(&mut rng).unwrap();
        let voters: BTreeMap<NodeId, Vec<u8>> =
            (1..=count).map(|id| (NodeId(id), Vec::new())).collect();
        let membership = Membership { voters, learners: BTreeMap::new() };
        let data = 0u64.to_le_bytes().to_vec();
        let snapshot = Snapshot { index: LogIndex(1), term: Term(1), membership, data };
        let disk = Disk { snapshot: Some(snapshot), ..Disk::default() };
        let host = |id| (NodeId(id), Host::new(host::config(id), disk.clone()));
        Self {
            hosts: (1..=count).map(host).collect(),
            rng,
            messages: Vec::new(),
            cuts: BTreeSet::new(),
            repairs: Vec::new(),
            checks: Checks::default(),
            clients: Clients::default(),
            now: 0,
            write_probability,
            counts: Counts::default(),
        }
    }

    /// Runs one event of a faulty schedule.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        match self.rng.random_range(0..1000) {
            0..350 => self.deliver_any(),
            350..700 => self.on_any(Self::process),
            700..900 => self.on_any(Self::tick),
            900..980 => self.on_leader(Self::call),
            980..993 => self.on_leader(Self::change),
            993..996 => self.on_any(|sim, id| sim.host(id).compact()),
            996 => self.on_leader(Self::transfer_leadership),
            _ => self.fault(),
        }
        self.repair();
        self.clients.expire(self.now);
    }

    fn host(&mut self, id: NodeId) -> &mut Host {
        self.hosts.get_mut(&id).unwrap()
    }

    fn pick(&mut self) -> NodeId {
        let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
        *ids.choose(&mut self.rng).unwrap()
    }

    fn on_any(&mut self, act: impl FnOnce(&mut Self, NodeId)) {
        let id = self.pick();
        if self.hosts[&id].is_up() {
            act(self, id);
        }
    }

    /// Acts on a host that believes it leads, whether or not it does.
    fn on_leader(&mut self, act: impl FnOnce(&mut Self, NodeId)) {
        let leads = |host: &&Host| role(host) == Some(Role::Leader) && !host.frozen;
        let ids: Vec<NodeId> = self.hosts.values().filter(leads).map(|host| host.id).collect();
        if let Some(&id) = ids.choose(&mut self.rng) {
            act(self, id);
        }
    }

    /// Runs `act` on a node and checks the invariants of leaders.
    fn run_node(&mut self, id: NodeId, act: impl FnOnce(&mut Node)) {
        let Some(node) = &mut self.host(id).node else { return };
        let before = node.status().commit;
        act(node);
        self.checks.check_leader(&self.hosts, id, before);
    }

    fn tick(&mut self, id: NodeId) {
        self.run_node(id, Node::tick);
    }

    fn call(&mut self, id: NodeId) {
        let write = self.rng.random_bool(0.5);
        let now = self.now;
        self.clients.begin(self.hosts.get_mut(&id).unwrap(), write, now);
    }

    /// Takes the pending work, completes the writes in flight, or both.
    fn process(&mut self, id: NodeId) {
        if (self.hosts[&id].pending.is_none() || self.rng.random_bool(0.5))
            && let Some(ready) = self.host(id).take()
        {
            self.handle_ready(id, ready);
        }
        if !self.rng.random_bool(self.write_probability) {
            return;
        }
        let before = self.hosts[&id].node.as_ref().unwrap().status().commit;
        let Some(ready) = self.host(id).sync() else { return };
        self.checks.check_leader(&self.hosts, id, before);
        self.checks.check_log(&self.hosts[&id].disk);
        self.counts.installs += usize::from(ready.snapshot.is_some());
        self.post(ready.messages);
    }

    fn handle_ready(&mut self, id: NodeId, ready: Ready) {
        let now = self.now;
        let host = self.hosts.get_mut(&id).unwrap();
        for entry in &ready.committed {
            self.checks.check_applied(host.node.as_ref().unwrap(), entry);
            host.register.apply(entry);
            self.clients.applied(id, entry, now);
        }
        host.reads.extend(ready.reads);
        self.clients.answer(host, now);
        for read in ready.failed_reads {
            self.clients.lost(read, now);
        }
        self.post(ready.immediate);
        self.post(ready.messages);
    }

    fn post(&mut self, messages: Vec<Message>) {
        self.messages.extend(messages);
        while self.messages.len() > MAX_MESSAGES {
            let any = self.rng.random_range(0..self.messages.len());
            self.messages.swap_remove(any);
        }
    }

    /// Delivers a random message in flight, so that messages overtake each other.
    fn deliver_any(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let any = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(any);
        if self.rng.random_bool(DUPLICATE_PROBABILITY) {
            self.messages.push(message.clone());
        }
        if !self.rng.random_bool(LOSS_PROBABILITY) {
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        let cut = self.cuts.contains(&(message.from, message.to));
        if !cut && self.hosts.get(&message.to).is_some_and(Host::is_up) {
            self.run_node(message.to, |node| node.step(message));
        }
    }

    /// Causes a fault for a while, most often on the leader, where it has the most effect.
    fn fault(&mut self) {
        let mut id = self.pick();
        if self.rng.random_bool(0.6) {
            self.on_leader(|_, leader| id = leader);
        }
        match self.rng.random_range(0..100) {
            0..20 => self.crash(id),
            20..40 => self.host(id).frozen = self.hosts[&id].node.is_some(),
            40..60 => self.cut(id, true, true),
            60..75 => self.cut(id, true, false),
            75..90 => self.cut(id, false, true),
            _ => {
                let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
                for id in ids {
                    self.crash(id);
                    self.schedule_repair(id, 200);
                }
            }
        }
        self.schedule_repair(id, MAX_FAULT_STEPS);
    }

    fn schedule_repair(&mut self, id: NodeId, limit: u64) {
        let due = self.now + self.rng.random_range(10..limit);
        self.repairs.push((due, id));
    }

    fn repair(&mut self) {
        let now = self.now;
        let due: Vec<(u64, NodeId)> = self.repairs.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, id) in due {
            self.cuts.retain(|(from, to)| *from != id && *to != id);
            self.recover(id);
        }
    }

    fn crash(&mut self, id: NodeId) {
        let parts = self.rng.random_range(0..4);
        self.host(id).crash(parts);
        self.checks.check_log(&self.hosts[&id].disk);
        self.counts.crashes += 1;
    }

    fn recover(&mut self, id: NodeId) {
        let seed = self.rng.random();
        let host = self.host(id);
        host.frozen = false;
        if host.node.is_none() {
            host.restart(seed);
        }
    }

    /// Drops the messages to a host, from a host, or both.
    fn cut(&mut self, id: NodeId, to: bool, from: bool) {
        for &other in self.hosts.keys() {
            if to {
                self.cuts.insert((other, id));
            }
            if from {
                self.cuts.insert((id, other));
            }
        }
    }

    fn transfer_leadership(&mut self, id: NodeId) {
        self.run_node(id, |node| node.transfer(None).unwrap());
        self.counts.transfers += 1;
    }

    /// Adds a new member as a learner, promotes, demotes or removes a member, or tries to replace a
    /// voter.
    fn change(&mut self, id: NodeId) {
        let mut next = self.hosts[&id].node.as_ref().unwrap().membership().clone();
        let voters: Vec<NodeId> = next.voters.keys().copied().collect();
        let learners: Vec<NodeId> = next.learners.keys().copied().collect();
        let spare = NodeId(self.hosts.len() as u64 + 1);
        let learner = learners.choose(&mut self.rng).copied();
        let voter = *voters.choose(&mut self.rng).unwrap();
        match (self.rng.random_range(0..12), learner) {
            (10.., Some(learner)) => {
                // Two voters differ, so the change must be refused.
                next.voters.remove(&voter);
                next.learners.remove(&learner);
                next.voters.insert(learner, Vec::new());
            }
            (0..4, Some(learner)) if voters.len() < MAX_VOTERS => {
                next.learners.remove(&learner);
                next.voters.insert(learner, Vec::new());
            }
            (4, _) if voters.len() > 2 => {
                next.voters.remove(&voter);
                next.learners.insert(voter, Vec::new());
            }
            (5, _) if voters.len() > 2 => drop(next.voters.remove(&voter)),
            (6, Some(learner)) => drop(next.learners.remove(&learner)),
            (7..10, _) if self.hosts.len() < MAX_HOSTS => {
                next.learners.insert(spare, Vec::new());
            }
            _ => return,
        }
        let fresh = next.contains(spare);
        let mut changed = false;
        self.run_node(id, |node| changed = node.change(next).is_ok());
        self.counts.changes += usize::from(changed);
        if changed && fresh {
            self.hosts.insert(spare, Host::new(host::config(spare.0), Disk::default()));
        }
    }

    /// Ends all faults. A leader must then commit, and all its members must apply.
    pub(crate) fn heal(&mut self) {
        self.write_probability = WRITE_PROBABILITIES[0];
        self.cuts.clear();
        let ids: Vec<NodeId> = self.hosts.keys().copied().collect();
        for &id in &ids {
            self.recover(id);
        }
        let mut goal = None;
        for _ in 0..MAX_HEAL_ROUNDS {
            self.round(&ids);
            goal = self.propose_on_leader(goal);
            if goal.is_some_and(|goal| self.all_applied(goal)) {
                return;
            }
        }
        let states: Vec<_> =
            self.hosts.values().map(|host| host.node.as_ref().unwrap().status()).collect();
        panic!("no progress after the network healed: {states:#?}");
    }

    /// Runs one tick of all members, with all their writes and messages and without loss.
    fn round(&mut self, ids: &[NodeId]) {
        self.now += 1;
        for &id in ids {
            self.tick(id);
            self.process(id);
            self.process(id);
        }
        for message in std::mem::take(&mut self.messages) {
            self.deliver(message);
        }
    }

    /// Proposes on the leader of the highest term that can commit, unless it already has.
    fn propose_on_leader(&mut self, goal: Option<Position>) -> Option<Position> {
        let nodes = self.hosts.values_mut().filter_map(|host| host.node.as_mut());
        let node =
            nodes.filter(|node| node.status().term_committed).max_by_key(|n| n.status().term);
        let fresh = node.filter(|node| goal.is_none_or(|goal| goal.term < node.status().term));
        // Leaders that have since transferred leadership or were deposed may have lost the last
        // proposal.
        fresh.and_then(|node| node.propose(Vec::new()).ok()).or(goal)
    }

    fn all_applied(&self, goal: Position) -> bool {
        let leads = |node: &&Node| node.status().term_committed && node.status().term == goal.term;
        let Some(leader) = self.hosts.values().filter_map(|h| h.node.as_ref()).find(leads) else {
            return false;
        };
        leader.membership().nodes().all(|id| self.hosts[&id].register.applied >= goal.index)
    }

    /// Checks that the clients' history is linearizable.
    pub(crate) fn check_history(&mut self) {
        self.counts.reads = self.clients.reads();
        self.counts.commits = self.checks.commits();
        self.counts.terms = self.checks.terms();
        assert!(self.clients.is_linearizable(), "the history is not linearizable");
    }
}

fn role(host: &Host) -> Option<Role> {
    host.node.as_ref().map(|node| node.status().role)
}
