//! Clients that read and write the register, and the history of their operations.

use std::collections::BTreeSet;

use consensus::{Entry, Position};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::register::{RegisterOperation, RegisterSpecification};
use types::{LogIndex, NodeId};

use super::host::Host;

/// The maximum number of operations in flight at once.
const MAX_IN_FLIGHT: usize = 8;

/// The steps after which a client gives up. Its operation may still take effect.
const TIMEOUT_STEPS: u64 = 800;

type Operation = RegisterOperation<u64>;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Open,
    Done(u64),
    /// The operation has no effect, now or later.
    NoEffect,
    /// The client got no answer.
    Unknown,
}

struct Call {
    host: NodeId,
    /// The position of a write in the log; `None` for reads.
    position: Option<Position>,
    value: u64,
    start: u64,
    outcome: Outcome,
}

#[derive(Default)]
pub(crate) struct Clients {
    calls: Vec<Call>,
    open: Vec<usize>,
}

impl Clients {
    fn start(&mut self, host: NodeId, position: Option<Position>, now: u64) {
        let value = self.calls.len() as u64 + 1;
        self.open.push(self.calls.len());
        self.calls.push(Call { host, position, value, start: now, outcome: Outcome::Open });
    }

    /// Starts an operation at a host, whether or not the host leads.
    pub(crate) fn begin(&mut self, host: &mut Host, write: bool, now: u64) {
        let Some(node) = &mut host.node else { return };
        if self.open.len() >= MAX_IN_FLIGHT {
            return;
        }
        let value = self.calls.len() as u64 + 1;
        if !write {
            if node.read(value).is_ok() {
                self.start(host.id, None, now);
            }
        } else if let Ok(position) = node.propose(value.to_le_bytes().to_vec()) {
            self.start(host.id, Some(position), now);
        }
    }

    fn end(&mut self, id: usize, now: u64, outcome: Outcome) {
        if !self.open.contains(&id) {
            return;
        }
        self.open.retain(|&open| open != id);
        self.calls[id].outcome = match outcome {
            Outcome::Done(_) => Outcome::Done(now),
            other => other,
        };
    }

    /// Ends the writes of a host whose index that host has applied.
    pub(crate) fn applied(&mut self, host: NodeId, entry: &Entry, now: u64) {
        for id in self.open.clone() {
            let call = &self.calls[id];
            let Some(position) =
                call.position.filter(|p| call.host == host && p.index == entry.index)
            else {
                continue;
            };
            let won = position.term == entry.term;
            self.end(id, now, if won { Outcome::Done(now) } else { Outcome::NoEffect });
        }
    }

    /// Ends the reads whose index is applied.
    pub(crate) fn answer(&mut self, host: &mut Host, now: u64) {
        let register = host.register;
        let due = |index: LogIndex| index <= register.applied;
        for (id, _) in host.reads.extract_if(.., |(_, index)| due(*index)) {
            let id = id as usize - 1;
            if self.open.contains(&id) {
                self.calls[id].value = register.value;
                self.end(id, now, Outcome::Done(now));
            }
        }
    }

    pub(crate) fn lost(&mut self, id: u64, now: u64) {
        self.end(id as usize - 1, now, Outcome::NoEffect);
    }

    /// Ends the operations that have taken too long.
    pub(crate) fn expire(&mut self, now: u64) {
        for id in self.open.clone() {
            if self.calls[id].start + TIMEOUT_STEPS < now {
                self.end(id, now, Outcome::Unknown);
            }
        }
    }

    pub(crate) fn reads(&self) -> usize {
        let done =
            |call: &&Call| call.position.is_none() && matches!(call.outcome, Outcome::Done(_));
        self.calls.iter().filter(done).count()
    }

    /// Returns whether some order of the operations explains all results. A write without an answer
    /// may take effect at any time until the end; one whose value no read returned is left out,
    /// since it may always come last.
    pub(crate) fn is_linearizable(&self) -> bool {
        let read = |call: &Call| call.position.is_none();
        let seen: BTreeSet<u64> = self.calls.iter().filter(|c| read(c)).map(|c| c.value).collect();
        let mut events = Vec::new();
        for (id, call) in self.calls.iter().enumerate() {
            let end = match call.outcome {
                Outcome::Done(end) => end,
                Outcome::NoEffect => continue,
                _ if read(call) || !seen.contains(&call.value) => continue,
                _ => u64::MAX,
            };
            let operation = if read(call) {
                Operation::Read(Some(call.value))
            } else {
                Operation::Write(call.value)
            };
            events.push((call.start, false, id, Action::Call(operation)));
            events.push((end, true, id, Action::Response(operation)));
        }
        events.sort_by_key(|(at, response, id, _)| (*at, *response, *id));
        let actions: Vec<_> = events.into_iter().map(|(_, _, id, action)| (id, action)).collect();
        actions.is_empty()
            || WGLChecker::<RegisterSpecification<u64>>::is_linearizable(History::from_actions(
                actions,
            ))
    }
}
