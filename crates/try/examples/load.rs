//! Sends searches to the hosts of `scripts/fleet` and prints what they cost.
//!
//! `cargo run --release -p rattanmast-try --example load -- SECONDS CALLERS PID...`
//!
//! Each caller asks the next search when the last one is answered. Processor time and memory
//! of the given processes are read from `/proc`, so that stand-ins and load do not count.

use std::{
    env, fs, io,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;
use rattanmast_fakes::data::{HOST_PORT, key, local};
use rattanmast_try::call::Caller;
use rattanmast_wire::{api::Found, http};

const HOSTS: u16 = 9;
const SEARCH: &str = "/v1/searches/blade-profile-registry";
const BODY: &[u8] = br#"{"text":"profile-03","rank":"urgent"}"#;

static SENT: AtomicU64 = AtomicU64::new(0);

fn main() -> io::Result<()> {
    let numbers: Vec<u64> = env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let [seconds, callers, pids @ ..] = numbers.as_slice() else {
        return Err(io::Error::other("usage: load SECONDS CALLERS PID..."));
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let before = used(pids)?;
    let began = Instant::now();
    let until = began + Duration::from_secs((*seconds).min(600));
    let tasks: Vec<_> = (0..(*callers).min(256))
        .map(|caller| runtime.spawn(ask(caller, until)))
        .collect();
    let mut times: Vec<u64> = Vec::new();
    let mut failed = 0;
    for task in tasks {
        let (mine, refused) = runtime.block_on(task).map_err(io::Error::other)?;
        times.extend(mine);
        failed += refused;
    }
    let after = used(pids)?;
    let elapsed = began.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let sent = SENT.load(Ordering::Relaxed);
    println!(
        "queries {} ({:.0}/s), failed {failed}",
        times.len(),
        times.len() as f64 / elapsed
    );
    println!(
        "p50 {} us, p99 {} us, p99.9 {} us",
        at(0.5),
        at(0.99),
        at(0.999)
    );
    let cpu = after - before;
    println!("leaf requests {sent} ({:.0}/s)", sent as f64 / elapsed);
    println!("processor time of the given processes: {cpu:.2} s");
    println!("  {:.1} us a leaf request", cpu * 1e6 / sent as f64);
    println!("  {:.1} us a query", cpu * 1e6 / times.len() as f64);
    for pid in pids {
        println!("  process {pid}: {} KiB resident", resident(*pid)?);
    }
    Ok(())
}

/// Asks until `until`; returns times in microseconds and the number of failures.
async fn ask(number: u64, until: Instant) -> (Vec<u64>, u64) {
    let caller = Caller::new(key("bench"));
    let port = HOST_PORT + 3 * u16::try_from(number % u64::from(HOSTS)).unwrap_or(0);
    let (mut times, mut failed) = (Vec::new(), 0);
    while Instant::now() < until {
        let began = Instant::now();
        let call = caller.call(
            local(port),
            Method::POST,
            SEARCH,
            None,
            Bytes::from_static(BODY),
        );
        let answer = call.await.ok();
        match answer.and_then(|a| http::parse::<Found>(&a.body).ok()) {
            Some(found) => {
                SENT.fetch_add(found.answer.sent.into(), Ordering::Relaxed);
                times.push(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            None => failed += 1,
        }
    }
    (times, failed)
}

/// Returns the processor time that the processes have used, in seconds.
fn used(pids: &[u64]) -> io::Result<f64> {
    // Fields 14 and 15 of `/proc/<pid>/stat`, in ticks of 10 ms.
    let mut ticks = 0;
    for pid in pids {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        ticks += fields
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse::<u64>().ok())
            .sum::<u64>();
    }
    Ok(ticks as f64 / 100.0)
}

/// Returns the resident memory of a process, in KiB.
fn resident(pid: u64) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let value = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    value.ok_or_else(|| io::Error::other("no VmRSS in /proc"))
}
