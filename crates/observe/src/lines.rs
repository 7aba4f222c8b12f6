//! A log whose volume is bounded and whose writers never wait.
//!
//! A line names its kind as `event=KIND`. Each kind has a rate of its own, so that one that comes
//! in masses leaves the others their place. Lines wait in a bounded queue for a thread that
//! writes them; a reader that stops reading costs lines, never time.

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

/// Lines that wait to be written.
const QUEUE: usize = 4096;

/// Lines of one kind in a second.
const RATE: f64 = 100.0;

/// Lines of one kind that may come at once.
const BURST: f64 = 400.0;

/// Kinds that have a rate of their own; the others share one.
const KINDS: usize = 256;

/// Pause between two looks at what waits.
const LOOK: Duration = Duration::from_millis(2);

/// What became of the lines since the start.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    omitted: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
}

impl Tally {
    /// Returns how many lines were left out.
    pub fn omitted(&self) -> u64 {
        self.omitted.load(Ordering::Relaxed)
    }

    /// Blocks until all lines are written, for at most `longest`; returns whether they are.
    ///
    /// A process that ends does not wait for the thread that writes.
    pub fn drain(&self, longest: Duration) -> bool {
        let mut left = longest;
        while self.waiting.load(Ordering::Acquire) > 0 && !left.is_zero() {
            thread::sleep(LOOK);
            left = left.saturating_sub(LOOK);
        }
        self.waiting.load(Ordering::Acquire) == 0
    }
}

/// What a kind of line may still use.
#[derive(Debug)]
struct Allowance {
    credit: f64,
    at: Instant,
}

/// Takes the log's text, and passes whole lines on.
#[derive(Debug)]
struct Lines {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
    allowances: Map<SmolStr, Allowance>,
    tally: Tally,
    /// The number of omitted lines that the log has told of.
    told: u64,
}

impl Lines {
    fn finish(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.allows(&line) {
            self.omit();
            return;
        }
        let omitted = self.tally.omitted();
        if omitted > self.told {
            let count = omitted - self.told;
            let note = format!("event=log_lines_omitted count={count}\n").into_bytes();
            if self.send(note) {
                self.told = omitted;
            }
        }
        if !self.send(line) {
            self.omit();
        }
    }

    fn omit(&self) {
        self.tally.omitted.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues a line; returns whether there was room.
    fn send(&self, line: Vec<u8>) -> bool {
        // Counted first, so that the thread never takes off what was not added.
        self.tally.waiting.fetch_add(1, Ordering::AcqRel);
        let sent = self.queue.try_send(line).is_ok();
        if !sent {
            self.tally.waiting.fetch_sub(1, Ordering::AcqRel);
        }
        sent
    }

    fn allows(&mut self, line: &[u8]) -> bool {
        let now = Instant::now();
        let kind = kind(line);
        let kind = match self.allowances.contains_key(kind) || self.allowances.len() < KINDS {
            true => kind,
            false => "",
        };
        let allowance = self.allowances.entry(kind.into()).or_insert(Allowance {
            credit: BURST,
            at: now,
        });
        let earned = now.saturating_duration_since(allowance.at).as_secs_f64() * RATE;
        allowance.credit = (allowance.credit + earned).min(BURST);
        allowance.at = now;
        let allowed = allowance.credit >= 1.0;
        if allowed {
            allowance.credit -= 1.0;
        }
        allowed
    }
}

/// Returns the kind of a line, or nothing if it names none.
fn kind(line: &[u8]) -> &str {
    const MARK: &str = "event=";
    let text = std::str::from_utf8(line).unwrap_or_default();
    let Some(start) = text.find(MARK) else {
        return "";
    };
    let rest = &text[start + MARK.len()..];
    let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
    &rest[..end]
}

impl Write for Lines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        for piece in text.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                self.finish();
            }
        }
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a writer that passes lines on to `output`, and the count of what became of them.
///
/// # Errors
///
/// Returns the system's error if no thread can be started.
pub fn writer<W: Write + Send + 'static>(output: W) -> io::Result<(impl Write + Send, Tally)> {
    let (queue, lines) = sync_channel(QUEUE);
    let thread = thread::Builder::new().name("log".to_owned());
    let tally = Tally::default();
    let waiting = Arc::clone(&tally.waiting);
    thread.spawn(move || write(&lines, output, &waiting))?;
    let writer = Lines {
        line: Vec::new(),
        queue,
        allowances: Map::default(),
        tally: tally.clone(),
        told: 0,
    };
    Ok((writer, tally))
}

fn write<W: Write>(lines: &Receiver<Vec<u8>>, mut output: W, waiting: &AtomicU64) {
    while let Ok(mut text) = lines.recv() {
        let mut count = 1;
        // What waits is written at once: each write costs a wake-up.
        lines.try_iter().take(QUEUE).for_each(|line| {
            text.extend(line);
            count += 1;
        });
        let written = output.write_all(&text).and_then(|()| output.flush());
        if written.is_err() {
            // Without a reader there is nobody to tell; the counter goes on.
            return;
        }
        waiting.fetch_sub(count, Ordering::AcqRel);
    }
}

/// A result of starting the log.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the log cannot be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A log was started before.
    #[snafu(display("log was started before ({source}); start it once"))]
    Started {
        /// The cause.
        source: SetLoggerError,
    },
    /// No thread can be started.
    #[snafu(display("log has no thread ({source}); raise the limits of the process"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
}

/// Starts the log of this workspace's programs on standard output.
///
/// # Errors
///
/// Says why there can be no log.
pub fn start(level: LevelFilter) -> Result<Tally> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("rattanmast")
        .build();
    let (writer, tally) = writer(io::stdout()).context(ThreadSnafu)?;
    WriteLogger::init(level, config, writer).context(StartedSnafu)?;
    Ok(tally)
}
