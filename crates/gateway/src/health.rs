//! Finds the upstreams that fail more often than others of their service, by what all entries see.
//!
//! Entries report the outcomes of their requests, and each gets the sums over all of them from the
//! leader. All decide alike from the same sums; there is no further message. An upstream that is
//! found to fail is passed over, except for a few idempotent requests as trials, until their
//! outcomes show that it is sound again. Each entry still ejects an upstream by itself after
//! failures in a row.

mod choice;
mod evidence;
mod judge;
mod mix;
mod tally;
mod trials;

pub use self::choice::choose_trial;
pub use self::evidence::{Rate, bound};
pub use self::judge::{Candidate, Change, Judge, Return, ServiceView};
pub use self::mix::Mix;
pub use self::tally::{Outcome, Seen, Tally};
pub use self::trials::Trials;
