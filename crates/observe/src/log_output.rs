//! A rate-limited log that never blocks the threads that write to it.
//!
//! A line names its event kind as `event=KIND`. Each kind has its own rate limit, so that a
//! frequent kind cannot crowd out the others. Accepted lines go through a bounded queue to a
//! thread that writes them. If the output is not read, lines are dropped and counted instead of
//! blocking the caller.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log::{LevelFilter, SetLoggerError};
use rattanmast_model::hash::Map;
use simplelog::{ConfigBuilder, WriteLogger};
use smol_str::SmolStr;
use snafu::{ResultExt as _, Snafu};
use tokio::time::Instant;

/// Maximum number of lines in the queue of the writer thread.
const MAX_QUEUED_LINES: usize = 4096;

/// Sustained rate limit of one event kind.
const EVENT_KIND_LINES_PER_SEC: f64 = 100.0;

/// Capacity of the token bucket of one event kind.
const EVENT_KIND_BURST_LINES: f64 = 400.0;

/// Maximum number of event kinds with their own rate limit; any further kinds share one.
const MAX_EVENT_KINDS: usize = 256;

/// Interval at which [`Counters::drain`] checks for unwritten lines.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Counts of omitted and unwritten lines, shared with the log.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    omitted: Arc<AtomicU64>,
    unwritten: Arc<AtomicU64>,
}

impl Counters {
    /// Returns the number of lines omitted since the log started.
    pub fn omitted(&self) -> u64 {
        self.omitted.load(Ordering::Relaxed)
    }

    /// Blocks until all lines are written or `timeout` has passed; returns whether all are written.
    ///
    /// Call it before the process exits, because exiting does not wait for the writer thread.
    pub fn drain(&self, timeout: Duration) -> bool {
        let mut remaining = timeout;
        while self.unwritten.load(Ordering::Acquire) > 0 && !remaining.is_zero() {
            thread::sleep(DRAIN_POLL_INTERVAL);
            remaining = remaining.saturating_sub(DRAIN_POLL_INTERVAL);
        }
        self.unwritten.load(Ordering::Acquire) == 0
    }
}

/// Rate limiter of one event kind.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Splits the text of the log into lines, limits their rate and queues them.
#[derive(Debug)]
struct LineWriter {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
    buckets: Map<SmolStr, TokenBucket>,
    counters: Counters,
    /// The number of omitted lines that the log has already reported.
    reported_omitted: u64,
}

impl LineWriter {
    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.acquire_token(&line) {
            self.count_omitted();
            return;
        }
        let omitted = self.counters.omitted();
        if omitted > self.reported_omitted {
            let count = omitted - self.reported_omitted;
            let notice = format!("event=log_lines_omitted count={count}\n").into_bytes();
            if self.enqueue(notice) {
                self.reported_omitted = omitted;
            }
        }
        if !self.enqueue(line) {
            self.count_omitted();
        }
    }

    fn count_omitted(&self) {
        self.counters.omitted.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues a line without blocking; returns whether the queue accepted it.
    fn enqueue(&self, line: Vec<u8>) -> bool {
        // Incremented before the line is queued, so that the writer thread cannot decrement the
        // count below zero.
        self.counters.unwritten.fetch_add(1, Ordering::AcqRel);
        let enqueued = self.queue.try_send(line).is_ok();
        if !enqueued {
            self.counters.unwritten.fetch_sub(1, Ordering::AcqRel);
        }
        enqueued
    }

    fn acquire_token(&mut self, line: &[u8]) -> bool {
        let now = Instant::now();
        let kind = event_kind(line);
        let kind = match self.buckets.contains_key(kind) || self.buckets.len() < MAX_EVENT_KINDS {
            true => kind,
            false => "",
        };
        let bucket = self.buckets.entry(kind.into()).or_insert(TokenBucket {
            tokens: EVENT_KIND_BURST_LINES,
            refilled_at: now,
        });
        let refill = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64()
            * EVENT_KIND_LINES_PER_SEC;
        bucket.tokens = (bucket.tokens + refill).min(EVENT_KIND_BURST_LINES);
        bucket.refilled_at = now;
        let acquired = bucket.tokens >= 1.0;
        if acquired {
            bucket.tokens -= 1.0;
        }
        acquired
    }
}

/// Returns the value of `event=` in a line, or an empty string if there is none.
fn event_kind(line: &[u8]) -> &str {
    const EVENT_KEY: &str = "event=";
    let text = std::str::from_utf8(line).unwrap_or_default();
    let Some(start) = text.find(EVENT_KEY) else {
        return "";
    };
    let rest = &text[start + EVENT_KEY.len()..];
    let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
    &rest[..end]
}

impl Write for LineWriter {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        for piece in text.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                self.finish_line();
            }
        }
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a thread that writes to `output`; returns a non-blocking writer for it and its counters.
///
/// # Errors
///
/// Returns the error of the operating system if the thread cannot be started.
pub fn writer<W: Write + Send + 'static>(output: W) -> io::Result<(impl Write + Send, Counters)> {
    let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
    let thread = thread::Builder::new().name("log".to_owned());
    let counters = Counters::default();
    let unwritten = Arc::clone(&counters.unwritten);
    thread.spawn(move || write_queued(&lines, output, &unwritten))?;
    let writer = LineWriter {
        line: Vec::new(),
        queue,
        buckets: Map::default(),
        counters: counters.clone(),
        reported_omitted: 0,
    };
    Ok((writer, counters))
}

fn write_queued<W: Write>(lines: &Receiver<Vec<u8>>, mut output: W, unwritten: &AtomicU64) {
    while let Ok(mut text) = lines.recv() {
        let mut count = 1;
        // Writes all queued lines with one call, because each write wakes up the reader.
        lines.try_iter().take(MAX_QUEUED_LINES).for_each(|line| {
            text.extend(line);
            count += 1;
        });
        let written = output.write_all(&text).and_then(|()| output.flush());
        if written.is_err() {
            // The output is closed. Later lines are counted as omitted; those of this batch and of the
            // queue are lost uncounted.
            return;
        }
        unwritten.fetch_sub(count, Ordering::AcqRel);
    }
}

/// The result of starting the log.
pub type Result<T> = std::result::Result<T, Error>;

/// An error from starting the log.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A logger is already installed.
    #[snafu(display("a logger is already installed ({source}); start the log only once"))]
    AlreadyInstalled {
        /// The error of the `log` crate.
        source: SetLoggerError,
    },
    /// The writer thread cannot be started.
    #[snafu(display("log thread cannot be started ({source}); raise the limits of the process"))]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Installs the global logger, which writes lines of the `rattanmast` crates to standard output.
///
/// # Errors
///
/// If a logger is already installed or the writer thread cannot be started.
pub fn install(level: LevelFilter) -> Result<Counters> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("rattanmast")
        .build();
    let (writer, counters) = writer(io::stdout()).context(ThreadSnafu)?;
    WriteLogger::init(level, config, writer).context(AlreadyInstalledSnafu)?;
    Ok(counters)
}
