//! A call that crashes each leaf that runs it comes again and again.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    env::{self, Action, Caller, Hosts, LeafInfo, Leafs, Record, ZONES},
    http::Message,
    store::Store,
};

const SERVICE: &str = "kafi81c";
/// `stability_window_ms` of the settings.
const STABILITY_WINDOW_MS: u64 = 5_000;
/// Retries that may reach leafs later than that after the third crash.
const MAX_RETRIES: usize = 3;
/// Time between two arrivals of the call.
const INTERVAL: Duration = Duration::from_secs(6);
/// Number of arrivals.
const ARRIVALS: usize = 9;
/// Time after which a leaf crashes that runs the call.
const CRASH_AFTER: Duration = Duration::from_millis(20);
/// The same for a call that its caller repeats at once.
const STORM_CRASH_AFTER: Duration = Duration::from_millis(400);
/// Arrivals of a call that its caller repeats at once: the first, and three more.
const STORM_ARRIVALS: usize = 4;
/// Time between these.
const STORM_INTERVAL: Duration = Duration::from_millis(30);
/// Number of such storms, and the time between them.
const STORMS: usize = 3;
const TIME_BETWEEN_STORMS: Duration = Duration::from_secs(9);
/// Time after which a crashed leaf is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// The call that crashes leafs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An order, which may run once at most; each arrival is at another host.
    Order,
    /// A request that may be repeated, during whose answer the leaf crashes; all arrivals are at one host.
    Fetch,
    /// A request that may be repeated, which its caller repeats at once, at some hosts.
    Storm,
}

impl Kind {
    fn route_type(self) -> &'static str {
        match self {
            Self::Order => "non_idempotent",
            Self::Fetch | Self::Storm => "idempotent",
        }
    }

    fn crash(self) -> Action {
        let (after, back_after) = (CRASH_AFTER, BACK_AFTER);
        match self {
            Self::Order => Action::Crash { after, back_after },
            Self::Fetch => Action::CrashMidway { after, back_after },
            Self::Storm => Action::Crash {
                after: STORM_CRASH_AFTER,
                back_after,
            },
        }
    }

    fn send(self, caller: &Caller, host: SocketAddr, target: &str) {
        let (method, body) = match self {
            Self::Order => ("POST", "order"),
            Self::Fetch | Self::Storm => ("GET", ""),
        };
        caller.send(host, method, target, body, 3_000);
    }
}

/// Returns the host of an arrival, from zone to zone; there are three in each.
fn next_zone(arrival: usize) -> usize {
    arrival % ZONES.len() * 3 + arrival / ZONES.len()
}

/// The path of the call that crashes leafs.
const DEADLY: &str = "/timi402/deadly";

pub fn run(record: &Record, trouble: bool, kind: Kind) -> Verdict {
    let store = Store::start();
    store.put("config", "main", &env::config(kind.route_type(), SERVICE));
    // When a leaf began to run the call that crashes leafs, for which attempt, and which leaf.
    let runs: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let behavior = {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        move |leaf: &LeafInfo, request: &Message| {
            let is_deadly = request.target() == DEADLY;
            if is_deadly {
                let id = request.header("request-id").unwrap_or("").to_owned();
                record.write(&format!(
                    "leaf {} begins to run {id}, which is deadly",
                    leaf.id
                ));
                let run = (record.ms(), id, leaf.id.clone());
                runs.lock().expect("the runs' lock").push(run);
            }
            match is_deadly && trouble {
                true => kind.crash(),
                false => Action::Answer {
                    after: Duration::from_millis(20),
                    status: 200,
                    body: b"done".to_vec(),
                },
            }
        }
    };
    let leafs = Leafs::new(&store, record, Arc::new(behavior), Arc::new(|_| false));
    for zone in [ZONES[0].0, ZONES[0].0, ZONES[1].0, ZONES[2].0] {
        leafs.add(SERVICE, zone, 6);
    }
    let Some(hosts) = Hosts::start(&store, record, 3) else {
        return Verdict::NotRun;
    };
    let caller = Caller::new(record);
    let addrs: Vec<_> = hosts.hosts.iter().map(|host| host.frontend).collect();
    // Other calls, which no leaf has trouble with.
    let others: Vec<_> = (addrs.iter().copied().enumerate())
        .map(|(n, addr)| {
            let caller = caller.clone();
            thread::spawn(move || {
                let mut number = 0;
                while !caller.stopped.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(700));
                    number += 1;
                    kind.send(&caller, addr, &format!("/timi402/{n}-{number}"));
                }
            })
        })
        .collect();
    // All hosts are in touch from here on.
    thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));
    match kind {
        // From zone to zone.
        Kind::Order => (0..ARRIVALS).for_each(|arrival| {
            kind.send(&caller, addrs[next_zone(arrival)], DEADLY);
            thread::sleep(INTERVAL);
        }),
        Kind::Fetch => (0..ARRIVALS).for_each(|_| {
            kind.send(&caller, addrs[0], DEADLY);
            thread::sleep(INTERVAL);
        }),
        Kind::Storm => (0..STORMS).for_each(|_| {
            for arrival in 0..STORM_ARRIVALS {
                let (caller, addr) = (caller.clone(), addrs[next_zone(arrival)]);
                thread::spawn(move || kind.send(&caller, addr, DEADLY));
                thread::sleep(STORM_INTERVAL);
            }
            thread::sleep(TIME_BETWEEN_STORMS);
        }),
    }
    caller.stopped.store(true, Ordering::SeqCst);
    others.into_iter().for_each(|other| drop(other.join()));
    let runs = runs.lock().expect("the runs' lock").clone();
    let mut crashed: Vec<&String> = Vec::new();
    let third = runs.iter().find(|(_, _, leaf)| {
        if !crashed.contains(&leaf) {
            crashed.push(leaf);
        }
        crashed.len() == 3
    });
    let late: BTreeSet<&String> = match third {
        Some((third, _, _)) if trouble => {
            let crash_after = match kind {
                Kind::Order | Kind::Fetch => CRASH_AFTER,
                Kind::Storm => STORM_CRASH_AFTER,
            };
            let from = third + crash_after.as_millis() as u64 + STABILITY_WINDOW_MS;
            let late = runs.iter().filter(|(at, _, _)| *at > from);
            late.map(|(_, id, _)| id).collect()
        }
        _ => BTreeSet::new(),
    };
    record.write(&format!(
        "the call reached leafs {} times; {} attempts did later than {STABILITY_WINDOW_MS} ms after the \
         third crash; {MAX_RETRIES} are allowed",
        runs.len(),
        late.len()
    ));
    match (runs.is_empty(), late.len() > MAX_RETRIES) {
        (true, _) => Verdict::NotRun,
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}
