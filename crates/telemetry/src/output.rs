//! Logs as JSON lines on standard output, written without ever blocking the program.
//!
//! If the reader of the output stalls, the pipe fills up and a direct write would block the request
//! that logs. Lines therefore go through a bounded queue to a writer thread. Lines beyond the
//! queue's capacity or the rate limit are dropped and counted, and the writer logs the count.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::log_line::format_line;

/// The maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 512;

/// The maximum number of lines per [`RATE_WINDOW`]. A busy entry logs some dozens of decisions per
/// second. Above this rate, lines repeat each other and cost more CPU time than the requests that
/// they describe.
const MAX_WINDOW_LINES: u32 = 120;

/// The window in which lines are counted against [`MAX_WINDOW_LINES`].
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Starts logging to standard output at `level`: `error`, `warn`, `info`, `debug` or `trace`; any
/// other text means `info`.
///
/// A second call changes nothing. If the writer thread can't be started, the log goes to
/// standard error instead.
pub fn init_stdout_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = Arc::clone(&dropped);
    let writer = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue, &writer_dropped, &mut io::stdout()));
    if writer.is_err() {
        // Without a writer thread, all lines would be lost.
        crate::init_stderr_log(level.as_str());
        return;
    }
    let mut builder = env_logger::Builder::new();
    let sender = LineSender { lines, dropped: Arc::clone(&dropped) };
    builder.filter_level(level).target(env_logger::Target::Pipe(Box::new(sender))).format(
        |buffer, record| {
            let time = buffer.timestamp_millis().to_string();
            writeln!(buffer, "{}", format_line(&time, record))
        },
    );
    let limiters = [RateLimiter::new(), RateLimiter::new()].map(Mutex::new);
    let logger = LimitedLogger { inner: builder.build(), limiters, dropped };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
}

/// Limits the lines per [`RATE_WINDOW`] to [`MAX_WINDOW_LINES`].
struct RateLimiter {
    window_start: Instant,
    lines: u32,
}

impl RateLimiter {
    fn new() -> Self {
        Self { window_start: Instant::now(), lines: 0 }
    }

    /// Counts a line and returns whether it may be written.
    fn admit(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= RATE_WINDOW {
            *self = Self { window_start: now, lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_WINDOW_LINES
    }
}

/// Drops the lines beyond the rate limit before they are formatted.
struct LimitedLogger {
    inner: env_logger::Logger,
    /// The limits of warnings and errors, and of the other lines: many decisions must not displace what
    /// explains them.
    limiters: [Mutex<RateLimiter>; 2],
    dropped: Arc<AtomicU64>,
}

impl Log for LimitedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        let limiter = &self.limiters[usize::from(record.level() > Level::Warn)];
        let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = limiter.admit(Instant::now());
        drop(limiter);
        if admitted {
            self.inner.log(record);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Queues log lines for the writer thread and drops those that don't fit; it never blocks.
struct LineSender {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineSender {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines, and after each one the number of lines dropped since, until all senders are
/// gone.
fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, output: &mut impl Write) {
    loop {
        match lines.recv_timeout(RATE_WINDOW * 5) {
            // A failed write is ignored: there is no other place to report it.
            Ok(line) => drop(output.write_all(&line).and_then(|()| output.flush())),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":{count}}}\n"
            );
            drop(output.write_all(line.as_bytes()));
        }
    }
}
