//! Callers leave while their orders wait at the host that sends for their zone.

use std::{
    collections::BTreeMap,
    net::{Shutdown, TcpStream},
    path::Path,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    clock::elapsed,
    fleet::{Fleet, SLOTS, ZONES},
    http::{Connection, Message, request},
    leaf::{Act, Handler},
    record::Record,
};

/// Time that a leaf works on an order.
const WORK: Duration = Duration::from_millis(480);

/// Orders a second from each zone.
const RATE: f64 = 16.0;

/// The `burst`: when it begins, how long it lasts, and its factor.
const BURST_AT: Duration = Duration::from_secs(8);
const BURST_TIME: Duration = Duration::from_secs(3);
const BURST_FACTOR: f64 = 1.7;

/// The `give_up`: when it begins, how long it lasts, one caller in how many leaves, and after what time.
const GIVE_UP_AT: Duration = Duration::from_millis(8_500);
const GIVE_UP_TIME: Duration = Duration::from_millis(5_500);
const GIVE_UP_SHARE: u64 = 5;
const GIVE_UP_AFTER: Duration = Duration::from_millis(400);

/// Time after the first order at which the last one is sent.
const LENGTH: Duration = Duration::from_secs(16);

/// Time limit of the callers, and time-out of the route.
const DEADLINE: Duration = Duration::from_secs(3);

/// Time after a caller has left from which its request may not reach a leaf.
const BOUND: Duration = Duration::from_millis(500);

/// Requests that may: "a few".
const FEW: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-order","host":"shop.example","path_prefix":"/order/","type":"non_idempotent","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"club-billing","max_attempts":2}],
"services":[{"name":"club-billing","health_path":"/health","max_connections":16,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What is known of the orders.
#[derive(Default)]
struct Seen {
    /// When callers left.
    left: BTreeMap<String, Duration>,
    /// When requests reached a leaf.
    reached: Vec<(String, Duration)>,
    statuses: BTreeMap<u16, usize>,
}

/// Runs the case; returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(root, 3).map_err(|error| error.to_string())?;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let running: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let freed = Arc::new(Condvar::new());
    let handler: Handler = {
        let (seen, record) = (seen.clone(), record.clone());
        Arc::new(move |leaf, request: &Message| {
            let id = request.header("request-id").to_owned();
            record.line(&format!("{id} reaches leaf {}", leaf.name));
            seen.lock().unwrap().reached.push((id, elapsed()));
            let mut slots = running.lock().unwrap();
            while *slots.entry(leaf.name.clone()).or_default() >= SLOTS {
                slots = freed.wait(slots).unwrap();
            }
            *slots.entry(leaf.name.clone()).or_default() += 1;
            drop(slots);
            thread::sleep(WORK);
            *running
                .lock()
                .unwrap()
                .entry(leaf.name.clone())
                .or_default() -= 1;
            freed.notify_all();
            Act::Answer(leaf.result(request, 200, b"done"))
        })
    };
    fleet
        .add_service("club-billing", 4, &handler)
        .map_err(|error| error.to_string())?;
    fleet.store.put("config", "main", CONFIG);
    fleet.start()?;
    thread::sleep(Duration::from_secs(6));
    record.line("all hosts are ready, and in touch");

    let start = elapsed();
    let numbers = AtomicU64::new(0);
    thread::scope(|scope| {
        for zone in ZONES {
            let hosts: Vec<_> = fleet
                .hosts
                .iter()
                .filter(|host| host.zone == zone)
                .collect();
            let (seen, numbers, record) = (&seen, &numbers, &record);
            scope.spawn(move || {
                let mut next = start;
                while next < start + LENGTH {
                    thread::sleep(next.saturating_sub(elapsed()));
                    let since = next - start;
                    let is_burst = (BURST_AT..BURST_AT + BURST_TIME).contains(&since);
                    let rate = RATE * if is_burst { BURST_FACTOR } else { 1.0 };
                    next += Duration::from_secs_f64(1.0 / rate);
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let gives_up = (GIVE_UP_AT..GIVE_UP_AT + GIVE_UP_TIME).contains(&since);
                    let leaves = trouble && gives_up && number % GIVE_UP_SHARE == 0;
                    let addr = hosts[number as usize % hosts.len()].callers;
                    scope.spawn(move || send(record, seen, addr, &format!("o{number}"), leaves));
                }
            });
        }
    });

    let seen = seen.lock().unwrap();
    let late = seen.reached.iter().filter_map(|(id, at)| {
        let left = seen.left.get(id)?;
        (*at > *left + BOUND).then(|| format!("{id} {:.3} s", (*at - *left).as_secs_f64()))
    });
    let late: Vec<String> = late.collect();
    record.line(&format!(
        "statuses {:?}; {} callers left; requests that reached a leaf over {} ms after that: {} {late:?}; {FEW} may",
        seen.statuses,
        seen.left.len(),
        BOUND.as_millis(),
        late.len(),
    ));
    Ok(late.len() <= FEW)
}

/// Sends an order, and leaves before its answer if `leaves`.
fn send(record: &Record, seen: &Mutex<Seen>, addr: std::net::SocketAddr, id: &str, leaves: bool) {
    let Ok(stream) = TcpStream::connect(addr) else {
        record.line(&format!("caller of {id} is not connected"));
        return;
    };
    let wait = if leaves {
        GIVE_UP_AFTER
    } else {
        DEADLINE + Duration::from_secs(1)
    };
    let _ = stream.set_read_timeout(Some(wait));
    let mut connection = Connection::new(stream);
    let headers = [
        ("host", "shop.example".to_owned()),
        ("request-id", id.to_owned()),
        ("deadline-ms", DEADLINE.as_millis().to_string()),
    ];
    let request = request("POST", &format!("/order/{id}"), &headers, b"one".to_vec());
    record.line(&format!("caller sends {id}"));
    let sent = connection.write(&request);
    match sent.and_then(|()| connection.read()) {
        Ok(Some(answer)) => {
            record.line(&format!("caller gets {} for {id}", answer.status()));
            *seen
                .lock()
                .unwrap()
                .statuses
                .entry(answer.status())
                .or_default() += 1;
        }
        _ if leaves => {
            let _ = connection.stream.shutdown(Shutdown::Both);
            drop(connection);
            record.line(&format!("caller of {id} leaves"));
            seen.lock().unwrap().left.insert(id.to_owned(), elapsed());
        }
        _ => record.line(&format!("caller of {id} gets nothing")),
    }
}
