//! The identity of a member: its VM, the incarnation of its data folder, and its cluster.

use serde::{Deserialize, Serialize};
use types::{NodeId, StepError, StepResult, VmName};

use crate::protocol::ClusterId;

/// The identity record in the data folder, written once when the member starts or joins its
/// cluster.
///
/// A folder without this record has never voted. A member with an empty folder draws a new node id,
/// so a vote from a lost folder can never be repeated under the same id with a different log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// The VM to which the folder belongs.
    pub(crate) vm: VmName,
    /// The node id, which identifies this incarnation of the folder.
    pub(crate) node: NodeId,
    /// The cluster.
    pub(crate) cluster: ClusterId,
    /// Whether this member started the cluster.
    pub(crate) founder: bool,
}

impl Identity {
    /// Encodes the identity for the data folder.
    ///
    /// # Errors
    /// Returns an error if the identity cannot be encoded.
    pub(crate) fn encode(&self) -> StepResult<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| StepError::new("encode identity", e))
    }

    /// Decodes the identity of a data folder and checks that it belongs to `vm`.
    ///
    /// # Errors
    /// Returns an error if the folder belongs to another VM or the bytes are not a valid identity.
    pub(crate) fn decode(bytes: &[u8], vm: &VmName) -> StepResult<Self> {
        let identity: Self =
            postcard::from_bytes(bytes).map_err(|e| StepError::new("decode identity", e))?;
        if identity.vm != *vm {
            let reason = format!(
                "the data folder belongs to {}, the settings say {vm}; correct the settings, or \
                 name an empty folder",
                identity.vm
            );
            return Err(StepError::new("read identity", reason));
        }
        Ok(identity)
    }
}

/// Draws a random node id for a new data folder; never returns 0.
pub(crate) fn random_node_id() -> NodeId {
    NodeId(rand::random::<u64>().max(1))
}
