//! A member whose disk loses what is not synced, and whose state is one register.

use consensus::{Config, Entry, HardState, Node, Payload, Ready, Restored, Snapshot};
use types::{LogIndex, NodeId, Term};

/// The number of copies of the register in a snapshot, so that a snapshot has several parts.
const REGISTER_COPIES: usize = 8;

/// The data that survives a crash.
#[derive(Clone, Default)]
pub(crate) struct Disk {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
}

impl Disk {
    pub(crate) fn base(&self) -> (LogIndex, Term) {
        self.snapshot.as_ref().map_or_else(Default::default, |s| (s.index, s.term))
    }

    pub(crate) fn last(&self) -> LogIndex {
        self.entries.last().map_or(self.base().0, |entry| entry.index)
    }

    pub(crate) fn holds(&self, index: LogIndex, term: Term) -> bool {
        let held = self.entries.iter().any(|e| (e.index, e.term) == (index, term));
        held || index <= self.base().0
    }

    /// Writes the first `parts` items of hard state, snapshot and entries, or all of them with
    /// `None`.
    pub(crate) fn write(&mut self, ready: &Ready, parts: Option<usize>) {
        let mut left = parts.unwrap_or(usize::MAX);
        let mut passes = || {
            let passes = left > 0;
            left = left.saturating_sub(1);
            passes
        };
        if let Some(hard_state) = ready.hard_state.filter(|_| passes()) {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = ready.snapshot.as_ref().filter(|_| passes()) {
            self.snapshot = Some(snapshot.clone());
            self.entries.clear();
        }
        for entry in &ready.entries {
            if !passes() {
                return;
            }
            self.entries.retain(|held| held.index < entry.index);
            assert_eq!(entry.index.0, self.last().0 + 1, "gap in the log on disk");
            self.entries.push(entry.clone());
        }
    }
}

/// The replicated state.
#[derive(Clone, Copy, Default)]
pub(crate) struct Register {
    pub(crate) applied: LogIndex,
    pub(crate) value: u64,
}

impl Register {
    fn restore(snapshot: &Snapshot) -> Self {
        let words: Vec<u64> = snapshot.data.chunks(8).map(decode).collect();
        assert!(words.windows(2).all(|pair| pair[0] == pair[1]), "mixed parts of snapshots");
        Self { applied: snapshot.index, value: words.first().copied().unwrap_or(0) }
    }

    pub(crate) fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index.0, self.applied.0 + 1, "gap in what is applied");
        self.applied = entry.index;
        match &entry.payload {
            Payload::Command(data) if !data.is_empty() => self.value = decode(data),
            _ => {}
        }
    }
}

fn decode(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().unwrap())
}

/// Returns the parameters of the members in random schedules.
pub(crate) fn config(id: u64) -> Config {
    Config {
        id: NodeId(id),
        election_ticks: 10,
        first_ticks: 4,
        heartbeat_ticks: 3,
        lag_ticks: 15,
        stall_ticks: 40,
        transfer_ticks: 20,
        max_entries: 4,
        max_bytes: 256,
        part_bytes: 24,
        seed: id,
    }
}

pub(crate) struct Host {
    pub(crate) id: NodeId,
    config: Config,
    pub(crate) disk: Disk,
    /// `None` while crashed.
    pub(crate) node: Option<Node>,
    /// The writes in flight, taken from the node, and the messages that wait for them.
    pub(crate) pending: Option<Ready>,
    pub(crate) register: Register,
    /// Confirmed reads whose index is not applied yet.
    pub(crate) reads: Vec<(u64, LogIndex)>,
    pub(crate) frozen: bool,
}

impl Host {
    pub(crate) fn new(config: Config, disk: Disk) -> Self {
        let seed = config.seed;
        let mut host = Self {
            id: config.id,
            config,
            disk,
            node: None,
            pending: None,
            register: Register::default(),
            reads: Vec::new(),
            frozen: false,
        };
        host.restart(seed);
        host
    }

    pub(crate) fn restart(&mut self, seed: u64) {
        let config = Config { seed, ..self.config.clone() };
        let Disk { hard_state, snapshot, entries } = self.disk.clone();
        self.register = snapshot.as_ref().map_or_else(Register::default, Register::restore);
        self.node = Some(Node::new(config, Restored { hard_state, snapshot, entries }));
    }

    /// Crashes the member. Of the writes in flight, only the first `parts` items reach the disk.
    pub(crate) fn crash(&mut self, parts: usize) {
        if let Some(ready) = self.pending.take() {
            self.disk.write(&ready, Some(parts));
        }
        self.node = None;
        self.reads.clear();
        self.frozen = false;
    }

    /// Takes the next `Ready`. Its writes, if any, are then in flight; returns the part that does
    /// not wait for them.
    pub(crate) fn take(&mut self) -> Option<Ready> {
        let node = self.node.as_mut().filter(|node| node.has_work())?;
        let mut ready = node.ready();
        if let Some(snapshot) = &ready.snapshot {
            self.register = Register::restore(snapshot);
        }
        if ready.has_writes() {
            assert!(self.pending.is_none(), "two writes in flight");
            let rest = Ready {
                immediate: std::mem::take(&mut ready.immediate),
                committed: std::mem::take(&mut ready.committed),
                reads: std::mem::take(&mut ready.reads),
                failed_reads: std::mem::take(&mut ready.failed_reads),
                ..Ready::default()
            };
            self.pending = Some(std::mem::replace(&mut ready, rest));
        }
        Some(ready)
    }

    /// Completes the writes in flight and returns the messages that waited for them.
    pub(crate) fn sync(&mut self) -> Option<Ready> {
        let ready = self.pending.take()?;
        self.disk.write(&ready, None);
        self.node.as_mut().unwrap().synced();
        Some(ready)
    }

    /// Takes a snapshot of the register and drops the log that it covers.
    pub(crate) fn compact(&mut self) {
        let Some(node) = self.node.as_mut().filter(|_| self.pending.is_none()) else { return };
        let Some(mut snapshot) = node.snapshot_head(self.register.applied) else { return };
        if snapshot.index <= self.disk.base().0 || snapshot.index > node.synced_index() {
            return;
        }
        snapshot.data = self.register.value.to_le_bytes().repeat(REGISTER_COPIES);
        self.disk.entries.retain(|entry| entry.index > snapshot.index);
        self.disk.snapshot = Some(snapshot.clone());
        node.compact(snapshot);
    }

    pub(crate) fn is_up(&self) -> bool {
        self.node.is_some() && !self.frozen
    }
}
