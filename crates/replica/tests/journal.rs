//! Tests of the messages and snapshots that wait for the disk, and of a restart.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use consensus::{
    Body, Config, Entry, Membership, Message, Node, Payload, Ready, Restored, Snapshot,
};
use disk::Store;
use replica::{Journal, SavedWrite};
use types::{LogIndex, NodeId, Term};

/// Far longer than a write takes.
const TIMEOUT: Duration = Duration::from_secs(30);

fn config() -> Config {
    Config {
        id: NodeId(1),
        election_ticks: 10,
        first_ticks: 10,
        heartbeat_ticks: 2,
        lag_ticks: 30,
        stall_ticks: 100,
        transfer_ticks: 30,
        max_entries: 16,
        max_bytes: 4096,
        part_bytes: 4096,
        seed: 1,
    }
}

fn first_snapshot() -> Snapshot {
    let voters = (1..=3).map(|id| (NodeId(id), Vec::new())).collect();
    let membership = Membership { voters, learners: BTreeMap::new() };
    Snapshot { index: LogIndex(1), term: Term(1), membership, data: Vec::new() }
}

/// The folder, node and journal of a follower.
struct Follower {
    node: Node,
    journal: Journal,
    woken: Receiver<()>,
}

impl Follower {
    fn open(folder: &Path) -> Self {
        let (mut store, found) = Store::open(folder).expect("the folder opens");
        let mut restored = replica::restore(&found).expect("the records decode");
        if found.identity.is_none() {
            store.set_identity(b"1").expect("the write succeeds");
            let data = replica::encode(&first_snapshot()).expect("the value encodes");
            store.install(LogIndex(1), &data).expect("the write succeeds");
            restored = Restored { snapshot: Some(first_snapshot()), ..Restored::default() };
        }
        let (wake, woken) = channel();
        let journal = Journal::spawn(store, move || {
            let _ = wake.send(());
        });
        let journal = journal.expect("the thread starts");
        Self { node: Node::new(config(), restored), journal, woken }
    }

    /// Handles an `Append` with `count` entries from the leader, all of them committed by the
    /// others.
    fn append(&mut self, count: u64) -> Ready {
        let last = self.node.status().last;
        let entry = |at| Entry {
            term: Term(2),
            index: LogIndex(last.0 + at),
            payload: Payload::Command(vec![at as u8; 8]),
        };
        let body = Body::Append {
            prior: last,
            prior_term: self.node.term_at(last).expect("the log holds the entry"),
            entries: (1..=count).map(entry).collect(),
            commit: LogIndex(last.0 + count),
            round: 0,
        };
        self.node.step(Message { from: NodeId(2), to: NodeId(1), term: Term(2), body });
        self.node.ready()
    }

    fn wait_saved(&mut self) -> SavedWrite {
        self.woken.recv_timeout(TIMEOUT).expect("a write ends");
        self.journal
            .next_saved(&mut self.node)
            .expect("the write succeeds")
            .expect("a write has ended")
    }
}

/// Guards against an acknowledgement that is sent before its entries are on disk.
#[test]
fn acknowledgements_wait_and_commits_do_not() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut follower = Follower::open(folder.path());
    let mut ready = follower.append(3);
    assert_eq!(ready.committed.len(), 3);
    let at_once = follower.journal.write(&mut ready).expect("the write is submitted");
    assert!(at_once.is_empty(), "{at_once:?}");
    assert_eq!(follower.node.synced_index(), LogIndex(1));
    let saved = follower.wait_saved();
    let accepted = Body::AppendReply { accepted: true, index: LogIndex(4), round: 0 };
    assert_eq!(saved.messages.iter().map(|it| &it.body).collect::<Vec<_>>(), [&accepted]);
    assert_eq!(follower.node.synced_index(), LogIndex(4));
}

/// Guards against a snapshot of a state that is ahead of the log on disk: a restart would find a
/// gap.
#[test]
fn a_snapshot_waits_for_the_log_that_it_covers() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut follower = Follower::open(folder.path());
    let mut ready = follower.append(3);
    let head = follower.node.snapshot_head(LogIndex(4)).expect("the entry is applied");
    let snapshot = Snapshot { data: b"state".to_vec(), ..head };
    follower.journal.snapshot(&follower.node, snapshot.clone()).expect("the snapshot is accepted");
    follower.journal.write(&mut ready).expect("the write is submitted");
    let mut later = follower.append(2);
    assert!(!later.has_writes(), "one write at a time");
    assert!(!follower.wait_saved().compacted);
    assert!(follower.journal.is_compacting());
    let mut rest = follower.node.ready();
    follower.journal.write(&mut rest).expect("the write is submitted");
    follower.journal.write(&mut later).expect("the write is submitted");
    assert!(follower.wait_saved().compacted);
    assert!(!follower.wait_saved().compacted);
    drop(follower);

    let (_, found) = Store::open(folder.path()).expect("the folder opens");
    let restored = replica::restore(&found).expect("the records decode");
    assert_eq!(restored.snapshot, Some(snapshot));
    let indices: Vec<u64> = restored.entries.iter().map(|it| it.index.0).collect();
    assert_eq!(indices, [5, 6]);
}
