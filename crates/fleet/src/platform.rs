//! The platform's list of VMs, and the rules by which a list is accepted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use types::VmName;

/// How long a much shorter list, or one with lower numbers, must persist before it is accepted: it
/// is then a real large shrink, or a platform that restarted its numbering.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// The state of a VM as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the VM.
    pub vm: VmName,
    /// The state of the VM.
    pub state: VmState,
}

/// The platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The number of the list, which rises with each change.
    pub sequence: u64,
    /// The listed VMs.
    pub vms: Vec<ListedVm>,
}

/// The reason why a list is ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// It lists no VM.
    Empty,
    /// It lists fewer than half of the VMs of the previous list.
    Shrunken {
        /// The number of VMs it lists.
        now: usize,
        /// The number of VMs in the previous list.
        before: usize,
    },
    /// Its number is lower than that of the previous list.
    Old {
        /// The number of the list.
        now: u64,
        /// The number of the previous list.
        before: u64,
    },
}

impl fmt::Display for ListFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListFault::Empty => f.write_str("the platform's list is empty"),
            ListFault::Shrunken { now, before } => {
                write!(f, "the platform's list shrank from {before} to {now} VMs")
            }
            ListFault::Old { now, before } => {
                write!(f, "the platform's list {now} is older than {before}")
            }
        }
    }
}

/// The accepted reports of the platform.
///
/// The list lags and may fail. If every list were accepted, an empty answer of a platform that has
/// lost its own state would remove every upstream at once. So a list that is empty, or suddenly
/// less than half as long, is ignored, and a VM that is merely absent keeps its state.
#[derive(Debug, Default)]
pub struct Platform {
    last: Option<(u64, usize)>,
    last_fault: Option<(ListFault, Instant)>,
    leaving: BTreeMap<VmName, u64>,
    live: BTreeMap<VmName, u64>,
}

impl Platform {
    /// Takes a list.
    ///
    /// # Errors
    /// Returns the reason if the list is ignored.
    pub fn take(&mut self, list: &VmList, now: Instant) -> Result<(), ListFault> {
        if let Some(fault) = self.check(list) {
            let since = match &self.last_fault {
                Some((before, since)) if same_kind(before, &fault) => *since,
                _ => now,
            };
            self.last_fault = Some((fault.clone(), since));
            let settled = now.saturating_duration_since(since) >= SETTLE_TIME;
            if fault == ListFault::Empty || !settled {
                return Err(fault);
            }
            if matches!(fault, ListFault::Old { .. }) {
                // The numbering restarted: leaving VMs stay so until a list with a number higher
                // than this one's.
                self.leaving.values_mut().for_each(|at| *at = list.sequence);
                self.live.clear();
            }
        }
        self.last_fault = None;
        self.last = Some((list.sequence, list.vms.len()));
        list.vms.iter().for_each(|listed| self.record(listed, list.sequence));
        Ok(())
    }

    /// Returns whether the platform reports the VM as leaving, or `None` if it never listed the VM.
    pub fn is_leaving(&self, vm: &VmName) -> Option<bool> {
        if self.leaving.contains_key(vm) {
            return Some(true);
        }
        self.live.contains_key(vm).then_some(false)
    }

    /// Returns why the latest list was ignored, if it was.
    pub fn last_fault(&self) -> Option<&ListFault> {
        self.last_fault.as_ref().map(|(fault, _)| fault)
    }

    fn check(&self, list: &VmList) -> Option<ListFault> {
        if list.vms.is_empty() {
            return Some(ListFault::Empty);
        }
        let (sequence, length) = self.last?;
        if list.sequence < sequence {
            return Some(ListFault::Old { now: list.sequence, before: sequence });
        }
        let now = list.vms.len();
        (now * 2 < length).then_some(ListFault::Shrunken { now, before: length })
    }

    /// Records the state of a VM. Leaving is sticky: only a list with a higher number clears it, so
    /// that neither two lists with the same number nor a lagging one can.
    fn record(&mut self, listed: &ListedVm, sequence: u64) {
        let since = self.leaving.get(&listed.vm).copied();
        match (listed.state, since) {
            (VmState::Leaving, None) => {
                self.live.remove(&listed.vm);
                self.leaving.insert(listed.vm.clone(), sequence);
            }
            (VmState::Leaving, Some(_)) => {
                self.leaving.insert(listed.vm.clone(), sequence);
            }
            (VmState::Live, Some(since)) if sequence <= since => {}
            (VmState::Live, _) => {
                self.leaving.remove(&listed.vm);
                self.live.insert(listed.vm.clone(), sequence);
            }
        }
    }
}

fn same_kind(a: &ListFault, b: &ListFault) -> bool {
    std::mem::discriminant(a) == std::mem::discriminant(b)
}
