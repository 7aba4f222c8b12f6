//! Restarts all 9 hosts one after the other under load, and counts the queries that fail.
//!
//! `cargo run --release -p rattanmast-try --example rolling -- [QUERIES_A_SECOND]`
//!
//! A simulated load balancer polls `/readyz` of each host every 20 ms and sends queries to ready
//! hosts only, as the load balancer of the platform does.

use std::{
    env,
    error::Error,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use rattanmast_fakes::data::caller_key;
use rattanmast_host::config::Traces;
use rattanmast_model::preset::Preset;
use rattanmast_try::{client::Caller, installation::Installation};
use tokio::{task::JoinSet, time};

const SEARCH: &str = "/v1/searches/blade-profile-registry";
const BODY: &[u8] = br#"{"text":"profile-03","rank":"routine"}"#;

type ReadyHosts = Arc<Mutex<Vec<SocketAddr>>>;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    // 60% of about 640 queries per second, the capacity of the simulated leafs over sockets.
    let rate = env::args().nth(1).map_or(Ok(380.0), |a| a.parse::<f64>())?;
    let mut installation = Installation::start(Preset::norway(), 1, &Traces::Off).await?;
    let plan = installation.plan().await?;
    installation.confirm(&plan, "example").await?;
    installation.wait_until_ready().await;

    let hosts: Vec<_> = installation.data.hosts.iter().map(|h| h.http).collect();
    let ready = ReadyHosts::default();
    let balancer = tokio::spawn(watch_readiness(hosts, ready.clone()));
    time::sleep(Duration::from_millis(500)).await;
    let load = tokio::spawn(send_queries(rate, ready));
    time::sleep(Duration::from_secs(2)).await;
    for index in 0..installation.hosts.len() {
        installation.restart(index).await?;
        time::sleep(Duration::from_millis(300)).await;
    }
    balancer.abort();
    load.abort();
    let _ = load.await;
    installation.stop().await;
    Ok(())
}

/// Polls the hosts and keeps `ready` up to date.
async fn watch_readiness(hosts: Vec<SocketAddr>, ready: ReadyHosts) {
    let caller = Caller::new("none");
    loop {
        let mut ready_hosts = Vec::new();
        for host in &hosts {
            let call = caller.call(*host, Method::GET, "/readyz", None, Bytes::new());
            if call.await.is_ok_and(|a| a.status.is_success()) {
                ready_hosts.push(*host);
            }
        }
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = ready_hosts;
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends queries at a fixed rate and prints the counts after each second.
async fn send_queries(rate: f64, ready: ReadyHosts) {
    let caller = Caller::new(caller_key("bench"));
    let mut tick = time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut in_flight: JoinSet<Result<u16, String>> = JoinSet::new();
    let (mut sent, mut done, mut refused, mut failed) = (0_usize, 0, 0, 0);
    let mut print = time::interval(Duration::from_secs(1));
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let hosts = ready.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let Some(host) = hosts.get(sent % hosts.len().max(1)).copied() else { continue };
                sent += 1;
                let caller = caller.clone();
                in_flight.spawn(async move {
                    let body = Bytes::from_static(BODY);
                    let call = caller.call(host, Method::POST, SEARCH, None, body);
                    call.await.map(|a| a.status.as_u16()).map_err(|e| e.to_string())
                });
            }
            Some(Ok(answer)) = in_flight.join_next() => match answer {
                Ok(200) => done += 1,
                Ok(status) => { refused += 1; eprintln!("status {status}"); }
                Err(error) => { failed += 1; eprintln!("{error}"); }
            },
            _ = print.tick() => {
                println!("sent {sent}, done {done}, refused {refused}, cut {failed}")
            }
        }
    }
}
