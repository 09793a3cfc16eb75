//! Log lines to standard output that never block the program.
//!
//! What goes wrong without it: whoever reads the output stalls, the pipe fills, and a request waits
//! for a log line. Lines go through a short queue to a thread of their own; what does not fit, and
//! what goes beyond a number of lines a second, is counted and told in one line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::LevelFilter;

use crate::log_line::format_line;

/// Lines that wait to be written.
const QUEUE: usize = 512;

/// The lines written a second at most. A busy entry decides some dozens of times a second; beyond
/// this, lines repeat each other and cost more processor time than the requests they tell of.
const LINES: u32 = 120;

/// The span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Starts logging JSON lines to standard output at `level`; a second call changes the level only.
pub fn open_output_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let (lines, waiting) = sync_channel(QUEUE);
    let left_out = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&left_out);
    let writer = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&waiting, &counted, &mut io::stdout()));
    if writer.is_err() {
        // Without its writer the log would swallow every line; the usual one is better.
        crate::open_log(level.as_str());
        return;
    }
    let pipe = Pipe { lines, left_out, gate: Mutex::new(Gate::new()) };
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).target(env_logger::Target::Pipe(Box::new(pipe))).format(
        |buffer, record| {
            let time = buffer.timestamp_millis().to_string();
            writeln!(buffer, "{}", format_line(&time, record))
        },
    );
    if builder.try_init().is_err() {
        log::set_max_level(level);
    }
}

/// How many lines may still be written in the present span.
struct Gate {
    since: Instant,
    lines: u32,
}

impl Gate {
    fn new() -> Self {
        Self { since: Instant::now(), lines: 0 }
    }

    fn pass(&mut self, now: Instant) -> bool {
        if now.duration_since(self.since) >= SPAN {
            *self = Self { since: now, lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES
    }
}

/// Where the log writes: a queue that never blocks.
struct Pipe {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
    gate: Mutex<Gate>,
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = gate.pass(Instant::now());
        drop(gate);
        if !passed || self.lines.try_send(line.to_vec()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(lines: &Receiver<Vec<u8>>, left_out: &AtomicU64, output: &mut impl Write) {
    loop {
        match lines.recv_timeout(SPAN * 5) {
            // An output that can't be written to has no other place to say so.
            Ok(line) => drop(output.write_all(&line).and_then(|()| output.flush())),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines left out\",\"lines\":{count}}}\n"
            );
            drop(output.write_all(line.as_bytes()));
        }
    }
}
