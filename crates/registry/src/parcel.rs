//! A plan on its way to an entry: a difference from a plan that the entry has, or the whole text,
//! compressed, and sent in parts.

use serde::{Deserialize, Serialize};
use types::{StepError, StepResult, Version};

use crate::plan::Held;

/// What a part carries, in bytes: 26 ms of a link of 10 Mbit/s. A message behind a part waits no
/// longer, and a part that is asked for twice costs no more.
pub const PART: usize = 32 << 10;

/// The bytes that are found again as one piece. Of a plan of 4,250 routes (905 kB) one changed route
/// takes 571 B and 1,400 routes more take 37 kB, made in 2 and 4 ms; with 256 the first is 345 B, with
/// 2,048 it is 858 B.
const BLOCK: u32 = 1 << 10;

/// The bytes of a block's hash. Two blocks that share one are told by the checksum of the text.
const HASH: u32 = 8;

/// The largest text that is unpacked, in bytes: what a frame may hold.
const TEXT_LIMIT: usize = wire::FRAME_LIMIT;

/// Tells parcels apart: those with the same label have the same bytes, from any member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    /// The version of the plan.
    pub version: Version,
    /// The version that the difference is from; `None` where the parcel holds the whole text.
    pub base: Option<Version>,
    /// The bytes of the parcel.
    pub size: u32,
    /// The checksum of the plan's text.
    pub checksum: u32,
}

/// A part of a parcel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The parcel.
    pub label: Label,
    /// Where in the parcel the part begins, in bytes.
    pub offset: u32,
    /// Its bytes, [`PART`] at most.
    pub bytes: Vec<u8>,
}

/// A plan, packed.
#[derive(Clone, Debug)]
pub struct Parcel {
    label: Label,
    bytes: Vec<u8>,
}

impl Parcel {
    /// Packs a plan for an entry that has `base`, or none. The whole text is sent where that takes no
    /// more bytes than the difference.
    pub fn pack(plan: &Held, base: Option<&Held>) -> Self {
        let whole = lz4_flex::compress_prepend_size(&plan.text);
        let change = base.and_then(|it| difference(it, plan)).filter(|it| it.1.len() < whole.len());
        let (base, bytes) = change.map_or((None, whole), |it| (Some(it.0), it.1));
        let checksum = crc32fast::hash(&plan.text);
        let label = Label { version: plan.version, base, size: bytes.len() as u32, checksum };
        Self { label, bytes }
    }

    /// Returns what tells it apart.
    pub fn label(&self) -> Label {
        self.label
    }

    /// Returns the part that begins at `offset`; `None` beyond the end.
    pub fn part(&self, offset: u32) -> Option<Part> {
        let rest = self.bytes.get(offset as usize..).filter(|it| !it.is_empty())?;
        let bytes = rest[..rest.len().min(PART)].to_vec();
        Some(Part { label: self.label, offset, bytes })
    }
}

/// The compressed difference between two plans, with the version it is from.
fn difference(base: &Held, plan: &Held) -> Option<(Version, Vec<u8>)> {
    let options = fast_rsync::SignatureOptions { block_size: BLOCK, crypto_hash_size: HASH };
    let signature = fast_rsync::Signature::calculate(&base.text, options);
    let mut delta = Vec::new();
    if let Err(error) = fast_rsync::diff(&signature.index(), &plan.text, &mut delta) {
        log::error!(cause:% = error, version:% = plan.version, base:% = base.version;
            "no difference between two plans could be made; the whole text is sent");
        return None;
    }
    Some((base.version, lz4_flex::compress_prepend_size(&delta)))
}

/// A parcel of which some parts have arrived.
#[derive(Clone, Debug)]
pub struct Inbound {
    label: Label,
    bytes: Vec<u8>,
}

impl Inbound {
    /// Begins with the first part of a parcel; `None` where it is another one.
    pub fn begin(part: Part) -> Option<Self> {
        (part.offset == 0).then_some(Self { label: part.label, bytes: part.bytes })
    }

    /// Takes the next part; returns whether it was that.
    pub fn add(&mut self, part: &Part) -> bool {
        let next = part.label == self.label && part.offset == self.next();
        if next {
            self.bytes.extend_from_slice(&part.bytes);
        }
        next
    }

    /// Returns which parcel it is.
    pub fn label(&self) -> Label {
        self.label
    }

    /// Returns where the next part begins, in bytes.
    pub fn next(&self) -> u32 {
        self.bytes.len() as u32
    }

    /// Returns whether nothing is missing.
    pub fn is_whole(&self) -> bool {
        self.next() >= self.label.size
    }

    /// Makes the plan's text, from the text that the entry has.
    ///
    /// # Errors
    /// Where the bytes are no parcel, or belong to another text than `base`: what comes out would be a
    /// plan that nobody sent.
    pub fn unpack(&self, base: &[u8]) -> StepResult<Vec<u8>> {
        let fault = |cause: String| StepError::new("unpack plan", cause);
        let size =
            lz4_flex::block::uncompressed_size(&self.bytes).map_err(|e| fault(e.to_string()))?;
        if size.0 > TEXT_LIMIT {
            return Err(fault(format!("{} bytes are more than {TEXT_LIMIT}", size.0)));
        }
        let raw = lz4_flex::decompress_size_prepended(&self.bytes);
        let raw = raw.map_err(|e| fault(e.to_string()))?;
        let text = if self.label.base.is_none() {
            raw
        } else {
            let mut text = Vec::new();
            fast_rsync::apply_limited(base, &raw, &mut text, TEXT_LIMIT)
                .map_err(|e| fault(e.to_string()))?;
            text
        };
        if crc32fast::hash(&text) != self.label.checksum {
            return Err(fault("the checksum differs".to_owned()));
        }
        Ok(text)
    }
}
