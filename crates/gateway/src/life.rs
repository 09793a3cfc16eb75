//! Which life of an upstream a message comes from.
//!
//! An upstream may start again under the id that it had. It then keeps nothing of before, and tells
//! its start. What goes wrong without this: results that are gone count as kept, so the new life gets
//! calls that are not full, and a late answer of the old life is taken for results that can be fetched.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// When a life of an upstream began, in Unix milliseconds of its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Born(pub u64);

impl fmt::Display for Born {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Born {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The life that a message comes from, beside the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// The known one; also where the message does not tell, or is the first that does.
    Same,
    /// A newer one: what was believed of the one before is void.
    New,
    /// One that has ended: the message is void.
    Past,
}

/// The newest known life of an upstream.
#[derive(Debug, Default)]
pub struct Lives(AtomicU64);

impl Lives {
    /// Takes the birth that a message tells, if it tells one.
    pub fn observe(&self, born: Option<Born>) -> Life {
        let Some(Born(born)) = born else { return Life::Same };
        let known = self.0.fetch_max(born, Ordering::Relaxed);
        match born.cmp(&known) {
            _ if known == 0 => Life::Same,
            std::cmp::Ordering::Less => Life::Past,
            std::cmp::Ordering::Equal => Life::Same,
            std::cmp::Ordering::Greater => Life::New,
        }
    }
}
