//! The replicated state machine: the state of the `state` crate and the operators' changes to the
//! set of members.

use consensus::Snapshot;
use serde::{Deserialize, Serialize};
use state::{Command, Reply, State};
use types::{LogIndex, StepError, StepResult};

use crate::plan::MemberOverrides;

/// The text in a `Member` command of an operator that adds a VM.
pub(crate) const ADDED: &str = "added by operator";

/// The text in a `Member` command of an operator that removes a VM.
pub(crate) const REMOVED: &str = "removed by operator";

/// The state that results from applying the log's commands.
#[derive(Default)]
pub(crate) struct StateMachine {
    pub(crate) state: State,
    pub(crate) overrides: MemberOverrides,
}

/// The contents of a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotData {
    state: Vec<u8>,
    overrides: MemberOverrides,
}

impl StateMachine {
    /// Applies one command of the log.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid command.
    pub(crate) fn apply(&mut self, index: LogIndex, data: &[u8]) -> StepResult<Reply> {
        let command: Command = postcard::from_bytes(data)
            .map_err(|e| StepError::new("decode command", e).at(index))?;
        if let Command::Member { what, vm, operator: Some(_), .. } = &command {
            match what.as_str() {
                ADDED => {
                    self.overrides.removed.remove(vm);
                    self.overrides.added.insert(vm.clone());
                }
                REMOVED => {
                    self.overrides.added.remove(vm);
                    self.overrides.removed.insert(vm.clone());
                }
                _ => {}
            }
        }
        Ok(self.state.apply(index, command))
    }

    /// Returns the serialized contents for a snapshot.
    ///
    /// # Errors
    /// Returns an error if the state cannot be encoded.
    pub(crate) fn save(&self) -> StepResult<Vec<u8>> {
        let saved =
            SnapshotData { state: self.state.snapshot(), overrides: self.overrides.clone() };
        postcard::to_stdvec(&saved).map_err(|e| StepError::new("encode snapshot", e))
    }

    /// Restores a snapshot. A snapshot without data is the empty initial state of a cluster.
    ///
    /// # Errors
    /// Returns an error if the data cannot be decoded.
    pub(crate) fn restore(snapshot: &Snapshot) -> StepResult<Self> {
        if snapshot.data.is_empty() {
            return Ok(Self::default());
        }
        let fault = |e| StepError::new("decode snapshot", e).at(snapshot.index);
        let saved: SnapshotData = postcard::from_bytes(&snapshot.data).map_err(fault)?;
        let state = State::restore(&saved.state)
            .map_err(|e| StepError::new("restore state", e).at(snapshot.index))?;
        Ok(Self { state, overrides: saved.overrides })
    }
}
