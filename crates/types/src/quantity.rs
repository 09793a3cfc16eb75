//! Quantities with their units: sizes, rates, durations and priorities.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

macro_rules! quantities {
    ($($(#[$meta:meta])* $name:ident($inner:ty), $unit:literal;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = <$inner as FromStr>::Err;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($unit).unwrap_or(text).trim().parse().map(Self)
            }
        }
    )*};
}

quantities! {
    /// A size in bytes.
    #[derive(Eq, Ord, Hash)]
    ByteSize(u64), " B";
    /// A duration in whole milliseconds.
    #[derive(Eq, Ord, Hash)]
    Millis(u64), " ms";
    /// A duration in whole microseconds.
    #[derive(Eq, Ord, Hash)]
    Micros(u64), " us";
    /// A wall clock time in milliseconds since the Unix epoch. Times of different machines must
    /// not be compared.
    #[derive(Eq, Ord, Hash)]
    UnixMillis(u64), " ms";
    /// A number of events per second.
    Rate(f64), "/s";
    /// A number of model tokens.
    #[derive(Eq, Ord, Hash)]
    Tokens(u64), " tokens";
    /// A cost, in a unit that the service's operators choose.
    Cost(f64), "";
    /// A priority from 0 (highest) to 7 (lowest).
    #[derive(Eq, Ord, Hash)]
    Priority(u8), "";
}

impl Priority {
    /// The number of priorities.
    pub const COUNT: usize = 8;
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Duration {
        Duration::from_millis(millis.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Millis {
        Millis(duration.as_millis() as u64)
    }
}

impl From<Micros> for Duration {
    fn from(micros: Micros) -> Duration {
        Duration::from_micros(micros.0)
    }
}

impl From<Duration> for Micros {
    fn from(duration: Duration) -> Micros {
        Micros(duration.as_micros() as u64)
    }
}

impl UnixMillis {
    /// Reads the wall clock of this VM.
    pub fn now() -> Self {
        let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(elapsed.unwrap_or_default().as_millis() as u64)
    }
}
