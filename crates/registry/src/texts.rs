//! The plans that a member can send to entries, packed once for all that ask.

use std::collections::VecDeque;
use std::sync::Arc;

use types::Version;

use crate::message::Question;
use crate::parcel::{Parcel, Part};
use crate::plan::Held;

/// How many plans are kept to make differences from. Entries are a version or two behind; while
/// changes come every 60 ms, eight are half a second.
const RECENT: usize = 8;

/// What all kept plans together may take, in bytes; the newest is always kept.
const RECENT_BYTES: usize = 16 << 20;

/// How many parcels are kept: one for each version that entries are likely to have, twice.
const PARCELS: usize = 16;

/// The newest plans and what was packed of them.
#[derive(Debug, Default)]
pub(crate) struct Texts {
    recent: VecDeque<Arc<Held>>,
    /// The one that was asked for last is at the back.
    parcels: VecDeque<Parcel>,
}

impl Texts {
    /// Takes the plan that the member holds, if it has one.
    pub(crate) fn note(&mut self, held: &Arc<Held>) {
        if held.version == Version(0)
            || self.recent.back().is_some_and(|it| it.version >= held.version)
        {
            return;
        }
        self.recent.push_back(Arc::clone(held));
        let is_large = |it: &VecDeque<Arc<Held>>| {
            it.len() > RECENT || it.iter().map(|it| it.text.len()).sum::<usize>() > RECENT_BYTES
        };
        while self.recent.len() > 1 && is_large(&self.recent) {
            self.recent.pop_front();
        }
    }

    /// Answers an entry: with the next part of the parcel that it has begun, or with the first part of
    /// the newest plan. `None` where there is no plan as new as the entry asks for.
    pub(crate) fn answer(&mut self, question: &Question) -> Option<Part> {
        if let Some(it) = question.begun
            && let Some(parcel) = self.parcel(it.label.version, it.label.base)
            && parcel.label() == it.label
        {
            return parcel.part(it.offset);
        }
        let newest = self.recent.back()?.version;
        let parcel = self.parcel(newest, question.held)?;
        (newest >= question.version).then(|| parcel.part(0)).flatten()
    }

    /// The parcel of a version for an entry that has `base`. It stays while it is asked for, also once
    /// the plan is no longer among the newest: an entry on a slow link could else begin anew with each
    /// change and never have one whole.
    fn parcel(&mut self, version: Version, base: Option<Version>) -> Option<&Parcel> {
        let known = |it: &Parcel| it.label().version == version && it.label().base == base;
        let parcel = match self.parcels.iter().position(known) {
            Some(place) => self.parcels.remove(place)?,
            None => self.pack(version, base)?,
        };
        if self.parcels.len() >= PARCELS {
            self.parcels.pop_front();
        }
        self.parcels.push_back(parcel);
        self.parcels.back()
    }

    fn pack(&self, version: Version, base: Option<Version>) -> Option<Parcel> {
        let plan = self.recent.iter().find(|it| it.version == version)?;
        let base = self.recent.iter().find(|it| Some(it.version) == base);
        Some(Parcel::pack(plan, base.map(Arc::as_ref)))
    }
}
