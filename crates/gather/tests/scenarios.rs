//! Scripted incidents on the paused clock: `tests/scenarios/*.txt`.
//!
//! Each file plays on one small fleet of 6 hosts and 6 services (shards) of 2
//! leafs. `REWRITE=1 cargo test -p rattanmast-gather --test scenarios` writes the
//! present results into the files; read the difference before it is committed.
//! Every answer is also checked against the records themselves.
//!
//! A dispatcher is named by the service that it is the first candidate of. The
//! root learns of changes to the data only by `catalog arrives`.

mod common;

use std::{fmt::Write as _, time::Duration};

use common::{Mode, STONES, World, check, line, query};
use rattanmast_fakes::model::Faults;
use rattanmast_gather::gatherer;
use rattanmast_model::{
    catalog::{Service, Snapshot},
    config::Priority,
    hash::Map,
    host,
    peer::Report,
    query::{Answer, Query},
    rank::Rank,
};
use tokio::{task::JoinHandle, time::Instant};

type Running = Map<String, JoinHandle<(gatherer::Result<Answer>, bool)>>;

/// Reads `urgent timeout=100 least=0.9 coverage`.
fn parse(words: &[&str]) -> Query {
    let value = |name: &str| words.iter().find_map(|w| w.strip_prefix(name));
    let rank = Rank::ALL.into_iter().find(|r| r.name() == words[0]);
    let least = value("least=").map_or(0.9, |v| v.parse().expect("a share"));
    let priority = match words.contains(&"coverage") {
        true => Priority::Coverage,
        false => Priority::Time,
    };
    let timeout = value("timeout=").map_or(200, number);
    query(rank.expect("a rank"), timeout, least, priority)
}

fn number(word: &str) -> u64 {
    word.parse().expect("a number")
}

/// Starts a query; the result tells whether it ended within a tenth of its time.
fn start(world: &World, words: &[&str]) -> JoinHandle<(gatherer::Result<Answer>, bool)> {
    let (root, query) = (world.root.clone(), parse(words));
    tokio::spawn(async move {
        let (start, tenth) = (Instant::now(), query.timeout / 10);
        let result = root.query(query).await;
        (result, start.elapsed() <= tenth)
    })
}

/// Waits for a query and describes its end.
async fn end(handle: JoinHandle<(gatherer::Result<Answer>, bool)>) -> String {
    let (result, early) = handle.await.expect("no query panics");
    result.iter().for_each(check);
    let told = if result.is_err() && early {
        ", told at once"
    } else {
        ""
    };
    format!("{}{told}", line(&result))
}

/// Changes the data; the root does not hear of it.
fn change(world: &mut World, words: &[&str]) {
    let index = |i: usize| usize::try_from(number(words[i])).expect("an index");
    match words {
        ["split", "shard", _] => world.data.split(STONES, index(2)),
        ["merge", "shard", _] => world.data.merge(STONES, index(2)),
        ["move", "shard", _, "to", _] => {
            let service = u16::try_from(index(4)).expect("a service");
            world.data.shift(STONES, index(2), service);
        }
        _ => drop(world.data.publish(STONES)),
    }
    world.fleet.load(&world.data);
}

/// Does something to a leaf named `service/replica`.
fn leaf(world: &World, name: &str, words: &[&str]) {
    let (service, replica) = name.split_once('/').expect("a leaf is service/replica");
    let leaf = world.fleet.leaf(&format!("{STONES}-0{service}-{replica}"));
    match words {
        ["slow", factor] => leaf.set_faults(Faults {
            factor: factor.trim_end_matches('x').parse().expect("a factor"),
            ..Faults::default()
        }),
        ["stops"] => leaf.stop(),
        ["drains"] => leaf.drain(true),
        ["silent"] => leaf.silence(),
        ["restarts"] => leaf.restart(),
        ["forgets", "snapshot", n] => {
            let mut holdings = world.data.holdings().remove(&leaf.name());
            let held = holdings.iter_mut().flatten();
            let kept = held.filter(|(s, _)| *s != Snapshot(number(n)));
            leaf.hold(kept.map(|(s, keys)| (*s, keys.clone())).collect::<Vec<_>>());
        }
        other => panic!("no such command for a leaf: {other:?}"),
    }
}

