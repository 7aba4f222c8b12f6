//! Faulty leafs send an answer once more, at the point where the next one is expected. Some of these
//! answers are refusals of an earlier order that a full leaf did not run.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, atomic::Ordering},
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
/// Callers; each sends an order when a pulse begins, which together are more than the leafs take at once.
const CALLERS: usize = 40;
const PULSE: Duration = Duration::from_millis(200);
const WORK: Duration = Duration::from_millis(120);
/// One answer in so many of a faulty leaf is sent twice; two of four leafs are faulty.
const ANSWERS_PER_REPEAT: u64 = 34;
/// How long the leafs are faulty at a time, and how long they are sound after that.
const FAULTY: Duration = Duration::from_secs(5);
const SOUND: Duration = Duration::from_secs(1);
const LENGTH: Duration = Duration::from_secs(100);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("config", "main", &env::config("non_idempotent", SERVICE));
    // The leafs that began to run each order.
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let behavior = {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        move |leaf: &LeafInfo, request: &Message| {
            let id = request.header("request-id").unwrap_or("").to_owned();
            record.write(&format!("leaf {} begins to run {id}", leaf.id));
            runs.lock()
                .expect("the runs' lock")
                .entry(id)
                .or_default()
                .push(leaf.id.clone());
            Action::Answer {
                after: WORK,
                status: 200,
                body: b"done".to_vec(),
            }
        }
    };
    let (answers, start) = (Mutex::<HashMap<String, u64>>::default(), Instant::now());
    let again = move |leaf: &LeafInfo| {
        let mut answers = answers.lock().expect("the answers' lock");
        let answers = answers.entry(leaf.id.clone()).or_default();
        *answers += 1;
        let in_episode =
            start.elapsed().as_millis() % (FAULTY + SOUND).as_millis() < FAULTY.as_millis();
        let is_faulty = leaf.zone == ZONES[0].0 && in_episode;
        trouble && is_faulty && *answers % ANSWERS_PER_REPEAT == 0
    };
    let leafs = Leafs::new(&store, record, Arc::new(behavior), Arc::new(again));
    for zone in [ZONES[0].0, ZONES[0].0, ZONES[1].0, ZONES[2].0] {
        leafs.add(SERVICE, zone, SLOTS);
    }
    let Some(hosts) = Hosts::start(&store, record, 3) else {
        return Verdict::NotRun;
    };
    let caller = Caller::new(record);
    let addrs: Vec<_> = hosts.hosts.iter().map(|host| host.frontend).collect();
    // The statuses of the orders that were refused as not run.
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (caller, refused, addr) = (caller.clone(), Arc::clone(&refused), addrs[n % 9]);
            thread::spawn(move || {
                let mut number = 0;
                while !caller.stopped.load(Ordering::SeqCst) {
                    let into_pulse = start.elapsed().as_millis() % PULSE.as_millis();
                    thread::sleep(PULSE - Duration::from_millis(into_pulse as u64));
                    number += 1;
                    let target = format!("/timi402/{n}-{number}");
                    let (id, answer) = caller.send(addr, "POST", &target, "order", 3_000);
                    if answer.is_some_and(|answer| matches!(answer.status(), 429 | 503)) {
                        refused.lock().expect("the refusals' lock").push(id);
                    }
                }
            })
        })
        .collect();
    thread::sleep(LENGTH);
    caller.stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().expect("the runs' lock");
    let mut twice = 0;
    for (id, leafs) in runs.iter().filter(|(_, leafs)| leafs.len() > 1) {
        twice += 1;
        record.write(&format!(
            "TWICE: order {id} ran at the leafs {}",
            leafs.join(", ")
        ));
    }
    let refused = refused.lock().expect("the refusals' lock");
    let mut untrue = 0;
    for id in refused.iter().filter(|id| runs.contains_key(*id)) {
        untrue += 1;
        record.write(&format!(
            "REFUSED: order {id} was refused as not run, and ran"
        ));
    }
    record.write(&format!(
        "{} orders ran; {twice} of them more than once; {} were refused as not run, of which {untrue} ran",
        runs.len(),
        refused.len()
    ));
    match (runs.is_empty(), twice > 0) {
        (true, _) => Verdict::NotRun,
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}
