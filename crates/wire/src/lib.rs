//! The transport between mothplank's own processes: postcard over TCP and UDP.
//!
//! A connection starts with a handshake in which both sides prove that they hold the cluster secret.
//! Then each side sends length-delimited frames, and a heartbeat whenever it has sent nothing for
//! [`HEARTBEAT_INTERVAL`]. If no byte moves for [`SILENCE_TIMEOUT`], the connection ends with
//! [`WireError::Silent`]. Each datagram carries a MAC.

mod connection;
mod datagram;
pub mod edit;
mod error;
mod frame;
mod frame_writer;
mod handshake;
mod io_tasks;
mod listener;
pub mod loads;
mod log_throttle;
mod meter;
mod secret;
pub mod session;
mod traffic;

use std::time::Duration;

pub use connection::{Connection, Encoded, Receiver, Sender, connect, connect_within};
pub use datagram::{Datagrams, MAX_DATAGRAM_BYTES};
pub use error::{RefusalCause, WireError};
pub use frame::{MAX_FRAME_BYTES, decode, encode};
pub use handshake::{Hello, Kind, PROTOCOL};
pub use listener::{Listener, ListenerLimits};
pub use log_throttle::LogThrottle;
pub use secret::{MIN_SECRET_BYTES, Secret};
pub use traffic::Traffic;

/// The level of the messages that this release understands; each side announces its level with its
/// heartbeats. A message that an earlier release can't decode is sent only to peers of a sufficient
/// level, so that two releases can run together in any order of an upgrade.
pub const LEVEL: u8 = 10;

/// The time without a sent frame after which a side sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The time without a byte read, or without a byte written while some are queued, after which a
/// connection counts as silent. Detection takes up to a quarter longer.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The timeout of opening a connection, and then again of the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
