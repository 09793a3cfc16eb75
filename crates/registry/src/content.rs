//! Brings a list up to date by its content, whichever leader it came from.
//!
//! A new leader numbers its lists anew, so a difference from the list of the leader before can't be
//! named by its number. If all entries got the whole list instead, a change of the leader would cost a
//! large deployment as many bytes as its start. So the leader offers a digest of its list. An entry
//! with the same content adopts the new number; one with another content names the buckets that it
//! holds, and gets only those that differ.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::difference::{Listed, NumberedList};
use crate::message::Stamp;

/// The number of elements in a bucket on average: few, so that a change costs few others.
const BUCKET_ELEMENTS: usize = 16;

/// The largest number of buckets.
const MAX_BUCKETS: usize = 1 << 12;

/// The digest of the content of a whole list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest([u8; 16]);

/// The digest of a bucket. Two that are equal by chance are found by the digest of the whole list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigest(u32);

/// A list that a leader has, without its elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The number of the list.
    pub stamp: Stamp,
    /// The digest of its content.
    pub digest: ListDigest,
    /// The number of buckets into which its elements are divided.
    pub buckets: u16,
}

/// What an entry holds when it is offered a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Held {
    /// No list.
    Nothing,
    /// The same content.
    Same,
    /// Another content: the digest of each bucket.
    Buckets(Vec<BucketDigest>),
}

/// The buckets in which an entry's list differs from the leader's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch<T> {
    /// The list that the patch leads to.
    pub offer: Offer,
    /// The numbers of the buckets that are replaced.
    pub replaced: Vec<u16>,
    /// All elements of these buckets.
    pub elements: Vec<T>,
}

/// The digests of a list and of its buckets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The digest of the whole list.
    pub digest: ListDigest,
    /// The digest of each bucket.
    pub buckets: Vec<BucketDigest>,
}

/// Returns the number of buckets for a list of `elements`.
pub fn bucket_count(elements: usize) -> u16 {
    (elements / BUCKET_ELEMENTS).next_power_of_two().min(MAX_BUCKETS) as u16
}

/// Returns the bucket of an element among `count`.
fn bucket_of<T: Listed>(element: &T, count: u16) -> u16 {
    (crc32fast::hash(&encode(&element.key())) % u32::from(count.max(1))) as u16
}

/// Encodes a value for a digest.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Names, addresses and numbers can always be encoded; an empty text would at worst make two lists
    // seem different.
    postcard::to_stdvec(value).unwrap_or_default()
}

impl Summary {
    /// Summarizes a list that is ordered by key.
    pub fn of<T: Listed>(list: &[T], buckets: u16) -> Self {
        let mut hashes = vec![Sha256::new(); usize::from(buckets.max(1))];
        for element in list {
            let bytes = encode(element);
            let hash = &mut hashes[usize::from(bucket_of(element, buckets))];
            hash.update((bytes.len() as u64).to_le_bytes());
            hash.update(bytes);
        }
        let mut whole = Sha256::new();
        let mut digests = Vec::with_capacity(hashes.len());
        for hash in hashes {
            let digest = hash.finalize();
            whole.update(digest);
            digests.push(BucketDigest(u32::from_le_bytes([
                digest[0], digest[1], digest[2], digest[3],
            ])));
        }
        let whole = whole.finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&whole[..16]);
        Self { digest: ListDigest(digest), buckets: digests }
    }

    /// Returns the offer of the summarized list.
    pub fn offer(&self, stamp: Stamp) -> Offer {
        Offer { stamp, digest: self.digest, buckets: self.buckets.len() as u16 }
    }

    /// Returns the patch that turns a list with the buckets `held` into `list`, which this summarizes;
    /// `None` if the entry divided its list otherwise.
    pub fn patch<T: Listed>(
        &self,
        list: &NumberedList<T>,
        held: &[BucketDigest],
    ) -> Option<Patch<T>> {
        if held.len() != self.buckets.len() {
            return None;
        }
        let differing = self.buckets.iter().zip(held).enumerate().filter(|(_, it)| it.0 != it.1);
        let replaced: Vec<u16> = differing.map(|(number, _)| number as u16).collect();
        let count = self.buckets.len() as u16;
        let changed = |it: &&T| replaced.binary_search(&bucket_of(*it, count)).is_ok();
        let elements = list.list.iter().filter(changed).cloned().collect();
        Some(Patch { offer: self.offer(list.stamp), replaced, elements })
    }
}

impl Offer {
    /// Returns how an entry that holds `list` answers the offer.
    pub fn answer<T: Listed>(&self, list: &[T]) -> Held {
        if list.is_empty() {
            return Held::Nothing;
        }
        let own = Summary::of(list, self.buckets);
        if own.digest == self.digest { Held::Same } else { Held::Buckets(own.buckets) }
    }
}

impl<T: Listed> Patch<T> {
    /// Returns the leader's list, made from the list that the entry named; `None` if the result is not
    /// what the leader has.
    pub fn apply(self, held: &[T]) -> Option<NumberedList<T>> {
        let Offer { stamp, digest, buckets } = self.offer;
        let replaced: BTreeSet<u16> = self.replaced.into_iter().collect();
        let kept = held.iter().filter(|it| !replaced.contains(&bucket_of(*it, buckets))).cloned();
        let next = NumberedList::new(stamp, kept.chain(self.elements).collect());
        (Summary::of(&next.list, buckets).digest == digest).then_some(next)
    }
}
