//! The control program: runs the consensus node, stores its log, replicates state between members,
//! serves entries, and offers the operators' HTTP API.
//!
//! One thread owns the consensus node, the data folder and the replicated state ([`core`]). Tokio
//! runs the network connections: those to other members ([`peers`], [`inbound`]) and the sessions
//! of entries ([`sessions`]). The operators' HTTP API runs on its own threads. Requests that only
//! the leader can serve go through [`leader_client`], which locates the leader and distinguishes
//! requests that certainly did not run from those that may have run.

mod address;
mod announcements;
mod authority;
mod background;
mod calls;
mod control;
mod core;
mod digest;
mod entry_monitor;
mod folder;
mod handle;
mod history;
mod identity;
mod inbound;
mod leader_client;
mod member;
mod metrics;
mod operators;
mod peers;
mod pending;
pub mod plan;
mod protocol;
mod push;
mod reconciler;
pub mod request;
mod responses;
mod server;
mod session;
mod sessions;
mod share_distributor;
mod share_store;
mod shares;
mod state_machine;
mod status;
mod usage_files;
mod usage_store;
mod view;

pub use address::Address;
pub use control::{Control, Timing, spawn, spawn_with};
pub use entry_monitor::EntryMonitor;
pub use protocol::{ClusterId, EntryStatus};
pub use share_store::{ChangeNumber, ShareStore};
pub use shares::{ShareTable, SharesByEntry};
pub use view::{Published, View};
