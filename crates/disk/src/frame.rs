//! Checksummed frames. Everything in the data folder is stored in frames.
//!
//! | bytes | field |
//! |---|---|
//! | 0..4 | magic |
//! | 4..12 | generation of the file, little endian |
//! | 12..20 | number of the frame in the file, from 0 |
//! | 20..28 | length of the payload in bytes |
//! | 28..32 | CRC-32 of the payload |
//! | 32..36 | CRC-32 of the bytes before |
//!
//! The header has a checksum of its own, so that a damaged length is never used.

use std::ops::Range;

/// The length of a frame's header in bytes.
pub const HEADER_BYTES: usize = 36;

const MAGIC: [u8; 4] = *b"mpF1";
const SECTOR_BYTES: usize = 512;

/// The id of a frame: the generation of the file and the number of the frame in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameId {
    /// The generation of the file.
    pub generation: u64,
    /// The number of the frame, from 0.
    pub number: u64,
}

/// A header whose checksum matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Header {
    id: FrameId,
    length: u64,
    payload_crc: u32,
}

/// The result of reading a frame at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameRead {
    /// The data ends at the offset.
    End,
    /// A complete frame. Holds the range of its payload.
    Frame(Range<usize>),
    /// A write that did not reach the disk completely.
    Torn,
    /// Bytes that changed after they were written. Holds the reason.
    Damaged(&'static str),
}

/// Encodes a frame.
pub fn encode(id: FrameId, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&id.generation.to_le_bytes());
    frame.extend_from_slice(&id.number.to_le_bytes());
    frame.extend_from_slice(&(payload.len() as u64).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_crc = crc32fast::hash(&frame);
    frame.extend_from_slice(&header_crc.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

fn read_u64(data: &[u8], at: usize) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&data[at..at + 8]);
    u64::from_le_bytes(bytes)
}

fn read_u32(data: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&data[at..at + 4]);
    u32::from_le_bytes(bytes)
}

fn read_header(data: &[u8], at: usize) -> Option<Header> {
    let header = data.get(at..at.checked_add(HEADER_BYTES)?)?;
    if header[..4] != MAGIC || read_u32(header, 32) != crc32fast::hash(&header[..32]) {
        return None;
    }
    let id = FrameId { generation: read_u64(header, 4), number: read_u64(header, 12) };
    Some(Header { id, length: read_u64(header, 20), payload_crc: read_u32(header, 28) })
}

/// Reads the frame that is expected at `at`, and tells a torn write from damage.
///
/// A batch that was never synced and a synced one whose bytes were damaged both fail their
/// checksum, but the first may be dropped and the second must not be. Two facts tell them apart.
/// The next batch is written only once the previous one is synced, so a later frame proves damage.
/// And an unsynced write lacks whole sectors (the file is short, or they read as zeros), which a
/// flipped bit does not cause.
pub fn read(data: &[u8], at: usize, id: FrameId) -> FrameRead {
    if at >= data.len() {
        return FrameRead::End;
    }
    let Some(header) = read_header(data, at) else {
        return classify_bad_header(data, at, id);
    };
    if header.id != id {
        return FrameRead::Damaged("the frame belongs to another file or position");
    }
    let start = at + HEADER_BYTES;
    let end = usize::try_from(header.length).ok().and_then(|length| start.checked_add(length));
    let Some(end) = end.filter(|end| *end <= data.len()) else {
        return torn_or_damaged(data, at, id);
    };
    if crc32fast::hash(&data[start..end]) == header.payload_crc {
        return FrameRead::Frame(start..end);
    }
    if !has_zeroed_sector(&data[..end], at) {
        return FrameRead::Damaged("the checksum does not match and no sector is missing");
    }
    torn_or_damaged(data, at, id)
}

fn classify_bad_header(data: &[u8], at: usize, id: FrameId) -> FrameRead {
    let end = at + HEADER_BYTES;
    if end <= data.len() && !has_zeroed_sector(&data[..end], at) {
        return FrameRead::Damaged("the header's checksum does not match and no sector is missing");
    }
    torn_or_damaged(data, at, id)
}

fn torn_or_damaged(data: &[u8], at: usize, id: FrameId) -> FrameRead {
    let later = |at: usize| {
        read_header(data, at).is_some_and(|header| {
            header.id.generation == id.generation && header.id.number > id.number
        })
    };
    if (at + 1..data.len().saturating_sub(HEADER_BYTES - 1)).any(later) {
        return FrameRead::Damaged("a damaged frame precedes a valid one");
    }
    FrameRead::Torn
}

/// Returns whether any sector of `data[from..]` is all zeros.
fn has_zeroed_sector(data: &[u8], from: usize) -> bool {
    let mut at = from;
    while at < data.len() {
        let end = data.len().min((at / SECTOR_BYTES + 1) * SECTOR_BYTES);
        if data[at..end].iter().all(|byte| *byte == 0) {
            return true;
        }
        at = end;
    }
    false
}
