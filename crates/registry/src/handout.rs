//! What a leader hands out to entries, encoded once for all of them.

use std::sync::Arc;

use types::{StepError, StepResult};
use wire::{Encoded, Sender};

use crate::difference::{Listed, Numbered};
use crate::message::{DIFFERENCES, EntrySeen, LoadReport, Stamp, ToEntry, Upstream, UpstreamList};

/// A list, whole and as the difference from the one before.
#[derive(Clone, Debug)]
pub(crate) struct Published<T> {
    pub(crate) numbered: Arc<Numbered<T>>,
    whole: Option<Encoded<ToEntry>>,
    change: Option<(Stamp, Encoded<ToEntry>)>,
}

impl<T> Default for Published<T> {
    fn default() -> Self {
        Self { numbered: Arc::default(), whole: None, change: None }
    }
}

impl<T: Listed> Published<T> {
    /// Publishes the next list.
    ///
    /// # Errors
    /// Where it is too large for a message; the one before stays.
    pub(crate) fn publish(&mut self, next: Numbered<T>) -> StepResult<()>
    where
        Numbered<T>: Messages,
    {
        let encode = |it: &ToEntry| {
            Encoded::new(it).map_err(|e| StepError::new("encode what is handed out", e))
        };
        let whole = encode(&next.whole())?;
        let change = encode(&self.numbered.change(&next))?;
        self.change = Some((self.numbered.stamp, change));
        self.whole = Some(whole);
        self.numbered = Arc::new(next);
        Ok(())
    }

    /// What brings who was told the list `told` up to date.
    fn news(&self, told: Stamp, level: u8) -> Option<&Encoded<ToEntry>> {
        let known = self.change.as_ref().filter(|it| it.0 == told && level >= DIFFERENCES);
        known.map(|it| &it.1).or(self.whole.as_ref())
    }

    /// Tells an entry the list, if it was told another one.
    pub(crate) async fn tell(&self, sender: &Sender<ToEntry>, told: &mut Stamp) -> StepResult<()> {
        if *told >= self.numbered.stamp {
            return Ok(());
        }
        let news = self.news(*told, sender.level());
        *told = self.numbered.stamp;
        match news {
            Some(news) => sender.send_encoded(news).await,
            None => Ok(()),
        }
    }
}

/// The messages that tell a list.
pub(crate) trait Messages: Sized {
    /// Tells the whole list.
    fn whole(&self) -> ToEntry;

    /// Tells how `next` differs from it.
    fn change(&self, next: &Self) -> ToEntry;
}

impl Messages for Numbered<EntrySeen> {
    fn whole(&self) -> ToEntry {
        ToEntry::Entries(self.stamp, self.list.clone())
    }

    fn change(&self, next: &Self) -> ToEntry {
        ToEntry::EntriesChanged(self.difference(next))
    }
}

impl Messages for Numbered<Upstream> {
    fn whole(&self) -> ToEntry {
        ToEntry::Upstreams(UpstreamList { stamp: self.stamp, upstreams: self.list.clone() })
    }

    fn change(&self, next: &Self) -> ToEntry {
        ToEntry::UpstreamsChanged(self.difference(next))
    }
}

/// What all entries together have under way.
#[derive(Clone, Debug)]
pub(crate) struct Digest {
    pub(crate) report: LoadReport,
    pub(crate) message: Encoded<ToEntry>,
}

impl Digest {
    /// Encodes a report.
    ///
    /// # Errors
    /// Where it is too large for a message.
    pub(crate) fn new(report: LoadReport) -> StepResult<Self> {
        let message = Encoded::new(&ToEntry::Loads(report.clone()));
        let message = message.map_err(|e| StepError::new("encode the loads", e))?;
        Ok(Self { report, message })
    }
}
