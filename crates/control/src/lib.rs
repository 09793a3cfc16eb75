//! The control program: drives consensus, disk and wire; the operators' HTTP side; orders.
//!
//! One thread owns the consensus node, the data folder and the replicated state ([`core`]).
//! Sockets run on tokio: connections to other members ([`peers`], [`inbound`]) and sessions of
//! entries ([`sessions`]). Operators' HTTP runs on threads of its own. Whatever needs the leader
//! goes through [`asker`], which finds it and tells certain failures from uncertain ones.

mod address;
mod answers;
pub mod ask;
mod asker;
mod authority;
mod board;
mod calls;
mod control;
mod core;
mod digest;
mod duties;
mod folder;
mod handle;
mod handout;
mod history;
mod identity;
mod image;
mod inbound;
mod keeper;
mod member;
mod metrics;
mod operators;
mod owners;
mod peers;
mod pending;
pub mod plan;
mod protocol;
mod push;
mod report;
mod roster;
mod server;
mod session;
mod sessions;
mod shares;
mod status;
mod use_files;
mod view;

pub use address::Address;
pub use board::{ChangeNumber, ShareBoard};
pub use control::{Control, Timing, spawn, spawn_with};
pub use owners::Owners;
pub use protocol::{ClusterId, EntrySeen};
pub use shares::{ShareTable, SharesByEntry};
pub use view::{Published, View};
