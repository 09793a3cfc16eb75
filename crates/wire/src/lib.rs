//! Transport between the system's own processes: postcard over TCP and UDP.
//!
//! A connection begins with a hello in which both sides prove that they hold the cluster secret.
//! After it, each side sends length-delimited frames, and a heartbeat whenever it has sent nothing
//! for [`HEARTBEAT`]. A side that makes no progress for [`SILENCE`] is silent: the connection ends
//! with [`WireError::Silent`]. Datagrams carry a MAC each.

mod connection;
mod datagram;
pub mod edit;
mod error;
mod frame;
mod hello;
mod listener;
pub mod loads;
mod progress;
mod pump;
mod quiet;
mod secret;
pub mod session;
mod traffic;

use std::time::Duration;

pub use connection::{Connection, Encoded, Receiver, Sender, connect};
pub use datagram::{DATAGRAM_LIMIT, Datagrams};
pub use error::{RefusalCause, WireError};
pub use frame::{FRAME_LIMIT, decode, encode};
pub use hello::{Hello, Kind, PROTOCOL};
pub use listener::{Listener, ListenerLimits};
pub use quiet::Quiet;
pub use secret::{SECRET_LEAST, Secret};
pub use traffic::Traffic;

/// The level of this release's messages, which each side tells the other with its heartbeats. A message
/// that an earlier release can't read goes only to those of a level that can, so that two releases serve
/// together in any order of an upgrade.
pub const LEVEL: u8 = 3;

/// After how long without a frame a side sends a heartbeat.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// After how long without a byte read, or without a byte written while some wait, a connection
/// counts as silent. It is found within a quarter more.
pub const SILENCE: Duration = Duration::from_millis(2_000);

/// How long opening a connection may take, and then the hello.
pub const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
