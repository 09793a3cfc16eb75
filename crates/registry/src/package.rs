//! Packs plans for the transfer to entries: as the difference from a plan that the entry has, or as
//! the whole text; compressed, and split into parts.

use serde::{Deserialize, Serialize};
use types::{StepError, StepResult, Version};

use crate::plan::StoredPlan;

/// The maximum size of a part, in bytes. It takes 26 ms on a link of 10 Mbit/s; that bounds the wait
/// of a message behind a part, and the cost of a part that is requested twice.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// The block size of differences, in bytes. For a plan of 4,250 routes (905 kB) the difference is 571 B
/// for one changed route and 37 kB for 1,400 new ones, and takes 2 and 4 ms to make. One changed route
/// takes 345 B with blocks of 256 B, and 858 B with blocks of 2,048 B.
const BLOCK_BYTES: u32 = 1 << 10;

/// The size of a block's hash, in bytes. The checksum of the whole text detects hash collisions.
const HASH_BYTES: u32 = 8;

/// The maximum size of an unpacked text, in bytes: the size limit of a frame.
const MAX_TEXT_BYTES: usize = wire::MAX_FRAME_BYTES;

/// Identifies a package: packages with the same id have the same bytes on every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackageId {
    /// The version of the plan.
    pub version: Version,
    /// The version that the difference is from; `None` if the package holds the whole text.
    pub base: Option<Version>,
    /// The size of the package, in bytes.
    pub size: u32,
    /// The checksum of the plan's text.
    pub checksum: u32,
}

/// A part of a package.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The package that it belongs to.
    pub id: PackageId,
    /// The offset of the part in the package, in bytes.
    pub offset: u32,
    /// Its bytes, [`MAX_PART_BYTES`] at most.
    pub bytes: Vec<u8>,
}

/// A packed plan.
#[derive(Clone, Debug)]
pub struct Package {
    id: PackageId,
    bytes: Vec<u8>,
}

impl Package {
    /// Packs a plan for an entry that has `base`, or no plan. The package holds the whole text if that
    /// takes no more bytes than the difference.
    pub fn pack(plan: &StoredPlan, base: Option<&StoredPlan>) -> Self {
        let whole = lz4_flex::compress_prepend_size(&plan.text);
        let delta = base.and_then(|it| difference(it, plan)).filter(|it| it.1.len() < whole.len());
        let (base, bytes) = delta.map_or((None, whole), |it| (Some(it.0), it.1));
        let checksum = crc32fast::hash(&plan.text);
        let id = PackageId { version: plan.version, base, size: bytes.len() as u32, checksum };
        Self { id, bytes }
    }

    /// Returns the id of the package.
    pub fn id(&self) -> PackageId {
        self.id
    }

    /// Returns the part at `offset`, or `None` at or beyond the end.
    pub fn part(&self, offset: u32) -> Option<Part> {
        let rest = self.bytes.get(offset as usize..).filter(|it| !it.is_empty())?;
        let bytes = rest[..rest.len().min(MAX_PART_BYTES)].to_vec();
        Some(Part { id: self.id, offset, bytes })
    }
}

/// Returns the compressed difference between two plans with the version of `base`, or `None` if it
/// can't be computed.
fn difference(base: &StoredPlan, plan: &StoredPlan) -> Option<(Version, Vec<u8>)> {
    let options =
        fast_rsync::SignatureOptions { block_size: BLOCK_BYTES, crypto_hash_size: HASH_BYTES };
    let signature = fast_rsync::Signature::calculate(&base.text, options);
    let mut delta = Vec::new();
    if let Err(error) = fast_rsync::diff(&signature.index(), &plan.text, &mut delta) {
        log::error!(cause:% = error, version:% = plan.version, base:% = base.version;
            "the difference between two plans can't be computed; the whole text is sent");
        return None;
    }
    Some((base.version, lz4_flex::compress_prepend_size(&delta)))
}

/// A package of which some parts have arrived.
#[derive(Clone, Debug)]
pub struct PartialPackage {
    id: PackageId,
    bytes: Vec<u8>,
}

impl PartialPackage {
    /// Starts a package with its first part; returns `None` for any other part.
    pub fn begin(part: Part) -> Option<Self> {
        (part.offset == 0).then_some(Self { id: part.id, bytes: part.bytes })
    }

    /// Appends the next part; returns `false` and changes nothing if `part` is another one.
    pub fn add(&mut self, part: &Part) -> bool {
        let next_offset = part.id == self.id && part.offset == self.next_offset();
        if next_offset {
            self.bytes.extend_from_slice(&part.bytes);
        }
        next_offset
    }

    /// Returns the id of the package.
    pub fn id(&self) -> PackageId {
        self.id
    }

    /// Returns the offset of the next part, in bytes.
    pub fn next_offset(&self) -> u32 {
        self.bytes.len() as u32
    }

    /// Returns whether all parts have arrived.
    pub fn is_complete(&self) -> bool {
        self.next_offset() >= self.id.size
    }

    /// Returns the plan's text, made from `base`, the text that the entry has.
    ///
    /// # Errors
    /// Fails if the bytes can't be decoded, if the text is too large, or if its checksum is wrong, as
    /// when the difference is from another text than `base`.
    pub fn unpack(&self, base: &[u8]) -> StepResult<Vec<u8>> {
        let fault = |cause: String| StepError::new("unpack plan", cause);
        let size =
            lz4_flex::block::uncompressed_size(&self.bytes).map_err(|e| fault(e.to_string()))?;
        if size.0 > MAX_TEXT_BYTES {
            return Err(fault(format!("{} bytes exceed the limit of {MAX_TEXT_BYTES}", size.0)));
        }
        let raw = lz4_flex::decompress_size_prepended(&self.bytes);
        let raw = raw.map_err(|e| fault(e.to_string()))?;
        let text = if self.id.base.is_none() {
            raw
        } else {
            let mut text = Vec::new();
            fast_rsync::apply_limited(base, &raw, &mut text, MAX_TEXT_BYTES)
                .map_err(|e| fault(e.to_string()))?;
            text
        };
        if crc32fast::hash(&text) != self.id.checksum {
            return Err(fault("the checksum differs".to_owned()));
        }
        Ok(text)
    }
}
