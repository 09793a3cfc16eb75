//! The lists that a leader sends to entries, encoded once for all of them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use types::{StepError, StepResult};
use wire::{Encoded, Sender};

use crate::capacity::EntryWithCapacity;
use crate::content::{Held, Offer, Patch, Summary, bucket_count};
use crate::difference::{Difference, Listed, NumberedList};
use crate::message::{
    DIFFERENCES_LEVEL, EntryInfo, LoadReport, OFFERS_LEVEL, Stamp, ToEntry, Upstream, UpstreamList,
    VERSIONS_LEVEL, VersionList,
};
use crate::outcomes::OutcomeTotals;

#[cfg(test)]
mod tests;

/// The size from which an entry is offered a list before it is sent, in bytes. The exchange for a
/// smaller list takes as long as the list.
const MIN_OFFERED_BYTES: usize = 2 << 10;

/// The number of earlier lists from which entries are sent differences. An entry on a busy link is a
/// few lists behind; sent the whole list, it would be further behind when that has arrived.
const MAX_EARLIER_LISTS: usize = 8;

/// A list, encoded whole and as differences from earlier ones.
#[derive(Clone, Debug)]
pub(crate) struct Published<T> {
    pub(crate) numbered: Arc<NumberedList<T>>,
    whole: Option<EncodedList>,
    /// The lists before this one, the newest last.
    earlier: VecDeque<Arc<NumberedList<T>>>,
    /// The differences from earlier lists, each made for the first entry that needs it.
    differences: Arc<Mutex<BTreeMap<Stamp, EncodedList>>>,
    /// Made for the first entry that is offered the list.
    summary: Arc<OnceLock<Summary>>,
}

impl<T> Default for Published<T> {
    fn default() -> Self {
        Self {
            numbered: Arc::default(),
            whole: None,
            earlier: VecDeque::new(),
            differences: Arc::default(),
            summary: Arc::default(),
        }
    }
}

/// What one entry was sent of a list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentList {
    /// The number of the list that it has from this member.
    pub(crate) stamp: Stamp,
    /// The number of the list that it was offered and has not answered yet.
    offered: Option<Stamp>,
    /// Whether it has told that it holds no list of use, so that it needs a whole one.
    needs_whole: bool,
}

