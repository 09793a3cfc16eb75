//! Measures the duration of a synced write, a snapshot and a start in the folder that the argument
//! names.

use std::io::{self, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use disk::{DiskError, Record, Store};
use types::LogIndex;

/// The number of timed writes.
const WRITES: u64 = 2_000;

/// The size of one record in bytes: a claim in its log entry.
const RECORD_BYTES: usize = 110;

fn timed(work: impl FnOnce() -> Result<(), DiskError>) -> io::Result<Duration> {
    let started = Instant::now();
    work().map_err(io::Error::other)?;
    Ok(started.elapsed())
}

fn batch(first: u64, count: u64) -> Vec<Record> {
    let record = |index| Record { index: LogIndex(index), data: vec![index as u8; RECORD_BYTES] };
    (first..first + count).map(record).collect()
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        return writeln!(out, "name an empty folder on the disk to measure");
    };
    let (mut store, _) = Store::open(&folder).map_err(io::Error::other)?;
    store.set_identity(b"write cost").map_err(io::Error::other)?;
    let mut next = 1;
    for count in [1, 32] {
        let mut times = Vec::new();
        for _ in 0..WRITES {
            let records = batch(next, count);
            next += count;
            times.push(timed(|| store.write(None, &records))?);
        }
        times.sort_unstable();
        let at = |share: u64| times[(WRITES * share / 100) as usize];
        let (median, high) = (at(50), at(99));
        writeln!(out, "batch of {count}: median {median:?}, 99th percentile {high:?}")?;
    }
    writeln!(out, "log {}", store.log_size())?;
    drop(store);
    let started = Instant::now();
    let (mut store, found) = Store::open(&folder).map_err(io::Error::other)?;
    writeln!(out, "start with {} records: {:?}", found.records.len(), started.elapsed())?;
    let state = vec![1; 20 << 20];
    let took = timed(|| store.snapshot(LogIndex(next - 1), &state, LogIndex(next - 5_000)))?;
    writeln!(out, "snapshot of {} B, keeping 5,000 records: {took:?}", state.len())?;
    writeln!(out, "log {}", store.log_size())
}
