//! The log's volume is bounded, and a reader that stops does not stop the program.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use rattanmast_observe::lines::{Tally, writer};

/// An output whose writes wait until the test lets them through.
struct Pipe {
    text: Arc<Mutex<Vec<u8>>>,
    open: Receiver<()>,
    written: Sender<()>,
}

impl Write for Pipe {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.open.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        self.text.lock().unwrap().extend_from_slice(text);
        let _gone = self.written.send(());
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Env {
    log: Box<dyn Write>,
    tally: Tally,
    text: Arc<Mutex<Vec<u8>>>,
    open: Sender<()>,
    written: Receiver<()>,
}

fn env() -> Env {
    let text: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (open, gate) = channel();
    let (told, written) = channel();
    let pipe = Pipe {
        text: text.clone(),
        open: gate,
        written: told,
    };
    let (log, tally) = writer(pipe).unwrap();
    Env {
        log: Box::new(log),
        tally,
        text,
        open,
        written,
    }
}

/// Guards against a full pipe that stops the program, and against a queue without end.
#[test]
fn a_blocked_output_costs_lines_and_no_time() {
    let mut env = env();
    for i in 0..20_000 {
        // Each kind stays below its own rate, so only the queue bounds them.
        writeln!(env.log, "event=kind{} number={i}", i % 200).unwrap();
    }
    assert!(env.tally.omitted() > 10_000, "{}", env.tally.omitted());
    for _ in 0..2 {
        env.open.send(()).unwrap();
        env.written.recv().unwrap();
    }
    writeln!(env.log, "event=after").unwrap();
    // The count of what was left out and the line may be written in one go or in two.
    for _ in 0..2 {
        env.open.send(()).unwrap();
    }
    assert!(env.tally.drain(Duration::from_secs(60)));
    let text = String::from_utf8(env.text.lock().unwrap().clone()).unwrap();
    assert!(text.contains("event=log_lines_omitted count="));
    assert!(text.ends_with("event=after\n"));
}

/// Guards against last lines that are lost because the process ends, and against an end that waits
/// for a reader that has stopped.
#[test]
fn the_end_waits_for_the_last_lines_but_not_for_ever() {
    let mut env = env();
    writeln!(env.log, "event=stopped").unwrap();
    assert!(!env.tally.drain(Duration::from_millis(20)));
    env.open.send(()).unwrap();
    env.written.recv().unwrap();
    assert!(env.tally.drain(Duration::from_secs(60)));
    let text = String::from_utf8(env.text.lock().unwrap().clone()).unwrap();
    assert_eq!(text, "event=stopped\n");
}

/// Guards against one kind of line that crowds out all others.
#[test]
fn a_kind_that_comes_in_masses_leaves_others_their_place() {
    let mut env = env();
    for i in 0..2_000 {
        write!(env.log, "[INFO] event=mass").unwrap();
        writeln!(env.log, " number={i}").unwrap();
    }
    writeln!(env.log, "[INFO] event=rare request=r1").unwrap();
    assert!(env.tally.omitted() >= 1_000);
    for _ in 0..2 {
        env.open.send(()).unwrap();
    }
    env.written.recv().unwrap();
    drop(env.log);
    while env.open.send(()).is_ok() {}
    let text = String::from_utf8(env.text.lock().unwrap().clone()).unwrap();
    assert!(text.contains("event=rare request=r1\n"));
    assert!(text.lines().filter(|l| l.contains("event=mass")).count() <= 1_000);
}
