//! Identifiers. Names come from operators and keys from callers; both are validated. Numbers and
//! random ids are made by the system itself.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The maximum length of a name that an operator may give.
const MAX_NAME_BYTES: usize = 64;

/// The maximum length of an idempotency key that a caller may send.
const MAX_KEY_BYTES: usize = 128;

/// A text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
    /// The kind of identifier that was expected.
    pub kind: &'static str,
    /// The invalid text.
    pub text: String,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for NameError {}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

fn is_key(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_KEY_BYTES && text.chars().all(|c| c.is_ascii_graphic())
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal, $check:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if !$check(text) {
                    return Err(NameError { kind: $kind, text: text.to_owned() });
                }
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

names! {
    /// Names a customer: callers that share bearer keys, a priority and limits.
    CustomerName, "customer name", is_name;
    /// Names a pipeline.
    PipelineName, "pipeline name", is_name;
    /// Names a stage within its pipeline.
    StageName, "stage name", is_name;
    /// Names a pool of upstreams that do the same work.
    PoolName, "pool name", is_name;
    /// Names an upstream: one back-end process that serves stage calls.
    UpstreamName, "upstream name", is_name;
    /// Names a site: a zone whose VMs are close to each other.
    SiteName, "site name", is_name;
    /// Names a model.
    ModelName, "model name", is_name;
    /// Names a VM.
    VmName, "VM name", is_name;
    /// Names an operator.
    OperatorName, "operator name", is_name;
    /// A caller's idempotency key: printable ASCII without spaces.
    IdempotencyKey, "idempotency key", is_key;
}

/// The version of an upstream's software, as the platform lists it. The empty one, which is the default,
/// is not known.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct SoftwareVersion(std::sync::Arc<str>);

impl SoftwareVersion {
    /// Returns whether the version is known.
    pub fn is_known(&self) -> bool {
        !self.0.is_empty()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_known() { &self.0 } else { "unknown" })
    }
}

impl FromStr for SoftwareVersion {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.into())
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for SoftwareVersion {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0.as_ref().to_owned()
    }
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

numbers! {
    /// A version of the service document; the first accepted document has version 1.
    Version(u64);
    /// A term of the replicated log.
    Term(u64);
    /// An index in the replicated log; the first entry has index 1.
    LogIndex(u64);
    /// A fencing number in an order to an upstream; an order with a higher number supersedes those
    /// with lower ones.
    Fence(u64);
    /// Identifies one incarnation of a control member's data folder. A member that lost its disk
    /// gets a new id, so that it cannot repeat a vote that the old folder gave.
    NodeId(u64);
    /// Identifies one incarnation (one start) of an entry process; drawn at random at the start.
    Incarnation(u64);
}

macro_rules! uuids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub uuid::Uuid);

        impl $name {
            /// Returns a new random id.
            pub fn random() -> Self {
                Self(uuid::Uuid::new_v4())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

uuids! {
    /// Identifies one request of a caller in answers, logs and upstream calls.
    RequestId;
    /// Identifies one call of a stage at an upstream; the response must repeat it.
    CallId;
    /// Identifies a change that an operator requests; a resend carries the same id.
    ChangeId;
}
