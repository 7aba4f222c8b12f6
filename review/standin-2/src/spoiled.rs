//! Leafs spoil one byte in the heads of some of their answers.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::Fleet,
    http::Message,
    leaf::{Act, Handler},
    record::Record,
};

/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(20);

/// Interval between two requests of a caller, and number of callers.
const INTERVAL: Duration = Duration::from_millis(40);
const CALLERS: usize = 12;

/// The `garble`: how long it lasts and the pause after it, how often it comes, and one answer in how many
/// of such a leaf that is spoiled.
const GARBLE_TIME: Duration = Duration::from_millis(5_500);
const GARBLE_PAUSE: Duration = Duration::from_millis(1_500);
const GARBLES: u32 = 4;
const GARBLE_EACH: usize = 50;

/// The leafs that spoil some of their answers: one of the four of `club-billing`, and two of the eight of the
/// shards.
const SPOILERS: [&str; 3] = ["i-club-billing-0", "i-edge-0-0", "i-edge-2-1"];

/// The body of a good answer of `club-billing`.
const BODY: [u8; 6_000] = [b'x'; 6_000];

/// The shards, the records in a part of each, the size of a record, and the records in an answer (`top_k`).
const SHARDS: [&str; 4] = ["edge-0", "edge-1", "edge-2", "edge-3"];
const PART_RECORDS: usize = 5;
const RECORD_BYTES: usize = 16;
const TOP: usize = 5;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-fetch","host":"shop.example","path_prefix":"/fetch/","type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"club-billing","max_attempts":2},
{"name":"r-search","host":"shop.example","path_prefix":"/search/","type":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":1,"gather":["edge-0","edge-1","edge-2","edge-3"],"max_attempts":2,"top_k":5,"min_shard_ratio":0.75}],
"services":[{"name":"club-billing","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},
{"name":"edge-0","health_path":"/health","max_connections":26,"protocol":"h1","tls":false},
{"name":"edge-1","health_path":"/health","max_connections":26,"protocol":"h1","tls":false},
{"name":"edge-2","health_path":"/health","max_connections":26,"protocol":"h1","tls":false},
{"name":"edge-3","health_path":"/health","max_connections":26,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The byte that is spoiled, in turn: a part of the head, and what it becomes.
const STATUS: (&str, &str) = ("HTTP/1.1 200", "HTTP/1.1 204");
const LENGTH: (&str, &str) = ("length: 6000", "length: 5000");
const PART_LENGTH: (&str, &str) = ("length: 80", "length: 30");

/// Returns the body of a good answer of a service.
fn body(service: &str) -> Vec<u8> {
    match SHARDS.iter().position(|shard| *shard == service) {
        Some(shard) => part(shard).concat().into_bytes(),
        None => BODY.to_vec(),
    }
}

/// Returns the records of a shard; the greatest ones of all are spread over the shards.
fn part(shard: usize) -> Vec<String> {
    let record = |rank| format!("{:0width$}", 900 - 10 * rank - shard, width = RECORD_BYTES);
    (0..PART_RECORDS).map(record).collect()
}

/// Returns what is wrong with a successful answer to a search.
fn wrong_merge(answer: &Message) -> Option<String> {
    let stamps = answer.header("part-stamps");
    let shards = stamps.split(',').filter_map(|stamp| {
        let leaf = stamp.trim().strip_prefix("i-")?;
        SHARDS.iter().position(|shard| leaf.starts_with(shard))
    });
    let shards: Vec<usize> = shards.collect();
    let mut records: Vec<String> = shards.iter().flat_map(|shard| part(*shard)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(TOP);
    let body = String::from_utf8_lossy(&answer.body);
    (records.concat() != body).then(|| {
        let missing = answer.header("missing-shards");
        format!("stamps {stamps:?}, {missing} missing, but not the greatest records of these parts: {body}")
    })
}

/// Returns what is wrong with a successful answer that one leaf gave.
fn wrong_body(answer: &Message) -> Option<String> {
    let (stamp, bytes) = (answer.header("server-stamp"), answer.body.len());
    (answer.body != BODY).then(|| format!("stamp {stamp:?} and {bytes} bytes of {}", BODY.len()))
}

/// Runs the case; returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(root, 3).map_err(|error| error.to_string())?;
    let is_garbling = Arc::new(AtomicBool::new(false));
    let handler: Handler = {
        let (is_garbling, record) = (is_garbling.clone(), record.clone());
        let answers: Mutex<BTreeMap<String, usize>> = Mutex::default();
        Arc::new(move |leaf, request: &Message| {
            thread::sleep(WORK);
            let answer = leaf.result(request, 200, &body(&leaf.service));
            let spoils =
                SPOILERS.contains(&leaf.name.as_str()) && is_garbling.load(Ordering::SeqCst);
            let mut answers = answers.lock().unwrap();
            let count = answers.entry(leaf.name.clone()).or_insert(0_usize);
            *count += usize::from(spoils);
            if !spoils || *count % GARBLE_EACH != GARBLE_EACH / 2 {
                return Act::Answer(answer);
            }
            let is_part = leaf.service != "club-billing";
            let (from, to) = match (*count / GARBLE_EACH) % 2 {
                0 => STATUS,
                _ if is_part => PART_LENGTH,
                _ => LENGTH,
            };
            let (name, id) = (&leaf.name, request.header("request-id"));
            record.line(&format!(
                "leaf {name} answers {id} with {to:?} for {from:?}"
            ));
            Act::Spoil(answer, from, to)
        })
    };
    fleet
        .add_service("club-billing", 4, &handler)
        .map_err(|error| error.to_string())?;
    for shard in SHARDS {
        let added = fleet.add_service(shard, 2, &handler);
        added.map_err(|error| error.to_string())?;
    }
    fleet.store.put("config", "main", CONFIG);
    fleet.start()?;

    let (ended, number) = (AtomicBool::new(false), AtomicUsize::new(0));
    let wrong = [AtomicUsize::new(0), AtomicUsize::new(0)];
    let statuses = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !ended.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    let host = &fleet.hosts[number % fleet.hosts.len()];
                    let is_search = number % 2 == 0;
                    let id = format!("f{number}");
                    let path = format!("/{}/{number}", if is_search { "search" } else { "fetch" });
                    let answer = host.call("GET", &path, &id, if is_search { 1000 } else { 3000 });
                    let answer = answer.unwrap_or_default();
                    let status = answer.status();
                    *statuses.lock().unwrap().entry(status).or_insert(0_usize) += 1;
                    let is_success = (200..300).contains(&status);
                    let why = match is_search {
                        true => wrong_merge(&answer),
                        false => wrong_body(&answer),
                    };
                    if let Some(why) = why.filter(|_| is_success) {
                        record.line(&format!("caller gets {status} for {id} with {why}"));
                        wrong[usize::from(is_search)].fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(INTERVAL);
                }
            });
        }
        thread::sleep(Duration::from_secs(6));
        record.line("all hosts are ready");
        for _ in 0..GARBLES {
            is_garbling.store(trouble, Ordering::SeqCst);
            thread::sleep(GARBLE_TIME);
            is_garbling.store(false, Ordering::SeqCst);
            thread::sleep(GARBLE_PAUSE);
        }
        ended.store(true, Ordering::SeqCst);
    });
    let statuses = statuses.into_inner().unwrap();
    let [bodies, merges] = wrong.map(AtomicUsize::into_inner);
    record.line(&format!(
        "answers by status: {statuses:?}; successes whose body is not the leaf's: {bodies}; searches that lack \
         records of the parts that they name: {merges}; none may be"
    ));
    Ok(bodies + merges == 0)
}