/// Does something to the first dispatcher of `service`, or to all hosts.
fn dispatcher(world: &World, service: &str, words: &[&str]) {
    let hosts = match service {
        "all" => world.config.hosts.iter().map(|h| h.name.clone()).collect(),
        _ => vec![world.dispatcher(service.parse().expect("a service"))],
    };
    for host in hosts {
        act(world, service, &host, words);
    }
}

/// Does something to `host`, which dispatches to `service`.
fn act(world: &World, service: &str, host: &host::Name, words: &[&str]) {
    let mode = match words {
        ["dies"] => Mode::Dead,
        ["breaks"] => Mode::Broken,
        ["silent"] => Mode::Silent,
        ["refuses"] => Mode::Refuse,
        ["moved"] => Mode::Elsewhere,
        ["slow", ms] => Mode::Slow(number(ms)),
        ["back"] => Mode::Up,
        ["suspected"] => return world.net.suspect(host),
        ["restarts"] => return world.restart(host),
        ["reports", urgent, routine, intake] => {
            let index = service.parse().expect("a service");
            let service = Service {
                collection: STONES.into(),
                index,
            };
            let waits = [urgent, routine, intake].map(|ms| number(ms) as u32 * 1_000);
            let report = Report {
                waits: vec![(service, waits)],
                leaving: Vec::new(),
            };
            return world.root.report(host, report);
        }
        other => panic!("no such command for a dispatcher: {other:?}"),
    };
    world.net.mode(host, mode);
}

/// Plays one line; returns what there is to tell.
async fn play(world: &mut World, running: &mut Running, text: &str) -> Option<String> {
    let words: Vec<_> = text.split_whitespace().collect();
    match words.as_slice() {
        ["query", rest @ ..] => {
            let calls = world.net.calls();
            let result = end(start(world, rest)).await;
            return Some(match world.net.calls() - calls {
                0 => format!("{result}, no message sent"),
                _ => result,
            });
        }
        ["start", name, "query", rest @ ..] => {
            running.insert((*name).to_owned(), start(world, rest));
        }
        ["end", name] => {
            let handle = running.remove(*name).expect("the query was started");
            return Some(end(handle).await);
        }
        ["wait", ms] => tokio::time::sleep(Duration::from_millis(number(ms))).await,
        ["leaf", name, rest @ ..] => leaf(world, name, rest),
        ["dispatcher", name, rest @ ..] => dispatcher(world, name, rest),
        ["catalog", "arrives"] => world.apply(),
        ["catalog", "counts", records, "in", "shard", n] => {
            let shard = usize::try_from(number(n)).expect("an index");
            let version = world.data.catalogs[0].versions.last_mut();
            version.expect("there is a version").parts[shard].records = number(records);
        }
        ["split" | "merge" | "move" | "publish", ..] => change(world, &words),
        ["root", "drains"] => {
            let root = world.root.clone();
            tokio::spawn(async move { root.drain().await });
            tokio::task::yield_now().await;
        }
        _ => panic!("no such command: {text}"),
    }
    None
}

/// Guards each promise and each named failure of queries; see the files.
#[test]
fn incidents() {
    datadriven::walk("tests/scenarios", |file| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build();
        let runtime = runtime.expect("the runtime has no I/O");
        let mut world = runtime.block_on(async { World::new(7) });
        let mut running = Running::default();
        file.run(|case| -> String {
            runtime.block_on(async {
                let mut told = String::new();
                for text in case.input.lines() {
                    if let Some(result) = play(&mut world, &mut running, text).await {
                        writeln!(told, "{text} -> {result}").expect("text can be written");
                    }
                }
                told
            })
        });
    });
}
