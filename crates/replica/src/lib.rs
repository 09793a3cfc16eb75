//! The data folder of a consensus node. It is read once and then written while the node runs.
//!
//! [`restore`] decodes the initial state of a node from the contents of a folder. A [`Journal`]
//! then writes the node's output on a separate thread and keeps the messages that wait for it.

mod codec;
mod journal;
mod restore;

pub use codec::{decode, encode};
pub use journal::{Journal, SavedWrite};
pub use restore::restore;
