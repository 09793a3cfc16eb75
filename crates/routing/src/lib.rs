//! Decides admission, priority, limits, the choice of upstream, retries, hedges and ejection.
//!
//! There is no I/O here; time and randomness are passed in. All threads of an entry share one
//! [`Router`].

mod admission;
mod affinity;
mod budget;
mod choice;
mod clock;
mod decisions;
mod eject;
mod estimate;
mod feedback;
mod hedge;
mod limits;
mod policy;
mod pool;
mod queue;
mod refusals;
mod router;
mod split;
mod table;
mod work;

pub use admission::{Admission, Slot, SlotResponse};
pub use choice::{CallEnd, Pick, PickRequest};
pub use decisions::{Counter, Decision};
pub use policy::Rules;
pub use router::{RequestInfo, Router};
pub use table::UpstreamView;
