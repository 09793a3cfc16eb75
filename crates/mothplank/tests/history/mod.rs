//! Operators whose calls and answers are recorded, a monitor of the entries' versions, and checks
//! of both.
//!
//! A history is checked twice: by a linearizability checker against [`Register`], and by direct
//! checks of single guarantees.

// Each test file includes the whole module and uses a part of it.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod checks;
mod monitor;
mod operator;
mod order_proxy;
mod record;

pub use checks::{audit_trail, check_all, check_resent, wait_members_applied};
pub use monitor::{VersionMonitor, entry_version};
pub use operator::{Operator, document};
pub use order_proxy::{OrderProxy, SeenOrder};
pub use record::{Answer, InForce, Operation, Record, Register, SentChange};
