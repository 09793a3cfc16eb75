//! The addresses of members in the membership.

use serde::{Deserialize, Serialize};
use types::VmName;

/// The address of a member, which the membership stores as opaque bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The member's VM. The settings of every member contain the network address of that VM.
    pub vm: VmName,
}

impl Address {
    /// Encodes the address for the membership.
    ///
    /// # Panics
    /// Never panics: a name always encodes.
    pub fn encode(vm: &VmName) -> Vec<u8> {
        postcard::to_stdvec(&Self { vm: vm.clone() }).expect("a name encodes")
    }

    /// Decodes an address of the membership. Returns `None` if the bytes are not a valid address.
    pub fn decode(bytes: &[u8]) -> Option<VmName> {
        postcard::from_bytes::<Self>(bytes).ok().map(|it| it.vm)
    }
}
