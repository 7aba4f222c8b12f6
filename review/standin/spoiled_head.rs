//! Faulty leafs spoil some of their answers: one byte of the head is wrong.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    env::{self, Action, Caller, Hosts, LeafInfo, Leafs, Record, ZONES},
    http::Message,
    store::Store,
};

const SERVICE: &str = "kafi81c";
/// Slots of a leaf of `club-billing`.
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(120);
/// One answer in so many of a faulty leaf is spoiled; one of four leafs is faulty.
const ANSWERS_PER_SPOILED: u64 = 50;
/// How long the leaf is faulty.
const FAULTY: Duration = Duration::from_secs(5);
/// Time before and after that.
const CALM: Duration = Duration::from_secs(2);
/// Time between two requests of a caller; each host has one.
const INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", &env::config("idempotent", SERVICE));
    let faulty_from: Arc<Mutex<Option<Instant>>> = Arc::default();
    let behavior = {
        let (faulty_from, answers) = (Arc::clone(&faulty_from), AtomicU64::new(0));
        move |leaf: &LeafInfo, _: &Message| {
            let from = *faulty_from.lock().expect("the time's lock");
            let in_episode = from.is_some_and(|from| from.elapsed() < FAULTY);
            let is_faulty = trouble && in_episode && leaf.zone == ZONES[2].0;
            let body = b"invoice".to_vec();
            match is_faulty && answers.fetch_add(1, Ordering::SeqCst) % ANSWERS_PER_SPOILED == 0 {
                true => Action::Spoiled { after: WORK, body },
                false => Action::Answer {
                    after: WORK,
                    status: 200,
                    body,
                },
            }
        }
    };
    let leafs = Leafs::new(&store, record, Arc::new(behavior), Arc::new(|_| false));
    for zone in [ZONES[0].0, ZONES[0].0, ZONES[1].0, ZONES[2].0] {
        leafs.add(SERVICE, zone, SLOTS);
    }
    let Some(hosts) = Hosts::start(&store, record, 3) else {
        return Verdict::NotRun;
    };
    let caller = Caller::new(record);
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let callers: Vec<_> = (hosts.hosts.iter().enumerate())
        .map(|(n, host)| {
            let (caller, counts, addr) = (caller.clone(), Arc::clone(&counts), host.frontend);
            thread::spawn(move || {
                let mut number = 0;
                while !caller.stopped.load(Ordering::SeqCst) {
                    number += 1;
                    let (id, answer) =
                        caller.send(addr, "GET", &format!("/timi402/{n}-{number}"), "", 3_000);
                    let result = match answer {
                        None => "not answered",
                        Some(answer) if !(200..300).contains(&answer.status()) => "failed",
                        Some(answer) if answer.header("server-stamp").is_some() => "good",
                        Some(answer) => {
                            let text =
                                format!("MIXED: {id} got {} without a stamp", answer.status());
                            caller.record.write(&text);
                            "without a stamp"
                        }
                    };
                    *counts
                        .lock()
                        .expect("the counts' lock")
                        .entry(result.to_owned())
                        .or_default() += 1;
                    thread::sleep(INTERVAL);
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    *faulty_from.lock().expect("the time's lock") = Some(Instant::now());
    record.write("the leaf in bodo-a spoils some answers from here on");
    thread::sleep(FAULTY + CALM);
    caller.stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let counts = counts.lock().expect("the counts' lock");
    let count = |name| counts.get(name).copied().unwrap_or(0);
    record.write(&format!(
        "successes with a stamp: {}; without: {}; failed: {}; not answered: {}",
        count("good"),
        count("without a stamp"),
        count("failed"),
        count("not answered"),
    ));
    match (count("good"), count("without a stamp")) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
