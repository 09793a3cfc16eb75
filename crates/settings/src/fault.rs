//! Faults in settings files: the place, the message and how to fix them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The file: `base`, an overlay's site, or a path.
    pub file: String,
    /// The line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// How to fix it.
    pub mend: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.file, self.line, self.message, self.mend)
    }
}

/// All faults that were found, as one error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns `Ok` if there is no fault, otherwise all faults sorted by file and line.
    pub(crate) fn into_result(mut self) -> Result<(), Faults> {
        if self.0.is_empty() {
            return Ok(());
        }
        self.0.sort();
        Err(self)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}
