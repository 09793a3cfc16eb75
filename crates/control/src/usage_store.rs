//! The stage usage that entries reported to this member, in buckets of one minute.
//!
//! It is stored in the member's own data folder rather than in the log: each member keeps what was
//! reported to it, and a report asks all members. `docs/notes/members.md` explains which data can
//! be lost, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};

use types::{CustomerName, Micros, PoolName, StageName, Tokens, UnixMillis};
use wire::session::StageUse;

use crate::protocol::{TimeSpan, UsageRow};
use crate::usage_files::{HourFile, UsageFiles};

/// The length of one bucket, in milliseconds.
const BUCKET_MS: u64 = 60_000;

/// The time span of one file, in milliseconds.
const HOUR_MS: u64 = 60 * BUCKET_MS;

/// The maximum number of rows kept; beyond it the oldest buckets are dropped.
const MAX_STORED_ROWS: usize = 200_000;

type UsageKey = (CustomerName, StageName, PoolName);

/// The totals of one customer's stage in one pool.
#[derive(Clone, Copy, Debug, Default)]
struct UsageTotals {
    calls: u64,
    busy: u64,
    tokens: u64,
    wasted: u64,
}

/// The stage usage of this member's entries.
pub(crate) struct UsageStore {
    inner: Mutex<BucketTable>,
    /// The lock also prevents two concurrent calls of `save`.
    files: Mutex<UsageFiles>,
}

#[derive(Default)]
struct BucketTable {
    buckets: BTreeMap<u64, BTreeMap<UsageKey, UsageTotals>>,
    rows: usize,
    /// The starts of the hours whose files must be rewritten.
    unsaved_hours: BTreeSet<u64>,
}

impl UsageStore {
    /// Loads the usage stored in `folder`.
    pub(crate) fn open(folder: PathBuf) -> Self {
        let files = UsageFiles::open(folder);
        let mut inner = BucketTable::default();
        for (start, rows) in files.read().into_iter().flat_map(|it| it.buckets) {
            for row in rows {
                let (key, totals) = split_row(row);
                inner.totals(start, key).add(totals);
            }
        }
        inner.trim();
        Self { inner: Mutex::new(inner), files: Mutex::new(files) }
    }

    /// Writes the usage that was added since the last call. Blocks on the disk.
    pub(crate) fn save(&self) {
        let files = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        let hours = self.lock().take_unsaved();
        for hour in hours {
            if let Err(e) = files.write(&hour) {
                log::warn!("stage usage could not be written and will be retried: {e}");
                self.lock().unsaved_hours.insert(hour.start);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BucketTable> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the usage that an entry reported up to `at`.
    pub(crate) fn add(&self, at: UnixMillis, stages: &[StageUse]) {
        let mut inner = self.lock();
        let start = at.0 / BUCKET_MS * BUCKET_MS;
        for used in stages {
            let key = (used.customer.clone(), used.stage.clone(), used.pool.clone());
            inner.totals(start, key).add(UsageTotals {
                calls: used.calls.into(),
                busy: used.busy.0,
                tokens: used.tokens.0,
                wasted: used.wasted.0,
            });
            inner.unsaved_hours.insert(start / HOUR_MS * HOUR_MS);
        }
        inner.trim();
    }

    /// Returns the totals of the buckets that lie at least partly in the span.
    pub(crate) fn rows(&self, span: TimeSpan) -> Vec<UsageRow> {
        let inner = self.lock();
        let from = span.from.0.saturating_sub(BUCKET_MS - 1);
        let mut rows = UsageRows::default();
        for bucket in inner.buckets.range(from..span.to.0.max(from)).map(|it| it.1) {
            for (key, totals) in bucket {
                rows.add(key.clone(), *totals);
            }
        }
        rows.into_rows()
    }
}

impl BucketTable {
    fn totals(&mut self, start: u64, key: UsageKey) -> &mut UsageTotals {
        let rows = &mut self.rows;
        let bucket = self.buckets.entry(start).or_default();
        bucket.entry(key).or_insert_with(|| {
            *rows += 1;
            UsageTotals::default()
        })
    }

    fn take_unsaved(&mut self) -> Vec<HourFile> {
        let unsaved_hours = std::mem::take(&mut self.unsaved_hours);
        let hour = |start: u64| {
            let buckets = self.buckets.range(start..start + HOUR_MS);
            let buckets = buckets.map(|(at, rows)| (*at, to_usage_rows(rows.clone()))).collect();
            HourFile { start, buckets }
        };
        unsaved_hours.into_iter().map(hour).collect()
    }

    fn trim(&mut self) {
        while self.rows > MAX_STORED_ROWS && self.buckets.len() > 1 {
            if let Some((start, bucket)) = self.buckets.pop_first() {
                self.rows -= bucket.len();
                self.unsaved_hours.insert(start / HOUR_MS * HOUR_MS);
                log::warn!(start;
                    "dropped the stage usage of the oldest minute: too many rows are stored");
            }
        }
    }
}

/// Adds up the rows of several members.
#[derive(Default)]
pub(crate) struct UsageRows(BTreeMap<UsageKey, UsageTotals>);

impl UsageRows {
    fn add(&mut self, key: UsageKey, totals: UsageTotals) {
        self.0.entry(key).or_default().add(totals);
    }

    /// Adds the rows of one member.
    pub(crate) fn extend(&mut self, rows: Vec<UsageRow>) {
        for row in rows {
            let (key, totals) = split_row(row);
            self.add(key, totals);
        }
    }

    /// Returns the totals as rows.
    pub(crate) fn into_rows(self) -> Vec<UsageRow> {
        to_usage_rows(self.0)
    }
}

impl UsageTotals {
    fn add(&mut self, more: UsageTotals) {
        self.calls += more.calls;
        self.busy += more.busy;
        self.tokens += more.tokens;
        self.wasted += more.wasted;
    }
}

fn split_row(row: UsageRow) -> (UsageKey, UsageTotals) {
    let totals = UsageTotals {
        calls: row.calls,
        busy: row.busy.0,
        tokens: row.tokens.0,
        wasted: row.wasted.0,
    };
    ((row.customer, row.stage, row.pool), totals)
}

fn to_usage_rows(rows: BTreeMap<UsageKey, UsageTotals>) -> Vec<UsageRow> {
    let row = |((customer, stage, pool), totals): (UsageKey, UsageTotals)| UsageRow {
        customer,
        stage,
        pool,
        calls: totals.calls,
        busy: Micros(totals.busy),
        tokens: Tokens(totals.tokens),
        wasted: Micros(totals.wasted),
    };
    rows.into_iter().map(row).collect()
}
