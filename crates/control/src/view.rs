//! What the core loop shows to the other threads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use consensus::{Membership, Role};
use types::{Document, LogIndex, NodeId, Term, UpstreamName, Version, VmName};

use crate::address::Address;
use crate::plan::Roll;

/// The service and the marks as applied by this member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Published {
    /// Its version; 0 before the first change.
    pub version: Version,
    /// The document.
    pub document: Arc<Document>,
    /// The upstreams that operators marked as leaving.
    pub marks: BTreeSet<UpstreamName>,
}

/// The state of this member's consensus node, as of the last turn of the core loop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader it knows.
    pub leader: Option<NodeId>,
    /// Whether it leads and has committed an entry of its own term.
    pub settled: bool,
    /// The highest committed index it knows.
    pub commit: LogIndex,
    /// The highest index applied to its state.
    pub applied: LogIndex,
    /// The version it applied.
    pub version: Version,
    /// The membership in its log.
    pub membership: Membership,
    /// The highest index each node is known to hold; the leader alone knows.
    pub progress: BTreeMap<NodeId, LogIndex>,
    /// The other nodes heard of lately; the leader alone knows.
    pub active: BTreeSet<NodeId>,
    /// What operators asked of the membership.
    pub roll: Roll,
}

impl View {
    /// Tells whether this member leads.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the VM of a node of the membership.
    pub fn vm(&self, node: NodeId) -> Option<VmName> {
        let found = self.membership.voters.get(&node);
        let found = found.or_else(|| self.membership.learners.get(&node));
        found.and_then(|it| Address::decode(it))
    }
}