impl<T: Listed> Published<T>
where
    NumberedList<T>: ListMessages<Element = T>,
{
    /// Replaces the list.
    ///
    /// # Errors
    /// Fails if the list is too large for a message; the previous one stays.
    pub(crate) fn publish(&mut self, next: NumberedList<T>) -> StepResult<()> {
        self.whole = Some(EncodedList::new(&next.list, &next.whole_message())?);
        if self.earlier.len() == MAX_EARLIER_LISTS {
            self.earlier.pop_front();
        }
        self.earlier.push_back(std::mem::replace(&mut self.numbered, Arc::new(next)));
        self.differences = Arc::default();
        self.summary = Arc::default();
        Ok(())
    }

    /// Returns the difference from the list numbered `base`; `None` if it is not kept any more.
    ///
    /// # Errors
    /// Fails if the difference is too large for a message.
    fn difference(&self, base: Stamp) -> StepResult<Option<EncodedList>> {
        let Some(earlier) = self.earlier.iter().find(|it| it.stamp == base) else {
            return Ok(None);
        };
        let mut differences = self.differences.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = differences.get(&base) {
            return Ok(Some(known.clone()));
        }
        let difference = earlier.difference(&self.numbered);
        let updated = difference.updated.clone();
        let encoded = EncodedList::new(&updated, &NumberedList::difference_message(difference))?;
        differences.insert(base, encoded.clone());
        Ok(Some(encoded))
    }

    fn summary(&self) -> &Summary {
        let list = &self.numbered.list;
        self.summary.get_or_init(|| Summary::of(list, bucket_count(list.len())))
    }

    /// Sends the list to an entry, if the last one that it was sent is older: as the difference if the
    /// entry supports it and has the previous list, else as an offer if it may hold most of it, else
    /// whole.
    pub(crate) async fn send_newer(
        &self,
        sender: &Sender<ToEntry>,
        sent: &mut SentList,
    ) -> StepResult<()> {
        let (newest, level) = (self.numbered.stamp, sender.level());
        // An entry that was offered a list answers before it is sent another.
        if sent.stamp >= newest || sent.offered.is_some() {
            return Ok(());
        }
        let Some(whole) = &self.whole else { return Ok(()) };
        let offers = level >= OFFERS_LEVEL && whole.list.len() >= MIN_OFFERED_BYTES;
        // The difference from no list is as large as the whole list.
        let is_small = !offers || sent.stamp > Stamp::default();
        let takes_difference = level >= DIFFERENCES_LEVEL && is_small && !sent.needs_whole;
        let difference = if takes_difference { self.difference(sent.stamp)? } else { None };
        match difference {
            Some(difference) => {
                sent.stamp = newest;
                difference.send(sender).await
            }
            _ if offers && !sent.needs_whole => {
                sent.offered = Some(newest);
                sender.send(&NumberedList::offer_message(self.summary().offer(newest))).await
            }
            _ => {
                *sent = SentList { stamp: newest, ..SentList::default() };
                whole.send(sender).await
            }
        }
    }

    /// Takes an entry's answer to the offer of the list numbered `offered`, and sends it what it lacks.
    /// An entry that can't use a patch answers again, with [`Held::Nothing`]. Returns whether a list
    /// has to be sent.
    pub(crate) async fn answer(
        &self,
        sender: &Sender<ToEntry>,
        sent: &mut SentList,
        offered: Stamp,
        held: Held,
    ) -> StepResult<bool> {
        let is_patched = sent.offered.is_none() && sent.stamp == offered;
        if held == Held::Nothing && is_patched {
            *sent = SentList { needs_whole: true, ..SentList::default() };
            return Ok(true);
        }
        if sent.offered != Some(offered) {
            return Ok(false);
        }
        sent.offered = None;
        match held {
            Held::Same => sent.stamp = offered,
            Held::Nothing => sent.needs_whole = true,
            Held::Buckets(held) => {
                // Without a patch, the number of buckets has changed: the newer list is offered.
                if let Some(patch) = self.summary().patch(&self.numbered, &held) {
                    sent.stamp = patch.offer.stamp;
                    let elements = patch.elements.clone();
                    let message = NumberedList::patch_message(patch);
                    EncodedList::new(&elements, &message)?.send(sender).await?;
                }
            }
        }
        Ok(true)
    }
}

/// A message with elements of a list, and the message that precedes it.
#[derive(Clone, Debug)]
struct EncodedList {
    /// Sent first to an entry that can read it.
    versions: Option<Encoded<ToEntry>>,
    list: Encoded<ToEntry>,
}

impl EncodedList {
    /// Encodes the message with these elements.
    fn new<T>(elements: &[T], message: &ToEntry) -> StepResult<Self>
    where
        NumberedList<T>: ListMessages<Element = T>,
    {
        let versions = NumberedList::versions_message(elements);
        let versions = versions.map(|it| encode(&it)).transpose()?;
        Ok(Self { versions, list: encode(message)? })
    }

    async fn send(&self, sender: &Sender<ToEntry>) -> StepResult<()> {
        if let Some(versions) = self.versions.as_ref().filter(|_| sender.level() >= VERSIONS_LEVEL)
        {
            sender.send_encoded(versions).await?;
        }
        sender.send_encoded(&self.list).await
    }
}

fn encode(message: &ToEntry) -> StepResult<Encoded<ToEntry>> {
    Encoded::new(message).map_err(|e| StepError::new("encode list for entries", e))
}

/// Makes the messages that carry a list.
pub(crate) trait ListMessages: Sized {
    /// The type of the list's elements.
    type Element: Listed;

    /// Returns the message with the whole list.
    fn whole_message(&self) -> ToEntry;

    /// Returns the message with the difference from one list to another.
    fn difference_message(
        difference: Difference<Self::Element, <Self::Element as Listed>::Key>,
    ) -> ToEntry;

