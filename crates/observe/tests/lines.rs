//! Tests of the rate limits of the log, and of its behaviour when the output blocks.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use rattanmast_observe::log_output::{Counters, writer};

/// An output that blocks each write until the test permits it.
struct GatedOutput {
    text: Arc<Mutex<Vec<u8>>>,
    permits: Receiver<()>,
    written: Sender<()>,
}

impl Write for GatedOutput {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        self.text.lock().unwrap().extend_from_slice(text);
        let _receiver_dropped = self.written.send(());
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Fixture {
    log: Box<dyn Write>,
    counters: Counters,
    text: Arc<Mutex<Vec<u8>>>,
    permits: Sender<()>,
    written: Receiver<()>,
}

fn fixture() -> Fixture {
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (permits, permit_receiver) = channel();
    let (written_sender, written) = channel();
    let output = GatedOutput {
        text: text.clone(),
        permits: permit_receiver,
        written: written_sender,
    };
    let (log, counters) = writer(output).unwrap();
    Fixture {
        log: Box::new(log),
        counters,
        text,
        permits,
        written,
    }
}

/// Guards against a full pipe that blocks the program, and against an unbounded queue.
#[test]
fn a_blocked_output_costs_lines_and_no_time() {
    let mut fixture = fixture();
    for i in 0..20_000 {
        // Each kind stays below its rate limit, so only the queue limits the number of lines.
        writeln!(fixture.log, "event=kind{} number={i}", i % 200).unwrap();
    }
    assert!(
        fixture.counters.omitted() > 10_000,
        "{}",
        fixture.counters.omitted()
    );
    for _ in 0..2 {
        fixture.permits.send(()).unwrap();
        fixture.written.recv().unwrap();
    }
    writeln!(fixture.log, "event=after").unwrap();
    // The report of omitted lines and the new line may arrive in one write or in two.
    for _ in 0..2 {
        fixture.permits.send(()).unwrap();
    }
    assert!(fixture.counters.drain(Duration::from_secs(60)));
    let text = String::from_utf8(fixture.text.lock().unwrap().clone()).unwrap();
    assert!(text.contains("event=log_lines_omitted count="));
    assert!(text.ends_with("event=after\n"));
}

/// Guards against losing the last lines when the process exits, and against an exit that blocks
/// because the output is not read.
#[test]
fn the_end_waits_for_the_last_lines_but_not_for_ever() {
    let mut fixture = fixture();
    writeln!(fixture.log, "event=stopped").unwrap();
    assert!(!fixture.counters.drain(Duration::from_millis(20)));
    fixture.permits.send(()).unwrap();
    fixture.written.recv().unwrap();
    assert!(fixture.counters.drain(Duration::from_secs(60)));
    let text = String::from_utf8(fixture.text.lock().unwrap().clone()).unwrap();
    assert_eq!(text, "event=stopped\n");
}

/// Guards against a frequent event kind that crowds out all others.
#[test]
fn a_kind_that_comes_in_masses_leaves_others_their_place() {
    let mut fixture = fixture();
    for i in 0..2_000 {
        write!(fixture.log, "[INFO] event=mass").unwrap();
        writeln!(fixture.log, " number={i}").unwrap();
    }
    writeln!(fixture.log, "[INFO] event=rare request=r1").unwrap();
    assert!(fixture.counters.omitted() >= 1_000);
    for _ in 0..2 {
        fixture.permits.send(()).unwrap();
    }
    fixture.written.recv().unwrap();
    drop(fixture.log);
    while fixture.permits.send(()).is_ok() {}
    let text = String::from_utf8(fixture.text.lock().unwrap().clone()).unwrap();
    assert!(text.contains("event=rare request=r1\n"));
    assert!(text.lines().filter(|l| l.contains("event=mass")).count() <= 1_000);
}
