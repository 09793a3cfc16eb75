//! The record of the operators' calls and answers, and its sequential specification.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};

use todc_utils::{Action, History, Specification, WGLChecker};

/// The maximum number of points that are printed before the faulty one.
const MAX_SHOWN_POINTS: usize = 12;

/// The version in force, and the number of the change that created it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct InForce {
    /// The version.
    pub version: u64,
    /// The number of the change; 0 before the first one.
    pub change: u64,
}

/// The answer to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change became this version.
    Accepted(u64),
    /// The change was based on another version than the one in force.
    Conflict(InForce),
    /// No answer arrived: the change may take effect at any time after the call.
    Lost,
}

/// An operation with its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A read of the service; `None` until it is answered.
    Read(Option<InForce>),
    /// A proposed change.
    Change {
        /// The number of the change.
        change: u64,
        /// The version that it is based on.
        base: u64,
        /// The answer.
        answer: Answer,
    },
}

/// A register with a compare-and-set operation on its version.
pub struct Register;

impl Specification for Register {
    type State = InForce;
    type Operation = Operation;

    fn init() -> InForce {
        InForce::default()
    }

    /// A change without an answer takes effect if its base is in force, otherwise it has no effect.
    /// This includes a change that was never made, because the checker may place it after the end.
    fn apply(operation: &Operation, state: &InForce) -> (bool, InForce) {
        match *operation {
            Operation::Read(seen) => (seen == Some(*state), *state),
            Operation::Change { change, base, answer } => {
                let next = InForce { version: base + 1, change };
                let is_next = base == state.version;
                match answer {
                    Answer::Accepted(version) if is_next && version == next.version => (true, next),
                    Answer::Accepted(_) => (false, *state),
                    Answer::Conflict(winner) => (!is_next && winner == *state, *state),
                    Answer::Lost => (true, if is_next { next } else { *state }),
                }
            }
        }
    }
}

/// A point in the history: the call or the response of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    Call(usize),
    Response(usize),
}

#[derive(Debug, Default)]
struct Log {
    points: Vec<Point>,
    operations: Vec<Operation>,
    lost: usize,
    sent: BTreeMap<u64, SentChange>,
}

/// The request that is sent for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentChange {
    /// The index of the operator who proposes it.
    pub operator: usize,
    /// The body, which is the same in each resend.
    pub body: String,
}

/// The record, shared by all operators. Calls are recorded before they are sent and answers after
/// they are received, so each recorded interval contains the actual one.
#[derive(Debug, Default)]
pub struct Record(Mutex<Log>);

impl Record {
    fn lock(&self) -> MutexGuard<'_, Log> {
        self.0.lock().unwrap()
    }

    /// Records a call and returns the number of the operation.
    pub fn record_call(&self, operation: Operation) -> usize {
        let mut log = self.lock();
        let number = log.operations.len();
        log.operations.push(operation);
        log.points.push(Point::Call(number));
        number
    }

    /// Records the response to an operation. An operation without a response stays open.
    pub fn record_response(&self, number: usize, operation: Operation) {
        let mut log = self.lock();
        log.operations[number] = operation;
        log.points.push(Point::Response(number));
    }

    /// Records the request of a change.
    pub fn record_request(&self, change: u64, sent: SentChange) {
        let other = self.lock().sent.insert(change, sent);
        assert_eq!(other, None, "change {change} is made twice");
    }

    /// Returns the request of a change.
    pub fn sent_change(&self, change: u64) -> SentChange {
        self.lock().sent[&change].clone()
    }

    /// Counts a lost answer to a change, whether or not the change is resent.
    pub fn count_lost(&self) {
        self.lock().lost += 1;
    }

    /// Returns the base and the answer of every change, by the number of the change.
    pub fn changes(&self) -> BTreeMap<u64, (u64, Answer)> {
        let log = self.lock();
        let change = |it: &Operation| match *it {
            Operation::Change { change, base, answer } => Some((change, (base, answer))),
            Operation::Read(_) => None,
        };
        log.operations.iter().filter_map(change).collect()
    }

    /// Returns the accepted change of each version, according to the answers.
    ///
    /// # Panics
    /// Panics if two changes were reported as accepted with the same version.
    pub fn accepted(&self) -> BTreeMap<u64, u64> {
        let mut winners = BTreeMap::new();
        for (change, (_, answer)) in self.changes() {
            if let Answer::Accepted(version) = answer {
                let other = winners.insert(version, change);
                assert_eq!(other, None, "version {version} has two winners, one is {change}");
            }
        }
        winners
    }

    /// Runs the linearizability checker over the whole history.
    ///
    /// # Panics
    /// Panics if the history is not linearizable, and prints the last points up to the first one
    /// that makes it so.
    pub fn check(&self) {
        let log = self.lock();
        let answered = log.points.iter().filter(|it| matches!(it, Point::Response(_))).count();
        let (count, lost) = (log.operations.len(), log.lost);
        let open = count - answered;
        eprintln!("history: {count} operations, {lost} answers lost, {open} left without one");
        if log.is_linearizable(log.points.len()) {
            return;
        }
        // Every prefix of a linearizable history is linearizable, so the search can be binary.
        let lengths: Vec<usize> = (1..=log.points.len()).collect();
        let sound = lengths.partition_point(|it| log.is_linearizable(*it));
        let recent: Vec<_> = log.points[sound.saturating_sub(MAX_SHOWN_POINTS)..=sound]
            .iter()
            .map(|point| match *point {
                Point::Call(number) => format!("call {number}"),
                Point::Response(number) => format!("{number}: {:?}", log.operations[number]),
            })
            .collect();
        panic!("the history is not linearizable from its last line on:\n{}", recent.join("\n"));
    }
}

impl Log {
    /// Checks the first `length` points. A read without an answer by then is left out, as it tells
    /// nothing. A change without an answer may have been made and is closed at the end.
    fn is_linearizable(&self, length: usize) -> bool {
        let points = &self.points[..length];
        let answered: BTreeSet<usize> = points
            .iter()
            .filter_map(|it| if let Point::Response(number) = it { Some(*number) } else { None })
            .collect();
        let (mut actions, mut open) = (Vec::new(), Vec::new());
        for point in points {
            match *point {
                Point::Call(number) if answered.contains(&number) => {
                    actions.push((number, Action::Call(self.operations[number])));
                }
                Point::Call(number) => {
                    if let Operation::Change { change, base, .. } = self.operations[number] {
                        let operation = Operation::Change { change, base, answer: Answer::Lost };
                        actions.push((number, Action::Call(operation)));
                        open.push((number, Action::Response(operation)));
                    }
                }
                Point::Response(number) => {
                    actions.push((number, Action::Response(self.operations[number])));
                }
            }
        }
        actions.extend(open);
        actions.is_empty()
            || WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
    }
}
