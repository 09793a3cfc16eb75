//! Estimates which upstream has which prompt prefix in its cache.
//!
//! Engines publish cache events late and with gaps, so nothing here relies on them. An entry
//! remembers where it sent a prefix, trusts this less as it ages, and measures its worth by
//! comparing the first-token times of calls that followed it with those of other calls.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::{Micros, decay};
use crate::estimate::MovingMean;
use crate::policy::{ASSUMED_PREFIX_GAIN, PREFIX_HALF_AGE_US, STAGE_HALF_AGE_US};

/// The number of prefixes remembered. Prefixes with equal hashes replace each other.
const TABLE_SIZE: usize = 4_096;

/// The number of calls from which the measured gain is used.
const MIN_SAMPLES: u32 = 8;

/// Shifts microseconds to units of about a second, so that a timestamp fits into one atomic with
/// the rest.
const TIME_SHIFT: u32 = 20;

/// The upstream that a prefix was last sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixHolder {
    /// The hash of the upstream's name.
    pub(crate) name_hash: u32,
    /// The probability that the upstream still has the prefix in its cache, 0 to 1.
    pub(crate) probability: f64,
}

/// The prefixes that were sent to the upstreams of a pool.
#[derive(Debug)]
pub(crate) struct PrefixTable {
    cells: Box<[AtomicU64]>,
    all: MovingMean,
    warm: MovingMean,
    cold: MovingMean,
}

impl PrefixTable {
    /// Creates the table. If it is not `enabled`, it takes no space and stays empty.
    pub(crate) fn new(enabled: bool) -> Self {
        let cells = if enabled { TABLE_SIZE } else { 0 };
        let cells = (0..cells).map(|_| AtomicU64::new(0)).collect();
        Self {
            cells,
            all: MovingMean::default(),
            warm: MovingMean::default(),
            cold: MovingMean::default(),
        }
    }

    /// Returns the upstream that the prefix was last sent to.
    pub(crate) fn lookup(&self, prefix: u64, now: Micros) -> Option<PrefixHolder> {
        let word = self.cell(prefix)?.load(Ordering::Relaxed);
        if word == 0 || (word >> 48) as u16 != fingerprint(prefix) {
            return None;
        }
        let age = u64::from(timestamp(now).wrapping_sub((word >> 32) as u16)) << TIME_SHIFT;
        Some(PrefixHolder { name_hash: word as u32, probability: decay(age, PREFIX_HALF_AGE_US) })
    }

    /// Records the upstream that the prefix was sent to.
    pub(crate) fn record(&self, prefix: u64, name_hash: u32, now: Micros) {
        if let Some(cell) = self.cell(prefix) {
            let word = u64::from(fingerprint(prefix)) << 48 | u64::from(timestamp(now)) << 32;
            cell.store(word | u64::from(name_hash), Ordering::Relaxed);
        }
    }

    /// Records the first-token time of a call. `warm` tells whether it went to the upstream that
    /// [`lookup`](Self::lookup) returned.
    pub(crate) fn record_first_token(&self, warm: bool, first: Micros, now: Micros) {
        let first = first as f64;
        self.all.record(first, first, now);
        let mean = if warm { &self.warm } else { &self.cold };
        mean.record(first, self.all.latest(), now);
    }

    /// Returns how much earlier the first token comes if the prefix is cached, in microseconds.
    /// Both kinds of call start from the mean of all calls, so that few or old samples of one kind
    /// do not look like a gain.
    pub(crate) fn gain(&self, now: Micros) -> f64 {
        let all = self.all.latest();
        if self.warm.count() < MIN_SAMPLES {
            return all * ASSUMED_PREFIX_GAIN;
        }
        (self.cold.get(all, STAGE_HALF_AGE_US, now) - self.warm.get(all, STAGE_HALF_AGE_US, now))
            .max(0.0)
    }

    fn cell(&self, prefix: u64) -> Option<&AtomicU64> {
        let last = self.cells.len().checked_sub(1)?;
        // The hash is mixed again and its highest bits are taken, because these depend on all bits.
        let mixed = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        Some(&self.cells[mixed as usize & last])
    }
}

fn fingerprint(prefix: u64) -> u16 {
    (prefix >> 48) as u16
}

fn timestamp(now: Micros) -> u16 {
    (now >> TIME_SHIFT) as u16
}

/// Returns the index, below `count`, of the upstream that every entry chooses for a prefix which it
/// does not remember (jump consistent hash). Entries that share no memory thus still build one
/// cache, and few prefixes move when an upstream is added at the end.
pub(crate) fn home_index(prefix: u64, count: usize) -> usize {
    let mut key = prefix;
    let (mut index, mut next) = (0_i64, 0_i64);
    while next < count as i64 {
        index = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let jump = (1_u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((index + 1) as f64 * jump) as i64;
    }
    index as usize
}
