//! The lists that a leader sends to entries, encoded once for all of them.

use std::sync::Arc;

use types::{StepError, StepResult};
use wire::{Encoded, Sender};

use crate::difference::{Listed, NumberedList};
use crate::message::{
    DIFFERENCES_LEVEL, EntryInfo, LoadReport, Stamp, ToEntry, Upstream, UpstreamList,
};

/// A list, encoded whole and as the difference from the previous one.
#[derive(Clone, Debug)]
pub(crate) struct Published<T> {
    pub(crate) numbered: Arc<NumberedList<T>>,
    whole: Option<Encoded<ToEntry>>,
    difference: Option<(Stamp, Encoded<ToEntry>)>,
}

impl<T> Default for Published<T> {
    fn default() -> Self {
        Self { numbered: Arc::default(), whole: None, difference: None }
    }
}

impl<T: Listed> Published<T> {
    /// Replaces the list.
    ///
    /// # Errors
    /// Fails if the list is too large for a message; the previous one stays.
    pub(crate) fn publish(&mut self, next: NumberedList<T>) -> StepResult<()>
    where
        NumberedList<T>: ListMessages,
    {
        let encode = |it: &ToEntry| {
            Encoded::new(it).map_err(|e| StepError::new("encode list for entries", e))
        };
        let whole = encode(&next.whole_message())?;
        let difference = encode(&self.numbered.difference_message(&next))?;
        self.difference = Some((self.numbered.stamp, difference));
        self.whole = Some(whole);
        self.numbered = Arc::new(next);
        Ok(())
    }

    /// Returns the message that brings an entry from the list `sent` up to date: the difference if the
    /// entry supports it and has the previous list, else the whole list.
    fn update(&self, sent: Stamp, level: u8) -> Option<&Encoded<ToEntry>> {
        let known =
            self.difference.as_ref().filter(|it| it.0 == sent && level >= DIFFERENCES_LEVEL);
        known.map(|it| &it.1).or(self.whole.as_ref())
    }

    /// Sends the list to an entry, if the last one that it was sent is older.
    pub(crate) async fn send_newer(
        &self,
        sender: &Sender<ToEntry>,
        sent: &mut Stamp,
    ) -> StepResult<()> {
        if *sent >= self.numbered.stamp {
            return Ok(());
        }
        let update = self.update(*sent, sender.level());
        *sent = self.numbered.stamp;
        match update {
            Some(update) => sender.send_encoded(update).await,
            None => Ok(()),
        }
    }
}

/// Makes the messages that carry a list.
pub(crate) trait ListMessages: Sized {
    /// Returns the message with the whole list.
    fn whole_message(&self) -> ToEntry;

    /// Returns the message with the difference from this list to `next`.
    fn difference_message(&self, next: &Self) -> ToEntry;
}

impl ListMessages for NumberedList<EntryInfo> {
    fn whole_message(&self) -> ToEntry {
        ToEntry::Entries(self.stamp, self.list.clone())
    }

    fn difference_message(&self, next: &Self) -> ToEntry {
        ToEntry::EntriesChanged(self.difference(next))
    }
}

impl ListMessages for NumberedList<Upstream> {
    fn whole_message(&self) -> ToEntry {
        ToEntry::Upstreams(UpstreamList { stamp: self.stamp, upstreams: self.list.clone() })
    }

    fn difference_message(&self, next: &Self) -> ToEntry {
        ToEntry::UpstreamsChanged(self.difference(next))
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
