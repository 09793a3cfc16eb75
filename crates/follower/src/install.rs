//! Which version comes into force.

use types::Version;

/// What to do with a version that control offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Bring it into force.
    Install,
    /// Keep it until a quorum confirmed that nothing higher is in force.
    Hold,
    /// It is the one in force, or lower: leave it.
    Same,
    /// It is lower than the one in force: leave it, and say so.
    Lower,
}

/// The versions in force and held.
///
/// A member may lag. On start an entry has nothing to compare its offer with, so the first version
/// waits for a quorum's confirmation; after that only higher ones are taken, and nothing goes back.
#[derive(Debug, Default)]
pub struct Versions {
    have: Version,
    held: Version,
    confirmed: bool,
}

impl Versions {
    /// Returns the version in force; 0 for none.
    pub fn have(&self) -> Version {
        self.have
    }

    /// Decides about an offer, and notes it as held where that is the answer.
    pub fn offer(&mut self, version: Version) -> Offer {
        if version < self.have.max(self.held) {
            return Offer::Lower;
        }
        if version == self.have {
            return Offer::Same;
        }
        if self.confirmed {
            return Offer::Install;
        }
        self.held = version;
        Offer::Hold
    }

    /// Takes a quorum's confirmation that `version` was in force, and returns whether what is held may now
    /// come into force.
    pub fn confirm(&mut self, version: Version) -> bool {
        let first = !self.confirmed && self.held >= version;
        self.confirmed |= first;
        first
    }

    /// Notes that `version` is in force.
    pub fn installed(&mut self, version: Version) {
        self.have = self.have.max(version);
    }

    /// Returns whether an entry with these versions runs what a quorum said is in force.
    pub fn is_current(&self, confirmed: Version) -> bool {
        self.have != Version(0) && self.have >= confirmed
    }
}
