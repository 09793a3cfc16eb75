//! State that the core loop publishes to the other threads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use consensus::{Membership, Role};
use types::{Document, LogIndex, NodeId, Term, UpstreamName, Version, VmName};

use crate::address::Address;
use crate::plan::MemberOverrides;

/// The service and the marks on upstreams, as applied by this member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Published {
    /// The service version; 0 before the first change.
    pub version: Version,
    /// The service document.
    pub document: Arc<Document>,
    /// The upstreams that operators marked as leaving.
    pub marks: BTreeSet<UpstreamName>,
}

/// The state of this member's consensus node after the last iteration of the core loop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The node's role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The known leader.
    pub leader: Option<NodeId>,
    /// Whether the node leads and has committed an entry of its own term.
    pub term_committed: bool,
    /// The highest known committed index.
    pub commit: LogIndex,
    /// The highest applied index.
    pub applied: LogIndex,
    /// The applied service version.
    pub version: Version,
    /// The membership in the log.
    pub membership: Membership,
    /// The highest index that each node is known to have stored; known to the leader only.
    pub progress: BTreeMap<NodeId, LogIndex>,
    /// The other nodes from which the leader has heard recently; known to the leader only.
    pub active: BTreeSet<NodeId>,
    /// The operators' changes to the set of members.
    pub overrides: MemberOverrides,
}

impl View {
    /// Returns whether this member leads.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the VM of a node in the membership.
    pub fn vm(&self, node: NodeId) -> Option<VmName> {
        let found = self.membership.voters.get(&node);
        let found = found.or_else(|| self.membership.learners.get(&node));
        found.and_then(|it| Address::decode(it))
    }
}
