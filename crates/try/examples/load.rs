//! Sends searches to the hosts of `scripts/fleet` and prints their latency and resource use.
//!
//! `cargo run --release -p rattanmast-try --example load -- SECONDS CALLERS PID...`
//!
//! Each caller sends its next search when the previous one is answered (closed loop). CPU time and
//! memory are read from `/proc` for the given processes only, so that the simulated leafs and
//! platform and this load generator are not counted.

use std::{
    env, fs, io,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;
use rattanmast_fakes::data::{FIRST_HOST_PORT, caller_key, loopback};
use rattanmast_try::client::Caller;
use rattanmast_wire::{api::SearchReply, http};

const HOST_COUNT: u16 = 9;
const SEARCH: &str = "/v1/searches/blade-profile-registry";
const BODY: &[u8] = br#"{"text":"profile-03","rank":"urgent"}"#;

static LEAF_REQUESTS: AtomicU64 = AtomicU64::new(0);

fn main() -> io::Result<()> {
    let arguments: Vec<u64> = env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let [seconds, callers, pids @ ..] = arguments.as_slice() else {
        return Err(io::Error::other("usage: load SECONDS CALLERS PID..."));
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let before = cpu_seconds(pids)?;
    let started = Instant::now();
    let deadline = started + Duration::from_secs((*seconds).min(600));
    let tasks: Vec<_> = (0..(*callers).min(256))
        .map(|caller| runtime.spawn(run_caller(caller, deadline)))
        .collect();
    let mut times: Vec<u64> = Vec::new();
    let mut failed = 0;
    for task in tasks {
        let (caller_times, caller_failed) = runtime.block_on(task).map_err(io::Error::other)?;
        times.extend(caller_times);
        failed += caller_failed;
    }
    let after = cpu_seconds(pids)?;
    let elapsed = started.elapsed().as_secs_f64();
    times.sort_unstable();
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let sent = LEAF_REQUESTS.load(Ordering::Relaxed);
    println!(
        "queries {} ({:.0}/s), failed {failed}",
        times.len(),
        times.len() as f64 / elapsed
    );
    println!(
        "p50 {} us, p99 {} us, p99.9 {} us",
        percentile(0.5),
        percentile(0.99),
        percentile(0.999)
    );
    let cpu = after - before;
    println!("leaf requests {sent} ({:.0}/s)", sent as f64 / elapsed);
    println!("processor time of the given processes: {cpu:.2} s");
    println!("  {:.1} us a leaf request", cpu * 1e6 / sent as f64);
    println!("  {:.1} us a query", cpu * 1e6 / times.len() as f64);
    for pid in pids {
        println!("  process {pid}: {} KiB resident", resident_kib(*pid)?);
    }
    Ok(())
}

/// Sends searches up to `deadline`; returns their latencies in microseconds and the number of
/// failures.
async fn run_caller(number: u64, deadline: Instant) -> (Vec<u64>, u64) {
    let caller = Caller::new(caller_key("bench"));
    let port = FIRST_HOST_PORT + 3 * u16::try_from(number % u64::from(HOST_COUNT)).unwrap_or(0);
    let (mut times, mut failed) = (Vec::new(), 0);
    while Instant::now() < deadline {
        let started = Instant::now();
        let call = caller.call(
            loopback(port),
            Method::POST,
            SEARCH,
            None,
            Bytes::from_static(BODY),
        );
        let answer = call.await.ok();
        match answer.and_then(|a| http::parse::<SearchReply>(&a.body).ok()) {
            Some(found) => {
                LEAF_REQUESTS.fetch_add(found.answer.sent.into(), Ordering::Relaxed);
                times.push(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            None => failed += 1,
        }
    }
    (times, failed)
}

/// Returns the total CPU time of the processes, in seconds.
fn cpu_seconds(pids: &[u64]) -> io::Result<f64> {
    // Fields 14 and 15 (utime and stime) of `/proc/<pid>/stat`, in ticks of 10 ms.
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
fn resident_kib(pid: u64) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let value = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    value.ok_or_else(|| io::Error::other("no VmRSS in /proc"))
}
