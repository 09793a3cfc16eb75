//! Decides which service version comes into force.

use types::Version;

/// The decision about an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Install the version.
    Install,
    /// Hold the version until a quorum has confirmed that no higher version is in force.
    Hold,
    /// Ignore the version, which is already in force.
    Same,
    /// Ignore the version, which is lower than the one in force or held, and log it.
    Lower,
}

/// The version in force and the held version.
///
/// A member may lag behind. After its start an entry has nothing to compare an offer with, so the
/// first version waits for a quorum's confirmation. Afterwards only higher versions are installed.
#[derive(Debug, Default)]
pub struct Versions {
    have: Version,
    held: Version,
    confirmed: bool,
}

impl Versions {
    /// Returns the version in force; 0 if there is none.
    pub fn have(&self) -> Version {
        self.have
    }

    /// Decides about an offer, and records it as held if that is the decision.
    pub fn offer(&mut self, version: Version) -> OfferDecision {
        if version < self.have.max(self.held) {
            return OfferDecision::Lower;
        }
        if version == self.have {
            return OfferDecision::Same;
        }
        if self.confirmed {
            return OfferDecision::Install;
        }
        self.held = version;
        OfferDecision::Hold
    }

    /// Records a quorum's confirmation that `version` was in force. Returns whether the held
    /// version may now be installed.
    pub fn confirm(&mut self, version: Version) -> bool {
        let is_first = !self.confirmed && self.held >= version;
        self.confirmed |= is_first;
        is_first
    }

    /// Records that `version` is in force.
    pub fn installed(&mut self, version: Version) {
        self.have = self.have.max(version);
    }

    /// Returns whether the version in force is at least the one that a quorum confirmed.
    pub fn is_current(&self, confirmed: Version) -> bool {
        self.have != Version(0) && self.have >= confirmed
    }
}
