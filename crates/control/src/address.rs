//! How the membership names a member.

use serde::{Deserialize, Serialize};
use types::VmName;

/// How a member is reached; the opaque address of a node in the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Its VM; the settings of every member say where that VM is.
    pub vm: VmName,
}

impl Address {
    /// Encodes the address for the membership.
    ///
    /// # Panics
    /// Never: a name always encodes.
    pub fn encode(vm: &VmName) -> Vec<u8> {
        postcard::to_stdvec(&Self { vm: vm.clone() }).expect("a name encodes")
    }

    /// Decodes an address of the membership.
    pub fn decode(bytes: &[u8]) -> Option<VmName> {
        postcard::from_bytes::<Self>(bytes).ok().map(|it| it.vm)
    }
}
