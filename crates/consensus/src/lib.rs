//! The replicated log as a deterministic state machine (Raft).
//!
//! The inputs are messages, ticks and proposals; the output is a [`Ready`] with writes, messages
//! and committed entries. The crate does no I/O and reads no clock, and its only source of
//! randomness is [`Config::seed`]: the same calls give the same results.
//!
//! The driver calls [`Node::tick`], [`Node::step`], [`Node::propose`] and the other inputs. While
//! [`Node::has_work`] returns true, it takes one [`Node::ready`], starts to write its hard state,
//! snapshot and entries, sends its `immediate` messages, applies its committed entries and answers
//! its reads. Once the writes are synced, it calls [`Node::synced`] and sends the `messages`. The
//! driver need not wait for its disk in between: heartbeats, their replies and the confirmation of
//! reads need no disk and continue.

mod config;
mod election;
mod lag;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod random;
mod reads;
mod ready;
mod replication;
mod snapshot;
mod status;
mod sync;
mod transfer;

pub use config::{ChangeError, Config, NotLeader, Position, Restored};
pub use message::{Body, Entry, HardState, Membership, Message, Payload, Ready, Role, Snapshot};
pub use node::Node;
pub use status::{PeerStatus, Status};