    /// Returns the message that precedes one with these elements, if they need one.
    fn versions_message(_elements: &[Self::Element]) -> Option<ToEntry> {
        None
    }

    /// Returns the message that offers a list.
    fn offer_message(offer: Offer) -> ToEntry;

    /// Returns the message with the buckets that differ.
    fn patch_message(patch: Patch<Self::Element>) -> ToEntry;
}

impl ListMessages for NumberedList<EntryInfo> {
    type Element = EntryInfo;

    fn whole_message(&self) -> ToEntry {
        ToEntry::Entries(self.stamp, self.list.clone())
    }

    fn difference_message(difference: Difference<EntryInfo, SocketAddr>) -> ToEntry {
        ToEntry::EntriesChanged(difference)
    }

    fn offer_message(offer: Offer) -> ToEntry {
        ToEntry::EntriesOffered(offer)
    }

    fn patch_message(patch: Patch<EntryInfo>) -> ToEntry {
        ToEntry::EntriesPatched(patch)
    }
}

impl ListMessages for NumberedList<EntryWithCapacity> {
    type Element = EntryWithCapacity;

    fn whole_message(&self) -> ToEntry {
        ToEntry::EntriesWithCapacities(self.stamp, self.list.clone())
    }

    fn difference_message(difference: Difference<EntryWithCapacity, SocketAddr>) -> ToEntry {
        ToEntry::EntriesWithCapacitiesChanged(difference)
    }

    fn offer_message(offer: Offer) -> ToEntry {
        ToEntry::EntriesWithCapacitiesOffered(offer)
    }

    fn patch_message(patch: Patch<EntryWithCapacity>) -> ToEntry {
        ToEntry::EntriesWithCapacitiesPatched(patch)
    }
}

impl ListMessages for NumberedList<Upstream> {
    type Element = Upstream;

    fn whole_message(&self) -> ToEntry {
        ToEntry::Upstreams(UpstreamList { stamp: self.stamp, upstreams: self.list.clone() })
    }

    fn difference_message(difference: Difference<Upstream, String>) -> ToEntry {
        ToEntry::UpstreamsChanged(difference)
    }

    fn versions_message(elements: &[Upstream]) -> Option<ToEntry> {
        let versions = VersionList::of(elements);
        (!versions.is_empty()).then_some(ToEntry::Versions(versions))
    }

    fn offer_message(offer: Offer) -> ToEntry {
        ToEntry::UpstreamsOffered(offer)
    }

    fn patch_message(patch: Patch<Upstream>) -> ToEntry {
        ToEntry::UpstreamsPatched(patch)
    }
}

/// The outcomes that all entries have seen, with their encoded message.
#[derive(Clone, Debug)]
pub(crate) struct EncodedOutcomes {
    pub(crate) totals: OutcomeTotals,
    pub(crate) message: Encoded<ToEntry>,
}

impl EncodedOutcomes {
    /// Encodes the outcomes.
    ///
    /// # Errors
    /// Fails if they are too many for a message.
    pub(crate) fn new(totals: OutcomeTotals) -> StepResult<Self> {
        let message = Encoded::new(&ToEntry::Outcomes(totals.clone()));
        let message = message.map_err(|e| StepError::new("encode outcomes", e))?;
        Ok(Self { totals, message })
    }
}

/// The sum of the loads of all entries, with its encoded message.
#[derive(Clone, Debug)]
pub(crate) struct EncodedLoads {
    pub(crate) report: LoadReport,
    pub(crate) message: Encoded<ToEntry>,
}

impl EncodedLoads {
    /// Encodes a report.
    ///
    /// # Errors
    /// Fails if the report is too large for a message.
    pub(crate) fn new(report: LoadReport) -> StepResult<Self> {
        let message = Encoded::new(&ToEntry::Loads(report.clone()));
        let message = message.map_err(|e| StepError::new("encode sum of loads", e))?;
        Ok(Self { report, message })
    }
}
